//! Tests of a VM's homes with a stand-in upstream over real connections.
#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "clippy allows these in tests, but not in helpers of integration tests"
)]

use std::sync;
use std::time;

use geraniumgauge::document;
use geraniumgauge::home;
use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::member;
use geraniumgauge::mesh;
use geraniumgauge::mesh::message;
use geraniumgauge::metrics;
use geraniumgauge::quarantine;
use geraniumgauge::timer;
use geraniumgauge_standin::upstream;

/// Time limit for the next frame with replies.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// A mesh sender that passes frames to the test.
struct FrameSender(tokio::sync::mpsc::UnboundedSender<message::Body>);

impl mesh::Sender for FrameSender {
    fn send(&self, _: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        self.0.send(body).unwrap();
        Ok(())
    }
}

/// A guard that admits every canary and reports no loss.
struct NoGuard;

impl home::Guard for NoGuard {
    fn connection_lost(
        &self,
        _: &ids::Service,
        _: ids::Fingerprint,
        _: &ids::Upstream,
        _: quarantine::tracker::Run,
    ) {
    }

    fn admits_canary(&self, _: &ids::Service, _: ids::Fingerprint, _: &ids::Vm) -> bool {
        true
    }
}

/// A stand-in upstream and the home service that calls it.
struct World {
    server: upstream::Server,
    homes: home::Service,
    frames: tokio::sync::mpsc::UnboundedReceiver<message::Body>,
    replies: std::collections::HashMap<u64, message::Outcome>,
    vm: ids::Vm,
    _view: tokio::sync::watch::Sender<member::SharedView>,
    _stop: tokio_util::sync::DropGuard,
}

fn layout(address: std::net::SocketAddr, slots: u32) -> layout::Layout {
    layout::Layout {
        version: ids::LayoutVersion(1),
        upstreams: vec![layout::Upstream {
            id: "up-1".parse().unwrap(),
            address,
            data_centre: "dc-1".parse().unwrap(),
            slots,
            connections: 25,
            connect_ms: 1,
        }],
        shards: vec![layout::Shard {
            id: "s-1".parse().unwrap(),
            replicas: vec!["up-1".parse().unwrap()],
        }],
    }
}

async fn start(slots: u32) -> World {
    let config = upstream::Config {
        id: "up-1".parse().unwrap(),
        address: "127.0.0.1:0".parse().unwrap(),
        shards: vec!["s-1".parse().unwrap()],
        slots,
        queue: 0,
        connections: 25,
        connect_ms: 1,
        median_running_time_ms: 5.0,
        seed: 1,
    };
    let server = upstream::Server::start(config).await.unwrap();
    let vm: ids::Vm = "vm-1".parse().unwrap();
    let data_centre: ids::DataCentre = "dc-1".parse().unwrap();
    let layout = layout(server.address(), slots);
    let catalog = document::Catalog::default();
    let service = "desk".parse().unwrap();
    catalog.put_layout(&service, layout);
    catalog.put_document(&service, ids::Generation(1), document::Document::default());
    let member = member::Member {
        vm: vm.clone(),
        incarnation: ids::Incarnation(1),
        data_centre: data_centre.clone(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: member::State::Alive,
    };
    let view = sync::Arc::new(member::View::new(vm.clone(), vec![member]));
    let (view_sender, view) = tokio::sync::watch::channel(view);
    let stop = tokio_util::sync::CancellationToken::new();
    let (sender, frames) = tokio::sync::mpsc::unbounded_channel();
    let homes = home::Service::start(
        home::Config {
            vm: vm.clone(),
            data_centre,
            direct: false,
        },
        catalog,
        view,
        sync::Arc::new(FrameSender(sender)),
        sync::Arc::new(NoGuard),
        geraniumgauge::time::Clock::start(),
        timer::Service::new(stop.clone()),
        &metrics::Metrics::new().unwrap().meter(),
    );
    World {
        server,
        homes,
        frames,
        replies: std::collections::HashMap::new(),
        vm,
        _view: view_sender,
        _stop: stop.drop_guard(),
    }
}

impl World {
    /// Sends a batch with one call for each attempt number.
    fn call(&self, attempts: std::ops::Range<u64>, kind: message::Kind) {
        let calls = attempts.map(|attempt| message::Call {
            attempt,
            upstream: "up-1".to_owned(),
            shard: "s-1".to_owned(),
            kind: kind.into(),
        });
        let batch = message::Batch {
            request: "r".to_owned(),
            service: "desk".to_owned(),
            body: br#"{"query": "lime", "limit": 3}"#.as_slice().into(),
            time_left_us: 10_000_000,
            index_version: Some(2),
            layout: 1,
            calls: calls.collect(),
            ..message::Batch::default()
        };
        self.homes.batch(&self.vm, batch);
    }

    /// Waits until `count` replies have been received, at most one for each call.
    async fn receive(&mut self, count: usize) {
        while self.replies.len() < count {
            let frame = tokio::time::timeout(REPLY_TIMEOUT, self.frames.recv()).await;
            let Some(message::Body::Replies(frame)) = frame.expect("a reply is missing") else {
                continue;
            };
            for reply in frame.replies {
                let previous = self.replies.insert(reply.attempt, reply.outcome());
                assert_eq!(previous, None, "two replies to {}", reply.attempt);
            }
        }
    }

    fn count(&self, outcome: message::Outcome) -> usize {
        let outcomes = self.replies.values();
        outcomes.filter(|known| **known == outcome).count()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_fill_the_slots_and_exceed_neither_slots_nor_connections() {
    let mut world = start(2).await;
    world.call(0..200, message::Kind::First);
    world.receive(200).await;
    assert_eq!(world.count(message::Outcome::Hits), 200);
    let counts = world.server.state().counts();
    assert_eq!((counts.shed, counts.running_peak), (0, 2));
    assert!(counts.connections_peak <= 7, "{counts:?}");
}

/// All open connections go silent at the same time, while new ones work. Only the calls
/// in flight, at most one per slot, may be lost; later ones must be answered.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_answered_after_the_connections_went_silent() {
    let mut world = start(2).await;
    world.call(0..50, message::Kind::First);
    world.receive(50).await;
    let state = world.server.state();
    state.set_faults(|faults| faults.silence_open = true);
    world.call(50..60, message::Kind::First);
    world.receive(60).await;
    let hits = world.count(message::Outcome::Hits);
    assert!(hits >= 58, "{:?}", world.replies);
    assert_eq!(world.count(message::Outcome::Silent), 60 - hits);
}

/// A query is answered from elsewhere and its calls here are cancelled. They must not
/// continue to hold slots at the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_calls_are_stopped_at_the_upstream() {
    let mut world = start(2).await;
    let state = world.server.state();
    state.set_faults(|faults| faults.delay_ms = 60_000);
    world.call(0..4, message::Kind::First);
    while world.server.state().running() < 2 {
        tokio::task::yield_now().await;
    }
    let attempts = (0..4).collect();
    world.homes.cancel(&world.vm, message::Cancel { attempts });
    world.receive(4).await;
    assert_eq!(world.count(message::Outcome::Cancelled), 4);
    while world.server.state().running() > 0 {
        tokio::task::yield_now().await;
    }
    world.homes.leave();
    world.homes.drained().await;
}
