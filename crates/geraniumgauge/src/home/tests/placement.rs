use std::collections;
use std::sync;

use super::*;

fn member(number: usize, state: member::State) -> member::Member {
    member::Member {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: ids::Incarnation(1),
        data_centre: format!("dc-{}", number % 3).parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        state,
    }
}

fn view(count: usize) -> member::View {
    let members = (0..count).map(|n| member(n, member::State::Alive));
    member::View::new("vm-0".parse().unwrap(), members.collect())
}

fn upstream(number: usize) -> layout::Upstream {
    layout::Upstream {
        id: format!("up-{number}").parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: format!("dc-{}", number % 3).parse().unwrap(),
        slots: 2,
        connections: 25,
        connect_ms: 6,
    }
}

fn service() -> ids::Service {
    "assessor-desk".parse().unwrap()
}

#[test]
fn homes_are_in_the_upstreams_data_centre_while_it_has_two_vms() {
    let view = view(8);
    for number in 0..48 {
        let upstream = upstream(number);
        let homes = Homes::of(&view, &upstream, &service());
        let standby = homes.standby.unwrap();
        assert_ne!(homes.primary, standby);
        for home in [&homes.primary, &standby] {
            assert_eq!(view.get(home).unwrap().data_centre, upstream.data_centre);
        }
    }
}

/// When a VM stops, its upstreams move to the VM that already holds a warm connection
/// to them, and no other upstream moves.
#[test]
fn the_standby_replaces_a_primary_that_leaves() {
    fn property(number: usize, count: u8) -> bool {
        let count = usize::from(count % 30) + 3;
        let upstream = upstream(number % 1000);
        let mut view = view(count);
        let before = Homes::of(&view, &upstream, &service());
        for member in &mut view.members {
            if member.vm == before.primary {
                member.state = member::State::Leaving;
            }
        }
        Some(Homes::of(&view, &upstream, &service()).primary) == before.standby
    }
    crate::seeds::checker().quickcheck(property as fn(usize, u8) -> bool);
}

/// At 2,200 VMs a search over 240 shards sends one frame to each home. If homes were
/// drawn for each upstream, that would be some 230 frames a search.
#[test]
fn a_wide_query_reaches_few_homes_and_none_has_all_upstreams() {
    let view = view(2200);
    let mut loads = collections::BTreeMap::new();
    for number in 0..240 {
        let homes = Homes::of(&view, &upstream(number), &service());
        *loads.entry(homes.primary).or_insert(0) += 1;
    }
    assert!(loads.len() <= 24, "{} homes", loads.len());
    assert!(loads.values().all(|load| *load <= 30), "{loads:?}");
}

#[test]
fn a_single_vm_is_its_own_home() {
    let mut view = view(1);
    let homes = Homes::of(&view, &upstream(0), &service());
    assert_eq!((homes.primary.as_str(), homes.standby), ("vm-0", None));
    view.members[0].state = member::State::Leaving;
    let homes = Homes::of(&view, &upstream(0), &service());
    assert_eq!((homes.primary.as_str(), homes.standby), ("vm-0", None));
}

#[test]
fn the_cache_is_cleared_when_the_view_changes() {
    let cache = Cache::default();
    for count in [8, 3, 12] {
        let view = sync::Arc::new(view(count));
        for number in 0..50 {
            let upstream = upstream(number);
            let fresh = Homes::of(&view, &upstream, &service());
            assert_eq!(cache.of(&view, &upstream, &service()), fresh);
        }
    }
}

#[test]
fn roles_agree_with_homes() {
    let view = view(30);
    for number in 0..40 {
        let upstream = upstream(number);
        let homes = Homes::of(&view, &upstream, &service());
        let role = |vm: &ids::Vm| role(&view, &upstream, &service(), vm);
        assert_eq!(role(&homes.primary), Some(Role::Primary));
        assert_eq!(role(&homes.standby.unwrap()), Some(Role::Standby));
        let roles = view.members.iter().filter_map(|member| role(&member.vm));
        assert_eq!(roles.count(), 3);
    }
}
