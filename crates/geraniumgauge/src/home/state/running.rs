//! Calls that run: their end, their deadline, and connections that stay silent.

use std::time;

use super::Action;
use super::State;
use super::Why;
use super::job;
use super::lines;
use crate::home::placement;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

/// A call is suspect after this many times the time that few calls exceed.
const SUSPECT_FACTOR: u32 = 2;
/// A suspect is cut after this many times that again.
const CUT_FACTOR: u32 = 2;
/// Least time until a call is suspect.
const SUSPECT_LEAST: time::Duration = time::Duration::from_millis(10);
/// Time until a call is suspect, while healthy times aren't known.
const SUSPECT_UNKNOWN: time::Duration = time::Duration::from_millis(200);
/// How long the upstream may take to end a call that it was asked to stop.
const CANCEL_GRACE: time::Duration = time::Duration::from_millis(300);
/// The same, once it has answered that request.
const CANCELLED_GRACE: time::Duration = time::Duration::from_millis(50);
/// How long past its deadline a record's result is waited for: it settles
/// whether the record was run.
pub(super) const RECORD_GRACE: time::Duration = time::Duration::from_secs(5);

impl State {
    /// When a call without a byte of reply becomes suspect.
    pub(super) fn suspect_after(&self) -> time::Duration {
        let slow = self.times.slow().map(|slow| slow * SUSPECT_FACTOR);
        slow.unwrap_or(SUSPECT_UNKNOWN).max(SUSPECT_LEAST)
    }

    /// When a suspect may be cut. The baseline that calls upstreams directly
    /// waits for the deadline, as a plain client does.
    pub(super) fn cut_after(&self) -> time::Duration {
        match self.role() {
            Some(placement::Role::Direct) => time::Duration::MAX,
            _ => self.suspect_after() * CUT_FACTOR,
        }
    }

    pub(super) fn heard(&mut self, link: lines::Link) {
        if let Some(busy) = self.lines.busy_mut(link) {
            busy.answering = true;
            busy.suspect = false;
        }
    }

    /// Looks after every running call.
    pub(super) fn settle_running(&mut self, now: Moment) {
        let links: Vec<_> = self.lines.busy().map(|(link, _)| link).collect();
        for link in links {
            self.settle(link, now);
        }
    }

    fn settle(&mut self, link: lines::Link, now: Moment) {
        let (suspect_after, cut_after) = (self.suspect_after(), self.cut_after());
        let down = self.standing.is_down();
        let proof = self.proof;
        let Some(busy) = self.lines.busy_mut(link) else {
            return;
        };
        if let Some(until) = busy.given_up {
            if until <= now {
                self.close(link, Why::Silent);
            }
            return;
        }
        if !busy.answering && busy.age(now) >= suspect_after {
            busy.suspect = true;
        }
        if busy.job.is_record() {
            return self.settle_record(link, now);
        }
        if busy.job.deadline <= now {
            return self.end(link, message::Outcome::Deadline, now);
        }
        // Cut only where the upstream is known to answer others, or to answer
        // nobody: a call that is merely slow keeps its chance.
        let dead = down || (busy.age(now) >= cut_after && proof > busy.sent);
        if busy.suspect && dead {
            let age = busy.age(now);
            // Counted as longer than seen. Without it an upstream that slows
            // down as a whole would have every call cut and none counted.
            self.times.record(age * 2);
            self.end(link, message::Outcome::Silent, now);
        }
    }

    fn settle_record(&mut self, link: lines::Link, now: Moment) {
        let Some(busy) = self.lines.busy_mut(link) else {
            return;
        };
        if busy.job.deadline + RECORD_GRACE <= now {
            let answer = busy.answer(message::Outcome::Silent, None, now);
            self.actions.push(Action::Answer(answer));
            self.close(link, Why::Silent);
        }
    }

    /// Answers a running search and stops it.
    fn end(&mut self, link: lines::Link, outcome: message::Outcome, now: Moment) {
        let Some(busy) = self.lines.busy_mut(link) else {
            return;
        };
        let answer = busy.answer(outcome, None, now);
        self.actions.push(Action::Answer(answer));
        self.give_up(link, now);
    }

    /// Stops a running search whose answer is given. Its slot stays taken
    /// until the upstream has let go of it.
    pub(super) fn give_up(&mut self, link: lines::Link, now: Moment) {
        let controlled = self.share(now).has_control();
        let Some(busy) = self.lines.busy_mut(link) else {
            return;
        };
        if !controlled {
            return self.close(link, Why::Replaced);
        }
        busy.given_up = Some(now + CANCEL_GRACE);
        let id = busy.job.upstream_id();
        self.actions.push(Action::CancelAt { link, id });
    }

