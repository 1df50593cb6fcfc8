use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::*;
use crate::layout;

/// The fake upstream's reaction to one request.
#[derive(Debug, Clone)]
enum Step {
    /// Answers with a status, header lines and a body.
    Answer(u16, &'static str, &'static str),
    /// Closes the connection without an answer.
    Close,
    /// Sends this part of an answer, then closes the connection.
    Break(String),
    /// Answers with status 200, header lines and a body, then closes the connection.
    AnswerAndClose(&'static str, &'static str),
}

/// An upstream on its own port that handles requests, over all connections, by a
/// list of steps in order.
struct Fake {
    upstream: layout::Upstream,
    connects: sync::Arc<atomic::AtomicUsize>,
    requests: sync::Arc<sync::Mutex<Vec<String>>>,
}

async fn read_request(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let mut part = [0; 4096];
        let read = stream.read(&mut part).await.ok()?;
        if read == 0 {
            return None;
        }
        text.extend_from_slice(&part[..read]);
        let received = String::from_utf8_lossy(&text).into_owned();
        let Some((head, body)) = received.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|line| {
            line.to_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        });
        if body.len() >= length.unwrap_or(0) {
            return Some(received);
        }
    }
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    steps: sync::Arc<sync::Mutex<std::vec::IntoIter<Step>>>,
    requests: sync::Arc<sync::Mutex<Vec<String>>>,
) -> Option<()> {
    loop {
        let request = read_request(&mut stream).await?;
        requests.lock().unwrap().push(request);
        let step = steps.lock().unwrap().next()?;
        let (status, headers, body, close) = match step {
            Step::Answer(status, headers, body) => (status, headers, body, false),
            Step::AnswerAndClose(headers, body) => (200, headers, body, true),
            Step::Break(part) => {
                stream.write_all(part.as_bytes()).await.ok()?;
                return None;
            }
            Step::Close => return None,
        };
        let length = body.len();
        let text =
            format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).await.ok()?;
        if close {
            return None;
        }
    }
}

async fn fake(steps: Vec<Step>) -> Fake {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = layout::Upstream {
        id: "up-1".parse().unwrap(),
        address: listener.local_addr().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        slots: 2,
        connections: 25,
        connect_ms: 6,
    };
    let fake = Fake {
        upstream,
        connects: sync::Arc::default(),
        requests: sync::Arc::default(),
    };
    let (connects, requests) = (fake.connects.clone(), fake.requests.clone());
    let steps = sync::Arc::new(sync::Mutex::new(steps.into_iter()));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connects.fetch_add(1, atomic::Ordering::Relaxed);
            tokio::spawn(serve(stream, steps.clone(), requests.clone()));
        }
    });
    fake
}

impl Fake {
    fn connection(&self, max_body_bytes: usize) -> Connection {
        let limits = Limits {
            max_body_bytes,
            ..Limits::default()
        };
        Connection::new(&self.upstream, limits).unwrap()
    }

    fn connects(&self) -> usize {
        self.connects.load(atomic::Ordering::Relaxed)
    }

    fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

fn search() -> Search {
    Search {
        id: call_id("r1", &"vm-1".parse().unwrap(), 7),
        shard: "s1".parse().unwrap(),
        time_left: time::Duration::from_micros(250_900),
        index_version: Some(ids::IndexVersion(4)),
        layout: ids::LayoutVersion(2),
        body: bytes::Bytes::from_static(b"{}"),
    }
}

fn record() -> Record {
    Record {
        id: call_id("r1", &"vm-1".parse().unwrap(), 8),
        shard: "s1".parse().unwrap(),
        time_left: time::Duration::from_millis(250),
        layout: ids::LayoutVersion(2),
        key: "k1".to_owned(),
        body: bytes::Bytes::from_static(b"{}"),
    }
}

const MATCHING: &str = "request-id: r1.vm-1.7\r\nshard: s1\r\nindex-version: 4\r\nlayout-version: 2\r\nindex-newest: 5\r\n";
const MATCHING_RECORD: &str = "request-id: r1.vm-1.8\r\nshard: s1\r\nlayout-version: 2\r\n";
const HITS: &str = r#"{"hits": []}"#;

#[tokio::test]
async fn calls_follow_one_another_on_one_connection() {
    let fake = fake(vec![Step::Answer(200, MATCHING, HITS); 50]).await;
    let connection = fake.connection(1000);
    for _ in 0..50 {
        let reply = connection.search(&search(), || ()).await;
        assert_eq!(reply.outcome, Outcome::Done);
        assert!(reply.reusable);
        assert_eq!(reply.newest, ids::IndexVersion(5));
        assert_eq!(reply.body, HITS);
    }
    assert_eq!(fake.connects(), 1);
    let first = fake.requests()[0].to_lowercase();
    assert!(first.starts_with("post /shards/s1/search "), "{first}");
    assert!(first.contains("deadline-ms: 250\r\n"), "{first}");
}

/// Guards against an upstream's reply that is lost since it has many headers.
#[tokio::test]
async fn a_reply_may_have_many_headers() {
    let headers = format!("{MATCHING}{}", "x-note: a\r\n".repeat(1000));
    let fake = fake(vec![Step::Answer(200, headers.leak(), HITS)]).await;
    let reply = fake.connection(1000).search(&search(), || ()).await;
    assert_eq!(reply.outcome, Outcome::Done);
}

/// Answers each call before it has read it, without a length, and resets the connection.
async fn reset_early(listener: tokio::net::TcpListener) {
    let head = format!("HTTP/1.1 200 x\r\n{MATCHING}connection: close\r\n\r\n");
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut part = [0; 4096];
        let _ = stream.read(&mut part).await;
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&HITS.as_bytes()[..4]).await;
        let _ = stream.read(&mut part).await;
        let linger = socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO));
        linger.expect("can set a socket's linger time");
    }
}

/// Guards against a part of a reply that looks whole: its connection is reset while the call is
/// still being written.
#[tokio::test]
async fn a_reply_that_is_reset_during_a_long_call_isnt_whole() {
    let fake = fake(Vec::new()).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = layout::Upstream {
        address: listener.local_addr().unwrap(),
        ..fake.upstream.clone()
    };
    tokio::spawn(reset_early(listener));
    let call = Search {
        body: vec![b' '; 8 << 20].into(),
        ..search()
    };
    for _ in 0..100 {
        let connection = Connection::new(&upstream, Limits::default()).unwrap();
        let reply = connection.search(&call, || ()).await;
        assert_ne!(reply.outcome, Outcome::Done);
    }
}

/// A proxy between VM and upstream mixes up replies, so a reply to another call
/// arrives. Accepting it would return hits of another shard or index version.
#[tokio::test]
async fn a_reply_that_echoes_anything_else_is_crossed() {
    let others = [
        "request-id: r1.vm-1.6\r\nshard: s1\r\nindex-version: 4\r\nlayout-version: 2\r\n",
        "request-id: r1.vm-1.7\r\nshard: s2\r\nindex-version: 4\r\nlayout-version: 2\r\n",
        "request-id: r1.vm-1.7\r\nshard: s1\r\nindex-version: 5\r\nlayout-version: 2\r\n",
        "request-id: r1.vm-1.7\r\nshard: s1\r\nindex-version: 4\r\nlayout-version: 3\r\n",
        "shard: s1\r\nindex-version: 4\r\nlayout-version: 2\r\n",
        "",
    ];
    for headers in others {
        let fake = fake(vec![Step::Answer(200, headers, HITS)]).await;
        let reply = fake.connection(1000).search(&search(), || ()).await;
        assert_eq!(reply, Reply::bare(Outcome::Crossed), "{headers}");
    }
}

