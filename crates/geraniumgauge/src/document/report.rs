//! Schedules the reports of applied versions that this VM sends to the keeper.
//!
//! After a change a report lists only the changed services; otherwise it is a
//! digest. With full reports, one edit at 2,200 VMs would send the keeper
//! megabytes at once. A keeper whose record doesn't match the digest requests
//! the full list, so a lost report or a new keeper costs one round trip.

use std::time;

use crate::ids;
use crate::mesh::message;
use crate::time as clock;

/// Time after which a report with changes is followed by a digest if the keeper
/// hasn't answered.
const UNANSWERED_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between two digests while nothing changes.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The last report and the times of the next ones.
#[derive(Debug)]
pub(super) struct Report {
    /// The keeper and all versions reported to it; `None` if it needs a full report.
    reported: Option<(ids::Vm, Vec<message::AppliedVersions>)>,
    /// Time at which a change is reported.
    change_due: Option<clock::Moment>,
    /// Time of the next report if nothing changes.
    repeat_at: clock::Moment,
}

impl Report {
    /// Creates a state in which nothing was reported and a full report is due.
    pub(super) fn new(now: clock::Moment) -> Self {
        Self {
            reported: None,
            change_due: Some(now),
            repeat_at: now,
        }
    }

    /// Makes the next report a full one, due now.
    pub(super) fn reset(&mut self, now: clock::Moment) {
        self.reported = None;
        self.change_due = Some(now);
    }

    /// Makes a report due at `at` or earlier.
    pub(super) fn schedule(&mut self, at: clock::Moment) {
        self.change_due = Some(self.change_due.map_or(at, |due| due.min(at)));
    }

    /// Records that the keeper's record matches the digest.
    pub(super) fn confirmed(&mut self, now: clock::Moment) {
        self.repeat_at = now + REFRESH_INTERVAL;
    }

    /// Returns the versions to report to `keeper` if a report is due; an empty
    /// list means that the digest is sent alone. `have` returns all applied
    /// versions.
    pub(super) fn next(
        &mut self,
        keeper: &ids::Vm,
        have: impl FnOnce() -> Vec<message::AppliedVersions>,
        now: clock::Moment,
    ) -> Option<Vec<message::AppliedVersions>> {
        let due = self.change_due.is_some_and(|due| due <= now) || self.repeat_at <= now;
        if !due {
            return None;
        }
        let have = have();
        let reported = self.reported.as_ref().filter(|(vm, _)| vm == keeper);
        let known = reported.map_or(&[][..], |(_, have)| have);
        let changed = have.iter().filter(|have| !known.contains(have));
        let changed: Vec<_> = changed.cloned().collect();
        self.change_due = None;
        self.repeat_at = now
            + if changed.is_empty() {
                REFRESH_INTERVAL
            } else {
                UNANSWERED_INTERVAL
            };
        self.reported = Some((keeper.clone(), have));
        Some(changed)
    }
}

#[cfg(test)]
#[path = "tests/report.rs"]
mod tests;
