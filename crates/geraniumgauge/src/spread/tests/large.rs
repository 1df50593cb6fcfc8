//! Configurations so large that a link carries only a few per second.

use std::time;

use crate::follow;
use crate::ids;
use crate::spread;
use crate::spread::tests::messages;
use crate::spread::tests::world;
use crate::spread::tests::world::SECOND;

/// Time within which a change must be in force.
const MAX_APPLY_TIME: time::Duration = time::Duration::from_secs(6);
/// Most polls of the pollers and a few other VMs during one change.
const MAX_POLLS: u64 = 12;

/// Guards against a configuration that all VMs of a data centre fetch from one VM,
/// whose link completes none of the answers before the requesters give up.
#[test]
fn a_large_configuration_reaches_all_over_slow_links() {
    for (count, seed) in [61, 295]
        .into_iter()
        .flat_map(|c| (0..4).map(move |s| (c, s)))
    {
        let mut world = world::settled(count, seed);
        world.size = 7e5;
        for round in 0..3 {
            world.change();
            let before = world.polls;
            let took = world.until(MAX_APPLY_TIME, world::World::all_hold);
            assert!(took.is_some(), "{count} VMs, seed {seed}, round {round}");
            let polls = world.polls - before;
            assert!(
                polls <= MAX_POLLS,
                "{count} VMs, seed {seed}, round {round}: {polls} polls"
            );
            world.run(3 * SECOND);
        }
    }
}

/// Guards against a VM that knows of a newer configuration, can't get it from
/// others, and doesn't poll because others report that the store is unavailable.
#[test]
fn outage_reports_keep_no_vm_from_content_that_it_lacks() {
    for seed in 0..8 {
        let mut world = world::settled(61, seed);
        let (now, from) = (world.now, "10.0.0.1:7000".parse().expect("an address"));
        let follower = world
            .vms
            .iter()
            .position(|vm| vm.state.poller_rank(now).is_none());
        let state = &mut world.vms[follower.expect("most VMs aren't pollers")].state;
        let age = state.age(now).expect("it received polls");
        let mut number = 1 << 60;
        let mut at = now;
        let polled = loop {
            number += 1;
            state.receive(from, unavailable_update(number), at);
            let mut polled = false;
            for action in state.tick(at) {
                match action {
                    spread::Action::Fetch { from, .. } => {
                        state.fetched(from, None, SECOND, at);
                    }
                    spread::Action::Poll => polled = true,
                    _ => {}
                }
            }
            if polled || at.since(now) > 10 * MAX_APPLY_TIME {
                break age + at.since(now);
            }
            at = at + SECOND / 4;
        };
        // The rest of the bound is left for the poll itself.
        assert!(polled < MAX_APPLY_TIME * 5 / 6, "seed {seed}: {polled:?}");
    }
}

/// Returns an update that mentions a newer configuration and reports that the store
/// is unavailable.
fn unavailable_update(number: u64) -> spread::Datagram {
    let position = spread::Position {
        revision: Some(ids::Revision(99)),
        digest: follow::Digest(5),
        config: Some(ids::Revision(99)),
    };
    let summary = spread::Summary {
        poll: Some(messages::poll(number, time::Duration::ZERO)),
        ..messages::of(position)
    };
    spread::Datagram::Update(spread::Update {
        unavailable: true,
        ..messages::update("vm-1", summary)
    })
}
