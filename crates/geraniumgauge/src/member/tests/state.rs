use super::*;

use rand::Rng as _;

#[path = "gossip.rs"]
mod gossip;
#[path = "net.rs"]
mod net;

use net::Net;

fn update(topic: member::Topic, key: &str, version: u64) -> member::Update {
    member::Update {
        topic,
        key: key.to_owned(),
        version,
        body: bytes::Bytes::from_static(b"fact"),
    }
}

fn check(property: fn(u64) -> bool) {
    crate::seeds::checker().tests(40).quickcheck(property);
}

fn lossy() -> net::Faults {
    net::Faults {
        loss: 0.15,
        duplicate: 0.1,
        delay: 3,
        ..net::Faults::default()
    }
}

#[test]
fn members_find_each_other_from_one_seed_despite_losses() {
    fn property(seed: u64) -> bool {
        let mut net = Net::new(2 + (seed % 12) as usize, seed);
        net.faults = lossy();
        net.run(5);
        net.faults = net::Faults::default();
        net.converges(20)
    }
    check(property);
}

/// A VM that loses power keeps its work until it is declared dead. That must happen
/// within a bounded time, and to no other VM.
#[test]
fn a_dead_vm_is_removed_in_bounded_rounds_and_no_other() {
    fn property(seed: u64) -> bool {
        let count = 4 + (seed % 10) as usize;
        let mut net = Net::settled(count, seed);
        net.faults.loss = 0.05;
        net.nodes[count - 1].up = false;
        net.run(10);
        net.faults.loss = 0.0;
        net.converges(10)
    }
    check(property);
}

/// A VM is paused for a minute while its host is migrated, and others declare it
/// dead. When it resumes, its socket is empty and all its timers have expired. It
/// must declare nobody dead, and must refute and rejoin in the same incarnation.
#[test]
fn a_paused_vm_returns_and_removes_nobody() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(6, seed);
        net.faults.pause_drops = true;
        // Node 5 pauses while it suspects node 4, which is paused only briefly.
        net.nodes[4].paused = true;
        let suspects = |net: &Net| !net.nodes[5].state.suspects.is_empty();
        while !suspects(&net) {
            net.step();
        }
        net.nodes[5].paused = true;
        net.nodes[4].paused = false;
        net.run(60);
        let removed = net.nodes[0].state.view().get(&net::vm(5)).is_none();
        net.nodes[5].paused = false;
        let back = net.converges(20);
        let own = net.nodes[5].state.own();
        let same = own.incarnation == ids::Incarnation(1) && own.refutation > 0;
        removed && back && same && net.nodes[5].state.stats.deaths == 0
    }
    check(property);
}

/// A VM restarts under its name and address within a second, while records of its
/// first incarnation are still being gossiped. They must not replace those of the
/// second, nor may the first one's `leaving` carry over.
#[test]
fn a_restarted_vm_is_a_member_again() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(5, seed);
        net.faults = lossy();
        net.event(3, Event::Leave);
        net.run(1);
        net.restart(3, 2);
        net.run(5);
        net.faults = net::Faults::default();
        let back = net.converges(20);
        let view = net.nodes[0].state.view();
        let seen = view.get(&net::vm(3)).map(|m| (m.incarnation, m.state));
        back && seen == Some((ids::Incarnation(2), member::State::Alive))
    }
    check(property);
}

/// A VM restarts with its clock set back, so its new incarnation is lower than the
/// one before. Without a correction others would ignore it for good.
#[test]
fn a_restart_with_a_clock_set_back_raises_its_incarnation() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(4, seed);
        net.restart(2, 100);
        let first = net.converges(20);
        net.restart(2, 50);
        let second = net.converges(20);
        let view = net.nodes[0].state.view();
        let seen = view.get(&net::vm(2)).map(|m| m.incarnation);
        first && second && seen == Some(ids::Incarnation(101))
    }
    check(property);
}

/// During a long network partition each side declares the other dead and works on.
/// Afterwards they must find each other without a restart.
#[test]
fn partitioned_regions_go_on_and_find_each_other_again() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(6, seed);
        // Neither the store's list nor a seed names the other side.
        let contacts =
            |node: &mut net::Node| node.state.contacts = join::Contacts::new(vec![], net::START);
        net.nodes.iter_mut().for_each(contacts);
        net.partition(0..3);
        net.run(600);
        let alone = net
            .nodes
            .iter()
            .all(|node| node.state.view().members.len() == 3);
        net.faults.cut.clear();
        alone && net.converges(30)
    }
    crate::seeds::checker()
        .tests(10)
        .quickcheck(property as fn(u64) -> bool);
}

/// When a roll-out stops two VMs at the same time, all others must know each of them
/// as leaving before it stops, though the two may have confirmed each other's
/// announcement.
#[test]
fn two_vms_that_leave_at_once_are_both_known_as_leaving() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(5, seed);
        net.faults.loss = 0.1;
        net.event(1, Event::Leave);
        net.event(2, Event::Leave);
        net.run(3);
        let announced = net.nodes[1].announced && net.nodes[2].announced;
        let leaving = |node: &net::Node, of: usize| {
            let view = node.state.view();
            view.get(&net::vm(of)).map(|member| member.state) == Some(member::State::Leaving)
        };
        announced && net.nodes.iter().all(|n| leaving(n, 1) && leaving(n, 2))
    }
    check(property);
}

/// A firewall drops datagrams from one VM to one other. Relayed probes still reach
/// it, so neither may be suspected.
#[test]
fn a_one_way_loss_between_two_vms_makes_nobody_suspect() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(6, seed);
        let failed = |net: &Net| {
            net.nodes
                .iter()
                .map(|n| n.state.stats.probes_failed)
                .sum::<u64>()
        };
        let before = failed(&net);
        net.faults.cut.insert((0, 5));
        net.run(60);
        failed(&net) == before && net.agree()
    }
    check(property);
}

