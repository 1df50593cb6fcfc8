//! Tests with unhealthy upstreams, as observed by relays.

use std::time;

use super::world;
use crate::forward;
use crate::rate;
use crate::registry;
use crate::time as clock;

const SLOW: forward::Advice = forward::Advice {
    slowness: 8.0,
    declined: 0.0,
};

/// Creates a world in which no extra call is allowed.
fn without_extras(services: usize, replicas: usize) -> world::World {
    let mut world = world::World::new(services, replicas);
    world.fleet.policy.extra_calls = 0.0;
    world.fleet.policy.extra_share = rate::Share::percent(0);
    world
}

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// An upstream is slow for some seconds. Each of sixty VMs calls it too rarely
/// to notice, but the relay knows. It returns the call before sending it, and
/// the part goes to another upstream in time and without an extra call.
#[test]
fn a_first_call_is_moved_from_a_slow_upstream_without_an_extra_call() {
    let mut world = without_extras(2, 2);
    let mut job = world.start(world::shards(2, 50));
    world.end(&mut job, 0, forward::Verdict::Advised(SLOW));
    let (first, moved) = (world.sends[0].upstream, &world.sends[2]);
    assert_eq!((moved.part, moved.reason), (0, forward::CallReason::First));
    assert_ne!(moved.upstream, first);
    assert!(moved.mandatory, "a part is moved only once");
    world.end(&mut job, 1, world::good(b'a'));
    world.end(&mut job, 2, world::good(b'b'));
    assert!(matches!(
        world.outcome,
        Some(forward::Outcome::Merged(forward::Merged { missing: 0, .. }))
    ));
    // The next search avoids the slow upstream right away.
    world.outcome = None;
    let before = world.sends.len();
    world.start(world::shards(2, 50));
    assert_ne!(world.sends[before].upstream, first);
}

/// A part is hedged, and the relay knows that the second upstream is slow as
/// well. The third one is called instead, and only one extra call is charged.
#[test]
fn a_hedge_is_moved_from_a_slow_upstream_for_one_extra_call() {
    let mut world = without_extras(1, 3);
    // Enough for one extra call but not for two.
    world.fleet.policy.extra_calls = 2.0;
    let mut job = world.start(world::shards(1, 50));
    world.advance_to(&mut job, 40);
    assert_eq!(world.sends[1].reason, forward::CallReason::Hedge);
    world.end(&mut job, 1, forward::Verdict::Advised(SLOW));
    let moved = &world.sends[2];
    assert_eq!(moved.reason, forward::CallReason::Hedge);
    assert!(moved.mandatory);
    assert_ne!(moved.upstream, world.sends[0].upstream);
    assert_ne!(moved.upstream, world.sends[1].upstream);
}

/// A shard has a single upstream left, which is slow. The call is made in spite
/// of the advice, since there is no alternative.
#[test]
fn the_only_upstream_is_called_whatever_is_advised() {
    let mut world = without_extras(1, 1);
    let mut job = world.start(world::shards(1, 50));
    world.end(&mut job, 0, forward::Verdict::Advised(SLOW));
    assert_eq!(world.sends.len(), 2);
    assert_eq!(world.sends[0].upstream, world.sends[1].upstream);
    assert!(world.sends[1].mandatory);
}

/// An upstream can't be connected to, so no byte of a call was sent, and its
/// service's allowance is used up. The part must not be given up as if the call
/// had been made, since a first call to the other upstream isn't an extra call.
#[test]
fn a_call_that_was_never_sent_has_not_arrived() {
    let mut world = without_extras(1, 2);
    let mut job = world.start(world::shards(1, 50));
    world.end(&mut job, 0, forward::Verdict::NotSent);
    assert_eq!(world.sends.len(), 2, "the other upstream is called");
    world.end(&mut job, 1, forward::Verdict::Lost);
    assert_eq!(world.sends.len(), 2, "a lost call has arrived");
}

