//! Load: a fleet whose small VMs run out of extra calls while large ones hold
//! some for all.

use std::time;

use super::world;
use crate::forward;
use crate::ids;
use crate::rate;
use crate::time as clock;

const SMALL: usize = 4;
const LARGE: usize = 2;
const FIXED: f64 = 56.0;
const WINDOW: time::Duration = time::Duration::from_secs(10);

fn policy() -> forward::Policy {
    forward::Policy {
        extra_share: rate::Share::percent(20),
        extra_calls: FIXED,
        extra_window: WINDOW,
        ..forward::Policy::default()
    }
}

/// One VM, whose clock starts with its process.
struct Vm {
    allowance: forward::Allowance,
    rank: forward::Rank,
    started: clock::Moment,
}

impl Vm {
    fn start(rank: forward::Rank, now: clock::Moment) -> Self {
        let mut allowance = forward::Allowance::default();
        allowance.set_parts(forward::Parts::new(rank, SMALL + LARGE, LARGE));
        Self {
            allowance,
            rank,
            started: now,
        }
    }

    fn clock(&self, now: clock::Moment) -> clock::Moment {
        clock::Moment(now.0 - self.started.0)
    }
}

/// A fleet; small VMs first.
struct Fleet {
    vms: Vec<Vm>,
    service: ids::Service,
    now: clock::Moment,
    requests: Vec<clock::Moment>,
    extras: Vec<clock::Moment>,
}

impl Fleet {
    /// A fleet that has run for a while.
    fn new() -> Self {
        let small = (0..SMALL).map(|_| forward::Rank::Small);
        let ranks = small.chain((0..LARGE).map(|_| forward::Rank::Large));
        let started = clock::Moment::from_millis(1);
        Self {
            vms: ranks.map(|rank| Vm::start(rank, started)).collect(),
            service: world::name(0),
            now: clock::Moment::from_millis(30_000),
            requests: Vec::new(),
            extras: Vec::new(),
        }
    }

    /// A small VM takes a request; `helper` makes its first call, if anybody is
    /// told of it.
    fn request(&mut self, vm: usize, helper: Option<usize>) {
        let policy = policy();
        let now = self.now;
        let entry = &mut self.vms[vm % SMALL];
        let at = entry.clock(now);
        entry.allowance.first(&self.service, &policy, at);
        if let Some(helper) = helper {
            let helper = &mut self.vms[SMALL + helper % LARGE];
            let at = helper.clock(now);
            helper.allowance.first_of_other(&self.service, &policy, at);
        }
        self.requests.push(now);
    }

    /// A small VM wants an extra call, by `helper` where it can't pay itself;
    /// whether it was made.
    fn extra(&mut self, vm: usize, helper: usize) -> bool {
        let policy = policy();
        let now = self.now;
        let entry = &mut self.vms[vm % SMALL];
        let at = entry.clock(now);
        let paid = match entry.allowance.extra(&self.service, &policy, at) {
            Some(forward::Payer::Own) => true,
            Some(forward::Payer::Helper) => {
                let helper = &mut self.vms[SMALL + helper % LARGE];
                let at = helper.clock(now);
                helper.allowance.lend(&self.service, &policy, at)
            }
            None => false,
        };
        if paid {
            self.extras.push(now);
        }
        paid
    }

    /// A large VM ends, and another one starts in its place.
    fn replace(&mut self, helper: usize) {
        let vm = &mut self.vms[SMALL + helper % LARGE];
        *vm = Vm::start(vm.rank, self.now);
    }

    /// Whether some window has more extra calls than it allows.
    fn overspent(&self) -> bool {
        let within =
            |at: &clock::Moment, start: clock::Moment| *at >= start && at.since(start) < WINDOW;
        self.extras.iter().any(|start| {
            let count = |times: &[clock::Moment]| {
                times.iter().filter(|at| within(at, *start)).count() as f64
            };
            let before = |at: &&clock::Moment| **at < *start && start.since(**at) < WINDOW;
            let earlier = self.requests.iter().filter(before).count() as f64;
            count(&self.extras) > 0.2 * count(&self.requests).max(earlier) + FIXED
        })
    }
}

