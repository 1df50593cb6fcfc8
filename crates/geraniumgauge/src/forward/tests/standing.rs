use std::time;

use super::world;
use crate::forward;
use crate::time as clock;

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// Story: an upstream pauses for 120 ms each few seconds, as all do. Calls that
/// waited through one pause are slow together. Taking it for slow afterwards
/// would move its load to the others for seconds, each few seconds.
#[test]
fn one_pause_makes_no_slow_upstream() {
    let mut standing = forward::Standing::default();
    standing.late();
    assert!(standing.is_late());
    for began in [1000, 1010, 1040] {
        standing.replied(10.0, at(began), at(1120));
    }
    assert!(!standing.is_late());
    assert!(standing.slowness(at(1120)) < 1.1);
}

/// Story: an upstream answers ten times slower than usual for seconds. Two slow
/// replies one after the other show it; it is tried again once that is old.
#[test]
fn slow_replies_in_a_row_make_a_slow_upstream_for_a_while() {
    let mut standing = forward::Standing::default();
    standing.replied(10.0, at(1000), at(1110));
    standing.replied(10.0, at(1111), at(1221));
    assert!(standing.slowness(at(1221)) > 5.0);
    assert!(standing.slowness(at(7000)) < 1.3);
    standing.replied(1.0, at(7000), at(7011));
    standing.replied(10.0, at(7100), at(7210));
    assert!(
        standing.slowness(at(7211)) < 1.5,
        "a single slow one counts for little again"
    );
}

/// Story: an upstream crashed. Connecting to it again and again would cost each
/// request a failed try; never trying again would leave it unused for good.
#[test]
fn failed_connections_pause_it_for_up_to_a_second() {
    let mut standing = forward::Standing::default();
    for round in 1..10 {
        standing.unreachable(at(round * 10_000));
        assert!(!standing.up(at(round * 10_000 + 50)));
        assert!(standing.up(at(round * 10_000 + 1001)));
    }
    standing.replied(1.0, at(200_000), at(200_010));
    standing.unreachable(at(200_020));
    assert!(
        standing.up(at(200_121)),
        "the pauses start anew after a reply"
    );
}

#[test]
fn queued_calls_and_cold_starts_make_a_call_dearer() {
    let usual = time::Duration::from_millis(10);
    let mut standing = forward::Standing::default();
    let idle = standing.expect(usual, 2, false, at(1));
    for _ in 0..4 {
        standing.start();
    }
    assert!(standing.expect(usual, 2, false, at(1)) > idle.mul_f64(2.0));
    assert!(standing.expect(usual, 2, true, at(1)) > standing.expect(usual, 2, false, at(1)));
}

/// Story: an upstream declines four calls in ten though it has room, and answers
/// the others fast. Its sibling takes all. Chosen evenly, the declined calls use
/// up the budget of extra calls within seconds, and searches go without parts.
#[test]
fn an_upstream_that_declines_for_no_reason_gets_few_calls() {
    let mut world = world::World::new(1, 2);
    let handles = world.fleet.registry.of(&world::name(0)).to_vec();
    let usual = time::Duration::from_millis(11);
    let mut sent = [0, 0];
    // The first one is in the caller's own data centre, and goes first by that.
    for call in 0..400 {
        world.now = world.now + time::Duration::from_millis(20);
        let chosen = world
            .fleet
            .choose(&world::name(0), &[], usual, world.now)
            .expect("both are up");
        let place = usize::from(chosen == handles[1]);
        sent[place] += 1;
        let now = world.now;
        let standing = world.fleet.standing(chosen);
        if place == 0 && call % 5 < 2 {
            standing.full(time::Duration::from_millis(40), now);
        } else {
            standing.replied(1.0, now, now);
        }
    }
    assert!(sent[0] < sent[1] / 4, "{sent:?}");
    assert!(sent[0] > 1, "it is tried again now and then: {sent:?}");
}

/// Story: both upstreams of a shard are full on a busy day. Neither is better
/// for it, and the near one stays the first choice.
#[test]
fn upstreams_that_are_both_full_stay_as_they_were() {
    let mut world = world::World::new(1, 2);
    let handles = world.fleet.registry.of(&world::name(0)).to_vec();
    for handle in &handles {
        for _ in 0..5 {
            let now = world.now;
            world
                .fleet
                .standing(*handle)
                .full(time::Duration::from_millis(40), now);
        }
    }
    let later = world.now + time::Duration::from_millis(50);
    let usual = time::Duration::from_millis(11);
    let chosen = world.fleet.choose(&world::name(0), &[], usual, later);
    assert_eq!(chosen, Some(handles[0]));
}
