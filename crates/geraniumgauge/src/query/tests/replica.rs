use std::time;

use crate::mesh::message::Outcome;
use crate::query::replica;
use crate::time as clock;

const TYPICAL: time::Duration = time::Duration::from_millis(5);

/// One replica of a shard sheds half of its calls, the other none. Chosen as
/// often as the other, it costs the retry budget and then coverage.
#[test]
fn a_replica_that_fails_often_is_left_for_its_sibling() {
    let (shedding, sound) = (replica::Stats::default(), replica::Stats::default());
    let now = clock::Moment::from_millis(10_000);
    for _ in 0..8 {
        shedding.bad(Outcome::Shed, time::Duration::ZERO, now);
        shedding.good(now);
        sound.good(now);
    }
    let later = now + time::Duration::from_millis(100);
    assert!(!shedding.avoided(later));
    assert!(shedding.load(TYPICAL, later) > 3 * sound.load(TYPICAL, later));
}

/// The same replica is well again. Were it never tried, its sibling would carry
/// everything for good.
#[test]
fn a_replica_that_failed_is_tried_again_after_seconds() {
    let failed = replica::Stats::default();
    let now = clock::Moment::from_millis(10_000);
    failed.bad(Outcome::Shed, time::Duration::ZERO, now);
    let later = now + time::Duration::from_secs(5);
    let fresh = replica::Stats::default();
    assert_eq!(failed.load(TYPICAL, later), fresh.load(TYPICAL, later));
}

/// A replica is gone. One call at a time may see whether it is back; a wide
/// search would send it all its calls otherwise.
#[test]
fn a_lost_replica_is_probed_by_one_call() {
    let lost = replica::Stats::default();
    let now = clock::Moment::from_millis(10_000);
    lost.bad(Outcome::Unreachable, time::Duration::ZERO, now);
    assert!(lost.down() && lost.avoided(now));
    let later = now + time::Duration::from_secs(1);
    assert!(!lost.avoided(later));
    lost.probe(later);
    assert!(lost.avoided(later));
    lost.good(later);
    assert!(!lost.down() && !lost.avoided(later));
}

/// A replica restarts within 300 ms while four calls run there. Each loss
/// doubled the time for which it was left alone, and it stayed unused for four
/// seconds; then trials found no shard with both replicas up.
#[test]
fn calls_lost_together_count_once() {
    let lost = replica::Stats::default();
    let now = clock::Moment::from_millis(1000);
    for _ in 0..4 {
        lost.bad(Outcome::Lost, time::Duration::ZERO, now);
    }
    assert!(lost.avoided(now + time::Duration::from_millis(200)));
    let later = now + time::Duration::from_millis(251);
    assert!(!lost.avoided(later));
    let mut at = later;
    for (loss, span) in [(2, 250), (3, 500), (4, 1000)] {
        lost.probe(at);
        lost.bad(Outcome::Unreachable, time::Duration::ZERO, at);
        at = at + time::Duration::from_millis(span - 1);
        assert!(lost.avoided(at), "a probe that fails is loss {loss}");
        at = at + time::Duration::from_millis(2);
        assert!(!lost.avoided(at), "after loss {loss}");
    }
}
