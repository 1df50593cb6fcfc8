//! Tracks whether an upstream takes work, from call results and health reports.
//!
//! Call results outweigh reports, which may be late or wrong. A report of
//! draining first limits calls to one at a time. If none succeeds within
//! [`REPORT_CHECK_WINDOW`], or if a call is refused, no more are sent for a while.
//! A successful call allows them again.

use std::time;

use crate::time::Moment;
use crate::upstream;

/// How long an upstream counts as draining if nothing contradicts it; doubled for
/// each further drain since the last success.
const DRAINING_HOLD: time::Duration = time::Duration::from_secs(20);
/// How long after a report of draining a call may still prove the report wrong.
const REPORT_CHECK_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Maximum number of times the hold is doubled.
const MAX_HOLD_DOUBLINGS: u32 = 4;

/// Whether calls may be sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Availability {
    /// The upstream takes work.
    Open,
    /// Uncertain: one call at a time is sent until one succeeds.
    Unconfirmed,
    /// The upstream is draining: no call is sent.
    Draining,
    /// The upstream doesn't accept connections: no call is sent.
    Down,
}

/// Availability of one upstream and the signs that it follows from.
#[derive(Debug)]
pub(super) struct Tracker {
    current: Availability,
    /// When `current` last changed.
    since: Moment,
    /// How often the upstream was set to draining since the last success.
    drain_count: u32,
    /// Set when the current drain was detected by a refused call, not by a report.
    by_refusal: bool,
    /// Set when the upstream has reported draining, until a call succeeds or the report
    /// is withdrawn.
    reported_draining: bool,
    /// Set when a connection broke during a drain: the upstream has stopped.
    disconnected: bool,
    /// Set when a success has proven a report of draining wrong.
    reports_wrong: bool,
    /// When the latest successful call was sent.
    success_sent: Option<Moment>,
}

impl Tracker {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            current: Availability::Open,
            since: now,
            drain_count: 0,
            by_refusal: false,
            reported_draining: false,
            disconnected: false,
            reports_wrong: false,
            success_sent: None,
        }
    }

    pub(super) fn current(&self) -> Availability {
        self.current
    }

    /// Returns true if a call sent at `since` or later has succeeded.
    pub(super) fn succeeded_since(&self, since: Moment) -> bool {
        self.success_sent.is_some_and(|sent| sent >= since)
    }

    pub(super) fn is_down(&self) -> bool {
        self.current == Availability::Down
    }

    fn enter(&mut self, next: Availability, now: Moment) {
        if self.current != next {
            self.current = next;
            self.since = now;
        }
    }

    /// Returns when the current state ends by itself, if it does. A drain that was
    /// shown by both a refused call and a report ends only when the report is withdrawn
    /// or the upstream stops.
    pub(super) fn held_until(&self) -> Option<Moment> {
        let doublings = self.drain_count.saturating_sub(1).min(MAX_HOLD_DOUBLINGS);
        match self.current {
            Availability::Draining if self.by_refusal && self.reported_draining => None,
            Availability::Draining => Some(self.since + DRAINING_HOLD * 2_u32.pow(doublings)),
            Availability::Unconfirmed if self.reported_draining => {
                Some(self.since + REPORT_CHECK_WINDOW)
            }
            Availability::Unconfirmed | Availability::Open | Availability::Down => None,
        }
    }

    /// A call that was sent at `sent` has succeeded.
    pub(super) fn succeeded(&mut self, sent: Moment, now: Moment) {
        self.success_sent = self.success_sent.max(Some(sent));
        let stale = matches!(self.current, Availability::Draining | Availability::Down)
            && sent <= self.since;
        if stale {
            return;
        }
        if self.current == Availability::Unconfirmed && self.reported_draining {
            self.reports_wrong = true;
        }
        self.drain_count = 0;
        self.reported_draining = false;
        self.enter(Availability::Open, now);
    }

    /// A call was refused because the upstream is draining.
    pub(super) fn refused(&mut self, now: Moment) {
        self.reports_wrong = false;
        self.by_refusal = true;
        self.set_draining(now);
    }

    fn set_draining(&mut self, now: Moment) {
        if self.current != Availability::Draining {
            self.drain_count += 1;
            self.disconnected = false;
        }
        self.enter(Availability::Draining, now);
    }

    /// The connection of a running call broke.
    pub(super) fn connection_broke(&mut self, now: Moment) {
        match self.current {
            Availability::Draining => self.disconnected = true,
            Availability::Open => self.enter(Availability::Unconfirmed, now),
            Availability::Unconfirmed | Availability::Down => {}
        }
    }

    /// No connection can be established.
    pub(super) fn unreachable(&mut self, now: Moment) {
        self.enter(Availability::Down, now);
    }

    /// A health report came; returns true if the upstream has come back.
    pub(super) fn reached(&mut self, now: Moment) -> bool {
        let back = self.current == Availability::Down
            || (self.current == Availability::Draining && self.disconnected);
        if back {
            self.disconnected = false;
            self.reported_draining = false;
            self.enter(Availability::Unconfirmed, now);
        }
        back
    }

    /// Ends the current state once its time is up: allows single calls again after a
    /// drain, or treats the upstream as draining if no call has disproved its report.
    pub(super) fn tick(&mut self, now: Moment) {
        if self.held_until().is_none_or(|until| now < until) {
            return;
        }
        if self.current == Availability::Draining {
            self.enter(Availability::Unconfirmed, now);
        } else {
            self.by_refusal = false;
            self.set_draining(now);
        }
    }

    /// Processes a health report that describes the upstream as it was `age` ago.
    pub(super) fn report(&mut self, status: upstream::Status, age: time::Duration, now: Moment) {
        let reported_at = Moment(now.0.saturating_sub(crate::time::micros(age)));
        let draining = status == upstream::Status::Draining;
        match self.current {
            Availability::Open if draining => self.mark_unconfirmed(reported_at, now),
            Availability::Open => self.reports_wrong = false,
            Availability::Unconfirmed => self.reported_draining = draining,
            Availability::Draining if draining => self.reported_draining = true,
            // The drain was called off: a report of draining has been withdrawn. If
            // no report ever showed the drain, a report of another status proves nothing.
            Availability::Draining if self.reported_draining && reported_at >= self.since => {
                self.reported_draining = false;
                self.enter(Availability::Unconfirmed, now);
            }
            Availability::Draining | Availability::Down => {}
        }
    }

    fn mark_unconfirmed(&mut self, reported_at: Moment, now: Moment) {
        let outdated = self.success_sent.is_some_and(|sent| reported_at <= sent);
        if !outdated && !self.reports_wrong {
            self.reported_draining = true;
            self.enter(Availability::Unconfirmed, now);
        }
    }
}
