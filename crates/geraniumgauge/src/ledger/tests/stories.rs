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

/// A calm world with the given window.
fn calm(window: time::Duration) -> world::Shared {
    let world = world::World::new(7);
    world.calm.store(true, atomic::Ordering::Relaxed);
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

/// Story: a busy day. Thousands of labels are registered; each update of the
/// bucket must stay small, and a processor who sends an early key again must
/// get the first result.
#[tokio::test(start_paused = true)]
async fn early_keys_are_answered_from_pages() {
    let world = calm(24 * HOUR);
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
    for slot in 0..ledger::key::SLOTS {
        let head = store.get(&ledger::key::head(&world::service(), slot)).await;
        assert!(head.unwrap().body.len() < 200 * 1024);
    }
    let pages = store.list("ledger/labels/pages-").await.unwrap().changes;
    assert!(pages.len() > 2, "{pages:?}");
    let fresh = world.start(&"vm-1".parse().unwrap());
    for (key, result) in keys.iter().zip(&first).step_by(97) {
        assert_eq!(
            register(&world, 1, key, small()).await,
            result.clone(),
            "{key}"
        );
        let (service, key) = (world::service(), key.parse().unwrap());
        let standing = fresh.service().state(&service, &key).await.unwrap();
        assert_eq!(standing.state, ledger::State::Done);
    }
    assert_eq!(world.runs().len(), keys.len());
}

/// Story: a label's key is sent again days later, after its record has expired.
/// It must not be issued a second time, whether its key tells its age or not.
#[tokio::test(start_paused = true)]
async fn a_key_older_than_the_window_never_runs_again() {
    let world = calm(HOUR);
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
    // New claims make the bucket's task forget the old ones.
    for number in 0..40 {
        register(&world, 0, &format!("new-{number}"), small())
            .await
            .unwrap();
        tokio::time::sleep(time::Duration::from_secs(31)).await;
    }
    for key in &old {
        let again = register(&world, 2, key, small()).await;
        if let Err(refusal) = &again {
            assert_eq!(refusal.ran, query::Ran::Unknown, "{refusal}");
        }
    }
    assert!(register(&world, 2, &old[0], small()).await.is_err());
    assert_eq!(world.runs().len(), before + 40);
    // Both were forgotten, not just refused by a clock: one by its age, the
    // other down to its hash.
    let fresh = world.start(&"vm-1".parse().unwrap());
    let service = world::service();
    let states = [ledger::State::Unknown, ledger::State::Done];
    for (key, state) in old.iter().zip(states) {
        let key = key.parse().unwrap();
        let standing = fresh.service().state(&service, &key).await.unwrap();
        assert_eq!((standing.state, standing.result.is_some()), (state, false));
    }
}

/// Story: a VM whose clock is two days slow claims with a key that the others
/// have forgotten. Its own age check passes; the bucket's floor must not.
#[tokio::test(start_paused = true)]
async fn a_slow_clock_does_not_bring_a_forgotten_key_back() {
    let world = calm(HOUR);
    let key = format!("t{}-lot", world.clock.wall().0);
    register(&world, 0, &key, small()).await.unwrap();
    tokio::time::advance(2 * HOUR).await;
    // Both buckets get a claim, and so forget.
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
    let told = slow.service().register(registration).await.unwrap_err();
    assert_eq!(told.code, query::Code::Conflict, "{told}");
    assert_eq!(world.runs().iter().filter(|run| run.key == key).count(), 1);
}

/// Story: two lots get the same key by mistake. The second must not be told
/// that it is done with the first one's label.
#[tokio::test(start_paused = true)]
async fn a_key_with_another_body_is_a_conflict() {
    let world = calm(HOUR);
    register(&world, 0, "lot", small()).await.unwrap();
    let other = register(&world, 1, "lot", r#"{"lot":2}"#.to_owned()).await;
    let refusal = other.unwrap_err();
    assert_eq!(
        (refusal.code, refusal.ran),
        (query::Code::Conflict, query::Ran::No)
    );
    // The order of fields makes no other record.
    let body = r#"{"a":1,"b":2}"#.to_owned();
    let first = register(&world, 0, "lot-2", body).await.unwrap();
    let again = register(&world, 0, "lot-2", r#"{ "b":2, "a":1 }"#.to_owned()).await;
    assert_eq!(again, Ok(first));
}

/// Story: an upstream loses its connection while it runs a label, and the
/// claim stays without an outcome. The operators must see which one, and where.
#[tokio::test(start_paused = true)]
async fn a_claim_without_an_outcome_is_listed() {
    let world = calm(HOUR);
    world.silent.store(true, atomic::Ordering::Relaxed);
    let told = register(&world, 0, "lot", small()).await.unwrap_err();
    assert_eq!(told.ran, query::Ran::Unknown);
    let store = world.objects();
    let listed = ledger::unsettled(&store, &world::service()).await.unwrap();
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].key.as_str(), "lot");
    assert!(listed[0].upstream.as_str().starts_with("up-"));
    world.silent.store(false, atomic::Ordering::Relaxed);
    let again = register(&world, 1, "lot", small()).await.unwrap_err();
    assert_eq!(again.ran, query::Ran::Unknown);
    assert_eq!(world.runs().len(), 1);
}

/// Story: the store is down for minutes. Callers must hear "not run" at once,
/// and the calls of the whole outage must stay few, or the store is met by a
/// storm when it comes back.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_is_refused_at_once_with_few_calls() {
    let fake = store::Fake::new();
    let world = calm(HOUR);
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
        let told = node.service().register(registration).await.unwrap_err();
        assert_eq!(
            (told.code, told.ran),
            (query::Code::Unavailable, query::Ran::No)
        );
        assert!(told.retry_after.is_some());
        assert!(world.clock.now().since(before) < time::Duration::from_millis(600));
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let calls = fake.count();
    let seconds = world.clock.now().since(Default::default()).as_secs();
    let most = (seconds + 1) * 8 * ledger::key::SLOTS;
    assert!(
        calls.reads + calls.writes < most,
        "{calls:?} in {seconds} s"
    );
    fake.fault(|faults| faults.down = false);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert!(register(&world, 0, "lot", small()).await.is_ok());
}