/// Story: the callers of one of many small VMs meet a slow upstream. The VM's own
/// part of the allowance is spent at once; that of the fleet is hardly touched,
/// and its searches lacked the shard all the same.
#[test]
fn a_small_vm_that_has_spent_its_part_is_lent_more() {
    let alone = (FIXED / (SMALL + LARGE) as f64) as usize;
    let mut fleet = Fleet::new();
    let lent = (0..100).filter(|turn| fleet.extra(0, *turn)).count();
    assert!(lent > 3 * alone, "{lent} of {FIXED}, alone {alone}");
    assert!(!fleet.overspent());
}

/// Story: no large VM can be asked, as all of them are gone. Small VMs still hedge
/// out of what they kept, and nobody lends what nobody holds.
#[test]
fn small_vms_that_are_alone_keep_a_part_and_no_more() {
    let mut fleet = Fleet::new();
    let policy = policy();
    let now = fleet.now;
    let mut kept = 0;
    for vm in &mut fleet.vms[..SMALL] {
        let mut pay = || vm.allowance.extra(&world::name(0), &policy, now);
        kept += (0..100)
            .filter(|_| pay() == Some(forward::Payer::Own))
            .count();
    }
    assert!((SMALL..=FIXED as usize / 2).contains(&kept), "{kept}");
}

/// Story: a large VM spends all that it holds, crashes, and is back within a
/// second. It knows nothing of what it spent, so it must not spend it again.
#[test]
fn a_large_vm_that_restarts_lends_nothing_for_a_window() {
    let mut fleet = Fleet::new();
    while fleet.extra(0, 0) {}
    let spent = fleet.extras.len();
    fleet.replace(0);
    fleet.now = fleet.now + time::Duration::from_secs(1);
    while fleet.extra(0, 0) {}
    assert_eq!(fleet.extras.len(), spent);
    fleet.now = fleet.now + WINDOW;
    while fleet.extra(0, 0) {}
    assert!(fleet.extras.len() > spent);
}

/// Story: a VM pays for a call to another upstream, and the VM that was to make it
/// sends it back. What was paid for nothing can be spent again, once; what lies
/// outside of both windows changes nothing.
#[test]
fn what_was_paid_for_nothing_can_be_spent_again_once() {
    let policy = policy();
    let mut budget = forward::Budget::default();
    let part = forward::Part::of(4);
    let now = clock::Moment::from_millis(60_000);
    while budget.extra(&policy, part, now) {}
    budget.refund(&policy, clock::Moment::from_millis(10_000), now);
    assert!(!budget.extra(&policy, part, now));
    let later = now + time::Duration::from_millis(900);
    budget.refund(&policy, now, later);
    assert!(budget.extra(&policy, part, later));
    assert!(!budget.extra(&policy, part, later));
}

/// Story: all VMs of a fleet are alike. Nobody makes calls for small VMs, so each
/// holds an even part, and none asks another.
#[test]
fn equal_vms_hold_even_parts() {
    let mut allowance = forward::Allowance::default();
    allowance.set_parts(forward::Parts::new(forward::Rank::Equal, 4, 0));
    let now = clock::Moment::from_millis(30_000);
    let mut pay = || allowance.extra(&world::name(0), &policy(), now);
    let paid = (0..100)
        .filter(|_| pay() == Some(forward::Payer::Own))
        .count();
    assert_eq!(paid, 13, "a quarter of what is used of {FIXED}");
    assert_eq!(pay(), None);
}

quickcheck::quickcheck! {
    /// Whoever asks whom, whatever first calls are told to nobody, and whichever
    /// large VMs are replaced: no window has more extra calls than it allows.
    fn no_window_of_the_fleet_passes_its_allowance(steps: Vec<(u8, u8, u8, u16)>) -> bool {
        let mut fleet = Fleet::new();
        for (vm, helper, kind, pause) in steps.into_iter().take(40) {
            let (vm, helper) = (usize::from(vm), usize::from(helper));
            match kind % 8 {
                0 => fleet.replace(helper),
                1 => fleet.request(vm, None),
                kind => {
                    for _ in 0..u32::from(kind) * 8 {
                        fleet.request(vm, Some(helper));
                    }
                }
            }
            for vm in 0..SMALL {
                while fleet.extra(vm, helper) {}
            }
            fleet.now = fleet.now + time::Duration::from_millis(u64::from(pause % 3000));
        }
        !fleet.overspent()
    }
}
