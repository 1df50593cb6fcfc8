//! Tests of the stand-in upstream over real connections.
#![expect(
    clippy::unwrap_used,
    reason = "clippy allows this in tests, but not in helpers of integration tests"
)]

use std::time;

use geraniumgauge_standin::upstream;

/// Text that crashes an upstream.
const CRASH_BODY: &str = r#"{"query":{"text":"crash-the-upstream"},"limit":1}"#;
/// Time until a crashed upstream listens again, in milliseconds.
const RESTART_MS: u64 = 50;
/// Time limit for the restart.
const RESTART_TIMEOUT: time::Duration = time::Duration::from_secs(20);

async fn start() -> upstream::Server {
    let config = upstream::Config {
        id: "up-1".parse().unwrap(),
        address: ([127, 0, 0, 1], 0).into(),
        shards: vec!["s-1".parse().unwrap()],
        slots: 8,
        queue: 8,
        connections: 25,
        connect_ms: 0,
        median_running_time_ms: 1.0,
        seed: 1,
    };
    let server = upstream::Server::start(config).await.unwrap();
    server
        .state()
        .set_faults(|faults| faults.restart_ms = RESTART_MS);
    server
}

async fn send_crashing_request(client: &reqwest::Client, server: &upstream::Server, id: usize) {
    let url = format!("http://{}/shards/s-1/search", server.address());
    let request = client.post(url).header("Request-Id", format!("call-{id}"));
    // Whatever the outcome, only the upstream's counts matter.
    let _ = request.body(CRASH_BODY).send().await;
}

async fn wait_until_it_listens(client: &reqwest::Client, server: &upstream::Server) {
    let url = format!("http://{}/health", server.address());
    let listens = async {
        while client.get(&url).send().await.is_err() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(RESTART_TIMEOUT, listens)
        .await
        .unwrap();
}

/// Guards against one loss of a process that is counted once for each request that it
/// was running.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_together_crash_their_process_once() {
    let client = reqwest::Client::new();
    for _ in 0..40 {
        let server = start().await;
        let requests = (0..8).map(|id| send_crashing_request(&client, &server, id));
        // All arrive within the outage, so none reaches the next process.
        server
            .state()
            .set_faults(|faults| faults.restart_ms = RESTART_TIMEOUT.as_millis() as u64);
        futures_util::future::join_all(requests).await;
        assert_eq!(server.state().counts().crashes, 1);
    }
}

/// Guards against a second loss that isn't counted: an upstream that is lost again after
/// its restart.
#[tokio::test]
async fn an_upstream_lost_again_after_its_restart_counts_twice() {
    let client = reqwest::Client::new();
    let server = start().await;
    for id in 0..2 {
        send_crashing_request(&client, &server, id).await;
        wait_until_it_listens(&client, &server).await;
    }
    assert_eq!(server.state().counts().crashes, 2);
}
