//! Tests of the service with fake homes, on paused time.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::watch;

use crate::document;
use crate::ids;
use crate::layout;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::metrics;
use crate::quarantine;
use crate::query;
use crate::slo;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Fake homes that answer every call with `outcome` after 5 ms, or never if it is
/// `None`.
#[derive(Default)]
struct Homes {
    service: sync::OnceLock<query::Service>,
    outcome: sync::Mutex<Option<Outcome>>,
    calls: sync::Mutex<Vec<message::Call>>,
    cancelled: sync::Mutex<collections::BTreeSet<u64>>,
}

impl mesh::Sender for Homes {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        match body {
            message::Body::Batch(batch) => self.batch(to, batch),
            message::Body::Cancel(cancel) => {
                self.cancelled.lock().unwrap().extend(cancel.attempts);
            }
            _ => {}
        }
        Ok(())
    }
}

impl Homes {
    fn batch(&self, from: &ids::Vm, batch: message::Batch) {
        self.calls.lock().unwrap().extend(batch.calls.clone());
        let Some(outcome) = *self.outcome.lock().unwrap() else {
            return;
        };
        let (from, service) = (from.clone(), self.service.get().unwrap().clone());
        let replies = batch.calls.iter().map(|call| message::Reply {
            attempt: call.attempt,
            upstream: call.upstream.clone(),
            shard: call.shard.clone(),
            outcome: outcome.into(),
            index_version: batch.index_version.unwrap_or(3),
            layout: batch.layout,
            oldest: 1,
            newest: 3,
            body: bytes::Bytes::from_static(b"{\"hits\":[]}"),
            ..message::Reply::default()
        });
        let replies = replies.collect();
        tokio::spawn(async move {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            service.replies(&from, message::Replies { replies });
        });
    }
}

#[derive(Default)]
struct Events(sync::Mutex<Vec<slo::Event>>);

impl slo::Record for Events {
    fn record(&self, event: &slo::Event) {
        self.0.lock().unwrap().push(event.clone());
    }
}

struct NoPublisher;

impl quarantine::Publisher for NoPublisher {
    fn publish(&self, _: member::Update) {}
}

struct Fixture {
    homes: sync::Arc<Homes>,
    service: query::Service,
    quarantine: quarantine::Service,
    events: sync::Arc<Events>,
    _view: watch::Sender<member::SharedView>,
}

fn layout() -> layout::Layout {
    let upstream = |at: usize| layout::Upstream {
        id: format!("u-{at}").parse().unwrap(),
        address: ([127, 0, 0, 1], at as u16).into(),
        data_centre: "dc".parse().unwrap(),
        slots: 2,
        connections: 25,
        connect_ms: 6,
    };
    let shard = |at: usize| layout::Shard {
        id: format!("s{at}").parse().unwrap(),
        replicas: vec![
            format!("u-{}", 2 * at).parse().unwrap(),
            format!("u-{}", 2 * at + 1).parse().unwrap(),
        ],
    };
    layout::Layout {
        version: ids::LayoutVersion(1),
        upstreams: (0..8).map(upstream).collect(),
        shards: (0..4).map(shard).collect(),
    }
}

fn fixture(outcome: Option<Outcome>, searches: u32) -> Fixture {
    let catalog = document::Catalog::default();
    for name in ["port", "desk"] {
        let mut document = document::Document::default();
        document.limits.searches = searches;
        let id = name.parse().unwrap();
        catalog.put_document(&id, ids::Generation(1), document);
        catalog.put_layout(&id, layout());
    }
    let local: ids::Vm = "vm-0".parse().unwrap();
    let me = member::Member {
        vm: local.clone(),
        incarnation: ids::Incarnation(1),
        data_centre: "dc".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        state: member::State::Alive,
    };
    let view = member::View::new(local.clone(), vec![me]);
    let (sender, view) = watch::channel(sync::Arc::new(view));
    let clock = clock::Clock::start();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let meter = metrics::Metrics::new().unwrap().meter();
    let store = sync::Arc::new(store::Fake::default());
    let quarantine = quarantine::Service::start(
        quarantine::Config { vm: local.clone() },
        store,
        sync::Arc::new(NoPublisher),
        clock,
        timer.clone(),
        &meter,
    );
    let homes = sync::Arc::new(Homes::default());
    *homes.outcome.lock().unwrap() = outcome;
    let events = sync::Arc::new(Events::default());
    let service = query::Service::start(
        query::Config {
            vm: local,
            data_centre: "dc".parse().unwrap(),
            policy: query::Policy::Full,
        },
        catalog,
        view,
        homes.clone(),
        quarantine.clone(),
        events.clone(),
        clock,
        timer,
        &meter,
    );
    let _ = homes.service.set(service.clone());
    Fixture {
        homes,
        service,
        quarantine,
        events,
        _view: sender,
    }
}

