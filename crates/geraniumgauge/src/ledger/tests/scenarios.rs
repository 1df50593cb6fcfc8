use std::sync;
use std::sync::atomic;
use std::time;

use super::world;
use crate::document;
use crate::ids;
use crate::ledger;
use crate::query;
use crate::store;
use crate::store::Api as _;

/// Creates a world without faults and with the given window.
fn world_without_faults(window: time::Duration) -> world::Shared {
    let world = world::World::new(7);
    world.faults_disabled.store(true, atomic::Ordering::Relaxed);
    let document = document::Document {
        ledger_window: window,
        limits: document::Limits {
            registrations: 5000,
            ..document::Limits::default()
        },
        ..document::Document::default()
    };
    let generation = ids::Generation(2);
    world
        .catalog
        .put_document(&world::service(), generation, document);
    world
}

async fn register(
    world: &world::World,
    vm: usize,
    key: &str,
    body: String,
) -> Result<String, query::Refusal> {
    let registration = ledger::Registration {
        request: format!("r-{key}").parse().unwrap(),
        service: world::service(),
        key: key.parse().unwrap(),
        body: body.into(),
        time_left: Some(time::Duration::from_secs(5)),
    };
    let done = world.node(vm).service().register(registration).await?;
    Ok(done.result.get().to_owned())
}

fn small() -> String {
    r#"{"lot":1}"#.to_owned()
}

const HOUR: time::Duration = time::Duration::from_secs(3600);

/// After thousands of registrations the bucket's head must still be small, and a
/// repeat of an early key must return its first result.
#[tokio::test(start_paused = true)]
async fn early_keys_are_answered_from_pages() {
    let world = world_without_faults(24 * HOUR);
    let keys: Vec<_> = (0..3000u64)
        .map(|number| match number % 2 {
            0 => format!("lot-{number}"),
            _ => format!("t{}-lot-{number}", world.clock.wall().0),
        })
        .collect();
    let mut first = Vec::new();
    for group in keys.chunks(100) {
        let calls = group.iter().map(|key| register(&world, 0, key, small()));
        first.extend(futures_util::future::join_all(calls).await);
    }
    let store = world.objects();
    for bucket in 0..ledger::key::BUCKETS_PER_SERVICE {
        let head = store
            .get(&ledger::key::head_key(&world::service(), bucket))
            .await;
        assert!(head.unwrap().body.len() < 200 * 1024);
    }
    let pages = store.list("ledger/labels/pages-").await.unwrap().changes;
    assert!(pages.len() > 2, "{pages:?}");
    let restarted = world.start(&"vm-1".parse().unwrap());
    for (key, result) in keys.iter().zip(&first).step_by(97) {
        assert_eq!(
            register(&world, 1, key, small()).await,
            result.clone(),
            "{key}"
        );
        let (service, key) = (world::service(), key.parse().unwrap());
        let status = restarted.service().status(&service, &key).await.unwrap();
        assert_eq!(status.state, ledger::State::Done);
    }
    assert_eq!(world.runs().len(), keys.len());
}

/// A key that is sent again after its entry has expired must not run a second
/// time, whether or not the key contains its time.
#[tokio::test(start_paused = true)]
async fn a_key_older_than_the_window_never_runs_again() {
    let world = world_without_faults(HOUR);
    let wall = world.clock.wall().0;
    let old = [format!("t{wall}-lot"), "lot".to_owned()];
    let many = (0..9000).map(|number| format!("lot-{number}"));
    let many: Vec<_> = old.iter().cloned().chain(many).collect();
    for group in many.chunks(200) {
        let calls = group.iter().map(|key| register(&world, 0, key, small()));
        futures_util::future::join_all(calls).await;
    }
    let before = world.runs().len();
    tokio::time::advance(2 * HOUR).await;
    // New claims make the bucket's task delete the old ones.
    for number in 0..40 {
        register(&world, 0, &format!("new-{number}"), small())
            .await
            .unwrap();
        tokio::time::sleep(time::Duration::from_secs(31)).await;
    }
    for key in &old {
        let repeat = register(&world, 2, key, small()).await;
        if let Err(refusal) = &repeat {
            assert_eq!(refusal.ran, query::Ran::Unknown, "{refusal}");
        }
    }
    assert!(register(&world, 2, &old[0], small()).await.is_err());
    assert_eq!(world.runs().len(), before + 40);
    // Both entries were deleted, not just refused by the age check: the timed one
    // completely, the other one down to its hash.
    let restarted = world.start(&"vm-1".parse().unwrap());
    let service = world::service();
    let states = [ledger::State::Unknown, ledger::State::Done];
    for (key, state) in old.iter().zip(states) {
        let key = key.parse().unwrap();
        let status = restarted.service().status(&service, &key).await.unwrap();
        assert_eq!((status.state, status.result.is_some()), (state, false));
    }
}

/// On a VM whose clock is slow, the age check accepts a key whose claim the other
/// VMs have deleted. The floor of the bucket's head must refuse it.
#[tokio::test(start_paused = true)]
async fn a_slow_clock_does_not_readmit_an_expired_key() {
    let world = world_without_faults(HOUR);
    let key = format!("t{}-lot", world.clock.wall().0);
    register(&world, 0, &key, small()).await.unwrap();
    tokio::time::advance(2 * HOUR).await;
    // New claims make the bucket's task delete the old one.
    for number in 0..8 {
        register(&world, 0, &format!("new-{number}"), small())
            .await
            .unwrap();
    }
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let slow = world.start_with_clock(&"vm-2".parse().unwrap(), world::WALL);
    let registration = ledger::Registration {
        request: "r-again".parse().unwrap(),
        service: world::service(),
        key: key.parse().unwrap(),
        body: small().into(),
        time_left: None,
    };
    let refusal = slow.service().register(registration).await.unwrap_err();
    assert_eq!(refusal.code, query::Code::Conflict, "{refusal}");
    assert_eq!(world.runs().iter().filter(|run| run.key == key).count(), 1);
}

