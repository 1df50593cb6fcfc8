//! Decides which extra calls this VM may make for itself and for other VMs.
//!
//! The fleet may make a limited number of extra calls to a service in a window.
//! Divided evenly among some sixty VMs, that is a handful each: VMs that reach
//! a slow upstream run out while the others keep their share unused. Therefore,
//! in a fleet where large VMs relay the calls of small ones, the large VMs hold
//! half of the allowance. A small VM that has used up its own share asks a
//! relay to make an extra call and charge it to the relay's budget, in the
//! message that requests the call anyway.
//!
//! The sum stays within the allowance without messages between VMs: each VM
//! spends its own shares by its own counts, a request is counted once in each
//! kind of budget, by the VM that received it and by the VM that makes its first
//! call, which may be the same, and a VM that dies takes its unspent share with it. A share that a VM
//! gains is usable only after a window, because its former holder may have spent
//! it: another VM, or this one before a restart, unless it left word of what it has
//! spent.

mod handover;

pub use handover::ServiceSpending;
pub use handover::Spending;

use std::collections;

use crate::forward;
use crate::forward::budget;
use crate::ids;
use crate::time as clock;

/// The budgets that a VM holds for extra calls to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
enum Payer {
    /// The budget for the VM's own calls.
    #[display("own")]
    Own,
    /// The budget for its own and other VMs' calls.
    #[display("shared")]
    Shared,
}

/// An extra call charged to one of this VM's budgets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// The service that is called.
    pub service: ids::Service,
    payer: Payer,
}

/// How full the last window of one of this VM's budgets is.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(derive_more::Display)]
#[display("{payer} {window}")]
pub struct Usage {
    payer: Payer,
    /// The extra calls of the window and those that the budget may spend in it.
    pub window: budget::Usage,
}

/// Permission for an extra call of this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Grant {
    /// A budget of this VM is charged.
    Charged(Charge),
    /// A relay may be asked to charge its budget.
    AskRelay,
}

/// Budgets for extra calls to each service.
#[derive(Debug)]
pub struct Allowance {
    shares: forward::Shares,
    /// Whether the shares were ever set. Before, they are those of an only VM.
    was_set: bool,
    /// Services at which calls of this VM's predecessor may wait.
    inherited_transit: collections::HashSet<ids::Service>,
    /// Shares that were replaced within the last window, with the time of that.
    replaced: collections::VecDeque<(clock::Moment, forward::Shares)>,
    own: Budgets,
    shared: Budgets,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            shares: forward::Shares::new(forward::SizeClass::Equal, 1, 0),
            was_set: false,
            inherited_transit: collections::HashSet::new(),
            replaced: [(clock::Moment::default(), forward::Shares::of_start())].into(),
            own: Budgets::default(),
            shared: Budgets::default(),
        }
    }
}

impl Allowance {
    /// Sets the shares of this VM. What it gains is usable after a window. What it gains
    /// by learning of the fleet, and so hasn't had only for that, is usable a window after
    /// its start.
    pub fn set_shares(&mut self, shares: forward::Shares, now: clock::Moment) {
        if self.shares != shares {
            log::info!(before:? = self.shares, shares:? = shares; "shares of the extra call allowance changed");
            if self.was_set && self.shares != forward::Shares::of_start() {
                self.replaced.push_back((now, self.shares));
            }
            self.shares = shares;
        }
        self.was_set = true;
    }

    /// Returns the shares that were set last.
    pub fn shares(&self) -> forward::Shares {
        self.shares
    }

