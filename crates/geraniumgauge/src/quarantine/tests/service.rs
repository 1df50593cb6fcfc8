//! Tests of the service with an in-memory store.

use std::sync;
use std::time;

use crate::ids;
use crate::member;
use crate::metrics;
use crate::quarantine;
use crate::quarantine::Verdict;
use crate::quarantine::trial;
use crate::store;
use crate::time as clock;
use crate::timer;

const QUERY: ids::Fingerprint = ids::Fingerprint(7);

#[derive(Default)]
struct Published(sync::Mutex<Vec<member::Update>>);

impl quarantine::Publisher for Published {
    fn publish(&self, update: member::Update) {
        self.0.lock().unwrap().push(update);
    }
}

fn start(
    vm: &str,
    store: &sync::Arc<store::Fake>,
    published: &sync::Arc<Published>,
    timer: &timer::Service,
) -> quarantine::Service {
    let config = quarantine::Config {
        vm: vm.parse().unwrap(),
    };
    let meter = metrics::Metrics::new().unwrap().meter();
    let clock = clock::Clock::start();
    quarantine::Service::start(
        config,
        store.clone(),
        published.clone(),
        clock,
        timer.clone(),
        &meter,
    )
}

fn service() -> ids::Service {
    "port".parse().unwrap()
}

async fn wait_for_writes() {
    tokio::time::sleep(time::Duration::from_secs(2)).await;
}

/// A VM joins minutes after a query was quarantined, when gossip no longer carries
/// the mark. Without the store the caller's next attempt there could crash a third
/// upstream.
#[tokio::test(start_paused = true)]
async fn a_new_vm_learns_the_marks_from_the_store() {
    let store = sync::Arc::new(store::Fake::default());
    let published = sync::Arc::<Published>::default();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let first = start("vm-1", &store, &published, &timer);
    first.concurrent_run_lost(&service(), QUERY, &"a".parse().unwrap());
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Suspect);
    wait_for_writes().await;
    let trial = first.trial(&service(), QUERY, None).await.unwrap();
    trial.finish(trial::End::Lost, Some(&"b".parse().unwrap()));
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Quarantined);
    wait_for_writes().await;
    let second = start("vm-2", &store, &published, &timer);
    wait_for_writes().await;
    assert_eq!(second.verdict(&service(), QUERY), Verdict::Quarantined);
    assert_eq!(second.list().len(), 1);
}

/// Only one of two VMs with the same suspect query may run a trial of it.
#[tokio::test(start_paused = true)]
async fn the_store_grants_a_trial_to_one_vm() {
    let store = sync::Arc::new(store::Fake::default());
    let published = sync::Arc::<Published>::default();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let first = start("vm-1", &store, &published, &timer);
    let second = start("vm-2", &store, &published, &timer);
    first.concurrent_run_lost(&service(), QUERY, &"a".parse().unwrap());
    for update in published.0.lock().unwrap().iter() {
        second.receive_update(update);
    }
    assert_eq!(second.verdict(&service(), QUERY), Verdict::Suspect);
    wait_for_writes().await;
    let trial = first.trial(&service(), QUERY, None).await.unwrap();
    assert!(second.trial(&service(), QUERY, None).await.is_err());
    trial.finish(trial::End::Completed, None);
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Clear);
    wait_for_writes().await;
    assert!(second.trial(&service(), QUERY, None).await.is_ok());
}

/// While the store is unavailable no trial may start, since the VMs can't tell
/// whether another one is running. The query stays suspect.
#[tokio::test(start_paused = true)]
async fn without_the_store_no_trial_starts() {
    let store = sync::Arc::new(store::Fake::default());
    let published = sync::Arc::<Published>::default();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let first = start("vm-1", &store, &published, &timer);
    first.concurrent_run_lost(&service(), QUERY, &"a".parse().unwrap());
    wait_for_writes().await;
    store.fault(|faults| faults.down = true);
    assert!(first.trial(&service(), QUERY, None).await.is_err());
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Suspect);
}
