use std::time;

use super::world;
use crate::forward;
use crate::time as clock;

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// An upstream pauses for 120 ms every few seconds, as all upstreams do. Calls
/// that waited for one pause are slow together. Taking the upstream for slow
/// afterwards would move its load to the others for seconds, again and again.
#[test]
fn one_pause_does_not_make_an_upstream_slow() {
    let mut health = forward::Health::default();
    health.mark_late();
    assert!(health.is_late());
    for began in [1000, 1010, 1040] {
        health.replied(10.0, at(began), at(1120));
    }
    assert!(!health.is_late());
    assert!(health.slowness(at(1120)) < 1.1);
}

/// An upstream takes ten times its typical time for some seconds. Two slow
/// replies in a row reveal it, and it is tried again after a while.
#[test]
fn slow_replies_in_a_row_make_a_slow_upstream_for_a_while() {
    let mut health = forward::Health::default();
    health.replied(10.0, at(1000), at(1110));
    health.replied(10.0, at(1111), at(1221));
    assert!(health.slowness(at(1221)) > 5.0);
    assert!(health.slowness(at(7000)) < 1.3);
    health.replied(1.0, at(7000), at(7011));
    health.replied(10.0, at(7100), at(7210));
    assert!(
        health.slowness(at(7211)) < 1.5,
        "a single slow reply counts for little again"
    );
}

/// An upstream crashed. Connecting to it without backoff would cost each
/// request a failed attempt, and never trying again would leave it unused for
/// good.
#[test]
fn failed_connections_back_off_for_up_to_a_second() {
    let mut health = forward::Health::default();
    for round in 1..10 {
        health.unreachable(at(round * 10_000));
        assert!(!health.is_up(at(round * 10_000 + 50)));
        assert!(health.is_up(at(round * 10_000 + 1001)));
    }
    health.replied(1.0, at(200_000), at(200_010));
    health.unreachable(at(200_020));
    assert!(
        health.is_up(at(200_121)),
        "the backoff starts again after a reply"
    );
}

#[test]
fn queued_calls_and_warm_up_increase_the_expected_time() {
    let typical_call_time = time::Duration::from_millis(10);
    let mut health = forward::Health::default();
    let idle = health.expected_time(typical_call_time, 2, false, at(1));
    for _ in 0..4 {
        health.start();
    }
    assert!(health.expected_time(typical_call_time, 2, false, at(1)) > idle.mul_f64(2.0));
    assert!(
        health.expected_time(typical_call_time, 2, true, at(1))
            > health.expected_time(typical_call_time, 2, false, at(1))
    );
}

/// An upstream declines four calls in ten although it has capacity, and answers the others
/// fast. Another accepts all. If both were chosen equally often, the declined calls would use
/// up the budget for extra calls within seconds, and searches would lack parts.
#[test]
fn an_upstream_that_declines_for_no_reason_gets_few_calls() {
    let mut world = world::World::new(1, 2);
    let handles = world.fleet.registry.of(&world::name(0)).to_vec();
    let typical_call_time = time::Duration::from_millis(11);
    let mut sent = [0, 0];
    // The first upstream is in this VM's data centre and is preferred for that.
    for call in 0..400 {
        world.now = world.now + time::Duration::from_millis(20);
        let chosen = world
            .fleet
            .choose(&world::name(0), &[], typical_call_time, world.now)
            .expect("both are up");
        let index = usize::from(chosen == handles[1]);
        sent[index] += 1;
        let now = world.now;
        let health = world.fleet.health(chosen);
        if index == 0 && call % 5 < 2 {
            health.mark_full(time::Duration::from_millis(40), now);
        } else {
            health.replied(1.0, now, now);
        }
    }
    assert!(sent[0] < sent[1] / 4, "{sent:?}");
    assert!(sent[0] > 1, "it is tried again now and then: {sent:?}");
}

/// Both upstreams of a shard are full on a busy day. Neither is better for it,
/// so the local one stays the first choice.
#[test]
fn upstreams_that_are_both_full_keep_their_order() {
    let mut world = world::World::new(1, 2);
    let handles = world.fleet.registry.of(&world::name(0)).to_vec();
    for handle in &handles {
        for _ in 0..5 {
            let now = world.now;
            world
                .fleet
                .health(*handle)
                .mark_full(time::Duration::from_millis(40), now);
        }
    }
    let later = world.now + time::Duration::from_millis(50);
    let typical_call_time = time::Duration::from_millis(11);
    let chosen = world
        .fleet
        .choose(&world::name(0), &[], typical_call_time, later);
    assert_eq!(chosen, Some(handles[0]));
}
