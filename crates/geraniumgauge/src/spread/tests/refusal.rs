//! A store that refuses some VMs and serves others, or that is unavailable to all.

use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;

use crate::spread::tests::world;
use crate::spread::tests::world::SECOND;

/// Time within which a change must be in force; the poll interval is two fifths of it.
const MAX_APPLY_TIME: time::Duration = time::Duration::from_secs(6);
/// Times until a refused call fails: at once, or since the store doesn't answer.
const CALL_TIMEOUTS: [time::Duration; 2] = [
    time::Duration::from_millis(4),
    time::Duration::from_millis(900),
];
/// Changes that are made during one refusal.
const CHANGES: u64 = 3;
/// Most polls of the pollers and a few other VMs during one change.
const MAX_POLLS_OF_A_CHANGE: u64 = 12;
/// Longest time between two calls of a VM that the store refuses, in poll intervals.
const MAX_RETRY_CYCLE_POLLS: u32 = 7;

/// Makes the store serve only the VMs for which `is_served` returns true.
fn serve_only(world: &mut world::World, is_served: impl Fn(usize) -> bool) {
    for (number, vm) in world.vms.iter_mut().enumerate() {
        vm.served = is_served(number);
    }
}

/// Makes changes at several ages of the latest poll, and checks that all VMs hold each in time.
fn assert_changes_arrive(world: &mut world::World, context: &str) {
    for number in 0..CHANGES {
        world.change();
        let took = world.until(MAX_APPLY_TIME, world::World::all_hold);
        assert!(took.is_some(), "{context}, change {number}");
        world.run(world::POLL_INTERVAL.mul_f64(0.37 * (number + 1) as f64));
    }
}

/// Returns a random number generator and a set of `count` VMs, of which up to `most` are served.
fn draw_served(count: usize, most: usize, seed: u64) -> (rand::rngs::StdRng, Vec<bool>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let served = rng.random_range(1..=most);
    let mut is_served: Vec<bool> = (0..count).map(|vm| vm < served).collect();
    is_served.shuffle(&mut rng);
    (rng, is_served)
}

/// Guards against VMs that the store serves, and that wait for the polls of VMs that it refuses.
#[test]
fn changes_arrive_in_time_whichever_of_eight_vms_are_served() {
    for (set, call_timeout) in (1_u64..256).flat_map(|set| CALL_TIMEOUTS.map(|time| (set, time))) {
        let mut world = world::settled(8, set);
        world.call_timeout = call_timeout;
        world.run(time::Duration::from_millis(set * 71 % 2400));
        serve_only(&mut world, |vm| set >> vm & 1 == 1);
        assert_changes_arrive(&mut world, &format!("set {set:#b}, {call_timeout:?}"));
    }
}

/// Guards against large fleets in which the store refuses all VMs that poll before the others.
#[test]
fn changes_arrive_in_time_whichever_vms_of_a_large_fleet_are_served() {
    let fleets = [(60, 1, 12), (60, 12, 24), (300, 1, 4), (300, 40, 6)].into_iter();
    for (count, most, seed) in
        fleets.flat_map(|(count, most, seeds)| (0..seeds).map(move |seed| (count, most, seed)))
    {
        let (mut rng, is_served) = draw_served(count, most, seed);
        let mut world = world::settled(count, seed);
        world.call_timeout = CALL_TIMEOUTS[seed as usize % CALL_TIMEOUTS.len()];
        world.run(world::POLL_INTERVAL.mul_f64(rng.random_range(0.0..1.0)));
        serve_only(&mut world, |vm| is_served[vm]);
        let context = format!("{count} VMs, up to {most} served, seed {seed}");
        assert_changes_arrive(&mut world, &context);
    }
}

/// Guards against VMs that the store has refused before, and that wait though it serves them
/// again and refuses the others.
#[test]
fn changes_arrive_in_time_when_the_store_refuses_other_vms_than_before() {
    let fleets = [(8, 8, 150), (60, 20, 10)].into_iter();
    for (count, most, seed) in
        fleets.flat_map(|(count, most, seeds)| (0..seeds).map(move |seed| (count, most, seed)))
    {
        let (mut rng, mut is_served) = draw_served(count, most, seed);
        let mut world = world::settled(count, seed);
        world.call_timeout = CALL_TIMEOUTS[seed as usize % CALL_TIMEOUTS.len()];
        for round in 0..6 {
            serve_only(&mut world, |vm| is_served[vm]);
            world.change();
            let took = world.until(MAX_APPLY_TIME, world::World::all_hold);
            let context = format!("{count} VMs, seed {seed}, round {round}");
            assert!(took.is_some(), "{context}");
            world.run(world::POLL_INTERVAL.mul_f64(rng.random_range(0.0..4.0)));
            // One VM is served before and after, so that the bound holds for it.
            let kept = is_served
                .iter()
                .position(|served| *served)
                .expect("one is served");
            is_served.shuffle(&mut rng);
            is_served[kept] = true;
        }
    }
}

