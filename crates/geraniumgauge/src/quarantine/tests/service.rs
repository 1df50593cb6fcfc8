//! The service over a store in memory.

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
struct Told(sync::Mutex<Vec<member::Update>>);

impl quarantine::Spread for Told {
    fn publish(&self, rumour: member::Update) {
        self.0.lock().unwrap().push(rumour);
    }
}

fn start(
    vm: &str,
    store: &sync::Arc<store::Fake>,
    told: &sync::Arc<Told>,
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
        told.clone(),
        clock,
        timer.clone(),
        &meter,
    )
}

fn service() -> ids::Service {
    "port".parse().unwrap()
}

async fn settle() {
    tokio::time::sleep(time::Duration::from_secs(2)).await;
}

/// A VM joins minutes after a query was quarantined. No rumour goes round any
/// more, and the caller's next try would crash a third upstream through it.
#[tokio::test(start_paused = true)]
async fn a_new_vm_learns_the_marks_from_the_store() {
    let store = sync::Arc::new(store::Fake::default());
    let told = sync::Arc::<Told>::default();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let first = start("vm-1", &store, &told, &timer);
    first.lost(&service(), QUERY, &"a".parse().unwrap());
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Suspect);
    settle().await;
    let trial = first.trial(&service(), QUERY, None).await.unwrap();
    trial.finish(trial::End::Lost, Some(&"b".parse().unwrap()));
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Quarantined);
    settle().await;
    let second = start("vm-2", &store, &told, &timer);
    settle().await;
    assert_eq!(second.verdict(&service(), QUERY), Verdict::Quarantined);
    assert_eq!(second.list().len(), 1);
}

/// Two VMs hold the same suspect query. Only one of them may try it.
#[tokio::test(start_paused = true)]
async fn the_store_lets_one_vm_try() {
    let store = sync::Arc::new(store::Fake::default());
    let told = sync::Arc::<Told>::default();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let first = start("vm-1", &store, &told, &timer);
    let second = start("vm-2", &store, &told, &timer);
    first.lost(&service(), QUERY, &"a".parse().unwrap());
    for rumour in told.0.lock().unwrap().iter() {
        second.heard(rumour);
    }
    assert_eq!(second.verdict(&service(), QUERY), Verdict::Suspect);
    settle().await;
    let trial = first.trial(&service(), QUERY, None).await.unwrap();
    assert!(second.trial(&service(), QUERY, None).await.is_err());
    trial.finish(trial::End::Completed, None);
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Clear);
    settle().await;
    assert!(second.trial(&service(), QUERY, None).await.is_ok());
}

/// The store is out. Searches go on without it, but no trial may start, since
/// nobody could tell how many run.
#[tokio::test(start_paused = true)]
async fn without_the_store_no_trial_starts() {
    let store = sync::Arc::new(store::Fake::default());
    let told = sync::Arc::<Told>::default();
    let timer = timer::Service::new(tokio_util::sync::CancellationToken::new());
    let first = start("vm-1", &store, &told, &timer);
    first.lost(&service(), QUERY, &"a".parse().unwrap());
    settle().await;
    store.fault(|faults| faults.down = true);
    assert!(first.trial(&service(), QUERY, None).await.is_err());
    assert_eq!(first.verdict(&service(), QUERY), Verdict::Suspect);
}