fn search(service: &str) -> query::Search {
    query::Search {
        request: "r".parse().unwrap(),
        service: service.parse().unwrap(),
        query: serde_json::value::to_raw_value("sheets").unwrap(),
        limit: 10,
        shards: None,
        time_left: Some(time::Duration::from_millis(400)),
    }
}

#[tokio::test(start_paused = true)]
async fn a_search_covers_every_shard() {
    let fixture = fixture(Some(Outcome::Hits), 8);
    let answer = fixture.service.search(search("port")).await.unwrap();
    assert!(answer.coverage.complete);
    assert_eq!(answer.snapshot.version, ids::IndexVersion(3));
    let events = fixture.events.0.lock().unwrap();
    assert!(events[0].in_time && events[0].complete);
    assert_eq!((events[0].first_attempts, events[0].extra_attempts), (4, 0));
    assert_eq!(fixture.service.running(), 0);
}

/// One service receives more searches than its upstreams can answer. Searches of
/// another service must not be refused for that.
#[tokio::test(start_paused = true)]
async fn overload_of_one_service_refuses_no_other() {
    let fixture = fixture(None, 2);
    let overload: Vec<_> = (0..6)
        .map(|_| {
            let service = fixture.service.clone();
            tokio::spawn(async move { service.search(search("port")).await })
        })
        .collect();
    tokio::time::sleep(time::Duration::from_millis(1)).await;
    *fixture.homes.outcome.lock().unwrap() = Some(Outcome::Hits);
    let other = fixture.service.search(search("desk")).await.unwrap();
    assert!(other.coverage.complete);
    let mut refused = 0;
    for task in overload {
        if let Err(refusal) = task.await.unwrap() {
            assert_eq!(refusal.code, query::Code::Overloaded);
            assert_eq!(refusal.ran, query::Ran::No);
            assert!(refusal.retry_after.is_some());
            refused += 1;
        }
    }
    assert_eq!(refused, 4);
}

/// When the caller disconnects, its calls must not keep using the upstreams'
/// slots, and its capacity must be released.
#[tokio::test(start_paused = true)]
async fn disconnecting_cancels_the_running_calls() {
    let fixture = fixture(None, 8);
    let service = fixture.service.clone();
    let caller = tokio::spawn(async move { service.search(search("port")).await });
    tokio::time::sleep(time::Duration::from_millis(1)).await;
    assert_eq!(fixture.service.running(), 1);
    caller.abort();
    tokio::time::sleep(time::Duration::from_millis(1)).await;
    assert_eq!(fixture.service.running(), 0);
    let calls = fixture.homes.calls.lock().unwrap();
    let cancelled = fixture.homes.cancelled.lock().unwrap();
    assert!(!calls.is_empty());
    assert!(calls.iter().all(|call| cancelled.contains(&call.attempt)));
}

/// A query takes longer than its deadline to crash the upstream. It must become
/// suspect although its answer was already given.
#[tokio::test(start_paused = true)]
async fn a_loss_after_the_answer_makes_the_query_suspect() {
    let fixture = fixture(None, 8);
    let answer = fixture.service.search(search("port")).await.unwrap();
    assert_eq!(answer.coverage.covered, 0);
    let call = fixture.homes.calls.lock().unwrap()[0].clone();
    let lost = message::Reply {
        attempt: call.attempt,
        upstream: call.upstream,
        shard: call.shard,
        outcome: Outcome::Lost.into(),
        ..message::Reply::default()
    };
    let replies = message::Replies {
        replies: vec![lost],
    };
    fixture.service.replies(&"vm-0".parse().unwrap(), replies);
    assert_eq!(fixture.quarantine.list().len(), 1);
}

/// A search of a shard that doesn't exist must be refused: leaving the shard out
/// would return an incomplete answer that looks complete.
#[tokio::test(start_paused = true)]
async fn an_unknown_shard_is_refused_not_run() {
    let fixture = fixture(Some(Outcome::Hits), 8);
    let mut wrong = search("port");
    wrong.shards = Some(vec!["s1".parse().unwrap(), "s9".parse().unwrap()]);
    let refusal = fixture.service.search(wrong).await.unwrap_err();
    assert_eq!(refusal.code, query::Code::NotFound);
    assert_eq!(refusal.ran, query::Ran::No);
    assert!(fixture.homes.calls.lock().unwrap().is_empty());
}
