//! When this VM tells the keeper what it applies.
//!
//! The full list goes out when it has changed or the keeper is new to it; else
//! its digest is enough. A keeper that doesn't know the digest asks for the
//! full list, so a lost report costs one round.

use std::time;

use crate::ids;
use crate::time as clock;

/// How soon after a full report the short one follows.
const AGAIN: time::Duration = time::Duration::from_secs(1);
/// How often a short report is sent.
const REFRESH: time::Duration = time::Duration::from_secs(10);

/// What was told, and when it is told again.
#[derive(Debug, Default)]
pub(super) struct Report {
    /// The keeper, and the digest of the full report that was sent to it.
    told: Option<(ids::Vm, u64)>,
    due: clock::Moment,
}

/// What to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Form {
    /// The digest alone.
    Short,
    /// Every service's versions.
    Full,
}

impl Report {
    /// Sends the full form next.
    pub(super) fn renew(&mut self, now: clock::Moment) {
        self.told = None;
        self.due = now;
    }

    /// Reports at `at` at the latest.
    pub(super) fn soon(&mut self, at: clock::Moment) {
        self.due = self.due.min(at);
    }

    /// What to send to `keeper` now.
    pub(super) fn next(
        &mut self,
        keeper: &ids::Vm,
        digest: u64,
        now: clock::Moment,
    ) -> Option<Form> {
        if now < self.due {
            return None;
        }
        let now_told = Some((keeper.clone(), digest));
        let (form, wait) = if self.told == now_told {
            (Form::Short, REFRESH)
        } else {
            (Form::Full, AGAIN)
        };
        self.told = now_told;
        self.due = now + wait;
        Some(form)
    }
}