/// A VM that can send but not receive declares all others dead, and they it. Both
/// must end with the fault.
#[test]
fn a_vm_that_received_nothing_is_a_member_again_once_it_receives() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(5, seed);
        net.faults.cut.extend((0..4).map(|from| (from, 4)));
        net.run(40);
        net.faults.cut.clear();
        net.converges(20)
    }
    check(property);
}

/// Under any sequence of loss, delay, duplication, pauses and partitions, a member
/// seen leaving in an incarnation is never seen otherwise in that incarnation.
#[test]
fn leaving_is_never_undone_within_an_incarnation() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(5, seed);
        net.faults = lossy();
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let mut left = collections::HashSet::new();
        net.event(1, Event::Leave);
        for _ in 0..40 {
            let node = rng.random_range(0..5);
            match rng.random_range(0..5) {
                0 => net.nodes[node].paused = true,
                1 => net.nodes.iter_mut().for_each(|node| node.paused = false),
                2 => net.partition(0..node),
                3 => net.faults.cut.clear(),
                _ => net.event(node, Event::Leave),
            }
            net.run(rng.random_range(1..8));
            for (node, at) in net.nodes.iter().enumerate() {
                for member in at.state.view().members {
                    let seen = (node, member.vm.clone(), member.incarnation);
                    if member.state == member::State::Leaving {
                        left.insert(seen);
                    } else if left.contains(&seen) {
                        return false;
                    }
                }
            }
        }
        true
    }
    check(property);
}

/// Views must agree again within a bounded time after faults end, without restarts.
#[test]
fn views_converge_once_the_network_recovers() {
    fn property(seed: u64) -> bool {
        let mut net = Net::settled(6, seed);
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        net.faults = net::Faults {
            loss: 0.4,
            ..lossy()
        };
        for _ in 0..6 {
            let node = rng.random_range(0..6);
            net.partition(0..node);
            net.nodes[node].paused = !net.nodes[node].paused;
            net.run(rng.random_range(1..15));
            net.faults.cut.clear();
        }
        net.nodes.iter_mut().for_each(|node| node.paused = false);
        net.faults = net::Faults::default();
        net.converges(40)
    }
    check(property);
}

/// A lagging platform list still marks a VM as leaving that has restarted. The flag
/// must apply only to the incarnation that it was first seen with.
#[test]
fn a_lagging_leaving_flag_does_not_apply_to_the_next_incarnation() {
    let mut net = Net::settled(3, 3);
    let listed = store::Vm {
        vm: net::vm(2),
        address: net::address(2),
        data_centre: "dc-2".parse().unwrap(),
        leaving: true,
    };
    let seen = |net: &Net| net.nodes[0].state.view().get(&net::vm(2)).map(|m| m.state);
    net.event(0, Event::Listed(vec![listed.clone()]));
    assert_eq!(seen(&net), Some(member::State::Leaving));
    net.restart(2, 2);
    assert!(net.converges(20));
    net.event(0, Event::Listed(vec![listed]));
    assert_eq!(seen(&net), Some(member::State::Alive));
}

/// When two VMs are given the same name by mistake, the earlier one must report it
/// and not raise its incarnation above the other's without end.
#[test]
fn a_vm_whose_name_is_duplicated_reports_it_and_keeps_its_incarnation() {
    let mut net = Net::settled(3, 5);
    let mut other = net::record(2, 9);
    other.address = net::address(1);
    let datagram = wire::Datagram {
        from: Some(wire::Record::from(&other)),
        ..wire::Datagram::default()
    };
    let from = net::address(1);
    net.event(2, Event::Datagram { from, datagram });
    assert!(net.nodes[2].duplicate_name);
    assert_eq!(net.nodes[2].state.own().incarnation, ids::Incarnation(1));
}

/// A VM dies shortly before another one starts, and a third hasn't noticed the death
/// yet. Guards against a dead VM that the new one takes up as live, because it had
/// dropped the record of the death.
#[test]
fn an_outdated_record_does_not_bring_back_a_vm_that_died_before_this_one_started() {
    let mut net = Net::settled(3, 7);
    let record = |health| record::Record {
        health,
        ..net::record(9, 1)
    };
    let tell = |net: &mut Net, health| {
        let datagram = wire::Datagram {
            from: Some(wire::Record::from(&net::record(1, 1))),
            records: vec![wire::Record::from(&record(health))],
            ..wire::Datagram::default()
        };
        let from = net::address(1);
        net.event(0, Event::Datagram { from, datagram });
    };
    tell(&mut net, record::Health::Dead);
    tell(&mut net, record::Health::Alive);
    assert!(net.nodes[0].state.view().get(&net::vm(9)).is_none());
    let state = &net.nodes[0].state;
    assert_eq!(state.stats().live, 3);
    net.now = net.now + settings::Settings::default().unknown_tombstone_lifetime;
    net.run(2);
    assert!(net.nodes[0].state.record(&net::vm(9)).is_none());
}

#[test]
fn a_long_dead_member_is_forgotten_with_its_applied_updates() {
    let mut net = Net::settled(3, 5);
    net.event(2, Event::Publish(update(member::Topic::Applied, "vm-2", 1)));
    net.run(5);
    net.nodes[2].up = false;
    net.run(15);
    assert!(net.nodes[0].state.record(&net::vm(2)).is_some());
    net.now = net.now + settings::Settings::default().tombstone_lifetime;
    net.run(2);
    assert!(net.nodes[0].state.record(&net::vm(2)).is_none());
    let held = net.nodes[0].state.update(member::Topic::Applied, "vm-2");
    assert!(held.is_none());
}
