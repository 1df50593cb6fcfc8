use std::time;

use crate::mesh::message::Outcome;
use crate::query::replica;
use crate::time as clock;

const TYPICAL: time::Duration = time::Duration::from_millis(5);

/// One replica of a shard sheds half of its calls, the other none. Choosing both
/// equally often would use up the retry budget and then lose coverage.
#[test]
fn a_replica_that_fails_often_is_loaded_less_than_its_sibling() {
    let (shedding, healthy) = (replica::Stats::default(), replica::Stats::default());
    let now = clock::Moment::from_millis(10_000);
    for _ in 0..8 {
        shedding.record_failure(Outcome::Shed, time::Duration::ZERO, now);
        shedding.record_success(now);
        healthy.record_success(now);
    }
    let later = now + time::Duration::from_millis(100);
    assert!(!shedding.avoided(later));
    assert!(shedding.load(TYPICAL, later) > 3 * healthy.load(TYPICAL, later));
}

/// A replica that has recovered must be called again, otherwise its sibling would
/// keep all the load.
#[test]
fn a_replica_that_failed_is_tried_again_after_seconds() {
    let failed = replica::Stats::default();
    let now = clock::Moment::from_millis(10_000);
    failed.record_failure(Outcome::Shed, time::Duration::ZERO, now);
    let later = now + time::Duration::from_secs(5);
    let fresh = replica::Stats::default();
    assert_eq!(failed.load(TYPICAL, later), fresh.load(TYPICAL, later));
}

/// Only one call at a time may probe whether a lost replica is back. Otherwise
/// wide searches would send it all their calls.
#[test]
fn a_lost_replica_is_probed_by_one_call() {
    let lost = replica::Stats::default();
    let now = clock::Moment::from_millis(10_000);
    lost.record_failure(Outcome::Unreachable, time::Duration::ZERO, now);
    assert!(lost.down() && lost.avoided(now));
    let later = now + time::Duration::from_secs(1);
    assert!(!lost.avoided(later));
    lost.record_probe(later);
    assert!(lost.avoided(later));
    lost.record_success(later);
    assert!(!lost.down() && !lost.avoided(later));
}

/// A replica restarts within 300 ms while four calls run on it. If each loss doubled
/// the time for which it is avoided, it would stay unused for four seconds and trials
/// would find no shard with both replicas up.
#[test]
fn calls_lost_together_count_once() {
    let lost = replica::Stats::default();
    let now = clock::Moment::from_millis(1000);
    for _ in 0..4 {
        lost.record_failure(Outcome::Lost, time::Duration::ZERO, now);
    }
    assert!(lost.avoided(now + time::Duration::from_millis(200)));
    let later = now + time::Duration::from_millis(251);
    assert!(!lost.avoided(later));
    let mut at = later;
    for (loss, span) in [(2, 250), (3, 500), (4, 1000)] {
        lost.record_probe(at);
        lost.record_failure(Outcome::Unreachable, time::Duration::ZERO, at);
        at = at + time::Duration::from_millis(span - 1);
        assert!(lost.avoided(at), "a probe that fails is loss {loss}");
        at = at + time::Duration::from_millis(2);
        assert!(!lost.avoided(at), "after loss {loss}");
    }
}
