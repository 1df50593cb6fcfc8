//! Load: searches whose calls other VMs make, on VMs that are held up.

use std::time;

use super::world;
use crate::forward;

/// When calls of these stories are hedged, by their upstreams' time.
const HEDGE_MS: u64 = 30;
/// When the frame of the VM that makes them is overdue.
const OVERDUE_MS: u64 = 40;
const SHARDS: usize = 30;

/// A search of which another VM makes all calls.
fn handed(overdue_ms: u64) -> (world::World, forward::Job) {
    let mut world = world::World::new(SHARDS, 2);
    let mut job = world.start(world::shards(SHARDS, 50));
    let overdue = time::Duration::from_millis(overdue_ms);
    job.handed(&world.sends.clone(), overdue);
    (world, job)
}

fn extras(world: &world::World) -> Vec<forward::Send> {
    world.sends[SHARDS..].to_vec()
}

/// Story: a VM of an eighth of a core has thirty calls made elsewhere. The frame
/// with their replies comes some milliseconds after the hedge point, since one of
/// the VMs was busy. All thirty were hedged then, for upstreams that had replied
/// in time; the extra calls made the next frames later.
#[test]
fn parts_of_a_frame_that_is_late_are_not_hedged() {
    for behind in [1, 5] {
        let (mut world, mut job) = handed(OVERDUE_MS);
        world.at(&mut job, HEDGE_MS + behind);
        for send in 0..SHARDS {
            world.end(&mut job, send, world::good(b'g'));
        }
        assert_eq!(extras(&world), [], "{behind} ms behind");
        assert!(world.outcome.is_some());
    }
}

/// Story: one of thirty upstreams pauses. The frame tells that its call alone is
/// out; that part is hedged at its hedge point, and no other upstream is avoided.
#[test]
fn the_part_that_a_frame_tells_to_be_out_is_hedged_alone() {
    let (mut world, mut job) = handed(OVERDUE_MS);
    world.at(&mut job, HEDGE_MS - 3);
    for send in 1..SHARDS {
        world.end(&mut job, send, world::good(b'g'));
    }
    world.still_out(&mut job, 0);
    assert_eq!(extras(&world), [], "its upstream isn't late yet");
    world.at(&mut job, HEDGE_MS);
    let extras = extras(&world);
    assert_eq!(extras.len(), 1);
    assert_eq!((extras[0].part, extras[0].why), (0, forward::Why::Hedge));
    for send in 0..SHARDS {
        let upstream = world.sends[send].upstream;
        let late = world.fleet.standing(upstream).is_late();
        assert_eq!(late, send == 0, "call {send}");
    }
}

/// Story: the VM that makes the calls is stopped for seconds. Each part is called
/// once elsewhere as soon as the frame is overdue, while the aim can still be
/// met, and the upstreams aren't blamed: nobody knows whether they replied.
#[test]
fn all_parts_of_a_silent_vm_are_called_elsewhere_once_and_in_time() {
    for (overdue, hedged) in [(OVERDUE_MS, OVERDUE_MS), (1000, 60)] {
        let (mut world, mut job) = handed(overdue);
        world.at(&mut job, hedged - 1);
        assert_eq!(extras(&world), []);
        world.at(&mut job, hedged);
        let extras = extras(&world);
        assert_eq!(extras.len(), SHARDS);
        assert!(extras.iter().all(|send| send.why == forward::Why::Silent));
        assert_eq!(world.silent.len(), SHARDS);
        for send in 0..SHARDS {
            let upstream = world.sends[send].upstream;
            assert!(!world.fleet.standing(upstream).is_late());
        }
    }
}

/// Story: frames mostly come 3 ms late, one in fifty 15 ms. An overdue frame is
/// one that is later than nearly all; a wait for the latest would leave no time
/// to call elsewhere.
#[test]
fn lateness_follows_what_is_usual_and_not_the_worst() {
    let mut lateness = forward::Lag::rare();
    for frame in 0..2000 {
        let late = if frame % 50 == 0 { 15 } else { 3 };
        lateness.add(time::Duration::from_millis(late));
    }
    let estimate = lateness.get().as_millis();
    assert!((3..=8).contains(&estimate), "{estimate}");
}

quickcheck::quickcheck! {
    /// Whenever the frame comes and whatever it tells to be out: no part is
    /// hedged before its hedge point by its upstream's time, and none without a
    /// reply is left alone past the time at which the frame is overdue.
    fn parts_are_hedged_by_their_upstreams_time(frame_ms: u8, out: Vec<bool>) -> bool {
        let frame_ms = u64::from(frame_ms) % 90;
        let (mut world, mut job) = handed(OVERDUE_MS);
        let is_out = |part: usize| out.get(part).copied().unwrap_or(false);
        let mut early = false;
        for ms in 0..=frame_ms {
            world.at(&mut job, ms);
            early |= ms < OVERDUE_MS && world.sends.len() > SHARDS;
        }
        let before = world.sends.len();
        for part in (0..SHARDS).filter(|part| !is_out(*part)) {
            world.end(&mut job, part, world::good(b'g'));
        }
        if world.outcome.is_some() {
            return !early;
        }
        let named: Vec<usize> = (0..SHARDS).filter(|part| is_out(*part)).collect();
        for part in &named {
            world.still_out(&mut job, *part);
        }
        let at_once = world.sends.len() - before;
        early |= frame_ms < HEDGE_MS && at_once > 0;
        world.at(&mut job, frame_ms.max(OVERDUE_MS));
        let hedged = |part: &usize| extras(&world).iter().filter(|send| send.part == *part).count() == 1;
        !early && named.iter().all(hedged)
    }
}
