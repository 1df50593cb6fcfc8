//! The shares of the fleet's allowance for extra calls that a VM spends.

use crate::forward::budget;

/// Share of the allowance that is divided among all VMs for their own calls
/// when large VMs hold the rest.
const OWN_SHARE: f64 = 0.5;

/// Shares of the fleet's allowance that a VM spends.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shares {
    /// Share for this VM's own calls.
    pub(super) own: budget::Share,
    /// Share for this VM's own and other VMs' calls. Only large VMs have one, and VMs that
    /// don't know the fleet yet, without a fixed part.
    pub(super) lent: Option<budget::Share>,
    /// Whether this VM may ask relays to charge extra calls to their budgets.
    pub(super) may_ask: bool,
}

/// Whether a VM relays the calls of smaller VMs, has its calls relayed, or neither.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SizeClass {
    /// All VMs have about the same number of cores, so none relays for others.
    Equal,
    /// The VM has many cores and relays the calls of small VMs.
    Large,
    /// The VM has few cores and has its calls relayed by large VMs.
    Small,
}

impl Shares {
    /// Returns the shares of one of `vms` VMs, `large` of which relay calls for
    /// the others.
    pub fn new(size_class: SizeClass, vms: usize, large: usize) -> Self {
        let even = budget::Share::of(vms);
        if size_class == SizeClass::Equal {
            return Self {
                own: even,
                lent: None,
                may_ask: false,
            };
        }
        let own = budget::Share {
            fixed: even.fixed * OWN_SHARE,
            proportional: OWN_SHARE,
        };
        let lent = budget::Share {
            fixed: (1.0 - OWN_SHARE) / large.max(1) as f64,
            proportional: 1.0 - OWN_SHARE,
        };
        Self {
            own,
            lent: Some(lent).filter(|_| size_class == SizeClass::Large),
            may_ask: size_class == SizeClass::Small,
        }
    }

    /// Returns the shares of a VM that has just started, or doesn't know the fleet
    /// yet. Before a restart it may have spent its fixed shares; the requests that it
    /// counts from now on, its own and those of others, are new.
    pub fn of_start() -> Self {
        let proportional = |proportional| budget::Share {
            fixed: 0.0,
            proportional,
        };
        Self {
            own: proportional(OWN_SHARE),
            lent: Some(proportional(1.0 - OWN_SHARE)),
            may_ask: false,
        }
    }

    /// Returns the fixed shares: for own calls, and if this VM lends, for those of others.
    pub fn fixed(&self) -> (f64, Option<f64>) {
        (self.own.fixed, self.lent.map(|lent| lent.fixed))
    }

    /// Returns shares with these fixed ones, the counterpart of [`Self::fixed`]. They limit
    /// other shares, so that their other fields are as large as any VM's.
    pub fn with_fixed(own: f64, lent: Option<f64>) -> Self {
        let share = |fixed| budget::Share {
            fixed,
            proportional: 1.0,
        };
        Self {
            own: share(own),
            lent: lent.map(share),
            may_ask: true,
        }
    }

    /// Returns the smaller of each share of `self` and `earlier`.
    pub(super) fn limited_by(self, earlier: &Self) -> Self {
        let lent = self.lent.zip(earlier.lent);
        Self {
            own: self.own.min(earlier.own),
            lent: lent.map(|(share, earlier)| share.min(earlier)),
            may_ask: self.may_ask,
        }
    }
}
