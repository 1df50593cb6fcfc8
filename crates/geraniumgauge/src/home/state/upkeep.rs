//! Keeping connections warm, proven and within the share; asking for reports.

use std::time;

use super::Action;
use super::Report;
use super::State;
use super::Why;
use super::lines;
use super::running;
use crate::home::placement;
use crate::time::Moment;
use crate::upstream;

/// An idle connection is asked for a report this often: one that has gone
/// silent is found before a call is sent on it.
const PROVE_EVERY: time::Duration = time::Duration::from_secs(1);
/// How long a report may take.
pub(crate) const REPORT_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Idle connections beyond the warm one are closed after this time.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(10);
/// The control connection is asked for a report this often ...
const PROBE_EVERY: time::Duration = time::Duration::from_secs(1);
/// ... and this often while the upstream can't be reached.
const PROBE_DOWN: time::Duration = time::Duration::from_millis(250);
/// Reports in a row that stay out until an upstream counts as down.
const PROBES_MISSED: u32 = 2;

/// An upstream with a success within this many microseconds is at work,
/// whatever it says of its start.
const BUSY_US: u64 = 1_000_000;

/// When reports are asked for over the control connection.
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

    /// Asks as soon as may be.
    pub(super) fn hasten(&mut self, now: Moment) {
        self.due = self.due.min(now);
    }
}

impl State {
    pub(super) fn proved(&mut self, link: lines::Link, report: Report, now: Moment) {
        let Some(line) = self.lines.get_mut(link) else {
            return;
        };
        let lines::Phase::Proving(since) = line.phase else {
            return;
        };
        match report {
            Ok(health) => {
                line.phase = lines::Phase::Idle;
                line.proven = now;
                self.proof = self.proof.max(since);
                self.take_report(health, now);
            }
            Err(_) => {
                self.close(link, Why::Broken);
                self.probe.hasten(now);
            }
        }
    }

    pub(super) fn probed(&mut self, began: Moment, report: Report, now: Moment) {
        self.probe.running = false;
        match report {
            Ok(health) => {
                self.probe.missed = 0;
                self.proof = self.proof.max(began);
                self.take_report(health, now);
            }
            Err(unanswered) => {
                self.probe.missed += 1;
                // Calls that were answered since outweigh a missing report.
                let missing = unanswered.refused || self.probe.missed >= PROBES_MISSED;
                if missing && self.proof < began {
                    self.standing.broke(now);
                    self.standing.unreachable(now);
                }
            }
        }
        let down = self.standing.is_down() || self.probe.missed > 0;
        self.probe.due = now + if down { PROBE_DOWN } else { PROBE_EVERY };
    }

    fn take_report(&mut self, health: Option<upstream::Health>, now: Moment) {
        if self.standing.reached(now) {
            self.warm_up();
        }
        let Some(health) = health else {
            return;
        };
        let starting = health.status == upstream::Status::Starting;
        if starting
            && !self
                .standing
                .worked_since(Moment(now.0.saturating_sub(BUSY_US)))
        {
            self.warm_up();
        }
        self.standing.hint(health.status, health.age(), now);
    }

    /// A started upstream is slow at first: it gets one call at a time, then
    /// more with each that succeeds, and its earlier times count no more.
    fn warm_up(&mut self) {
        self.limit.cold();
        self.times.forget();
    }

    /// Whether connections are kept without calls.
    fn stays_warm(&self, now: Moment) -> bool {
        let home = matches!(
            self.role,
            Some(placement::Role::Primary | placement::Role::Standby | placement::Role::Direct)
        );
        home && !self.leaving && !self.is_unlisted(now) && !self.standing.is_down()
    }

    pub(super) fn keep_connections(&mut self, now: Moment) {
        self.close_unneeded(now);
        self.prove(now);
        self.ask(now);
    }

    fn close_unneeded(&mut self, now: Moment) {
        let most = self.share(now).call_connections() as usize;
        while self.lines.len() > most {
            let Some(link) = self.lines.stalest() else {
                break;
            };
            self.close(link, Why::Idle);
        }
        let serves = most > 0 && !self.leaving && !self.is_unlisted(now);
        let warm = usize::from(self.stays_warm(now));
        while self.lines.idle_count() > warm {
            let Some((link, used)) = self.lines.least_used() else {
                break;
            };
            if serves && now < used + IDLE_LIMIT {
                break;
            }
            self.close(link, Why::Idle);
        }
    }

    fn prove(&mut self, now: Moment) {
        let late = self.lines.iter().filter(|(_, line)| match line.phase {
            lines::Phase::Proving(since) => since + REPORT_LIMIT <= now,
            _ => false,
        });
        let late: Vec<_> = late.map(|(link, _)| link).collect();
        for link in late {
            self.close(link, Why::Silent);
        }
        if !self.stays_warm(now) {
            return;
        }
        let due = self
            .lines
            .iter()
            .filter(|(_, line)| line.is_idle() && line.proven + PROVE_EVERY <= now);
        let due: Vec<_> = due.map(|(link, _)| link).collect();
        for link in due {
            if let Some(line) = self.lines.get_mut(link) {
                line.phase = lines::Phase::Proving(now);
                self.actions.push(Action::Prove { link, fresh: false });
            }
        }
        if self.lines.len() == 0 && self.share(now).call_connections() > 0 {
            let link = self.lines.open(lines::Phase::Proving(now), now);
            self.actions.push(Action::Prove { link, fresh: true });
        }
    }

    /// Asks for a report when one is due, or to tell a silent connection from a
    /// slow upstream.
    fn ask(&mut self, now: Moment) {
        let doubted = self.lines.suspected_since();
        if doubted.is_some_and(|since| self.proof <= since) {
            self.probe.hasten(now);
        }
        let home = self.share(now).has_control() && !self.leaving;
        if home && !self.probe.running && self.probe.due <= now {
            self.probe.running = true;
            self.actions.push(Action::Probe);
        }
    }

    /// When something falls due next, after `now`.
    pub fn wake(&self, now: Moment) -> Moment {
        let waiting = (self.queue.len() > 0).then_some([
            self.limit.paused_until(),
            self.beside.from(),
            self.queue.earliest().unwrap_or_default(),
        ]);
        let held = self.standing.held_until();
        let moved = self.moved.map(|moved| moved + super::MOVE_GRACE);
        let unlisted = self.unlisted.map(|since| since + super::UNLISTED_GRACE);
        let lines = self.lines.iter().flat_map(|(_, line)| self.due(line));
        let due = waiting.into_iter().flatten().chain(held).chain(moved);
        let due = due.chain(unlisted).chain(lines).chain([self.probe.due]);
        let next = due.filter(|moment| *moment > now).min();
        next.unwrap_or(now + PROBE_EVERY)
    }

    fn due(&self, line: &lines::Line) -> [Moment; 3] {
        match &line.phase {
            lines::Phase::Idle => [
                line.proven + PROVE_EVERY,
                line.used + IDLE_LIMIT,
                Moment::default(),
            ],
            lines::Phase::Proving(since) => {
                [*since + REPORT_LIMIT, Moment::default(), Moment::default()]
            }
            lines::Phase::Busy(busy) => {
                let record = busy.job.is_record();
                let grace = if record {
                    running::RECORD_GRACE
                } else {
                    time::Duration::ZERO
                };
                let end = busy.given_up.unwrap_or(busy.job.deadline + grace);
                [
                    end,
                    busy.sent + self.suspect_after(),
                    busy.sent + self.cut_after(),
                ]
            }
        }
    }
}
