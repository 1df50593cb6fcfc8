//! What one VM may ask of the store.
//!
//! The platform takes several hundred writes and about two thousand reads a
//! second from the whole fleet, so each VM gets a share of both. Claims of
//! registrations go first: callers wait for them. Documents, status and burn
//! figures draw on a part of the share only and may wait.

use crate::rate;
use crate::time;

/// Writes a second that the whole fleet may use.
pub(super) const FLEET_WRITES: f64 = 300.0;
/// Reads, lists and watches a second that the whole fleet may use.
pub(super) const FLEET_READS: f64 = 1500.0;
/// Least share of a VM, in calls a second: one call each 10 s keeps a VM of a
/// large fleet able to join.
const LEAST: f64 = 0.1;
/// Seconds of its rate that a VM may use at once.
const BURST_SECONDS: f64 = 4.0;
/// Part of the share open to callers that may wait.
const PATIENT_PART: f64 = 0.5;

/// What kind of call is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Reads, lists and watches.
    Read,
    /// Writes and deletions.
    Write,
}

/// Who calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Urgency {
    /// A caller's request waits for it.
    First,
    /// It may wait.
    Patient,
}

/// Two token buckets, each with a smaller one inside for patient callers.
#[derive(Debug)]
pub(super) struct Budget {
    reads: Pair,
    writes: Pair,
    /// Writes paid for that were not made yet.
    prepaid: u32,
}

#[derive(Debug)]
struct Pair {
    all: rate::Bucket,
    patient: rate::Bucket,
}

impl Pair {
    fn new(fleet: f64, vms: usize, now: time::Moment) -> Self {
        let rate = share(fleet, vms);
        let bucket = |rate: f64| rate::Bucket::new(rate::PerSecond(rate), burst(rate), now);
        Self {
            all: bucket(rate),
            patient: bucket(rate * PATIENT_PART),
        }
    }

    fn resize(&mut self, fleet: f64, vms: usize, now: time::Moment) {
        let rate = share(fleet, vms);
        let patient = rate * PATIENT_PART;
        self.all.resize(rate::PerSecond(rate), burst(rate), now);
        self.patient
            .resize(rate::PerSecond(patient), burst(patient), now);
    }

    fn take(&mut self, urgency: Urgency, now: time::Moment) -> bool {
        let allowed = match urgency {
            Urgency::First => true,
            Urgency::Patient => self.patient.take(1.0, now),
        };
        allowed && self.all.take(1.0, now)
    }
}

/// Calls a second of one of `vms` VMs.
fn share(fleet: f64, vms: usize) -> f64 {
    (fleet / vms.max(1) as f64).max(LEAST)
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(4.0)
}

impl Budget {
    /// The full budget of one of `vms` VMs.
    pub(super) fn new(vms: usize, now: time::Moment) -> Self {
        Self {
            reads: Pair::new(FLEET_READS, vms, now),
            writes: Pair::new(FLEET_WRITES, vms, now),
            prepaid: 0,
        }
    }

    /// Follows the size of the fleet. What is left of the share stays.
    pub(super) fn resize(&mut self, vms: usize, now: time::Moment) {
        self.reads.resize(FLEET_READS, vms, now);
        self.writes.resize(FLEET_WRITES, vms, now);
    }

    /// Pays for one urgent write that is about to be made.
    pub(super) fn prepay(&mut self, now: time::Moment) -> bool {
        let paid = self.prepaid > 0 || self.writes.take(Urgency::First, now);
        self.prepaid = self.prepaid.max(u32::from(paid));
        paid
    }

    /// Pays for one call where the budget holds it.
    pub(super) fn take(&mut self, kind: Kind, urgency: Urgency, now: time::Moment) -> bool {
        if kind == Kind::Write && urgency == Urgency::First && self.prepaid > 0 {
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
