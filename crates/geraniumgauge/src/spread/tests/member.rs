use std::time;

use crate::ids;
use crate::spread;
use crate::time as clock;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn member(vm: &str, incarnation: u64, beat: u32) -> spread::Member {
    spread::Member {
        vm: vm.parse().expect("a name"),
        incarnation: ids::Incarnation(incarnation),
        beat,
        address: "10.0.0.1:7000".parse().expect("an address"),
        data_centre: "dc-a".parse().expect("a name"),
        cores: 0.5,
    }
}

fn at(seconds: u64) -> clock::Moment {
    clock::Moment::from_millis(seconds * 1000)
}

quickcheck::quickcheck! {
    /// VMs that received the same records know the same fleet, whatever their order
    /// and however often they came.
    fn the_order_of_records_makes_no_difference(records: Vec<(u8, u8, u8)>) -> bool {
        let read = |(vm, start, beat): &(u8, u8, u8)| {
            member(&format!("vm-{}", vm % 5), u64::from(start % 4), u32::from(*beat % 3))
        };
        let mut members = spread::Members::new(member("own", 1, 0), at(1));
        let mut other = spread::Members::new(member("own", 1, 0), at(1));
        for record in &records {
            members.merge(read(record), time::Duration::ZERO, at(1));
        }
        for record in records.iter().rev().chain(&records) {
            other.merge(read(record), time::Duration::ZERO, at(1));
        }
        members.digest() == other.digest()
            && members.count() == other.count()
            && members.others().eq(other.others())
    }
}

/// Guards against VMs that are gone for good but never expire, because other VMs
/// pass on their records.
#[test]
fn a_vm_that_sends_no_refresh_expires_everywhere() {
    let mut members = spread::Members::new(member("own", 1, 0), at(0));
    members.merge(member("gone", 1, 0), time::Duration::ZERO, at(0));
    members.merge(member("there", 1, 0), time::Duration::ZERO, at(0));
    members.merge(member("there", 1, 1), time::Duration::ZERO, at(150));
    assert!(members.expire(at(200)));
    assert_eq!(members.count(), 2);
    // Another VM that learned of it later sends the age of its record.
    assert!(!members.merge(member("gone", 1, 0), 200 * SECOND, at(201)));
    assert_eq!(members.count(), 2);
}

/// Guards against a VM whose clock went back between two starts, and which others
/// still take for its earlier start.
#[test]
fn a_start_with_an_earlier_clock_replaces_the_one_before() {
    let mut members = spread::Members::new(member("own", 50, 0), at(0));
    assert!(members.merge(member("own", 80, 3), time::Duration::ZERO, at(1)));
    assert_eq!(members.own().incarnation, ids::Incarnation(81));
    let mut others = spread::Members::new(member("other", 1, 0), at(0));
    others.merge(member("own", 80, 3), time::Duration::ZERO, at(0));
    assert!(others.merge(members.own().clone(), time::Duration::ZERO, at(1)));
}

/// Guards against VMs that all take over from a silent poller at once.
#[test]
fn silent_pollers_are_replaced_one_after_the_other() {
    let silence = 7 * SECOND;
    let names: Vec<String> = (0..20).map(|vm| format!("vm-{vm}")).collect();
    let pollers = |now: clock::Moment, polled: Option<(&str, clock::Moment)>| {
        let rank_changes = |own: &&String| {
            let mut members = spread::Members::new(member(own, 1, 0), at(0));
            for vm in &names {
                members.merge(member(vm, 1, 0), time::Duration::ZERO, at(0));
            }
            if let Some((vm, at)) = polled {
                members.polled(&vm.parse().expect("a name"), at);
            }
            members.poller_rank(silence, now).is_some()
        };
        names
            .iter()
            .filter(rank_changes)
            .cloned()
            .collect::<Vec<_>>()
    };
    let first = pollers(at(1), None);
    assert_eq!(first.len(), 2);
    // Both are silent: other VMs follow, but not all of them.
    let next = pollers(at(8), None);
    assert_eq!(next.len(), 4, "{next:?}");
    // One of them has polled: it remains, and one more takes over.
    let kept = pollers(at(8), Some((&first[0], at(5))));
    assert!(kept.len() <= 3 && kept.contains(&first[0]), "{kept:?}");
}
