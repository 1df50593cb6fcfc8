//! What a VM that stops has spent of its shares, for its successor.

use std::collections;

use crate::forward;
use crate::forward::allowance;
use crate::ids;
use crate::time as clock;

/// What a VM has spent of its shares when it ends, for its successor: the next start on the
/// same machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Spending {
    /// The shares that it could spend.
    pub shares: forward::Shares,
    /// What was spent within the last window, by service.
    pub services: collections::BTreeMap<ids::Service, ServiceSpending>,
}

/// The extra calls to a service that a VM was charged for within its last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceSpending {
    /// Number of calls charged to the budget for its own calls.
    pub own: u32,
    /// Number of calls charged to the budget that it lends from.
    pub shared: u32,
    /// Whether some of them may not have arrived.
    pub in_transit: bool,
}

impl allowance::Allowance {
    /// Returns what was spent within the last window, and stops spending.
    pub fn hand_over(&mut self, policy: &forward::Policy, now: clock::Moment) -> Spending {
        let usable = self.usable_shares(false, policy, now);
        let mut services: collections::BTreeMap<ids::Service, ServiceSpending> = Default::default();
        for (payer, budgets) in [
            (allowance::Payer::Own, &mut self.own),
            (allowance::Payer::Shared, &mut self.shared),
        ] {
            for (service, budget) in &mut budgets.0 {
                let (arrived, in_transit) = budget.spent(policy, now);
                if arrived + in_transit == 0 {
                    continue;
                }
                let spent = services.entry(service.clone()).or_default();
                spent.in_transit |= in_transit > 0;
                match payer {
                    allowance::Payer::Own => spent.own += arrived + in_transit,
                    allowance::Payer::Shared => spent.shared += arrived + in_transit,
                }
            }
        }
        self.set_shares(forward::Shares::default(), now);
        Spending {
            shares: usable,
            services,
        }
    }

    /// Takes over what this VM's predecessor has spent. The shares that the predecessor had
    /// are usable at once then.
    pub fn inherit(&mut self, spent: Spending, policy: &forward::Policy, now: clock::Moment) {
        for (service, spent) in spent.services {
            for (budgets, calls) in [(&mut self.own, spent.own), (&mut self.shared, spent.shared)] {
                budgets.of(&service, |budget| budget.add_uncharged(calls, policy, now));
            }
            if spent.in_transit {
                self.inherited_transit.insert(service);
            }
        }
        self.replaced
            .retain(|(at, _)| *at != clock::Moment::default());
        self.replaced.push_back((now, spent.shares));
    }
}