/// Guards against a VM that alone is served after an outage, and that waits for others.
#[test]
fn an_outage_that_ends_for_one_vm_ends_for_all() {
    let fleets = [8, 60].into_iter();
    for (count, seed) in fleets.flat_map(|count| (0..16).map(move |seed| (count, seed))) {
        let mut world = world::settled(count, seed);
        serve_only(&mut world, |_| false);
        world.run(20 * SECOND);
        let served = seed as usize * 7 % count;
        serve_only(&mut world, |vm| vm == served);
        world.change();
        let within = world::POLL_INTERVAL * MAX_RETRY_CYCLE_POLLS + SECOND;
        let took = world.until(within, world::World::all_hold);
        assert!(took.is_some(), "{count} VMs, seed {seed}");
    }
}

/// Returns the most calls of a fleet in an outage of the given length: one of each VM, so that
/// the store is read in time whichever VM it serves, and then retries.
fn max_calls(count: usize, span: time::Duration) -> f64 {
    let span = span.as_secs_f64();
    // Two VMs retry every 0.4 s at most.
    let of_two = 2.0 * span / 0.4;
    // All others retry twice a second together, or once per cycle each.
    let cycle = (world::POLL_INTERVAL * MAX_RETRY_CYCLE_POLLS).as_secs_f64();
    let of_others = span * (count as f64 / cycle).max(2.0);
    count as f64 + of_two + of_others
}

/// Guards against many VMs calling a store that is unavailable, whether it refuses
/// calls or doesn't answer, also later in an outage, and against noticing its return too late.
#[test]
fn few_vms_call_an_unavailable_store_and_all_notice_its_return() {
    let spans = [7, 60].map(|seconds| seconds * SECOND).into_iter();
    let cases = spans.flat_map(|span| CALL_TIMEOUTS.map(|call_timeout| (span, call_timeout)));
    for (count, (span, call_timeout)) in world::FLEETS
        .into_iter()
        .flat_map(|count| cases.clone().map(move |case| (count, case)))
    {
        let mut world = world::settled(count, 11);
        world.call_timeout = call_timeout;
        serve_only(&mut world, |_| false);
        let before = world.polls;
        world.run(span);
        let calls = world.polls - before;
        let context = format!("{count} VMs, {call_timeout:?}, outage of {span:?}");
        assert!(
            calls as f64 <= max_calls(count, span),
            "{context}: {calls} calls"
        );
        serve_only(&mut world, |_| true);
        world.change();
        let before = world.polls;
        let took = world.until(2 * SECOND, world::World::all_hold);
        assert!(took.is_some(), "{context}");
        // The others receive the first result, so they needn't poll.
        world.run(SECOND / 2);
        let calls = world.polls - before;
        assert!(
            calls <= MAX_POLLS_OF_A_CHANGE,
            "{context}: {calls} calls after it"
        );
    }
}

/// Guards against VMs that all poll the store once it serves one of the last, which
/// updates them.
#[test]
fn few_vms_poll_when_a_refusal_ends() {
    for (count, seed) in [60, 300]
        .into_iter()
        .flat_map(|count| (0..4).map(move |seed| (count, seed)))
    {
        let mut world = world::settled(count, seed);
        let is_refused = |vm: usize| vm % 8 != 3;
        serve_only(&mut world, |vm| !is_refused(vm));
        world.change();
        world.run(world::POLL_INTERVAL * 3);
        serve_only(&mut world, |_| false);
        world.run(world::POLL_INTERVAL * 2);
        serve_only(&mut world, |_| true);
        world.change();
        let before = world.polls;
        let took = world.until(2 * SECOND, world::World::all_hold);
        assert!(took.is_some(), "{count} VMs, seed {seed}");
        world.run(SECOND / 2);
        let polls = world.polls - before;
        assert!(
            polls <= MAX_POLLS_OF_A_CHANGE,
            "{count} VMs, seed {seed}: {polls} polls"
        );
    }
}

/// Guards against a fleet that calls a slow store more often, the larger it is.
#[test]
fn few_vms_poll_a_slow_store() {
    for (count, share) in world::FLEETS
        .into_iter()
        .flat_map(|count| [0.1, 0.2, 0.35].map(|share| (count, share)))
    {
        let mut world = world::settled(count, 5);
        world.read_time = world::POLL_INTERVAL.mul_f64(share);
        let before = world.polls;
        world.run(60 * SECOND);
        let polls = world.polls - before;
        // Two VMs poll every 2.4 s.
        assert!(polls <= 2 * 25 + 2, "{count} VMs, {share}: {polls} polls");
    }
}
