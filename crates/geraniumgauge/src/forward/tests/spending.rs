//! A fleet whose small VMs use up their extra calls while large VMs hold a shared budget.

use std::time;

use super::world;
use crate::forward;
use crate::forward::contact;
use crate::ids;
use crate::rate;
use crate::time as clock;

pub(super) const SMALL: usize = 4;
pub(super) const LARGE: usize = 2;
pub(super) const FIXED: f64 = 56.0;
pub(super) const WINDOW: time::Duration = time::Duration::from_secs(10);

pub(super) fn policy() -> forward::Policy {
    forward::Policy {
        extra_share: rate::Share::percent(20),
        extra_calls: FIXED,
        extra_window: WINDOW,
        ..forward::Policy::default()
    }
}

/// A VM whose clock starts with its process.
pub(super) struct Vm {
    pub(super) allowance: forward::Allowance,
    pub(super) size_class: forward::SizeClass,
    started: clock::Moment,
    /// What it has heard of the upstreams, by the fleet's clock.
    contact: contact::Contact,
}

impl Vm {
    pub(super) fn start(size_class: forward::SizeClass, now: clock::Moment) -> Self {
        let mut allowance = forward::Allowance::default();
        let shares = forward::Shares::new(size_class, SMALL + LARGE, LARGE);
        allowance.set_shares(shares, clock::Moment::default());
        Self {
            allowance,
            size_class,
            started: now,
            contact: contact::Contact::Answered,
        }
    }

    pub(super) fn clock(&self, now: clock::Moment) -> clock::Moment {
        clock::Moment(now.0 - self.started.0)
    }
}

/// An extra call that hasn't arrived at its upstream yet.
struct Waiting {
    /// The VM that is charged.
    vm: usize,
    charge: forward::Charge,
    /// Whether that VM has restarted since.
    forgotten: bool,
}

/// A fleet that lists its small VMs first.
pub(super) struct Fleet {
    pub(super) vms: Vec<Vm>,
    service: ids::Service,
    pub(super) now: clock::Moment,
    requests: Vec<clock::Moment>,
    /// Arrival times of extra calls.
    pub(super) extras: Vec<clock::Moment>,
    waiting: Vec<Waiting>,
    /// Since when the upstreams don't read what is sent to them; `None` if they do.
    silent_since: Option<clock::Moment>,
}

impl Fleet {
    /// Creates a fleet that has run for a while.
    pub(super) fn new() -> Self {
        let small = (0..SMALL).map(|_| forward::SizeClass::Small);
        let size_classes = small.chain((0..LARGE).map(|_| forward::SizeClass::Large));
        let started = clock::Moment::from_millis(1);
        Self {
            vms: size_classes
                .map(|size_class| Vm::start(size_class, started))
                .collect(),
            service: world::name(0),
            now: clock::Moment::from_millis(30_000),
            requests: Vec::new(),
            extras: Vec::new(),
            waiting: Vec::new(),
            silent_since: None,
        }
    }

    /// A small VM receives a request. `relay`, if given, makes its first call, and otherwise
    /// the VM itself.
    pub(super) fn request(&mut self, vm: usize, relay: Option<usize>) {
        let policy = policy();
        let now = self.now;
        let coordinator = &mut self.vms[vm % SMALL];
        let at = coordinator.clock(now);
        coordinator
            .allowance
            .count_request(&self.service, &policy, at);
        let maker = match relay {
            Some(relay) => SMALL + relay % LARGE,
            None => vm % SMALL,
        };
        let maker = &mut self.vms[maker];
        let at = maker.clock(now);
        maker.allowance.count_first_call(&self.service, &policy, at);
        self.requests.push(now);
    }

