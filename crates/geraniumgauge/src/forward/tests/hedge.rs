//! Tests with searches whose calls are made by relays, on VMs that are delayed.

use std::time;

use super::world;
use crate::forward;

/// Time after which calls are hedged, measured at their upstreams.
const HEDGE_MS: u64 = 30;
/// Time after which the frame of the relay is overdue.
const OVERDUE_MS: u64 = 40;
const SHARDS: usize = 30;

/// Starts a search whose calls are all made by a relay.
fn delegated(overdue_ms: u64) -> (world::World, forward::Job) {
    let mut world = world::World::new(SHARDS, 2);
    let mut job = world.start(world::shards(SHARDS, 50));
    let overdue = time::Duration::from_millis(overdue_ms);
    job.delegated(&world.sends, overdue);
    (world, job)
}

fn extras(world: &world::World) -> &[forward::Send] {
    &world.sends[SHARDS..]
}

/// A VM with an eighth of a core delegates thirty calls, and the frame with the replies is
/// a few milliseconds past the hedge time because a VM was busy. The parts must not be
/// hedged: their upstreams replied in time, and extra calls would delay the next frames.
#[test]
fn parts_of_a_frame_that_is_late_are_not_hedged() {
    for late_by in [1, 5] {
        let (mut world, mut job) = delegated(OVERDUE_MS);
        world.advance_to(&mut job, HEDGE_MS + late_by);
        for send in 0..SHARDS {
            world.end(&mut job, send, world::good(b'g'));
        }
        assert_eq!(extras(&world), [], "{late_by} ms late");
        assert!(world.outcome.is_some());
    }
}

/// One of thirty upstreams pauses. The frame reports that only its call has no
/// reply, so only that part is hedged, at its regular time, and no other
/// upstream is avoided.
#[test]
fn only_the_part_that_a_frame_reports_without_reply_is_hedged() {
    let (mut world, mut job) = delegated(OVERDUE_MS);
    world.advance_to(&mut job, HEDGE_MS - 3);
    for send in 1..SHARDS {
        world.end(&mut job, send, world::good(b'g'));
    }
    world.report_unanswered(&mut job, 0);
    assert_eq!(extras(&world), [], "its upstream isn't late yet");
    world.advance_to(&mut job, HEDGE_MS);
    let extras = extras(&world);
    assert_eq!(extras.len(), 1);
    assert_eq!(
        (extras[0].part, extras[0].reason),
        (0, forward::CallReason::Hedge)
    );
    for send in 0..SHARDS {
        let upstream = world.sends[send].upstream;
        let late = world.fleet.health(upstream).is_late();
        assert_eq!(late, send == 0, "call {send}");
    }
}

/// The relay is stopped for seconds. Each part is called once elsewhere as soon
/// as the frame is overdue, while the latency target can still be met. The
/// upstreams aren't marked late, because they may have replied.
#[test]
fn all_parts_of_a_silent_relay_are_called_elsewhere_once_and_in_time() {
    for (overdue, hedged) in [(OVERDUE_MS, OVERDUE_MS), (1000, 60)] {
        let (mut world, mut job) = delegated(overdue);
        world.advance_to(&mut job, hedged - 1);
        assert_eq!(extras(&world), []);
        world.advance_to(&mut job, hedged);
        let extras = extras(&world);
        assert_eq!(extras.len(), SHARDS);
        assert!(
            extras
                .iter()
                .all(|send| send.reason == forward::CallReason::Silent)
        );
        assert_eq!(world.silent.len(), SHARDS);
        for send in 0..SHARDS {
            let upstream = world.sends[send].upstream;
            assert!(!world.fleet.health(upstream).is_late());
        }
    }
}

/// Most frames are 3 ms late, one in fifty is 15 ms late. A frame is overdue if
/// it is later than nearly all; waiting for the latest ones would leave no time
/// to call elsewhere.
#[test]
fn lateness_follows_typical_frames_and_not_the_worst() {
    let mut lateness = forward::Lag::p97();
    for frame in 0..2000 {
        let late = if frame % 50 == 0 { 15 } else { 3 };
        lateness.add(time::Duration::from_millis(late));
    }
    let estimate = lateness.get().as_millis();
    assert!((3..=8).contains(&estimate), "{estimate}");
}

quickcheck::quickcheck! {
    /// Whenever the frame comes and whichever calls it reports without reply:
    /// no part is hedged before its hedge time measured at its upstream, and
    /// every part without a reply is hedged by the time at which the frame is
    /// overdue.
    fn parts_are_hedged_by_their_upstreams_time(frame_ms: u8, unanswered: Vec<bool>) -> bool {
        let frame_ms = u64::from(frame_ms) % 90;
        let (mut world, mut job) = delegated(OVERDUE_MS);
        let is_unanswered = |part: usize| unanswered.get(part).copied().unwrap_or(false);
        let mut early = false;
        for ms in 0..=frame_ms {
            world.advance_to(&mut job, ms);
            early |= ms < OVERDUE_MS && world.sends.len() > SHARDS;
        }
        let before = world.sends.len();
        for part in (0..SHARDS).filter(|part| !is_unanswered(*part)) {
            world.end(&mut job, part, world::good(b'g'));
        }
        if world.outcome.is_some() {
            return !early;
        }
        let reported: Vec<usize> = (0..SHARDS).filter(|part| is_unanswered(*part)).collect();
        for part in &reported {
            world.report_unanswered(&mut job, *part);
        }
        let at_once = world.sends.len() - before;
        early |= frame_ms < HEDGE_MS && at_once > 0;
        world.advance_to(&mut job, frame_ms.max(OVERDUE_MS));
        let hedged = |part: &usize| extras(&world).iter().filter(|send| send.part == *part).count() == 1;
        !early && reported.iter().all(hedged)
    }
}