#[tokio::test]
async fn refusals_are_read_as_not_run() {
    let own = "request-id: r1.vm-1.7\r\n";
    let cases = [
        (503, own, r#"{"error": "shed"}"#, Outcome::Shed),
        (503, own, r#"{"error": "draining"}"#, Outcome::Draining),
        (
            409,
            own,
            r#"{"error": "version_unavailable", "oldest": 5, "newest": 9}"#,
            Outcome::Version,
        ),
        (500, own, r#"{"error": "shed"}"#, Outcome::Failed),
        (503, own, "gateway", Outcome::Failed),
        (
            503,
            "request-id: r0.vm-1.1\r\n",
            r#"{"error": "shed"}"#,
            Outcome::Crossed,
        ),
    ];
    for (status, headers, body, outcome) in cases {
        let fake = fake(vec![Step::Answer(status, headers, body)]).await;
        let reply = fake.connection(1000).search(&search(), || ()).await;
        assert_eq!(reply.outcome, outcome, "{status} {body}");
    }
}

/// A registration runs, but the refusal of another call arrives in place of its
/// reply. Accepting that would report to the caller that it was not run.
#[tokio::test]
async fn a_refusal_without_a_call_id_doesnt_prove_that_a_record_was_not_run() {
    let fake = fake(vec![Step::Answer(503, "", r#"{"error": "shed"}"#)]).await;
    let reply = fake.connection(1000).record(&record(), || ()).await;
    assert_eq!(reply.outcome, Outcome::Failed);
}

/// The connection breaks after the upstream received a registration. Resending it
/// on a new connection would register it twice.
#[tokio::test]
async fn a_record_whose_connection_breaks_is_lost_and_not_resent() {
    let fake = fake(vec![
        Step::Answer(200, MATCHING_RECORD, "{}"),
        Step::Close,
        Step::Answer(200, MATCHING_RECORD, "{}"),
    ])
    .await;
    let connection = fake.connection(1000);
    assert_eq!(
        connection.record(&record(), || ()).await.outcome,
        Outcome::Done
    );
    assert_eq!(
        connection.record(&record(), || ()).await.outcome,
        Outcome::Lost
    );
    assert_eq!(fake.requests().len(), 2);
    assert_eq!(
        connection.record(&record(), || ()).await.outcome,
        Outcome::Unsent
    );
    assert_eq!((fake.requests().len(), fake.connects()), (2, 1));
}

/// Guards against a reply whose head breaks off and that is taken for a whole one.
#[tokio::test]
async fn a_reply_whose_head_breaks_off_is_lost() {
    let head = format!("HTTP/1.1 200 OK\r\n{MATCHING_RECORD}content-length: 0\r\n\r\n");
    for cut in 0..head.len() {
        let fake = fake(vec![
            Step::Answer(200, MATCHING_RECORD, "{}"),
            Step::Break(head[..cut].to_owned()),
        ])
        .await;
        let connection = fake.connection(1000);
        let whole = connection.record(&record(), || ()).await;
        assert_eq!(whole.outcome, Outcome::Done);
        let broken = connection.record(&record(), || ()).await;
        assert_eq!(broken.outcome, Outcome::Lost, "{:?}", &head[..cut]);
    }
}

/// The upstream closed an idle connection. The next call must report that nothing
/// was sent, and must not open a second connection, which nobody would count.
#[tokio::test]
async fn a_call_on_a_closed_connection_is_unsent() {
    let fake = fake(vec![
        Step::AnswerAndClose(MATCHING, HITS),
        Step::Answer(200, MATCHING, HITS),
    ])
    .await;
    let connection = fake.connection(1000);
    assert_eq!(
        connection.search(&search(), || ()).await.outcome,
        Outcome::Done
    );
    while fake.requests().len() < 2 {
        let reply = connection.search(&search(), || ()).await;
        if reply.outcome == Outcome::Unsent {
            break;
        }
    }
    assert_eq!(
        connection.search(&search(), || ()).await.outcome,
        Outcome::Unsent
    );
    assert_eq!((fake.requests().len(), fake.connects()), (1, 1));
}

#[tokio::test]
async fn a_call_to_a_port_without_listener_is_unsent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut upstream = fake(Vec::new()).await.upstream;
    upstream.address = listener.local_addr().unwrap();
    drop(listener);
    let connection = Connection::new(&upstream, Limits::default()).unwrap();
    assert_eq!(
        connection.search(&search(), || ()).await.outcome,
        Outcome::Unsent
    );
}

#[tokio::test]
async fn a_body_over_the_limit_is_crossed() {
    let fake = fake(vec![Step::Answer(200, MATCHING, HITS)]).await;
    let reply = fake
        .connection(HITS.len() - 1)
        .search(&search(), || ())
        .await;
    assert_eq!(reply.outcome, Outcome::Crossed);
}
