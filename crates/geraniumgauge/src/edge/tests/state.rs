//! The edge's state without tasks.

use std::cell;
use std::net;
use std::rc;
use std::time;

use crate::edge;
use crate::edge::frame;
use crate::edge::receiver;
use crate::edge::sender;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::metrics;
use crate::rate;
use crate::registry;
use crate::route;
use crate::time as clock;

pub(super) const NAMES: h1::Names = h1::Names {
    request_id: "x-request-id",
    time_left: "x-time-left",
    only_upstream: "x-only",
    upstream_id: "x-upstream-id",
    signature: "x-signature",
    signatures: "x-signatures",
    missing: "x-missing",
    not_run: "x-not-run",
};
pub(super) const NOW: clock::Moment = clock::Moment::from_millis(30_000);

pub(super) fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the state of a small VM whose own budget is used up. The only large VM, its
/// relay, is in data centre `b`, as are the `upstreams` upstreams of service `s`, which it has
/// just heard of.
pub(super) fn small_vm(relay: net::SocketAddr, upstreams: u16) -> state::State {
    let own = forward::LocalVm {
        data_centre: "a".parse().expect("a name"),
    };
    let policy = forward::Policy {
        address_reuse_delay: time::Duration::from_secs(2),
        ..forward::Policy::default()
    };
    let mut fleet = forward::Fleet::new(own, policy);
    let (size_class, vms) = (forward::SizeClass::Small, 10_000);
    fleet.set_shares(
        forward::Shares::new(size_class, vms, 1),
        clock::Moment::default(),
    );
    for number in 0..upstreams {
        let entry = registry::Entry {
            id: format!("u{number}").parse().expect("an id"),
            service: "s".parse().expect("a name"),
            address: address(number),
            data_centre: "b".parse().expect("a name"),
            slots: 2,
            state: registry::State::Ready,
            warm_up: time::Duration::ZERO,
            revision: ids::Revision(1),
            heartbeats: 20,
            started_at: clock::Wall(1),
        };
        let changes = fleet.registry.put(entry, NOW);
        for change in changes {
            if let registry::Change::Registered(upstream) = change {
                fleet.upstream_identified(upstream, NOW);
            }
        }
    }
    let mut relays = forward::Relays::new("a".parse().expect("a name"), 0.12);
    relays.set(vec![forward::Relay {
        address: relay,
        data_centre: "b".parse().expect("a name"),
        cores: 0.5,
    }]);
    let metrics = metrics::Metrics::new().expect("metrics");
    let (suspects, _) = tokio::sync::mpsc::unbounded_channel();
    let instruments = edge::Instruments::new(&metrics.meter());
    state::State::new(fleet, relays, NAMES, instruments, suspects)
}

pub(super) fn search() -> (rc::Rc<route::table::Entry>, h1::Request) {
    let shards = route::Shards {
        services: vec!["s".parse().expect("a name")],
        top_k: 3,
        min_coverage: rate::Share::percent(100),
    };
    request(route::Target::Shards(shards), route::Repeat::Idempotent)
}

/// Returns a request to one upstream of service `s`.
pub(super) fn single() -> (rc::Rc<route::table::Entry>, h1::Request) {
    request(single_target(), route::Repeat::Idempotent)
}

fn single_target() -> route::Target {
    route::Target::One(vec![route::Weighted {
        service: "s".parse().expect("a name"),
        weight: 1.0,
    }])
}

fn request(
    target: route::Target,
    repeat: route::Repeat,
) -> (rc::Rc<route::table::Entry>, h1::Request) {
    let route = route::Route {
        name: "r".to_owned(),
        host: "one.example".to_owned(),
        prefix: "/".to_owned(),
        repeat,
        attempts: 2,
        timeout: time::Duration::from_millis(600),
        latency_target: time::Duration::from_millis(100),
        priority: 0,
        target,
    };
    let split = cell::RefCell::new(route::Split::of(&route.target));
    let request = h1::Request {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        host: "one.example".to_owned(),
        id: "q1".to_owned(),
        time_left: None,
        head: b"GET / HTTP/1.1\r\n".to_vec(),
        body: bytes::Bytes::new(),
        has_body: false,
        close: false,
    };
    (rc::Rc::new(route::table::Entry { route, split }), request)
}

/// Returns the write half of a connection, and its other end.
pub(super) async fn connection() -> (sender::Sender, tokio::net::TcpStream) {
    let (stream, other) = ends().await;
    let (_, sender) = receiver::Receiver::split(stream);
    (sender, other)
}

/// Returns both ends of a connection.
pub(super) async fn ends() -> (tokio::net::TcpStream, tokio::net::TcpStream) {
    let listener = tokio::net::TcpListener::bind(address(0)).await;
    let listener = listener.expect("a port");
    let to = listener.local_addr().expect("an address");
    let (stream, accepted) = tokio::join!(tokio::net::TcpStream::connect(to), listener.accept());
    (
        stream.expect("a connection"),
        accepted.expect("a connection").0,
    )
}