    pub(super) fn cancelled(&mut self, link: lines::Link, asked: bool, now: Moment) {
        let Some(busy) = self.lines.busy_mut(link) else {
            return;
        };
        let grace = if asked {
            CANCELLED_GRACE
        } else {
            time::Duration::ZERO
        };
        busy.given_up = busy.given_up.map(|until| until.min(now + grace));
    }

    pub(super) fn close(&mut self, link: lines::Link, why: Why) {
        if self.lines.close(link).is_some() {
            self.actions.push(Action::Close { link, why });
        }
    }

    /// A call has ended.
    pub(super) fn finished(&mut self, link: lines::Link, reply: upstream::Reply, now: Moment) {
        let Some(busy) = self.lines.busy_mut(link).cloned() else {
            return;
        };
        self.release(link, reply.reusable, now);
        let answered = !matches!(
            reply.outcome,
            upstream::Outcome::Unsent | upstream::Outcome::Lost
        );
        if answered {
            self.proof = self.proof.max(busy.sent);
        }
        if let Some(outcome) = self.learn(&busy, &reply, now)
            && busy.given_up.is_none()
        {
            let mut answer = busy.answer(outcome, Some(reply), now);
            if outcome == message::Outcome::Shed {
                answer.retry_after = self.times.mean().max(self.limit.leave_alone());
            }
            self.actions.push(Action::Answer(answer));
        }
    }

    fn release(&mut self, link: lines::Link, reusable: bool, now: Moment) {
        if !reusable {
            return self.close(link, Why::Broken);
        }
        if let Some(line) = self.lines.get_mut(link) {
            line.phase = lines::Phase::Idle;
            line.proven = now;
            line.used = now;
        }
    }

    /// Draws conclusions from a reply. `None` where the call waits again.
    fn learn(
        &mut self,
        busy: &lines::Busy,
        reply: &upstream::Reply,
        now: Moment,
    ) -> Option<message::Outcome> {
        match reply.outcome {
            upstream::Outcome::Done => {
                self.times.record(now.since(busy.sent));
                self.limit.succeeded();
                self.standing.succeeded(busy.sent, now);
                if busy.beside {
                    self.beside.succeeded();
                }
                Some(message::Outcome::Hits)
            }
            upstream::Outcome::Shed if busy.beside && busy.may_wait_again() => {
                // Our own doing: it was sent beyond the limit.
                self.beside.shed(now);
                self.queue.insert(busy.job.clone());
                None
            }
            upstream::Outcome::Shed => {
                self.limit.failed(busy.sent, now);
                Some(message::Outcome::Shed)
            }
            upstream::Outcome::Draining => {
                self.standing.refused(now);
                Some(message::Outcome::Draining)
            }
            upstream::Outcome::Version => Some(message::Outcome::Version),
            upstream::Outcome::Unsent => self.unsent(busy, now),
            upstream::Outcome::Lost => {
                // An upstream may end a call that it was asked to stop this way.
                if busy.given_up.is_none() {
                    self.standing.broke(now);
                    self.probe.hasten(now);
                }
                Some(message::Outcome::Lost)
            }
            upstream::Outcome::Crossed => Some(message::Outcome::Crossed),
            upstream::Outcome::Failed => Some(message::Outcome::Failed),
        }
    }

    /// Nothing was sent. On a new connection, the upstream can't be reached; on
    /// one that was used before, it had closed it while idle, and a search may
    /// go on another. A record is never sent again by a home.
    fn unsent(&mut self, busy: &lines::Busy, now: Moment) -> Option<message::Outcome> {
        if busy.fresh {
            self.standing.unreachable(now);
            self.probe.hasten(now);
        }
        if busy.fresh || !busy.may_wait_again() {
            return Some(message::Outcome::Unreachable);
        }
        self.queue.insert(busy.job.clone());
        None
    }
}

impl lines::Busy {
    /// Whether a call that was not run may be sent again from here. A record
    /// is sent by a home once, whatever is known of its fate.
    fn may_wait_again(&self) -> bool {
        self.given_up.is_none() && !self.job.is_record()
    }

    /// The answer to this call as of `now`.
    pub(super) fn answer(
        &self,
        outcome: message::Outcome,
        reply: Option<upstream::Reply>,
        now: Moment,
    ) -> job::Answer {
        job::Answer {
            job: self.job.clone(),
            outcome,
            reply,
            queued: self.sent.since(self.job.arrived),
            ran: now.since(self.sent),
            retry_after: time::Duration::ZERO,
        }
    }
}
