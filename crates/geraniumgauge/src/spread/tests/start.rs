//! Starts of VMs and of fleets, and the number of VMs.

use std::time;

use crate::spread;
use crate::spread::tests::messages;
use crate::spread::tests::world;
use crate::spread::tests::world::SECOND;

/// Calls that a poll makes while nothing is known of the store: one for the
/// configuration, and three for pages of registrations.
const CALLS_PER_POLL: u64 = 4;

/// Guards against many VMs calling the store when all start at once. The fleet may
/// make 350 calls on a normal day, and 900 on a day on which all VMs start twice.
#[test]
fn few_vms_that_start_together_poll() {
    for seed in 0..5 {
        let mut world = world::settled(295, seed);
        let first = world.polls * CALLS_PER_POLL;
        assert!(
            first <= 350,
            "seed {seed}: {first} calls at the first start"
        );
        let before = world.polls;
        for vm in 0..295 {
            world.stop(vm);
        }
        world.run(SECOND);
        world.start_all();
        let took = world.until(2 * SECOND, world::World::all_hold);
        assert!(took.is_some(), "seed {seed}");
        let again = (world.polls - before) * CALLS_PER_POLL;
        assert!(
            again <= 900 - 350,
            "seed {seed}: {again} calls after power was lost"
        );
    }
}

/// Guards against budgets that are divided by too few VMs.
#[test]
fn no_vm_counts_too_few() {
    for count in [8, 61, 295] {
        let mut world = world::settled(count, 3);
        assert!(
            world::views(&world).all(|vms| vms == Some(count)),
            "{count} VMs"
        );
        // Two halves that can't reach each other, then half of the VMs down.
        for vm in 0..count {
            world.vms[vm].partition = u8::from(vm % 2 == 0);
        }
        world.run(20 * SECOND);
        for vm in 0..count / 2 {
            world.stop(vm);
        }
        world.run(20 * SECOND);
        assert!(
            world::views(&world).all(|vms| vms >= Some(count)),
            "{count} VMs cut"
        );
        // All VMs lose power. When they start, only the directory has their number.
        for vm in 0..count {
            world.vms[vm].partition = 0;
            world.stop(vm);
        }
        world.run(SECOND);
        let began = world.now;
        world.start_all();
        while world.now.since(began) < 10 * SECOND {
            let fewest = world::views(&world).flatten().min();
            assert!(
                fewest.is_none_or(|vms| vms >= count),
                "{count} VMs: {fewest:?}"
            );
            world.run(SECOND / 20);
        }
        assert!(
            world::views(&world).all(|vms| vms >= Some(count)),
            "{count} VMs after a restart"
        );
    }
}

/// Guards against a fleet that starts in parts while the store is unavailable, and
/// counts only a part of itself.
#[test]
fn a_vm_that_cannot_ask_does_not_count_the_fleet() {
    let mut world = world::World::new(8, 0, 1);
    for vm in 0..8 {
        world.vms[vm].served = false;
    }
    world.start_all();
    world.run(20 * SECOND);
    assert!(world::views(&world).all(|vms| vms.is_none()));
    for vm in 0..8 {
        world.vms[vm].served = true;
    }
    world.run(40 * SECOND);
    assert!(world.all_hold());
    assert!(
        world::views(&world).all(|vms| vms == Some(8)),
        "{:?}",
        world::views(&world).collect::<Vec<_>>()
    );
}

/// Guards against a start that waits for others or reads more than it needs.
#[test]
fn a_vm_that_joins_reads_nothing_but_the_directory() {
    for (seed, vm) in (0..10).zip([40, 3, 17, 59, 21, 8, 33, 50, 12, 26]) {
        let mut world = world::settled(61, seed);
        if world.vms[vm].state.poller_rank(world.now).is_some() {
            // It continues to be a poller after its start.
            continue;
        }
        world.stop(vm);
        world.run(SECOND);
        let before = (world.vms[vm].polls, world.reads);
        world.start(vm);
        let took = world.until(SECOND, world::World::all_hold);
        assert!(
            took.is_some_and(|took| took <= SECOND / 5),
            "seed {seed}: {took:?}"
        );
        world.run(SECOND);
        assert_eq!(world.vms[vm].polls, before.0, "seed {seed}");
        // Pollers may read the directory meanwhile.
        assert!(world.reads - before.1 <= 3, "seed {seed}");
        let view = world.vms[vm].view.as_ref().expect("a published view");
        assert_eq!((view.vms, view.others.len()), (Some(61), 60), "seed {seed}");
    }
}

/// Guards against VMs that no other VM can find because no seed is alive.
#[test]
fn vms_without_seeds_find_each_other_by_the_directory() {
    for count in [2, 3, 8, 61] {
        let mut world = world::World::new(count, 0, 4);
        world.start_all();
        world.run(60 * SECOND);
        assert!(
            world::views(&world).all(|vms| vms == Some(count)),
            "{count}: {:?}",
            world::views(&world).collect::<Vec<_>>()
        );
    }
}

