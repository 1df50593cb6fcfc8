//! Requests over sockets to a fake backend whose answer depends on the query.

use std::net;
use std::sync;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::*;

/// Fake backend: panics on a query that contains "panic" and refuses one that
/// contains "busy".
struct Fake;

#[async_trait::async_trait]
impl Backend for Fake {
    async fn search(&self, search: query::Search) -> Result<query::Answer, query::Refusal> {
        if search.query.get().contains("panic") {
            panic!("panic in a handler");
        }
        if search.query.get().contains("busy") {
            let refusal = query::Refusal::not_run(query::Code::Overloaded, "busy");
            return Err(refusal.retry_after(std::time::Duration::from_millis(1200)));
        }
        let snapshot = query::Snapshot {
            version: ids::IndexVersion(3),
            layout: ids::LayoutVersion(1),
        };
        let coverage = query::Coverage {
            shards: 0,
            covered: 0,
            complete: true,
            missing: Vec::new(),
        };
        Ok(query::Answer {
            request_id: search.request,
            snapshot,
            coverage,
            hits: Vec::new(),
        })
    }

    async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        let result = serde_json::value::to_raw_value(&registration.key).unwrap();
        Ok(ledger::Done {
            request_id: registration.request,
            outcome: "done",
            result,
        })
    }

    async fn key_status(
        &self,
        _: ids::Service,
        key: ids::Key,
    ) -> Result<serde_json::Value, query::Refusal> {
        Ok(serde_json::json!({ "key": key }))
    }

    fn unready_reason(&self) -> Option<String> {
        Some("starting".to_owned())
    }

    fn metrics(&self) -> Result<String, crate::metrics::Error> {
        Ok("a_total 1\n".to_owned())
    }

    fn request_id(&self) -> ids::Request {
        "r-1".parse().unwrap()
    }
}

struct Site {
    callers: Server,
    gate: Gate,
    client: reqwest::Client,
}

async fn site(limits: Limits) -> Site {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let gate = Gate::new(limits.requests);
    let callers = Server::callers(any, sync::Arc::new(Fake), gate.clone(), limits)
        .await
        .unwrap();
    Site {
        callers,
        gate,
        client: reqwest::Client::new(),
    }
}

impl Site {
    async fn post(&self, path: &str, body: &str) -> (u16, serde_json::Value) {
        let request = self.client.post(self.url(path)).body(body.to_owned());
        read(request).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.callers.address())
    }
}

async fn read(request: reqwest::RequestBuilder) -> (u16, serde_json::Value) {
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    (
        status,
        serde_json::from_slice(&response.bytes().await.unwrap()).unwrap(),
    )
}

fn refusal(reply: &(u16, serde_json::Value)) -> (u16, &str, &str) {
    let error = &reply.1["error"];
    (
        reply.0,
        error["code"].as_str().unwrap(),
        error["ran"].as_str().unwrap(),
    )
}

const SEARCH: &str = "/v1/services/desk/search";

/// A malformed request is refused with a message that says what is wrong and
/// where, and with the assurance that nothing ran.
#[tokio::test]
async fn malformed_requests_are_refused_with_the_error_position() {
    let site = site(Limits::default()).await;
    let cases = [
        (SEARCH, "{", "line 1"),
        (SEARCH, "{\"query\": 1, \"limt\": 3}", "limt"),
        (SEARCH, "{\"limit\": 3}", "query"),
        (SEARCH, "{\"query\": 1, \"limit\": 0}", "limit: 0"),
        (SEARCH, "{\"query\": 1, \"shards\": []}", "shards"),
        (SEARCH, "{\"query\": 1, \"shards\": [\"a b\"]}", "shard"),
        ("/v1/services/a%20b/search", "{\"query\": 1}", "byte 1"),
        ("/v1/services/desk/records", "{}", "Idempotency-Key"),
    ];
    for (path, body, position) in cases {
        let reply = site.post(path, body).await;
        assert_eq!(refusal(&reply), (400, "bad_request", "no"), "{path} {body}");
        let message = reply.1["error"]["message"].as_str().unwrap();
        assert!(
            message.contains(position),
            "{message:?} doesn't name {position:?}"
        );
    }
}

