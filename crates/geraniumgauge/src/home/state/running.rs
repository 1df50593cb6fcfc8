//! Running calls: replies, deadlines, cancellation and silent connections.

use std::time;

use super::Action;
use super::CloseReason;
use super::State;
use super::connections;
use super::job;
use crate::home::placement;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

/// A call without a reply is suspect after this multiple of the p95 latency.
const SUSPECT_FACTOR: u32 = 2;
/// A suspect call may be ended after this multiple of the time until it is suspect.
const SILENCE_FACTOR: u32 = 2;
/// Minimum time until a call is suspect.
const MIN_SUSPECT_DELAY: time::Duration = time::Duration::from_millis(10);
/// Time until a call is suspect while the upstream's latency isn't known yet.
const DEFAULT_SUSPECT_DELAY: time::Duration = time::Duration::from_millis(200);
/// How long the upstream may take to end a call after it was asked to stop it.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// How long it may take once that request has ended. If the request failed, the loss of
/// the call's connection may be noticed a moment later.
const CANCEL_GRACE: time::Duration = time::Duration::from_millis(50);
/// How long past its deadline a record's result is awaited, as it shows whether the
/// record was run.
pub(super) const RECORD_GRACE: time::Duration = time::Duration::from_secs(5);

impl State {
    /// Returns the time after which a call without any reply is suspect.
    pub(super) fn suspect_delay(&self) -> time::Duration {
        let slow = self.latency.slow().map(|slow| slow * SUSPECT_FACTOR);
        slow.unwrap_or(DEFAULT_SUSPECT_DELAY).max(MIN_SUSPECT_DELAY)
    }

    /// Returns the time after which a suspect call may be ended. In the direct baseline
    /// calls run until their deadline, as with a plain client.
    pub(super) fn silence_timeout(&self) -> time::Duration {
        match self.role() {
            Some(placement::Role::Direct) => time::Duration::MAX,
            _ => self.suspect_delay() * SILENCE_FACTOR,
        }
    }

    pub(super) fn reply_started(&mut self, connection_id: connections::Id) {
        if let Some(call) = self.connections.busy_mut(connection_id) {
            call.reply_started = true;
            call.suspect = false;
        }
    }

    /// Checks every running call.
    pub(super) fn check_running(&mut self, now: Moment) {
        let connection_ids: Vec<_> = self.connections.busy().map(|(id, _)| id).collect();
        for connection_id in connection_ids {
            self.check_call(connection_id, now);
        }
    }

    fn check_call(&mut self, connection_id: connections::Id, now: Moment) {
        let (suspect_delay, silence_timeout) = (self.suspect_delay(), self.silence_timeout());
        let down = self.availability.is_down();
        let latest_answered_send = self.latest_answered_send;
        let Some(call) = self.connections.busy_mut(connection_id) else {
            return;
        };
        if let Some(until) = call.abandoned_until {
            if until <= now {
                self.close_abandoned(connection_id, CloseReason::Silent, now);
            }
            return;
        }
        if !call.reply_started && call.age(now) >= suspect_delay {
            call.suspect = true;
        }
        if call.job.is_record() {
            return self.check_record(connection_id, now);
        }
        if call.job.deadline <= now {
            return self.answer_and_abandon(connection_id, message::Outcome::Deadline, now);
        }
        // Ended only if the upstream has answered something sent later, or is down: a
        // call that is merely slow goes on.
        let silent = down || (call.age(now) >= silence_timeout && latest_answered_send > call.sent);
        if call.suspect && silent {
            let age = call.age(now);
            // Recorded at twice its age. Otherwise, when the whole upstream slows down,
            // every call would be ended and none would raise the latency estimate.
            self.latency.record(age * 2);
            self.answer_and_abandon(connection_id, message::Outcome::Silent, now);
        }
    }

    fn check_record(&mut self, connection_id: connections::Id, now: Moment) {
        let Some(call) = self.connections.busy_mut(connection_id) else {
            return;
        };
        if call.job.deadline + RECORD_GRACE <= now {
            let answer = call.answer(message::Outcome::Silent, None, now);
            self.actions.push(Action::Answer(answer));
            self.close(connection_id, CloseReason::Silent);
        }
    }

    /// Answers a running search and abandons it. A canary or trial is answered once the
    /// upstream has ended it or is lost: until then it could still crash the upstream.
    pub(super) fn answer_and_abandon(
        &mut self,
        connection_id: connections::Id,
        outcome: message::Outcome,
        now: Moment,
    ) {
        let Some(call) = self.connections.busy_mut(connection_id) else {
            return;
        };
        call.owes_answer = call.job.is_single() && outcome != message::Outcome::Deadline;
        if !call.owes_answer {
            let answer = call.answer(outcome, None, now);
            self.actions.push(Action::Answer(answer));
        }
        self.abandon(connection_id, now);
    }

    /// Stops a running search that has been answered. It holds its slot until the
    /// upstream has ended it.
    pub(super) fn abandon(&mut self, connection_id: connections::Id, now: Moment) {
        let has_control = self.limits(now).has_control();
        let Some(call) = self.connections.busy_mut(connection_id) else {
            return;
        };
        if !has_control {
            return self.close_abandoned(connection_id, CloseReason::Replaced, now);
        }
        call.abandoned_until = Some(now + CANCEL_TIMEOUT);
        let call_id = call.job.upstream_id();
        self.actions.push(Action::Cancel {
            connection_id,
            call_id,
        });
    }