/// Guards against VMs that start together and all poll because those they ask know
/// nothing either.
#[test]
fn an_answer_without_content_causes_no_poll() {
    let mut world = world::settled(3, 1);
    world.stop(0);
    world.start(0);
    let now = world.now;
    let state = &mut world.vms[0].state;
    let mut answer = messages::answer(messages::nothing());
    // An answer without content is accepted.
    assert!(state.accepts(&answer, time::Duration::ZERO, now));
    // So is the answer of a VM that has just started and taken content from others.
    answer.config = Some(String::new());
    assert!(state.accepts(&answer, time::Duration::ZERO, now));
    // The answer of a VM whose latest poll is old isn't accepted.
    answer.summary.poll = Some(messages::poll(9, 3 * world::POLL_INTERVAL));
    assert!(!state.accepts(&answer, time::Duration::ZERO, now));
}

/// Guards against a VM that starts in the data centre of one that was partitioned for
/// a long time, and serves callers by the outdated configuration of that one.
#[test]
fn a_starting_vm_does_not_accept_outdated_content() {
    for seed in 0..8 {
        let mut world = world::settled(61, seed);
        let isolated = world::in_data_centre(&world, 2);
        for vm in &isolated {
            world.vms[*vm].partition = 1;
            world.vms[*vm].served = false;
        }
        let starting = *isolated.last().expect("VMs of a data centre");
        world.stop(starting);
        world.change();
        world.run(10 * SECOND);
        for vm in isolated {
            world.vms[vm].partition = 0;
            world.vms[vm].served = true;
        }
        world.start(starting);
        let knows = |world: &world::World| world.vms[starting].state.position().config.is_some();
        assert!(world.until(SECOND, knows).is_some(), "seed {seed}");
        let config = world.vms[starting].state.position().config;
        assert_eq!(config, world.store.config, "seed {seed}");
    }
}

/// Guards against a VM that starts while the store is unavailable, and refuses all
/// callers although other VMs have the content.
#[test]
fn a_start_without_the_store_accepts_content_of_others() {
    for (call_timeout, seed) in [4, 900, 10_000]
        .into_iter()
        .flat_map(|p| (0..4).map(move |s| (p, s)))
    {
        let mut world = world::settled(61, seed);
        world.call_timeout = time::Duration::from_millis(call_timeout);
        for vm in &mut world.vms {
            vm.served = false;
        }
        world.run(7 * SECOND);
        world.stop(30);
        world.start(30);
        let knows = |world: &world::World| world.vms[30].state.position().config.is_some();
        assert!(
            world.until(SECOND, knows).is_some(),
            "{call_timeout} ms, seed {seed}"
        );
    }
}

/// Guards against a VM that is down and delays the start of a VM that asks it until
/// the connection times out.
#[test]
fn a_vm_that_does_not_answer_delays_no_other() {
    let mut world = world::World::new(3, 3, 8);
    world.start(0);
    let now = world.now;
    let state = &mut world.vms[0].state;
    let first = state.tick(now);
    let fetch_targets = |actions: &[spread::Action]| {
        let fetch_targets = actions.iter().filter_map(|action| match action {
            spread::Action::Fetch { from, .. } => Some(*from),
            _ => None,
        });
        fetch_targets.collect::<Vec<_>>()
    };
    assert_eq!(fetch_targets(&first).len(), 1, "{first:?}");
    // The other VM has polled and sends an update.
    let down = fetch_targets(&first)[0];
    let up = if down.ip().to_string() == "10.0.0.1" {
        "10.0.0.2:7000"
    } else {
        "10.0.0.1:7000"
    };
    let up = up.parse().expect("an address");
    let update = messages::update("vm-x", messages::of(world.store));
    let state = &mut world.vms[0].state;
    state.receive(up, spread::Datagram::Update(update), now);
    let then = state.tick(now);
    assert_eq!(fetch_targets(&then), [up]);
}

/// Guards against VMs that are gone for good but never expire, because each VM
/// takes another one's old record for a fresh one.
#[test]
fn vms_that_are_gone_stop_counting_everywhere() {
    let mut world = world::settled(20, 13);
    for vm in 5..15 {
        world.stop(vm);
    }
    world.run(500 * SECOND);
    assert!(
        world::views(&world).all(|vms| vms == Some(10)),
        "{:?}",
        world::views(&world).collect::<Vec<_>>()
    );
}

/// Guards against a small fleet that loses power, and whose first VM to restart
/// refuses callers while it waits for VMs that are still down.
#[test]
fn the_first_vm_to_restart_waits_for_no_other() {
    for seed in 0..10 {
        let mut world = world::settled(8, seed);
        for vm in 0..8 {
            world.stop(vm);
        }
        world.run(SECOND);
        world.start(3);
        let took = world.until(SECOND, world::World::all_hold);
        assert!(
            took.is_some_and(|took| took <= SECOND / 10),
            "seed {seed}: {took:?}"
        );
    }
}