    /// Returns the shares that may be spent: the smallest ones of the last window.
    fn usable_shares(
        &mut self,
        limited: bool,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> forward::Shares {
        let is_old =
            |(at, _): &(clock::Moment, forward::Shares)| now.since(*at) >= policy.extra_window;
        while self.replaced.front().is_some_and(is_old) {
            self.replaced.pop_front();
        }
        let replaced = self.replaced.iter();
        let usable = replaced.fold(self.shares, |least, (_, shares)| least.limited_by(shares));
        if limited {
            return usable.limited_by(&forward::Shares::of_start());
        }
        usable
    }

    /// Counts a request of a caller.
    pub fn count_request(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) {
        self.own
            .of(service, |budget| budget.count_request(policy, now));
    }

    /// Counts a request whose first call this VM makes, for itself or for another VM. A small
    /// VM has one budget for both kinds, as the few calls that it may make don't divide well.
    pub fn count_first_call(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) {
        let budgets = match self.shares {
            forward::Shares { lent: Some(_), .. } => &mut self.shared,
            forward::Shares { may_ask: true, .. } => &mut self.own,
            // The budget for own calls has the whole allowance.
            _ => return,
        };
        budgets.of(service, |budget| budget.count_request(policy, now));
    }

    /// Returns whether calls of this VM's predecessor may have arrived at `service` within
    /// the last window.
    fn has_inherited_transit(
        &self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> bool {
        now.since(clock::Moment::default()) < policy.extra_window
            && self.inherited_transit.contains(service)
    }

    /// Charges an extra call of this VM. Returns `None` if no budget allows the
    /// call. `limited` is whether this VM may only spend what it may after a start.
    pub fn take_extra(
        &mut self,
        service: &ids::Service,
        limited: bool,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> Option<Grant> {
        let limited = limited || self.has_inherited_transit(service, policy, now);
        let share = self.usable_shares(limited, policy, now).own;
        let own = self
            .own
            .of(service, |budget| budget.take_extra(policy, share, now));
        if own {
            return Some(Grant::Charged(Charge {
                service: service.clone(),
                payer: Payer::Own,
            }));
        }
        if let Some(charge) = self.take_extra_for_other(service, limited, policy, now) {
            return Some(Grant::Charged(charge));
        }
        Some(Grant::AskRelay).filter(|_| self.shares.may_ask)
    }

    /// Charges an extra call to the shared budget. Returns `None` if the budget
    /// doesn't allow the call. `limited` is whether this VM may only spend what it
    /// may after a start.
    pub fn take_extra_for_other(
        &mut self,
        service: &ids::Service,
        limited: bool,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> Option<Charge> {
        let limited = limited || self.has_inherited_transit(service, policy, now);
        let share = self.usable_shares(limited, policy, now).lent?;
        let allowed = self
            .shared
            .of(service, |budget| budget.take_extra(policy, share, now));
        allowed.then(|| Charge {
            service: service.clone(),
            payer: Payer::Shared,
        })
    }

    /// Counts an extra call that arrived at a service that it wasn't meant for. Later extra
    /// calls have to make up for it, of the budget that has more to spend.
    pub fn add_misdirected(
        &mut self,
        service: &ids::Service,
        policy: &forward::Policy,
        now: clock::Moment,
    ) {
        let lends = |lent: budget::Share| lent.fixed > 0.0;
        let budgets = match self.shares.lent.is_some_and(lends) {
            true => &mut self.shared,
            false => &mut self.own,
        };
        budgets.of(service, |budget| budget.add_uncharged(1, policy, now));
    }

    /// Handles the arrival of a charged call, which may have been earlier.
    pub fn arrived(&mut self, charge: &Charge, policy: &forward::Policy, now: clock::Moment) {
        self.charged(charge, |budget| budget.arrived(policy, now));
    }

    /// Removes a charge for a call that wasn't made.
    pub fn refund(&mut self, charge: &Charge) {
        self.charged(charge, forward::Budget::refund);
    }

    /// Returns how full the last window of a charge's budget is.
    pub fn usage(
        &mut self,
        charge: &Charge,
        policy: &forward::Policy,
        now: clock::Moment,
    ) -> Usage {
        let shares = self.usable_shares(false, policy, now);
        let (budgets, share) = match charge.payer {
            Payer::Own => (&mut self.own, shares.own),
            Payer::Shared => (&mut self.shared, shares.lent.unwrap_or_default()),
        };
        let window = budgets.of(&charge.service, |budget| budget.usage(policy, share, now));
        Usage {
            payer: charge.payer,
            window,
        }
    }

    fn charged(&mut self, charge: &Charge, change: impl FnOnce(&mut forward::Budget)) {
        let budgets = match charge.payer {
            Payer::Own => &mut self.own,
            Payer::Shared => &mut self.shared,
        };
        budgets.of(&charge.service, change);
    }
}

/// The budgets of all services.
#[derive(Debug, Default)]
struct Budgets(collections::HashMap<ids::Service, forward::Budget>);

impl Budgets {
    /// Changes the budget of `service`. The name is cloned only for a new
    /// service.
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
