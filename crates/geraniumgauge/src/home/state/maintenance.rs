//! Maintains connections within the limits, and requests health reports.

use std::time;

use super::Action;
use super::CloseReason;
use super::Report;
use super::State;
use super::connections;
use super::running;
use crate::home::placement;
use crate::time::Moment;
use crate::upstream;

/// Idle connections are checked this often, so that one that has gone silent is
/// found before a call is sent on it.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How long a health report on a call connection may take.
pub(crate) const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Idle connections, except the one kept warm, are closed after this time.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval of health reports on the control connection.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval of these reports while the upstream is down or a report is missing.
const DOWN_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of missing reports in a row after which an upstream counts as down.
const MAX_MISSED_PROBES: u32 = 2;

/// A report of "starting" is ignored if a call succeeded within this time, in
/// microseconds.
const RECENT_SUCCESS_US: u64 = 1_000_000;

/// Schedule of health reports on the control connection.
#[derive(Debug)]
pub(super) struct Probe {
    due: Moment,
    running: bool,
    missed: u32,
}

impl Probe {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            due: now,
            running: false,
            missed: 0,
        }
    }

    /// Makes the next probe due now.
    pub(super) fn make_due(&mut self, now: Moment) {
        self.due = self.due.min(now);
    }
}

impl State {
    pub(super) fn checked(&mut self, connection_id: connections::Id, report: Report, now: Moment) {
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        let connections::Phase::Checking(since) = connection.phase else {
            return;
        };
        match report {
            Ok(health) => {
                connection.phase = connections::Phase::Idle;
                connection.last_reply = now;
                self.latest_answered_send = self.latest_answered_send.max(since);
                self.apply_report(health, now);
            }
            Err(_) => {
                self.close(connection_id, CloseReason::Broken);
                self.probe.make_due(now);
            }
        }
    }

    pub(super) fn probed(&mut self, began: Moment, report: Report, now: Moment) {
        self.probe.running = false;
        let answered = report.is_ok();
        match report {
            Ok(health) => {
                self.probe.missed = 0;
                self.latest_answered_send = self.latest_answered_send.max(began);
                self.apply_report(health, now);
            }
            Err(unanswered) => {
                self.probe.missed += 1;
                // Answers to later calls outweigh a missing report.
                let missing = unanswered.connect_failed || self.probe.missed >= MAX_MISSED_PROBES;
                if missing && self.latest_answered_send < began {
                    self.availability.connection_broke(now);
                    self.availability.unreachable(now);
                }
            }
        }
        let down = self.availability.is_down() || self.probe.missed > 0;
        self.probe.due = now
            + if down {
                DOWN_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            };
        self.resolve_losses(began, answered, now);
    }

    /// Checks at once whether an upstream that is taken as down is back.
    pub(super) fn inquiry(&mut self, now: Moment) {
        if self.availability.is_down() {
            self.probe.make_due(now);
        }
    }

    fn apply_report(&mut self, health: Option<upstream::Health>, now: Moment) {
        if self.availability.reached(now) {
            self.warm_up();
        }
        let Some(health) = health else {
            return;
        };
        let starting = health.status == upstream::Status::Starting;
        if starting
            && !self
                .availability
                .succeeded_since(Moment(now.0.saturating_sub(RECENT_SUCCESS_US)))
        {
            self.warm_up();
        }
        self.availability.report(health.status, health.age(), now);
    }

    /// Prepares for an upstream that has just started and is slow at first: it gets
    /// one call at a time, more with each success, and its earlier latency is dropped.
    fn warm_up(&mut self) {
        self.limit.slow_start();
        self.latency.reset();
    }

    /// Returns true if an idle connection is kept open.
    fn keeps_warm(&self, now: Moment) -> bool {
        let is_home = matches!(
            self.role,
            Some(placement::Role::Primary | placement::Role::Standby | placement::Role::Direct)
        );
        is_home && !self.leaving && !self.is_unlisted(now) && !self.availability.is_down()
    }

    pub(super) fn maintain_connections(&mut self, now: Moment) {
        self.close_unneeded(now);
        self.check_idle(now);
        self.probe_if_due(now);
    }

