use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::*;
use crate::metrics;
use crate::store::Api as _;

/// A store that reads one request per connection, answers it with `reply` and closes.
async fn server(reply: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(reply.as_bytes()).await;
        }
    });
    address
}

fn client(address: net::SocketAddr) -> Client {
    let meter = metrics::Metrics::new().unwrap().meter();
    Client::new(format!("http://{address}/"), clock::Clock::start(), &meter).unwrap()
}

async fn put(reply: &'static str) -> Result<ids::ObjectVersion, store::Error> {
    let condition = store::Condition::Version(ids::ObjectVersion(3));
    let client = client(server(reply).await);
    client.put("ledger/a", "body".into(), condition).await
}

/// The store accepts a claim, and the connection breaks before its reply. If the
/// write counted as failed, the claim would have no owner; if it counted as done,
/// two VMs could own it.
#[tokio::test]
async fn a_write_without_a_reply_is_unconfirmed() {
    let lost = put("").await;
    assert!(
        matches!(lost, Err(store::Error::Unconfirmed { .. })),
        "{lost:?}"
    );
    let gateway = put("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n").await;
    assert!(
        matches!(gateway, Err(store::Error::Unconfirmed { .. })),
        "{gateway:?}"
    );
    let bare = put("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    assert!(
        matches!(bare, Err(store::Error::Unconfirmed { .. })),
        "{bare:?}"
    );
}

#[tokio::test]
async fn a_refused_write_is_distinguished_from_one_without_a_reply() {
    let down = put("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").await;
    assert!(
        matches!(down, Err(store::Error::Unavailable { .. })),
        "{down:?}"
    );
    let large = put("HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n").await;
    assert!(
        matches!(large, Err(store::Error::Refused { .. })),
        "{large:?}"
    );
    let newer = "HTTP/1.1 412 No\r\nObject-Version: 7\r\nContent-Length: 0\r\n\r\n";
    let conflict = store::Error::Conflict {
        key: "ledger/a".to_owned(),
        current: ids::ObjectVersion(7),
    };
    assert_eq!(put(newer).await, Err(conflict));
    let done = "HTTP/1.1 200 OK\r\nObject-Version: 4\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(put(done).await, Ok(ids::ObjectVersion(4)));
}

#[tokio::test]
async fn a_write_to_a_store_that_accepts_no_connection_had_no_effect() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let done = client(address)
        .put("ledger/a", "body".into(), store::Condition::Absent)
        .await;
    assert!(
        matches!(done, Err(store::Error::Unavailable { .. })),
        "{done:?}"
    );
}

/// A service is named "..". A URL parser resolves that as the parent path, so the
/// write would change another team's object.
#[tokio::test]
async fn a_key_that_leaves_its_path_is_refused() {
    let client = client("127.0.0.1:1".parse().unwrap());
    for key in ["documents/..", "a//b", "./a", ""] {
        let found = client.get(key).await;
        assert!(
            matches!(found, Err(store::Error::Refused { .. })),
            "{found:?}"
        );
    }
}