#[tokio::test]
async fn invalid_timeout_and_key_headers_are_named() {
    let site = site(Limits::default()).await;
    for (name, value) in [("Request-Timeout-Ms", "soon"), ("Idempotency-Key", "a b")] {
        let request = site.client.post(site.url(SEARCH)).header(name, value);
        let reply = read(request.body("{\"query\": 1}")).await;
        assert_eq!(refusal(&reply), (400, "bad_request", "no"));
        assert!(reply.1["error"]["message"].as_str().unwrap().contains(name));
    }
}

/// A body, a query or headers far over the limits get an answer that names the
/// limit; the connection isn't just closed.
#[tokio::test]
async fn requests_that_are_too_large_are_refused_with_the_limit() {
    let bytes = rate::Bytes;
    let limits = Limits {
        body: bytes(2000),
        query: bytes(100),
        headers: bytes(1000),
        ..Limits::default()
    };
    let site = site(limits).await;
    let long = format!("{{\"query\": \"{}\"}}", "x".repeat(200));
    assert_eq!(
        refusal(&site.post(SEARCH, &long).await),
        (413, "too_large", "no")
    );
    let longer = format!("{{\"query\": \"{}\"}}", "x".repeat(100_000));
    assert_eq!(
        refusal(&site.post(SEARCH, &longer).await),
        (413, "too_large", "no")
    );
    let request = site
        .client
        .post(site.url(SEARCH))
        .header("X-Trace", "y".repeat(2000));
    let reply = read(request.body("{\"query\": 1}")).await;
    assert_eq!(refusal(&reply), (413, "too_large", "no"));
    assert!(
        reply.1["error"]["message"]
            .as_str()
            .unwrap()
            .contains("1000")
    );
}

/// Guards against a request that is refused since it has many headers, though all of them
/// together are within the limit.
#[tokio::test]
async fn headers_are_limited_by_their_bytes_alone() {
    let site = site(Limits::default()).await;
    let mut request = site.client.post(site.url(SEARCH));
    for number in 0..150 {
        request = request.header(format!("x-note-{number}"), "a");
    }
    let (status, _) = read(request.body("{\"query\": 1}")).await;
    assert_eq!(status, 200);
}

/// When a query makes a handler panic, its caller gets an error, and the next
/// request is answered as usual.
#[tokio::test]
async fn a_panic_does_not_affect_other_requests() {
    let site = site(Limits::default()).await;
    let reply = site.post(SEARCH, "{\"query\": \"panic\"}").await;
    assert_eq!(refusal(&reply), (500, "internal", "unknown"));
    assert_eq!(site.post(SEARCH, "{\"query\": 1}").await.0, 200);
    assert_eq!(site.gate.inside(), 0);
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused_in_json() {
    let site = site(Limits::default()).await;
    assert_eq!(
        refusal(&site.post("/v2/none", "").await),
        (404, "not_found", "no")
    );
    let reply = read(site.client.get(site.url(SEARCH))).await;
    assert_eq!(refusal(&reply), (404, "not_found", "no"));
}

#[tokio::test]
async fn a_refusal_says_when_to_retry() {
    let site = site(Limits::default()).await;
    let request = site
        .client
        .post(site.url(SEARCH))
        .body("{\"query\": \"busy\"}");
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 429);
    assert_eq!(response.headers()["Retry-After"], "2");
}

/// A VM is stopped while the balancer's keep-alive connections are open. If rocket
/// closed them immediately, a request written at that moment would be lost. Instead,
/// each answer of a stopping VM asks to close its connection.
#[tokio::test]
async fn a_stopping_vm_answers_and_asks_to_close() {
    let site = site(Limits::default()).await;
    let mut stream = tokio::net::TcpStream::connect(site.callers.address())
        .await
        .unwrap();
    site.gate.stop();
    let body = "{\"query\": 1}";
    let head = format!(
        "POST {SEARCH} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.to_ascii_lowercase().contains("connection: close"),
        "{answer}"
    );
}