    fn close_unneeded(&mut self, now: Moment) {
        let max = self.limits(now).call_connections() as usize;
        while self.connections.len() > max {
            let Some(connection_id) = self.connections.stalest() else {
                break;
            };
            self.close(connection_id, CloseReason::Idle);
        }
        let serves = max > 0 && !self.leaving && !self.is_unlisted(now);
        let warm = usize::from(self.keeps_warm(now));
        while self.connections.idle_count() > warm {
            let Some((connection_id, last_used)) = self.connections.least_recently_used() else {
                break;
            };
            if serves && now < last_used + IDLE_TIMEOUT {
                break;
            }
            self.close(connection_id, CloseReason::Idle);
        }
    }

    fn check_idle(&mut self, now: Moment) {
        let late = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.phase {
                connections::Phase::Checking(since) => since + REPORT_TIMEOUT <= now,
                _ => false,
            });
        let late: Vec<_> = late.map(|(id, _)| id).collect();
        for connection_id in late {
            self.close(connection_id, CloseReason::Silent);
        }
        if !self.keeps_warm(now) {
            return;
        }
        let due = self.connections.iter().filter(|(_, connection)| {
            connection.is_idle() && connection.last_reply + CHECK_INTERVAL <= now
        });
        let due: Vec<_> = due.map(|(id, _)| id).collect();
        for connection_id in due {
            if let Some(connection) = self.connections.get_mut(connection_id) {
                connection.phase = connections::Phase::Checking(now);
                self.actions.push(Action::Check {
                    connection_id,
                    must_connect: false,
                });
            }
        }
        if self.connections.len() == 0 && self.limits(now).call_connections() > 0 {
            let connection_id = self
                .connections
                .open(connections::Phase::Checking(now), now);
            self.actions.push(Action::Check {
                connection_id,
                must_connect: true,
            });
        }
    }

    /// Returns whether health reports may be requested on the control connection.
    pub(super) fn may_probe(&self, now: Moment) -> bool {
        self.limits(now).has_control() && !self.leaving
    }

    /// Sends a probe when one is due. A suspect call makes it due at once, to tell a
    /// silent connection from a slow upstream.
    fn probe_if_due(&mut self, now: Moment) {
        let suspected_since = self.connections.suspected_since();
        if suspected_since.is_some_and(|since| self.latest_answered_send <= since) {
            self.probe.make_due(now);
        }
        if self.may_probe(now) && !self.probe.running && self.probe.due <= now {
            self.probe.running = true;
            self.actions.push(Action::Probe);
        }
    }

    /// Returns the first moment after `now` at which something falls due.
    pub fn wake(&self, now: Moment) -> Moment {
        let waiting = (self.queue.len() > 0).then_some([
            self.limit.backoff_until(),
            self.overcommit.allowed_from(),
            self.queue.earliest_deadline().unwrap_or_default(),
        ]);
        let held = self.availability.held_until();
        let moved = self.role_lost_at.map(|since| since + super::MOVE_GRACE);
        let unlisted = self
            .unlisted_since
            .map(|since| since + super::UNLISTED_GRACE);
        let connections = self
            .connections
            .iter()
            .flat_map(|(_, connection)| self.due(connection));
        let due = waiting.into_iter().flatten().chain(held).chain(moved);
        let due = due
            .chain(unlisted)
            .chain(connections)
            .chain([self.probe.due]);
        let next = due.filter(|moment| *moment > now).min();
        next.unwrap_or(now + PROBE_INTERVAL)
    }

    fn due(&self, connection: &connections::Connection) -> [Moment; 3] {
        match &connection.phase {
            connections::Phase::Idle => [
                connection.last_reply + CHECK_INTERVAL,
                connection.last_used + IDLE_TIMEOUT,
                Moment::default(),
            ],
            connections::Phase::Checking(since) => [
                *since + REPORT_TIMEOUT,
                Moment::default(),
                Moment::default(),
            ],
            connections::Phase::Busy(call) => {
                let record = call.job.is_record();
                let grace = if record {
                    running::RECORD_GRACE
                } else {
                    time::Duration::ZERO
                };
                let end = call.abandoned_until.unwrap_or(call.job.deadline + grace);
                [
                    end,
                    call.sent + self.suspect_delay(),
                    call.sent + self.silence_timeout(),
                ]
            }
        }
    }
}
