//! Configurations so large that a link carries only a few per second.

use std::time;

use crate::follow;
use crate::ids;
use crate::spread;
use crate::spread::tests::news;
use crate::spread::tests::world;
use crate::spread::tests::world::SECOND;

/// Time within which a change must be in force.
const APPLY: time::Duration = time::Duration::from_secs(6);
/// Most polls of the pollers and a few other VMs during one change.
const LOOKS: u64 = 12;

/// Guards against a configuration that all VMs of a data centre fetch from one VM,
/// whose link completes none of the answers before the requesters give up.
#[test]
fn a_large_configuration_reaches_all_by_narrow_links() {
    for (count, seed) in [61, 295]
        .into_iter()
        .flat_map(|c| (0..4).map(move |s| (c, s)))
    {
        let mut world = world::settled(count, seed);
        world.size = 7e5;
        for round in 0..3 {
            world.change();
            let before = world.looks;
            let took = world.until(APPLY, world::World::all_hold);
            assert!(took.is_some(), "{count} VMs, seed {seed}, round {round}");
            let looks = world.looks - before;
            assert!(
                looks <= LOOKS,
                "{count} VMs, seed {seed}, round {round}: {looks} looks"
            );
            world.run(3 * SECOND);
        }
    }
}

/// Guards against a VM that knows of a newer configuration, can't get it from
/// others, and doesn't poll because others report that the store is unavailable.
#[test]
fn word_of_an_outage_keeps_no_vm_from_what_it_lacks() {
    for seed in 0..8 {
        let mut world = world::settled(61, seed);
        let (now, from) = (world.now, "10.0.0.1:7000".parse().expect("an address"));
        let alone = world.vms.iter().position(|vm| vm.state.duty(now).is_none());
        let state = &mut world.vms[alone.expect("most VMs don't look for all")].state;
        let age = state.age(now).expect("it heard of looks");
        let mut number = 1 << 60;
        let mut at = now;
        let looked = loop {
            number += 1;
            state.heard(from, away(number), at);
            let mut looked = false;
            for action in state.tick(at) {
                match action {
                    spread::Action::Fetch { from, .. } => {
                        state.answered(from, None, SECOND, at);
                    }
                    spread::Action::Look => looked = true,
                    _ => {}
                }
            }
            if looked || at.since(now) > 10 * APPLY {
                break age + at.since(now);
            }
            at = at + SECOND / 4;
        };
        // The rest of the bound is left for the poll itself.
        assert!(looked < APPLY * 5 / 6, "seed {seed}: {looked:?}");
    }
}

/// Returns an update that mentions a newer configuration and reports that the store
/// is unavailable.
fn away(number: u64) -> spread::Datagram {
    let holds = spread::Holds {
        revision: Some(ids::Revision(99)),
        digest: follow::Digest(5),
        config: Some(ids::Revision(99)),
    };
    let summary = spread::Summary {
        look: Some(news::look(number, time::Duration::ZERO)),
        ..news::of(holds)
    };
    spread::Datagram::Update(spread::Update {
        away: true,
        ..news::update("vm-1", summary)
    })
}
