//! Which extra calls this VM may make, and which it pays for others.
//!
//! The fleet may make so many extra calls to a service in a window. Divided
//! evenly, each of some sixty VMs holds a handful: those that meet a slow
//! upstream run out while the others keep theirs. So where a fleet has large VMs
//! that make the small ones' calls, they hold half of the allowance, and a small
//! VM that has spent its own part asks one of them to make a call and to pay for
//! it, in the message that asks for the call anyway.
//!
//! The sum holds whatever VMs know of each other: each spends its own parts by
//! its own counts, a request is counted once in each kind of budget, by the VM
//! that took it and by the one that makes its first call, and a holder that dies
//! takes with it what it hasn't spent.

use std::collections;

use crate::forward;
use crate::ids;
use crate::time as clock;

/// Part of the allowance that VMs keep for their own calls where large VMs hold
/// the rest. It is all there is for a window after large VMs started.
const KEPT: f64 = 0.5;

/// The parts of the fleet's allowance that a VM spends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Parts {
    /// For its own calls.
    own: forward::Part,
    /// For its own and other VMs' calls, where it is large.
    lent: Option<forward::Part>,
    /// Whether other VMs may be asked to pay.
    may_ask: bool,
}

/// A VM's place in a fleet whose VMs differ in power.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rank {
    /// All VMs are alike.
    Equal,
    /// It makes calls for small VMs.
    Large,
    /// A large one makes its calls.
    Small,
}

impl Parts {
    /// The parts of one of `vms` VMs, of which `large` make the others' calls.
    pub fn new(rank: Rank, vms: usize, large: usize) -> Self {
        let even = forward::Part::of(vms);
        if rank == Rank::Equal {
            return Self {
                own: even,
                lent: None,
                may_ask: false,
            };
        }
        let own = forward::Part {
            fixed: even.fixed * KEPT,
            share: KEPT,
        };
        let lent = forward::Part {
            fixed: (1.0 - KEPT) / large.max(1) as f64,
            share: 1.0 - KEPT,
        };
        Self {
            own,
            lent: Some(lent).filter(|_| rank == Rank::Large),
            may_ask: rank == Rank::Small,
        }
    }
}

/// Who pays for an extra call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum Payer {
    /// This VM has.
    #[display("own")]
    Own,
    /// The VM that is asked to make the call, if it has room.
    #[display("helper")]
    Helper,
}

/// What this VM has counted and spent, by service.
#[derive(Debug)]
pub struct Allowance {
    parts: Parts,
    own: Budgets,
    lent: Budgets,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            parts: Parts::new(Rank::Equal, 1, 0),
            own: Budgets::default(),
            lent: Budgets::default(),
        }
    }
}

impl Allowance {
    /// Sets the parts.
    pub fn set_parts(&mut self, parts: Parts) {
        if self.parts != parts {
            log::info!(before:? = self.parts, parts:? = parts; "parts of the allowance changed");
            self.parts = parts;
        }
    }

    /// Counts a request of a caller.
    pub fn first(&mut self, service: &ids::Service, policy: &forward::Policy, now: clock::Moment) {
        self.own.of(service, |budget| budget.first(policy, now));
    }

    /// Counts a request whose first call this VM makes for another one.
    pub fn first_of_other(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) {
        self.lent.of(service, |budget| budget.first(policy, now));
    }

    /// Pays for an own extra call; who does, where anybody may.
    pub fn extra(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> Option<Payer> {
        let part = self.parts.own;
        let own = self
            .own
            .of(service, |budget| budget.extra(policy, part, now));
        if own || self.lend(service, policy, now) {
            return Some(Payer::Own);
        }
        Some(Payer::Helper).filter(|_| self.parts.may_ask)
    }

    /// Takes back what was paid at `paid` for an own extra call that wasn't made.
    /// Where it was paid from what this VM holds for all, its own part gets the
    /// call back, if it paid any at that time: the sum of both stays right.
    pub fn refund(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        paid: clock::Moment,
        now: clock::Moment,
    ) {
        self.own
            .of(service, |budget| budget.refund(policy, paid, now));
    }

    /// Pays for an extra call out of what this VM holds for all.
    ///
    /// Not in the first window after a start: a VM that crashed after spending
    /// its part, and is back at once, would spend it again.
    pub fn lend(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> bool {
        let Some(part) = self.parts.lent else {
            return false;
        };
        let started = clock::Moment::default();
        if now.since(started) < policy.extra_window {
            return false;
        }
        self.lent
            .of(service, |budget| budget.extra(policy, part, now))
    }
}

/// The budgets of all services.
#[derive(Debug, Default)]
struct Budgets(collections::HashMap<ids::Service, forward::Budget>);

impl Budgets {
    /// Changes the budget of `service`. Its name is only copied where it is new.
    fn of<T>(
        &mut self,
        service: &ids::Service,
        change: impl FnOnce(&mut forward::Budget) -> T,
    ) -> T {
        if let Some(budget) = self.0.get_mut(service) {
            return change(budget);
        }
        change(self.0.entry(service.clone()).or_default())
    }
}
