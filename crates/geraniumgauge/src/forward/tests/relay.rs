use std::net;

use crate::forward;
use crate::time as clock;

fn vm(number: u8, data_centre: &str, cores: f64) -> forward::Relay {
    forward::Relay {
        address: address(number),
        data_centre: data_centre.parse().expect("a name"),
        cores,
    }
}

fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, number], 1))
}

fn relays(cores: f64, vms: Vec<forward::Relay>) -> forward::Relays {
    let mut relays = forward::Relays::new("a".parse().expect("a name"), cores);
    let addresses: Vec<_> = vms.iter().map(|vm| vm.address).collect();
    relays.set(vms);
    for address in addresses {
        relays.set_connected(address);
    }
    relays
}

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// Eight equal VMs. Calls within its data centre cost a VM little, so it makes
/// them itself. Calls elsewhere go to the VMs there in turn.
#[test]
fn equal_vms_relay_only_across_data_centres() {
    let fleet = vec![vm(1, "a", 0.25), vm(2, "b", 0.25), vm(3, "b", 0.25)];
    let mut relays = relays(0.25, fleet);
    let own = "a".parse().expect("a name");
    let other = "b".parse().expect("a name");
    assert_eq!(relays.choose(&own, 30, at(0)), None);
    let mut chosen = [
        relays.choose(&other, 30, at(0)),
        relays.choose(&other, 30, at(0)),
    ];
    chosen.sort();
    assert_eq!(chosen, [Some(address(2)), Some(address(3))]);
}

/// Most VMs have an eighth of a core, and two in each data centre have half a
/// core. A wide search would take a small VM longer than its upstreams.
#[test]
fn small_vms_delegate_wide_searches_to_large_ones() {
    let fleet = vec![
        vm(1, "a", 0.5),
        vm(2, "a", 0.12),
        vm(3, "b", 0.12),
        vm(4, "b", 0.5),
    ];
    let mut small = relays(0.12, fleet.clone());
    let own = "a".parse().expect("a name");
    let other = "b".parse().expect("a name");
    assert_eq!(small.choose(&own, 90, at(0)), Some(address(1)));
    assert_eq!(small.choose(&other, 90, at(0)), Some(address(4)));
    assert_eq!(
        small.choose(&own, 3, at(0)),
        None,
        "it makes few calls itself"
    );
    let mut large = relays(0.5, fleet);
    assert_eq!(large.choose(&own, 90, at(0)), None);
}

/// A relay freezes. Each search delegated to it would lose its first calls
/// until the connection fails a second later.
#[test]
fn a_silent_vm_gets_no_more_calls_until_it_answers() {
    let mut relays = relays(0.25, vec![vm(2, "b", 0.25)]);
    let other = "b".parse().expect("a name");
    relays.asked(address(2), at(0));
    assert!(relays.choose(&other, 30, at(50)).is_some());
    assert_eq!(relays.choose(&other, 30, at(100)), None);
    relays.answered(address(2));
    assert!(relays.choose(&other, 30, at(200)).is_some());
    relays.link_lost(address(2));
    assert_eq!(relays.choose(&other, 30, at(200)), None);
}

/// In any fleet, the connections of all VMs to one upstream stay within its
/// limit.
#[test]
fn connections_of_all_vms_stay_within_the_limit() {
    for (fleet, limit) in [
        (vec![("a", 0.25, 3), ("b", 0.25, 3), ("c", 0.25, 2)], 26),
        (
            vec![
                ("a", 0.5, 2),
                ("a", 0.12, 19),
                ("b", 0.5, 2),
                ("b", 0.12, 18),
            ],
            200,
        ),
    ] {
        let mut all = Vec::new();
        for (data_centre, cores, count) in fleet {
            for _ in 0..count {
                let number = u8::try_from(all.len() + 1).expect("a small fleet");
                all.push(vm(number, data_centre, cores));
            }
        }
        let upstream = "a".parse().expect("a name");
        let sum: f64 = all
            .iter()
            .map(|own| {
                let mut relays = forward::Relays::new(own.data_centre.clone(), own.cores);
                let others = all.iter().filter(|other| other.address != own.address);
                relays.set(others.cloned().collect());
                relays.max_connections(&upstream, limit, all.len())
            })
            .sum();
        assert!(sum <= f64::from(limit), "{sum} of {limit}");
    }
}

/// Guards against large VMs that each take the share of all of them, as they don't know of
/// each other.
#[test]
fn connections_stay_within_the_limit_if_large_vms_dont_know_each_other() {
    let limit = 52;
    let small = (1..=18).map(|number| vm(number, "a", 0.12));
    let small: Vec<forward::Relay> = small.collect();
    let upstream = "a".parse().expect("a name");
    let large = relays(0.5, small.clone());
    let sum = 2.0 * large.max_connections(&upstream, limit, small.len() + 2);
    assert!(sum <= f64::from(limit), "{sum} of {limit}");
}

/// One of two large VMs freezes. After the first search that finds its frame overdue, later
/// searches must not wait for it. If it is the only relay it is still used, since ninety
/// calls take a small VM longer than a late frame.
#[test]
fn a_silent_vm_is_asked_last_until_it_answers() {
    let fleet = vec![vm(1, "b", 0.5), vm(2, "b", 0.5)];
    let mut relays = relays(0.12, fleet);
    let data_centre = "b".parse().expect("a name");
    relays.mark_silent(address(1));
    for _ in 0..4 {
        assert_eq!(relays.choose(&data_centre, 90, at(0)), Some(address(2)));
    }
    relays.mark_silent(address(2));
    assert!(relays.choose(&data_centre, 90, at(0)).is_some());
    relays.answered(address(1));
    for _ in 0..4 {
        assert_eq!(relays.choose(&data_centre, 90, at(0)), Some(address(1)));
    }
}

/// Sixty VMs start at the same time. When each connected to every upstream of its data centre,
/// the upstreams' limits were exceeded and handshakes took the slots of calls. Small VMs delegate
/// and need no connections, but can't tell that they are small until they know the others.
#[test]
fn only_vms_that_make_their_own_calls_connect_in_advance() {
    let data_centre = || "a".parse().expect("a name");
    let unknown = forward::Relays::new(data_centre(), 0.12);
    assert_eq!(unknown.makes_own_calls(), None);
    let fleet = || vec![vm(1, "a", 0.5), vm(2, "a", 0.12)];
    assert_eq!(relays(0.12, fleet()).makes_own_calls(), Some(false));
    assert_eq!(relays(0.5, fleet()).makes_own_calls(), Some(true));
    let equal = vec![vm(1, "a", 0.25), vm(2, "b", 0.25)];
    assert_eq!(relays(0.25, equal).makes_own_calls(), Some(true));
    assert_eq!(relays(0.25, Vec::new()).makes_own_calls(), Some(true));
}

/// VMs that have just started know few others. If each took the share of all,
/// the connections would exceed an upstream's limit.
#[test]
fn a_vm_that_knows_few_others_opens_almost_no_connections() {
    let relays = relays(0.5, vec![vm(1, "a", 0.125)]);
    let near = "a".parse().expect("a name");
    assert!(relays.max_connections(&near, 175, 2) > 50.0);
    assert!(relays.max_connections(&near, 175, 10_000) < 0.01);
}
