//! Rate limits of one VM's calls to the store.
//!
//! The platform takes several hundred writes and about two thousand reads a
//! second from the whole fleet, so each VM gets a share of both. Claims of
//! registrations have priority, since callers wait for them. Documents, status and
//! burn rates can be delayed, and may use only a fraction of the VM's share.

use crate::rate;
use crate::time;

/// Writes per second of the whole fleet.
pub(super) const FLEET_WRITES: f64 = 300.0;
/// Reads, lists and watches per second of the whole fleet.
pub(super) const FLEET_READS: f64 = 1500.0;
/// Minimum rate of a VM, in calls per second. One call every 10 s is enough for a
/// VM to join a large fleet.
const MIN_VM_RATE: f64 = 0.1;
/// Size of a burst, in seconds at the VM's rate.
const BURST_SECONDS: f64 = 4.0;
/// Least size of a burst, in calls: enough for a VM to join the fleet. A VM that starts may
/// have spent its burst before a restart, so it has only this one.
const MIN_BURST: f64 = 4.0;
/// Fraction of a VM's rate that is available to deferrable calls.
const DEFERRABLE_FRACTION: f64 = 0.5;

/// Kinds of calls with separate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Reads, lists and watches.
    Read,
    /// Writes and deletions.
    Write,
}

/// Priority of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Urgency {
    /// A caller's request waits for the call.
    Urgent,
    /// The call can be delayed.
    Deferrable,
}

/// Token buckets for reads and for writes, each with a smaller one for deferrable
/// calls.
#[derive(Debug)]
pub(super) struct Budget {
    reads: Buckets,
    writes: Buckets,
    /// Urgent writes that have been paid for but not yet made.
    prepaid: u32,
}

#[derive(Debug)]
struct Buckets {
    all: rate::Bucket,
    deferrable: rate::Bucket,
}

impl Buckets {
    fn new(fleet: f64, vms: usize, now: time::Moment) -> Self {
        let rate = vm_rate(fleet, vms);
        let bucket = |fraction: f64| {
            let rate = rate * fraction;
            let mut bucket = rate::Bucket::new(rate::PerSecond(rate), MIN_BURST * fraction, now);
            bucket.resize(rate::PerSecond(rate), burst(rate), now);
            bucket
        };
        Self {
            all: bucket(1.0),
            deferrable: bucket(DEFERRABLE_FRACTION),
        }
    }

    fn resize(&mut self, fleet: f64, vms: usize, now: time::Moment) {
        let rate = vm_rate(fleet, vms);
        let deferrable = rate * DEFERRABLE_FRACTION;
        self.all.resize(rate::PerSecond(rate), burst(rate), now);
        self.deferrable
            .resize(rate::PerSecond(deferrable), burst(deferrable), now);
    }

    fn take(&mut self, urgency: Urgency, now: time::Moment) -> bool {
        let allowed = match urgency {
            Urgency::Urgent => true,
            Urgency::Deferrable => self.deferrable.take(1.0, now),
        };
        allowed && self.all.take(1.0, now)
    }
}

/// Returns the calls per second of each VM in a fleet of `vms`.
fn vm_rate(fleet: f64, vms: usize) -> f64 {
    (fleet / vms.max(1) as f64).max(MIN_VM_RATE)
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(MIN_BURST)
}

impl Budget {
    /// Creates the budget of one VM in a fleet of `vms`, with [`MIN_BURST`] tokens a
    /// bucket.
    pub(super) fn new(vms: usize, now: time::Moment) -> Self {
        Self {
            reads: Buckets::new(FLEET_READS, vms, now),
            writes: Buckets::new(FLEET_WRITES, vms, now),
            prepaid: 0,
        }
    }

    /// Adapts the rates to a fleet of `vms`. Tokens left in the buckets stay.
    pub(super) fn resize(&mut self, vms: usize, now: time::Moment) {
        self.reads.resize(FLEET_READS, vms, now);
        self.writes.resize(FLEET_WRITES, vms, now);
    }

    /// Pays in advance for one urgent write; false if the budget doesn't allow it.
    pub(super) fn prepay(&mut self, now: time::Moment) -> bool {
        let paid = self.prepaid > 0 || self.writes.take(Urgency::Urgent, now);
        self.prepaid = self.prepaid.max(u32::from(paid));
        paid
    }

    /// Pays for one call; false if the budget doesn't allow it.
    pub(super) fn take(&mut self, kind: Kind, urgency: Urgency, now: time::Moment) -> bool {
        if kind == Kind::Write && urgency == Urgency::Urgent && self.prepaid > 0 {
            self.prepaid -= 1;
            return true;
        }
        match kind {
            Kind::Read => self.reads.take(urgency, now),
            Kind::Write => self.writes.take(urgency, now),
        }
    }
}

#[cfg(test)]
#[path = "tests/budget.rs"]
mod tests;
