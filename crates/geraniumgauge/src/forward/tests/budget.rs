use std::time;

use crate::forward;
use crate::rate;
use crate::time as clock;

const VMS: usize = 4;

fn policy() -> forward::Policy {
    forward::Policy {
        extra_share: rate::Share::percent(20),
        extra_calls: 56.0,
        extra_window: time::Duration::from_secs(10),
        ..forward::Policy::default()
    }
}

quickcheck::quickcheck! {
    /// Whatever the load, in no window do extra calls of all VMs pass the
    /// allowance of that window's requests.
    fn no_window_passes_its_allowance(steps: Vec<(u8, u8, u16)>) -> bool {
        let policy = policy();
        let mut budgets = vec![forward::Budget::default(); VMS];
        let mut now = clock::Moment::from_millis(12_345);
        let mut events: Vec<(clock::Moment, bool)> = Vec::new();
        for (vm, firsts, pause) in steps.into_iter().take(30) {
            let budget = &mut budgets[usize::from(vm) % VMS];
            for _ in 0..firsts % 50 {
                budget.first(&policy, now);
                events.push((now, false));
            }
            while budget.extra(&policy, forward::Part::of(VMS), now) {
                events.push((now, true));
            }
            now = now + time::Duration::from_millis(u64::from(pause % 3000));
        }
        events.iter().all(|(start, _)| {
            let within = |at: clock::Moment| at >= *start && at.since(*start) < policy.extra_window;
            let window = events.iter().filter(|(at, _)| within(*at));
            let extras = window.clone().filter(|(_, extra)| *extra).count() as f64;
            let firsts = window.filter(|(_, extra)| !extra).count() as f64;
            let before = |at: clock::Moment| at < *start && start.since(at) < policy.extra_window;
            let earlier = events.iter().filter(|(at, extra)| !extra && before(*at)).count() as f64;
            extras <= 0.2 * firsts.max(earlier) + 56.0
        })
    }
}

/// Story: callers come in a burst, nearly ten seconds later in another, and then
/// every call fails. Both bursts paid for extra calls at once, though no window
/// holds both: the service got half as many again as its operators allow.
#[test]
fn two_bursts_a_window_apart_pay_once() {
    let policy = policy();
    let mut budgets = vec![forward::Budget::default(); VMS];
    let start = clock::Moment::from_millis(20_000);
    let later = start + time::Duration::from_millis(9_500);
    let mut extras = 0;
    for budget in &mut budgets {
        for _ in 0..100 {
            budget.first(&policy, start);
            budget.first(&policy, later);
        }
        while budget.extra(&policy, forward::Part::of(VMS), later) {
            extras += 1;
        }
    }
    let allowed = 400 / 5 + 56;
    assert!(
        (allowed / 3..=allowed).contains(&extras),
        "{extras} of {allowed}"
    );
}

/// Story: a service fails every call. Without a bound each failure would be
/// tried again, and the failing service would get twice its load.
#[test]
fn a_storm_of_failures_gets_a_fifth_more_at_most() {
    let policy = policy();
    let mut budget = forward::Budget::default();
    let mut extras = 0;
    for millis in 0..60_000 {
        let now = clock::Moment::from_millis(millis);
        budget.first(&policy, now);
        extras += u32::from(budget.extra(&policy, forward::Part::of(VMS), now));
    }
    assert!((8_000..=12_000).contains(&extras), "{extras} beside 60000");
}
