//! Requests of callers and the limits in force.

use std::collections;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::edge;
use crate::edge::caller;
use crate::edge::tests::state as world;
use crate::forward;
use crate::ids;
use crate::metrics;
use crate::rate;
use crate::route;
use crate::time as clock;

/// Size of a head that is over the limits until there is a configuration.
const LONG_HEAD_BYTES: usize = 20 << 10;

fn engine() -> edge::Engine {
    let own = forward::LocalVm {
        data_centre: "a".parse().expect("a name"),
    };
    let fleet = forward::Fleet::new(own, forward::Policy::default());
    let relays = forward::Relays::new("a".parse().expect("a name"), 0.12);
    let metrics = metrics::Metrics::new().expect("metrics");
    let instruments = edge::Instruments::new(&metrics.meter());
    edge::Engine::new(
        fleet,
        relays,
        world::NAMES,
        clock::Clock::start(),
        instruments,
        edge::Capacity::of(rate::Bytes(260_000_000), 4100),
    )
}

/// Returns a configuration without routes.
fn config(version: u64, max_head: rate::Bytes) -> route::Config {
    route::Config {
        version: ids::Generation(version),
        routes: Vec::new(),
        services: collections::BTreeMap::new(),
        limits: route::Limits {
            max_head,
            max_body: rate::Bytes(1024),
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        },
    }
}

/// Opens a connection that the engine serves.
async fn connect(engine: &edge::Engine) -> tokio::net::TcpStream {
    let (ours, callers) = world::ends().await;
    let place = engine.places().enter().expect("a free place");
    let connection = caller::Connection::new(engine.clone(), ours, place);
    tokio::task::spawn_local(connection.run());
    callers
}

/// Sends a request with a head of this size and returns the status of its answer, which has no
/// body.
async fn status_of(stream: &mut tokio::net::TcpStream, head_bytes: usize) -> String {
    let head = "GET / HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r\r\nX-Long: ";
    let filling = "a".repeat(head_bytes.saturating_sub(head.len() + 4));
    let request = format!("{head}{filling}\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("an open connection");
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(stream.read_u8().await.expect("an answer"));
    }
    String::from_utf8_lossy(&answer[9..12]).into_owned()
}

/// Guards against a request that is refused by the limits of an older configuration, which was
/// in force when its connection fell idle.
#[test]
fn an_idle_connection_gets_the_limits_of_a_newer_configuration() {
    world::run(async {
        let engine = engine();
        engine.set_registrations_listed();
        engine.configure(config(1, rate::Bytes(1024)));
        let mut stream = connect(&engine).await;
        assert_eq!(status_of(&mut stream, 512).await, "404");
        engine.configure(config(2, rate::Bytes(64 << 10)));
        assert_eq!(status_of(&mut stream, LONG_HEAD_BYTES).await, "404");
    });
}

/// Guards against a refusal for good by a VM that knows no configuration, though each one
/// allows the request.
#[test]
fn a_vm_without_a_configuration_doesnt_refuse_for_good_what_is_large() {
    world::run(async {
        let mut stream = connect(&engine()).await;
        assert_eq!(status_of(&mut stream, LONG_HEAD_BYTES).await, "503");
    });
}

/// Reads until the connection ends.
async fn read_all(stream: &mut tokio::net::TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset ends it, too.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a refusal for lack of memory that doesn't say that the request hasn't run, or
/// for which request.
#[test]
fn a_request_without_memory_is_refused_with_its_id() {
    world::run(async {
        let engine = engine();
        engine.set_registrations_listed();
        let mut config = config(1, rate::Bytes(1024));
        config.limits.max_body = rate::Bytes(1 << 20);
        engine.configure(config);
        let budget = engine.places().budget();
        let mut others = budget.hold();
        others
            .resize(rate::Bytes(budget.limit().0 / 8 * 7))
            .expect("nothing else is held");
        let mut stream = connect(&engine).await;
        let body = "b".repeat(100_000);
        let request = format!(
            "POST / HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r7\r\nContent-Length: 100000\r\n\r\n{body}"
        );
        // The refusal may come before the whole body is sent.
        let _ = stream.write_all(request.as_bytes()).await;
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("x-request-id: r7\r\n"), "{answer}");
        assert!(answer.contains("Retry-After: 0.500\r\n"), "{answer}");
        assert!(answer.contains("Connection: close\r\n"), "{answer}");
        drop(others);
        assert_eq!(budget.used(), rate::Bytes(0));
    });
}

/// Guards against a refusal without an id, or a request that runs, where a connection ends in the
/// middle of a body to make room for others.
#[test]
fn a_request_that_ends_for_others_doesnt_run() {
    world::run(async {
        let engine = engine();
        engine.set_registrations_listed();
        engine.configure(config(1, rate::Bytes(1024)));
        let mut stream = connect(&engine).await;
        let request =
            "POST / HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r8\r\nContent-Length: 2\r\n\r\n";
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("an open connection");
        stream.write_all(b"b").await.expect("an open connection");
        while engine.places().budget().used() == rate::Bytes(0) {
            tokio::task::yield_now().await;
        }
        // Both at once: the rest of the body, and the need for its place.
        stream.write_all(b"b").await.expect("an open connection");
        let all = engine.capacity().connections;
        let others: Vec<_> = (0..all).map_while(|_| engine.places().enter()).collect();
        assert_eq!(others.len(), all);
        let answer = read_all(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("x-request-id: r8\r\n"), "{answer}");
    });
}
