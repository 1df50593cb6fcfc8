use std::time as std_time;

use super::*;

fn spent(budget: &mut Budget, urgency: Urgency, now: time::Moment) -> usize {
    (0..10_000)
        .take_while(|_| budget.take(Kind::Write, urgency, now))
        .count()
}

/// Story: status and burn figures of a large fleet are written at once, and
/// claims of waiting callers find the VM's share of the store used up.
#[test]
fn patient_callers_leave_room_for_claims() {
    let start = time::Moment::default();
    let mut budget = Budget::new(8, start);
    let patient = spent(&mut budget, Urgency::Patient, start);
    let first = spent(&mut budget, Urgency::First, start);
    assert!(patient > 0 && first >= patient, "{patient} {first}");
}

#[test]
fn the_fleet_stays_within_the_stores_rate_at_any_size() {
    let span = std_time::Duration::from_secs(1);
    for vms in [1, 8, 128, 2200] {
        let start = time::Moment::default();
        let mut budget = Budget::new(vms, start);
        spent(&mut budget, Urgency::First, start);
        let mut taken = 0;
        for second in 1..=100u32 {
            taken += spent(&mut budget, Urgency::First, start + span * second);
        }
        let fleet = taken as f64 * vms as f64 / 100.0;
        assert!(fleet <= FLEET_WRITES * 1.01, "{vms} VMs: {fleet}/s");
    }
}

/// Story: a VM comes and goes, and the view of the others changes each second.
/// Were their shares filled each time, they would overrun the store.
#[test]
fn a_view_that_changes_often_fills_nothing() {
    let start = time::Moment::default();
    let mut budget = Budget::new(8, start);
    spent(&mut budget, Urgency::First, start);
    for vms in [9, 8, 9, 8] {
        budget.resize(vms, start);
        assert_eq!(spent(&mut budget, Urgency::First, start), 0);
    }
}