/// Runs a test's future on one thread.
pub(super) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Guards against an extra call that no budget is charged for: the relay that was to pay
/// doesn't know the upstream, and the requester makes the call itself.
#[test]
fn an_extra_call_that_its_relay_cant_pay_for_isnt_made() {
    run(async {
        let relay = address(9);
        let mut state = small_vm(relay, 2);
        let (sender, _relay) = connection().await;
        state.peer_connected(relay, sender, NOW);
        let (entry, request) = search();
        let id = state.submit(entry, request, rc::Rc::default(), NOW);
        let first = match state.effects.pop() {
            Some(state::Effect::Open { link, .. }) => link,
            other => panic!("{other:?}"),
        };
        let (sender, _upstream) = connection().await;
        state.connected(first, sender, NOW);
        // The first call is lost, so the relay is asked for an extra one.
        state.ended(first, "closed", NOW);
        state.effects.clear();
        let extra = ids::Attempt(2);
        let report = frame::Report {
            ends: vec![frame::End::new(extra.0, frame::How::Unknown)],
            ..frame::Report::default()
        };
        state.report_received(relay, report, NOW);
        let opened = state.effects.len();
        assert_eq!(opened, 0, "no connection for the extra call");
        assert!(state.take(id, NOW).is_some(), "the search has ended");
    });
}

/// Starts a request to one upstream, whose first call fails without a reply. Returns its id.
async fn lose_first_call(state: &mut state::State) -> u64 {
    let (entry, request) = single();
    lose_first_call_of(state, entry, request).await
}

/// Starts a request, whose first call fails without a reply. Returns its id.
pub(super) async fn lose_first_call_of(
    state: &mut state::State,
    entry: rc::Rc<route::table::Entry>,
    request: h1::Request,
) -> u64 {
    let id = state.submit(entry, request, rc::Rc::default(), NOW);
    let first = match state.effects.pop() {
        Some(state::Effect::Open { link, .. }) => link,
        other => panic!("{other:?}"),
    };
    let (sender, _upstream) = connection().await;
    state.connected(first, sender, NOW);
    state.ended(first, "closed", NOW);
    id
}

/// Returns the upstreams that connections are being opened to.
fn opened(state: &state::State) -> Vec<net::SocketAddr> {
    let opened = state.effects.iter().filter_map(|effect| match effect {
        state::Effect::Open { address, .. } => Some(*address),
        _ => None,
    });
    opened.collect()
}

/// Guards against extra calls of requests to one upstream that no budget is charged for: a
/// relay is to pay, and the requester makes the call itself.
#[test]
fn an_extra_call_of_a_single_request_without_a_relay_to_pay_isnt_made() {
    run(async {
        let mut state = small_vm(address(9), 2);
        let id = lose_first_call(&mut state).await;
        // The connection shows whether the first upstream has crashed.
        assert_eq!(opened(&state), [address(0)]);
        assert!(state.take(id, NOW).is_some(), "the request has ended");
    });
}

/// Guards against callers who get no answer, or another one than the upstream's, as a relay
/// pays for the call.
#[test]
fn a_relay_that_pays_for_a_single_requests_call_passes_its_reply_on_unchanged() {
    run(async {
        let relay = address(9);
        let mut state = small_vm(relay, 2);
        let (sender, _relay) = connection().await;
        state.peer_connected(relay, sender, NOW);
        let id = lose_first_call(&mut state).await;
        assert_eq!(opened(&state), [address(0)]);
        let extra = ids::Attempt(2);
        let reply = frame::Reply {
            call: extra.0,
            status: 404,
            headers: "x-signature: a\r\n".into(),
            body: "not there".into(),
        };
        let report = frame::Report {
            ends: vec![frame::End::new(extra.0, frame::How::Good)],
            replies: vec![reply],
            ..frame::Report::default()
        };
        state.report_received(relay, report, NOW);
        match state.take(id, NOW) {
            Some((forward::Outcome::Reply(reply), _)) => {
                assert_eq!(reply.status, 404);
                assert_eq!(reply.headers, b"x-signature: a\r\n");
                assert_eq!(reply.body, "not there");
            }
            other => panic!("{other:?}"),
        }
    });
}

/// Guards against answers made up of merged records: a relay of an earlier version makes the
/// call as one of a search.
#[test]
fn a_merged_reply_to_a_single_request_isnt_passed_on() {
    run(async {
        let relay = address(9);
        let mut state = small_vm(relay, 2);
        let (sender, _relay) = connection().await;
        state.peer_connected(relay, sender, NOW);
        let id = lose_first_call(&mut state).await;
        let report = frame::Report {
            ends: vec![frame::End::new(2, frame::How::Good)],
            records: "records of the body".into(),
            ..frame::Report::default()
        };
        state.report_received(relay, report, NOW);
        match state.take(id, NOW) {
            Some((forward::Outcome::Unknown { .. }, _)) => {}
            other => panic!("{other:?}"),
        }
    });
}

/// Guards against requests that run twice: a refusal that names no request, as additional
/// bytes of a faulty upstream, is taken for proof that the call in progress wasn't run.
#[test]
fn a_refusal_that_names_no_request_proves_nothing() {
    run(async {
        let mut state = small_vm(address(9), 2);
        let (entry, request) = request(single_target(), route::Repeat::Once);
        let id = state.submit(entry, request, rc::Rc::default(), NOW);
        let link = match state.effects.pop() {
            Some(state::Effect::Open { link, .. }) => link,
            other => panic!("{other:?}"),
        };
        let (sender, _upstream) = connection().await;
        state.connected(link, sender, NOW);
        let mut refusal = h1::Reply::whole(503, Vec::new(), bytes::Bytes::new());
        refusal.not_run = true;
        assert!(!state.replied(link, refusal, false, NOW), "it closes");
        assert_eq!(opened(&state), []);
        match state.take(id, NOW) {
            Some((forward::Outcome::Unknown { .. }, _)) => {}
            other => panic!("{other:?}"),
        }
    });
}