#[tokio::test]
async fn requests_beyond_the_limit_are_refused_not_queued() {
    let site = site(Limits {
        requests: 1,
        ..Limits::default()
    })
    .await;
    let held = site.gate.enter().unwrap();
    assert!(held.start());
    let reply = site.post(SEARCH, "{\"query\": 1}").await;
    assert_eq!(refusal(&reply), (429, "overloaded", "no"));
    drop(held);
    assert_eq!(site.post(SEARCH, "{\"query\": 1}").await.0, 200);
}

#[tokio::test]
async fn operators_server_does_not_serve_callers_paths() {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let operators = Server::operators(any, sync::Arc::new(Fake), Gate::new(9))
        .await
        .unwrap();
    let client = reqwest::Client::new();
    let get = |path| {
        client
            .get(format!("http://{}{path}", operators.address()))
            .send()
    };
    assert_eq!(get("/healthz").await.unwrap().status(), 200);
    let ready = get("/readyz").await.unwrap();
    assert_eq!(ready.status(), 503);
    assert_eq!(ready.text().await.unwrap(), "not ready: starting\n");
    assert_eq!(
        get("/metrics").await.unwrap().text().await.unwrap(),
        "a_total 1\n"
    );
    assert_eq!(get(SEARCH).await.unwrap().status(), 404);
}

#[tokio::test]
async fn the_error_for_an_address_in_use_names_it() {
    let held = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = held.local_addr().unwrap();
    let gate = Gate::new(1);
    let started = Server::callers(address, sync::Arc::new(Fake), gate, Limits::default()).await;
    assert!(
        started
            .unwrap_err()
            .to_string()
            .contains(&address.to_string())
    );
}

/// A caller disappears while it sends its body, and nothing closes the connection.
/// The request must not run forever: it counts towards the limit, and a planned stop
/// waits for it. (Rocket counts a request only after its first 14 bytes.)
#[tokio::test(start_paused = true)]
async fn a_body_that_never_ends_is_refused() {
    let site = site(Limits::default()).await;
    let mut stream = tokio::net::TcpStream::connect(site.callers.address())
        .await
        .unwrap();
    let head = format!("POST {SEARCH} HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n");
    stream
        .write_all(format!("{head}{{\"query\": \"lime mix").as_bytes())
        .await
        .unwrap();
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    site.gate.idle().await;
}

/// Guards against callers that send their bodies slowly and so take up all requests that may run.
#[tokio::test]
async fn a_request_that_is_being_received_leaves_room_to_run() {
    let site = site(Limits {
        requests: 1,
        ..Limits::default()
    })
    .await;
    let slow = site.gate.enter().unwrap();
    assert_eq!(site.post(SEARCH, "{\"query\": 1}").await.0, 200);
    assert!(slow.start());
    let reply = site.post(SEARCH, "{\"query\": 1}").await;
    assert_eq!(refusal(&reply), (429, "overloaded", "no"));
}

/// Guards against bodies of legal size that together take up more memory than the VM has.
#[tokio::test]
async fn bodies_beyond_the_memory_for_all_are_refused() {
    let site = site(Limits {
        bodies: crate::rate::Bytes(300 << 10),
        ..Limits::default()
    })
    .await;
    let body = format!("{{\"query\": 1}}{}", " ".repeat(200 << 10));
    assert_eq!(site.post(SEARCH, &body).await.0, 200);
    let mut holders = Vec::new();
    for _ in 0..2 {
        let connecting = tokio::net::TcpStream::connect(site.callers.address());
        let mut stream = connecting.await.unwrap();
        let head = format!("POST {SEARCH} HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[b' '; 100_000]).await.unwrap();
        holders.push(stream);
    }
    // One of the holders is refused, and the other one holds its body.
    let (mut one, mut other) = ([0; 12], [0; 12]);
    let (first, second) = holders.split_at_mut(1);
    let answer = tokio::select! {
        read = first[0].read_exact(&mut one) => read.map(|_| &one),
        read = second[0].read_exact(&mut other) => read.map(|_| &other),
    };
    assert_eq!(answer.unwrap(), b"HTTP/1.1 429");
    assert_eq!(site.post(SEARCH, "{\"query\": 1}").await.0, 200);
    drop(holders);
    while site.gate.inside() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(site.post(SEARCH, &body).await.0, 200);
}