/// Story: a label crashes its upstream after it was stored, and the processor
/// sends it again; meanwhile it is quarantined. Told "not run", the processor
/// would register the lot under a new key, a second time.
#[tokio::test(start_paused = true)]
async fn a_quarantined_repeat_is_answered_from_the_record() {
    let world = calm(HOUR);
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

/// Story: the store takes seconds for each call. Callers must not be held until
/// near their deadlines for a claim that won't come.
#[tokio::test(start_paused = true)]
async fn a_store_that_does_not_answer_is_refused_early() {
    let fake = store::Fake::new();
    let world = calm(HOUR);
    world.start_with_store(&"vm-0".parse().unwrap(), sync::Arc::new(fake.clone()));
    fake.fault(|faults| faults.slow = time::Duration::from_secs(30));
    for (number, most) in [(0, 600), (1, 10), (2, 10)] {
        let before = world.clock.now();
        let told = register(&world, 0, &format!("lot-{number}"), small()).await;
        let refusal = told.unwrap_err();
        assert_eq!(
            (refusal.code, refusal.ran),
            (query::Code::Unavailable, query::Ran::No)
        );
        let took = world.clock.now().since(before);
        assert!(
            took <= time::Duration::from_millis(most),
            "{number} took {took:?}"
        );
    }
    fake.fault(|faults| faults.slow = time::Duration::ZERO);
    tokio::time::sleep(time::Duration::from_secs(31)).await;
    assert!(register(&world, 0, "lot-3", small()).await.is_ok());
}