    pub(super) fn cancelled(&mut self, connection_id: connections::Id, stopped: bool, now: Moment) {
        let Some(call) = self.connections.busy_mut(connection_id) else {
            return;
        };
        if stopped && std::mem::take(&mut call.owes_answer) {
            let answer = call.answer(message::Outcome::Cancelled, None, now);
            self.actions.push(Action::Answer(answer));
        }
        let until = now + CANCEL_GRACE;
        call.abandoned_until = call.abandoned_until.map(|latest| latest.min(until));
    }

    pub(super) fn close(&mut self, connection_id: connections::Id, reason: CloseReason) {
        if self.connections.close(connection_id).is_some() {
            self.actions.push(Action::Close {
                connection_id,
                reason,
            });
        }
    }

    /// Closes the connection of an abandoned call without knowing how the call ended.
    fn close_abandoned(
        &mut self,
        connection_id: connections::Id,
        reason: CloseReason,
        now: Moment,
    ) {
        if let Some(call) = self.connections.busy_mut(connection_id)
            && call.owes_answer
        {
            let answer = call.answer(message::Outcome::Silent, None, now);
            self.actions.push(Action::Answer(answer));
        }
        self.close(connection_id, reason);
    }

    /// Processes the end of a call.
    pub(super) fn finished(
        &mut self,
        connection_id: connections::Id,
        reply: upstream::Reply,
        now: Moment,
    ) {
        let Some(call) = self.connections.busy_mut(connection_id).cloned() else {
            return;
        };
        self.release(connection_id, reply.reusable, now);
        let answered = !matches!(
            reply.outcome,
            upstream::Outcome::Unsent | upstream::Outcome::Withheld | upstream::Outcome::Lost
        );
        if answered {
            self.latest_answered_send = self.latest_answered_send.max(call.sent);
        }
        if let Some(outcome) = self.apply_reply(&call, &reply, now)
            && (call.abandoned_until.is_none() || call.owes_answer)
        {
            let mut answer = call.answer(outcome, Some(reply), now);
            if outcome == message::Outcome::Shed {
                answer.retry_after = self.latency.mean().max(self.limit.retry_after());
            }
            self.actions.push(Action::Answer(answer));
        }
    }

    fn release(&mut self, connection_id: connections::Id, reusable: bool, now: Moment) {
        if !reusable {
            return self.close(connection_id, CloseReason::Broken);
        }
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.phase = connections::Phase::Idle;
            connection.last_reply = now;
            connection.last_used = now;
        }
    }

    /// Updates limit, latency and availability from a reply. Returns the outcome to
    /// answer with, or `None` if the call was put back in the queue.
    fn apply_reply(
        &mut self,
        call: &connections::Call,
        reply: &upstream::Reply,
        now: Moment,
    ) -> Option<message::Outcome> {
        match reply.outcome {
            upstream::Outcome::Done => {
                self.latency.record(now.since(call.sent));
                self.limit.succeeded();
                self.availability.succeeded(call.sent, now);
                if call.over_limit {
                    self.overcommit.succeeded();
                }
                Some(message::Outcome::Hits)
            }
            upstream::Outcome::Shed if call.over_limit && call.may_requeue() => {
                // Shed because this home sent it beyond the limit.
                self.overcommit.shed(now);
                self.queue.insert(call.job.clone());
                None
            }
            upstream::Outcome::Shed => {
                self.limit.shed(call.sent, now);
                Some(message::Outcome::Shed)
            }
            upstream::Outcome::Draining => {
                self.availability.refused(now);
                Some(message::Outcome::Draining)
            }
            upstream::Outcome::Version => Some(message::Outcome::Version),
            upstream::Outcome::Unsent => self.unsent(call, now),
            upstream::Outcome::Withheld => Some(message::Outcome::Suspect),
            upstream::Outcome::Lost if self.is_uncertain(call, now) => {
                self.await_probe(call, now);
                None
            }
            upstream::Outcome::Lost => {
                self.call_lost(call);
                // An upstream may end a cancelled call by closing the connection.
                if call.abandoned_until.is_none() {
                    self.availability.connection_broke(now);
                    self.probe.make_due(now);
                }
                Some(message::Outcome::Lost)
            }
            upstream::Outcome::Crossed => Some(message::Outcome::Crossed),
            // The error says that the call was cancelled, not what it would have done.
            upstream::Outcome::Failed if call.abandoned_until.is_some() => {
                Some(message::Outcome::Cancelled)
            }
            upstream::Outcome::Failed => Some(message::Outcome::Failed),
        }
    }

    /// Handles a call that couldn't be sent. On a new connection this means that the
    /// upstream is unreachable. A used connection was closed by the upstream while
    /// idle, so a search is queued again for another connection. A home never resends
    /// a record.
    fn unsent(&mut self, call: &connections::Call, now: Moment) -> Option<message::Outcome> {
        if call.must_connect {
            self.availability.unreachable(now);
            self.probe.make_due(now);
        }
        if call.must_connect || !call.may_requeue() {
            return Some(message::Outcome::Unreachable);
        }
        self.queue.insert(call.job.clone());
        None
    }
}

impl connections::Call {
    /// Returns true if a call that was not run may be queued again. A home sends a
    /// record only once, even if it is known not to have run.
    fn may_requeue(&self) -> bool {
        self.abandoned_until.is_none() && !self.job.is_record()
    }

    /// Builds the answer to this call as of `now`.
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
