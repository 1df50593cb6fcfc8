//! Permits to send calls.
//!
//! The first call of a part needs no budget, each further one is charged to one. The way from
//! that decision to the connection may be long, over queues and other VMs. Therefore the
//! decision is a value that the call carries: parts and budgets make a [`Permit`], it can't be
//! copied, and a call without one can't be queued for a connection. A relay that doesn't pay
//! for a call has only its requester's word, see [`Permit::of_requester`].

/// Permission for this VM to send one call.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    is_extra: bool,
}

impl Permit {
    /// Permits the first call of a part.
    pub(super) fn first() -> Self {
        Self { is_extra: false }
    }

    /// Permits an extra call that a budget of this VM is charged for.
    pub(super) fn charged() -> Self {
        Self { is_extra: true }
    }

    /// Permits a call that a relay makes for another VM, which says that it has a permit.
    pub fn of_requester() -> Self {
        Self { is_extra: false }
    }

    /// Returns whether a budget of this VM is charged for the call.
    pub fn is_extra(&self) -> bool {
        self.is_extra
    }

    /// Uses the permit up, so that no second call is sent with it.
    pub fn use_up(self) {}
}

/// Who allows a call.
#[derive(Debug, PartialEq, Eq)]
pub enum Payment {
    /// This VM, which may send it.
    Permit(Permit),
    /// A relay may make it, if it charges a budget of its own.
    Relay,
}

impl Payment {
    /// Returns whether a budget of this VM is charged for the call.
    pub fn is_charged_here(&self) -> bool {
        matches!(self, Self::Permit(permit) if permit.is_extra())
    }

    /// Returns this VM's permit; `None` if it has none, as a relay is to pay.
    pub fn into_permit(self) -> Option<Permit> {
        match self {
            Self::Permit(permit) => Some(permit),
            Self::Relay => None,
        }
    }
}