    /// A small VM needs an extra call, charged to `relay` if its own budget
    /// doesn't allow it. Returns whether the call was made.
    pub(super) fn extra(&mut self, vm: usize, relay: usize) -> bool {
        let policy = policy();
        let now = self.now;
        let is_limited = |vm: &Vm| vm.contact.may_have_waiting(WINDOW, now);
        let coordinator = &mut self.vms[vm % SMALL];
        let limited = is_limited(coordinator);
        let at = coordinator.clock(now);
        let (vm, charge) =
            match coordinator
                .allowance
                .take_extra(&self.service, limited, &policy, at)
            {
                Some(forward::Grant::Charged(charge)) => (vm % SMALL, Some(charge)),
                Some(forward::Grant::AskRelay) => {
                    let index = SMALL + relay % LARGE;
                    let relay = &mut self.vms[index];
                    let limited = is_limited(relay);
                    let at = relay.clock(now);
                    let charge =
                        relay
                            .allowance
                            .take_extra_for_other(&self.service, limited, &policy, at);
                    (index, charge)
                }
                None => return false,
            };
        let Some(charge) = charge else {
            return false;
        };
        self.waiting.push(Waiting {
            vm,
            charge,
            forgotten: false,
        });
        if self.silent_since.is_none() {
            self.arrive();
        }
        true
    }

    /// Lets the waiting extra calls arrive, and the VMs learn of it.
    pub(super) fn arrive(&mut self) {
        let policy = policy();
        for call in std::mem::take(&mut self.waiting) {
            let vm = &mut self.vms[call.vm];
            let at = vm.clock(self.now);
            if !call.forgotten {
                vm.allowance.arrived(&call.charge, &policy, at);
            }
            self.extras.push(self.now);
        }
    }

    /// Sets whether the upstreams don't read what is sent to them.
    pub(super) fn set_silent(&mut self, silent: bool) {
        self.silent_since = silent.then(|| self.silent_since.unwrap_or(self.now));
        if !silent {
            for vm in &mut self.vms {
                vm.contact.answered(self.now);
            }
            self.arrive();
        }
    }

    /// Replaces a large VM by a newly started one.
    pub(super) fn replace(&mut self, relay: usize) {
        self.restart(SMALL + relay % LARGE);
    }

    /// Restarts a VM, which then isn't charged for its waiting calls any more.
    pub(super) fn restart(&mut self, index: usize) {
        for call in &mut self.waiting {
            call.forgotten |= call.vm == index;
        }
        let vm = &mut self.vms[index];
        *vm = Vm::start(vm.size_class, self.now);
        if self.silent_since.is_some() {
            vm.contact = contact::Contact::Silent;
        }
    }

    /// Stops a VM in an orderly way, and starts its successor, which takes over what it has
    /// spent.
    pub(super) fn stop_and_start(&mut self, index: usize) {
        let (policy, now) = (policy(), self.now);
        let vm = &mut self.vms[index];
        let at = vm.clock(now);
        let spent = vm.allowance.hand_over(&policy, at);
        self.restart(index);
        let vm = &mut self.vms[index];
        let at = vm.clock(now);
        vm.allowance.inherit(spent, &policy, at);
    }

    /// Replaces a small VM by a newly started one.
    pub(super) fn replace_small(&mut self, vm: usize) {
        self.restart(vm % SMALL);
    }

    /// Sets the shares of all VMs but `left` to those in a fleet of `vms` VMs.
    pub(super) fn set_shares_of_others(&mut self, left: usize, vms: usize, large: usize) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            if index != left {
                let shares = forward::Shares::new(vm.size_class, vms, large);
                let at = vm.clock(self.now);
                vm.allowance.set_shares(shares, at);
            }
        }
    }

    /// Lets time pass. Upstreams that don't read go on after half a window, the longest
    /// time for which late arrivals stay within the allowance whatever requests come.
    pub(super) fn pass(&mut self, delay: time::Duration) {
        let until = self.now + delay;
        if let Some(since) = self.silent_since
            && until >= since + WINDOW / 2
        {
            self.now = since + WINDOW / 2;
            self.set_silent(false);
        }
        self.now = until;
    }

    /// Returns whether any window has more extra calls than allowed.
    pub(super) fn overspent(&self) -> bool {
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