/// Calls wait for an upstream that paused. Until it replies, further calls
/// would wait for the same pause.
#[test]
fn an_upstream_with_a_late_call_is_advised_against_until_it_replies() {
    let mut world = world::World::new(1, 2);
    let upstream = world.fleet.registry.of(&world::name(0))[0];
    assert_eq!(world.fleet.advice(upstream, world.now), None);
    world.fleet.health(upstream).mark_late();
    assert!(world.fleet.advice(upstream, world.now).is_some());
    let now = world.now;
    world.fleet.health(upstream).replied(1.0, now, now);
    assert_eq!(world.fleet.advice(upstream, now), None);
}

/// All upstreams of a shard are slow. If every call were returned, calls would
/// be passed around without end.
#[test]
fn no_upstream_is_advised_against_where_all_are_unhealthy() {
    let mut world = world::World::new(1, 2);
    let now = world.now;
    for upstream in world.fleet.registry.of(&world::name(0)).to_vec() {
        world.fleet.health(upstream).apply_advice(SLOW, now);
        let other_is_healthy = world.fleet.advice(upstream, now).is_some();
        assert_eq!(other_is_healthy, upstream.index() == 0);
    }
}

/// A whole fleet learns that one of three upstreams is slow. If all VMs chose
/// the same alternative, it would be overloaded next. The slow upstream is
/// called again once the two others do worse.
#[test]
fn a_fleet_that_avoids_an_upstream_spreads_over_the_others() {
    let mut world = world::World::new(1, 3);
    // Treats all data centres alike, so that no upstream is preferred as local.
    world.fleet.policy.remote_penalty = time::Duration::ZERO;
    let upstreams = world.fleet.registry.of(&world::name(0)).to_vec();
    let typical_call_time = time::Duration::from_millis(10);
    let now = world.now;
    world.fleet.health(upstreams[0]).apply_advice(SLOW, now);
    let mut counts = [0; 3];
    for _ in 0..100 {
        let chosen = world
            .fleet
            .choose(&world::name(0), &[], typical_call_time, now);
        let chosen = chosen.expect("an upstream");
        world.fleet.next_call();
        counts[chosen.index()] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(counts[1].min(counts[2]) > 20, "{counts:?}");
    let worse = forward::Advice {
        slowness: 11.0,
        declined: 0.0,
    };
    for upstream in &upstreams[1..] {
        world.fleet.health(*upstream).apply_advice(worse, now);
    }
    let chosen = world
        .fleet
        .choose(&world::name(0), &[], typical_call_time, now);
    assert_eq!(chosen, Some(upstreams[0]));
}

/// An upstream was slow and has recovered. Advice about it decays within
/// seconds, and a few calls of this VM override it.
#[test]
fn advice_decays_and_is_overridden_by_own_calls() {
    let mut health = forward::Health::default();
    health.apply_advice(SLOW, at(1000));
    assert!(health.advice(at(1000)).is_some());
    assert_eq!(health.advice(at(5000)), None);
    for call in 0..6 {
        health.replied(1.0, at(1000 + call), at(1010 + call));
    }
    assert_eq!(health.advice(at(1020)), None);
}

quickcheck::quickcheck! {
    /// Calls end as advised against, not sent, not run or lost in any order.
    /// Where no extra call is allowed, no part has more than one arrival.
    fn nothing_extra_arrives_where_nothing_is_allowed(ends: Vec<(u8, u8)>) -> bool {
        let mut world = without_extras(3, 3);
        let mut job = world.start(world::shards(3, 30));
        let mut open: Vec<usize> = (0..world.sends.len()).collect();
        let mut arrived: Vec<(usize, registry::Handle)> = Vec::new();
        for (choice, kind) in ends {
            if open.is_empty() || world.outcome.is_some() {
                break;
            }
            let send = open.swap_remove(usize::from(choice) % open.len());
            let before = world.sends.len();
            let verdict = match kind % 4 {
                0 => forward::Verdict::Advised(SLOW),
                1 => forward::Verdict::NotSent,
                2 => forward::Verdict::NotRun,
                _ => forward::Verdict::Lost,
            };
            if kind % 4 >= 2 {
                arrived.push((world.sends[send].part, world.sends[send].upstream));
            }
            world.end(&mut job, send, verdict);
            open.extend(before..world.sends.len());
        }
        (0..3).all(|part| arrived.iter().filter(|(of, _)| *of == part).count() <= 1)
    }
}