/// Two records get the same key by mistake. The second must not be answered with
/// the result of the first.
#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_a_conflict() {
    let world = world_without_faults(HOUR);
    register(&world, 0, "lot", small()).await.unwrap();
    let other = register(&world, 1, "lot", r#"{"lot":2}"#.to_owned()).await;
    let refusal = other.unwrap_err();
    assert_eq!(
        (refusal.code, refusal.ran),
        (query::Code::Conflict, query::Ran::No)
    );
    // A different order of the fields is the same record.
    let body = r#"{"a":1,"b":2}"#.to_owned();
    let first = register(&world, 0, "lot-2", body).await.unwrap();
    let repeat = register(&world, 0, "lot-2", r#"{ "b":2, "a":1 }"#.to_owned()).await;
    assert_eq!(repeat, Ok(first));
}

/// If an upstream stops responding while it runs a record, the claim remains without
/// an outcome. Operators must be able to list it with its upstream.
#[tokio::test(start_paused = true)]
async fn a_claim_without_an_outcome_is_listed() {
    let world = world_without_faults(HOUR);
    world.silent.store(true, atomic::Ordering::Relaxed);
    let refusal = register(&world, 0, "lot", small()).await.unwrap_err();
    assert_eq!(refusal.ran, query::Ran::Unknown);
    let store = world.objects();
    let listed = ledger::unsettled(&store, &world::service()).await.unwrap();
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].key.as_str(), "lot");
    assert!(listed[0].upstream.as_str().starts_with("up-"));
    world.silent.store(false, atomic::Ordering::Relaxed);
    let repeat = register(&world, 1, "lot", small()).await.unwrap_err();
    assert_eq!(repeat.ran, query::Ran::Unknown);
    assert_eq!(world.runs().len(), 1);
}

/// While the store is down, callers must be answered "not run" at once, and calls
/// to the store must remain few, or they would overload it when it recovers.
#[tokio::test(start_paused = true)]
async fn claims_are_refused_at_once_with_few_calls_during_a_store_outage() {
    let fake = store::Fake::new();
    let world = world_without_faults(HOUR);
    let node = world.start_with_store(&"vm-0".parse().unwrap(), sync::Arc::new(fake.clone()));
    fake.fault(|faults| faults.down = true);
    for number in 0..1000 {
        let registration = ledger::Registration {
            request: "r".parse().unwrap(),
            service: world::service(),
            key: format!("lot-{number}").parse().unwrap(),
            body: small().into(),
            time_left: None,
        };
        let before = world.clock.now();
        let refusal = node.service().register(registration).await.unwrap_err();
        assert_eq!(
            (refusal.code, refusal.ran),
            (query::Code::Unavailable, query::Ran::No)
        );
        assert!(refusal.retry_after.is_some());
        assert!(world.clock.now().since(before) < time::Duration::from_millis(600));
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let calls = fake.count();
    let seconds = world.clock.now().since(Default::default()).as_secs();
    let max_calls = (seconds + 1) * 8 * ledger::key::BUCKETS_PER_SERVICE;
    assert!(
        calls.reads + calls.writes < max_calls,
        "{calls:?} in {seconds} s"
    );
    fake.fault(|faults| faults.down = false);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert!(register(&world, 0, "lot", small()).await.is_ok());
}

/// A record may have run before it crashed its upstream, and is quarantined. If a
/// repeat were answered "not run", the caller would register the record under a
/// new key, a second time.
#[tokio::test(start_paused = true)]
async fn a_quarantined_repeat_is_answered_from_the_record() {
    let world = world_without_faults(HOUR);
    world.silent.store(true, atomic::Ordering::Relaxed);
    register(&world, 0, "lot", small()).await.unwrap_err();
    world.quarantined.store(true, atomic::Ordering::Relaxed);
    let repeat = register(&world, 1, "lot", small()).await.unwrap_err();
    assert_eq!(
        (repeat.code, repeat.ran),
        (query::Code::Conflict, query::Ran::Unknown)
    );
    let other = register(&world, 1, "lot-2", small()).await.unwrap_err();
    assert_eq!(
        (other.code, other.ran),
        (query::Code::Quarantined, query::Ran::No)
    );
    assert_eq!(world.runs().len(), 1);
}

/// The store takes 30 s for each call. Callers must be refused early, not shortly
/// before their deadlines.
#[tokio::test(start_paused = true)]
async fn claims_are_refused_early_if_the_store_does_not_reply() {
    let fake = store::Fake::new();
    let world = world_without_faults(HOUR);
    world.start_with_store(&"vm-0".parse().unwrap(), sync::Arc::new(fake.clone()));
    fake.fault(|faults| faults.slow = time::Duration::from_secs(30));
    for (number, max_millis) in [(0, 600), (1, 10), (2, 10)] {
        let before = world.clock.now();
        let result = register(&world, 0, &format!("lot-{number}"), small()).await;
        let refusal = result.unwrap_err();
        assert_eq!(
            (refusal.code, refusal.ran),
            (query::Code::Unavailable, query::Ran::No)
        );
        let took = world.clock.now().since(before);
        assert!(
            took <= time::Duration::from_millis(max_millis),
            "{number} took {took:?}"
        );
    }
    fake.fault(|faults| faults.slow = time::Duration::ZERO);
    tokio::time::sleep(time::Duration::from_secs(31)).await;
    assert!(register(&world, 0, "lot-3", small()).await.is_ok());
}
