//! When this VM tells the keeper what it applies.
//!
//! After a change only what changed goes out, else a digest: at 2,200 VMs one
//! edit would otherwise bring the keeper megabytes at once. A keeper whose
//! record doesn't fit the digest asks for the full list, so a lost report or a
//! new keeper costs one round.

use std::time;

use crate::ids;
use crate::mesh::message;
use crate::time as clock;

/// How soon a report with changes is followed by its digest, where the keeper
/// hasn't answered.
const AGAIN: time::Duration = time::Duration::from_secs(1);
/// How often the digest is sent.
const REFRESH: time::Duration = time::Duration::from_secs(10);

/// What was told, and when it is told again.
#[derive(Debug)]
pub(super) struct Report {
    /// The keeper, and what it was told in all; `None` where it needs everything.
    told: Option<(ids::Vm, Vec<message::Have>)>,
    /// When a change is to be reported.
    due: Option<clock::Moment>,
    /// When the report is repeated in any case.
    again: clock::Moment,
}

impl Report {
    /// Nothing is told yet.
    pub(super) fn new(now: clock::Moment) -> Self {
        Self {
            told: None,
            due: Some(now),
            again: now,
        }
    }

    /// Sends the full list next.
    pub(super) fn renew(&mut self, now: clock::Moment) {
        self.told = None;
        self.due = Some(now);
    }

    /// Reports at `at` at the latest.
    pub(super) fn soon(&mut self, at: clock::Moment) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// The keeper's record fits.
    pub(super) fn fits(&mut self, now: clock::Moment) {
        self.again = now + REFRESH;
    }

    /// What to send to `keeper` now, where `have` is what this VM applies; an
    /// empty list stands for the digest alone.
    pub(super) fn next(
        &mut self,
        keeper: &ids::Vm,
        have: impl FnOnce() -> Vec<message::Have>,
        now: clock::Moment,
    ) -> Option<Vec<message::Have>> {
        let due = self.due.is_some_and(|due| due <= now) || self.again <= now;
        if !due {
            return None;
        }
        let have = have();
        let told = self.told.as_ref().filter(|(vm, _)| vm == keeper);
        let known = told.map_or(&[][..], |(_, have)| have);
        let changed = have.iter().filter(|one| !known.contains(one));
        let changed: Vec<_> = changed.cloned().collect();
        self.due = None;
        self.again = now + if changed.is_empty() { REFRESH } else { AGAIN };
        self.told = Some((keeper.clone(), have));
        Some(changed)
    }
}

#[cfg(test)]
#[path = "tests/report.rs"]
mod tests;
