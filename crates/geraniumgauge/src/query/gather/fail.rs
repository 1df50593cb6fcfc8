//! Handles replies, failed calls and retries.

use std::cmp;
use std::time;

use super::Action;
use super::Gather;
use super::Phase;
use super::Timer;
use super::attempt;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::quarantine::tracker;
use crate::query;
use crate::query::merge;
use crate::time as clock;

/// Failed calls of one shard at one pin after which the shard is given up.
const MAX_FAILURES: u32 = 8;
/// First delay before a replica is called again; doubles each time.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(4);
/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Gather {
    /// Handles one reply. Ignores replies that match no attempt, or that come
    /// from another home or upstream than the attempt was sent to.
    pub(super) fn reply(&mut self, from: &ids::Vm, reply: message::Reply, now: clock::Moment) {
        if self.phase == Phase::Done {
            return;
        }
        let Some(attempt) = self.attempt_of(&reply) else {
            return;
        };
        let called = &self.attempts[attempt as usize];
        let replica = self.plan.replica(called.replica);
        let sender = self.homes.name(called.vm);
        if replica.id.as_str() != reply.upstream || sender != from {
            return;
        }
        if called.ended {
            self.reply_after_cancel(attempt, reply.outcome());
            return;
        }
        replica.stats.record_reply(&reply, now);
        let outcome = reply.outcome();
        if outcome != Outcome::Hits {
            let after = time::Duration::from_micros(reply.retry_after_us);
            self.failed(attempt, outcome, after, now);
            return;
        }
        match self.hits(attempt, &reply) {
            Some(found) => self.cover(attempt, &reply, found, now),
            None => self.failed(attempt, Outcome::Crossed, time::Duration::ZERO, now),
        }
    }

    /// Handles the reply to a cancelled call. Only a lost connection matters: the
    /// call may have crashed its upstream before the cancel took effect, and the
    /// request must become suspect for that.
    fn reply_after_cancel(&mut self, attempt: u32, outcome: Outcome) {
        let called = &mut self.attempts[attempt as usize];
        let first = std::mem::take(&mut called.cancel_unconfirmed);
        if first && outcome == Outcome::Lost && self.setup.policy != query::Policy::Direct {
            let (replica, kind) = (called.replica, called.kind);
            let upstream = self.plan.replica(replica).id.clone();
            self.report_loss(upstream, kind);
        }
    }

    /// Returns the index of the attempt that a reply is for.
    fn attempt_of(&self, reply: &message::Reply) -> Option<u32> {
        let number = reply.attempt.checked_sub(self.setup.first_attempt)?;
        let known = number < self.attempts.len() as u64;
        known.then_some(number as u32)
    }

    /// Reads the hits of a reply; `None` if it is malformed or of another shard,
    /// layout or index version than requested.
    fn hits(&self, attempt: u32, reply: &message::Reply) -> Option<merge::ShardHits> {
        let called = &self.attempts[attempt as usize];
        let shard = &self.plan.shard(self.slots[called.slot as usize].shard).id;
        let version = ids::IndexVersion(reply.index_version);
        let own = reply.shard == shard.as_str()
            && reply.layout == self.plan.layout.version.0
            && self.pin.is_none_or(|pin| pin == version);
        let body = own.then(|| reply.body.clone())?;
        merge::parse(body, shard, self.setup.limit)
    }

    /// Handles a valid reply: covers its shard and cancels the shard's other
    /// calls.
    fn cover(
        &mut self,
        attempt: u32,
        reply: &message::Reply,
        found: merge::ShardHits,
        now: clock::Moment,
    ) {
        let called = &self.attempts[attempt as usize];
        let (number, kind, span) = (called.slot, called.kind, now.since(called.sent));
        let upstream = self.plan.replica(called.replica);
        upstream.stats.record_success(now);
        upstream.stats.record_time(span, now);
        let upstream = upstream.id.clone();
        self.call_times.push(span);
        self.end(attempt);
        self.pin
            .get_or_insert(ids::IndexVersion(reply.index_version));
        let losers = self.slots[number as usize].open().to_vec();
        for loser in losers {
            self.record_loser(loser, now);
            self.cancel(loser);
        }
        let slot = &mut self.slots[number as usize];
        if !slot.covered() {
            slot.state = slot::State::Covered(found);
            self.covered += 1;
            self.schedule_last_hedges(now);
        }
        if kind == message::Kind::Trial {
            self.trial_completed(upstream, now);
        }
        if !self.completed && self.verdict == query::CLEAR {
            self.completed = true;
            self.outbox.actions.push(Action::Completed);
        }
        if matches!(self.phase, Phase::Lead { .. }) && self.verdict == query::CLEAR {
            self.start_fan_out(now);
        }
    }

    /// Handles calls that couldn't be sent.
    pub(super) fn unsent(&mut self, attempts: &[u64], now: clock::Moment) {
        for id in attempts {
            let number = id.checked_sub(self.setup.first_attempt);
            let known = number.filter(|number| *number < self.attempts.len() as u64);
            let Some(attempt) = known.map(|number| number as u32) else {
                continue;
            };
            if !self.attempts[attempt as usize].ended {
                let vm = self.homes.name(self.attempts[attempt as usize].vm).clone();
                self.avoid(&vm, now);
                self.failed_unsent(attempt, now);
            }
        }
    }

    /// Fails all calls at a VM whose link was lost.
    pub(super) fn link_lost(&mut self, vm: &ids::Vm, now: clock::Moment) {
        self.avoid(vm, now);
        for attempt in self.running_at(vm) {
            self.failed(attempt, Outcome::Unknown, time::Duration::ZERO, now);
        }
    }

    /// Fails all calls at a VM to which no link could be opened.
    pub(super) fn link_not_opened(&mut self, vm: &ids::Vm, now: clock::Moment) {
        self.avoid(vm, now);
        for attempt in self.running_at(vm) {
            self.failed_unsent(attempt, now);
        }
    }

    /// Returns the running calls at a VM.
    fn running_at(&self, vm: &ids::Vm) -> Vec<u32> {
        let number = self.homes.find(vm);
        let calls = self.attempts.iter().enumerate();
        let running = calls.filter(|(_, call)| !call.ended && Some(call.vm) == number);
        running.map(|(attempt, _)| attempt as u32).collect()
    }

    /// Fails a call that hasn't left this VM.
    fn failed_unsent(&mut self, attempt: u32, now: clock::Moment) {
        self.attempts[attempt as usize].unsent = true;
        self.failed(attempt, Outcome::NotHome, time::Duration::ZERO, now);
    }

    /// Makes searches avoid a VM for a while.
    fn avoid(&self, vm: &ids::Vm, now: clock::Moment) {
        if let Some(known) = self.plan.vms.iter().find(|known| known.id == *vm) {
            known.link.record_loss(now);
        }
    }

    /// Handles one failed call. Other calls of its shard may still run.
    pub(super) fn failed(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let called = self.attempts[attempt as usize].clone();
        let replica = self.plan.replica(called.replica);
        replica.stats.record_failure(outcome, retry_after, now);
        let upstream = replica.id.clone();
        self.attempts[attempt as usize].failure = Some(attempt::Failure { outcome, at: now });
        self.end(attempt);
        if matches!(outcome, Outcome::Shed | Outcome::Late) {
            self.counts.overloads += 1;
        }
        if called.kind == message::Kind::Trial {
            self.trial_failed(outcome, upstream, now);
        } else if outcome == Outcome::Lost && self.setup.policy != query::Policy::Direct {
            self.report_loss(upstream, called.kind);
        }
        let slot = &mut self.slots[called.slot as usize];
        if slot.is_final() {
            return;
        }
        slot.reason = Some(reason(outcome));
        slot.failures += 1;
        if slot.open().is_empty() {
            self.call_failed_shard(attempt, outcome, retry_after, now);
        }
    }

    /// Reports a connection that was lost while the request ran. No further call
    /// is sent until the verdict arrives, since a retry at the sibling could
    /// crash it too.
    fn report_loss(&mut self, upstream: ids::Upstream, kind: message::Kind) {
        let run = match kind {
            message::Kind::Canary => tracker::Run::Canary,
            _ => tracker::Run::Concurrent,
        };
        self.verdict_pending = true;
        self.outbox.actions.push(Action::Lost { upstream, run });
    }

    /// Decides how to go on with a shard whose last running call has failed.
    fn call_failed_shard(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let called = &self.attempts[attempt as usize];
        let (slot, vm, unsent) = (called.slot, called.vm, called.unsent);
        if self.verdict_pending || self.verdict != query::CLEAR {
            self.slots[slot as usize].state = slot::State::Held;
            return;
        }
        if matches!(self.phase, Phase::Lead { .. }) {
            self.lead_call_failed(attempt, outcome, now);
            return;
        }
        let moves = matches!(outcome, Outcome::NotHome | Outcome::Stopping);
        // Each call that didn't leave this VM makes one more home avoided, so this ends.
        let elsewhere = unsent && self.is_reachable(slot, now);
        let entry = &mut self.slots[slot as usize];
        if elsewhere || (moves && !entry.moved) {
            entry.moved |= !unsent;
            entry.state = slot::State::AwaitingPlan;
            self.restart.replan(&mut self.outbox.actions);
            return;
        }
        let avoid = moves || outcome == Outcome::Unknown;
        let avoid = avoid.then(|| self.homes.name(vm).clone());
        self.retry(slot, avoid, retry_after, now);
    }

    /// Returns whether a replica of the shard may offer the pinned version and has a
    /// home that isn't avoided.
    fn is_reachable(&self, slot: u32, now: clock::Moment) -> bool {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let mut replicas = shard.replicas.iter().enumerate();
        replicas.any(|(position, replica)| {
            self.may_offer(shard, position, now) && self.plan.reachable(*replica, now)
        })
    }

    /// Handles a failed lead call. Its shard is called again in the fan-out, or
    /// remains unsent if the call hasn't left this VM or the failure made the search
    /// choose another version.
    fn lead_call_failed(&mut self, attempt: u32, outcome: Outcome, now: clock::Moment) {
        let repinned = outcome == Outcome::Version && self.covered == 0 && self.repin(now);
        let called = &self.attempts[attempt as usize];
        let entry = &mut self.slots[called.slot as usize];
        entry.tried = 0;
        entry.state = if repinned || called.unsent {
            slot::State::Unsent
        } else {
            slot::State::Deferred
        };
        let unreachable = matches!(
            outcome,
            Outcome::Unreachable | Outcome::Silent | Outcome::Unknown
        );
        if unreachable && self.setup.canary {
            self.delay_next_lead(now);
        } else if self.open_calls == 0 {
            self.send_lead(now);
        }
    }

    /// Chooses the index version again after a replica reported its range, and
    /// returns whether it changed. No hits may have been collected yet.
    fn repin(&mut self, now: clock::Moment) -> bool {
        let pick = query::version::pick(&self.plan, &self.requested, now);
        let pin = pick.map(|pick| pick.version);
        std::mem::replace(&mut self.pin, pin) != pin
    }

    /// Retries `slot`, now or after a delay, if time, replicas and budget permit;
    /// otherwise gives it up.
    pub(super) fn retry(
        &mut self,
        slot: u32,
        avoid: Option<ids::Vm>,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let entry = &self.slots[slot as usize];
        let (tried, failures) = (entry.tried, entry.failures);
        let direct = self.setup.policy == query::Policy::Direct;
        if !self.has_time_for_call(now) || (failures >= MAX_FAILURES && !direct) {
            let reason = last_reason(entry);
            self.restart.wanted |= reason == query::Reason::BadReply;
            self.give_up(slot, reason);
            return;
        }
        if let Some(position) = self.choose(slot, tried, now) {
            self.retry_within_budget(slot, position, avoid.as_ref(), now);
            return;
        }
        if self.choose(slot, 0, now).is_none() {
            self.no_replica(slot);
            return;
        }
        let doublings = failures.min(MAX_BACKOFF_DOUBLINGS);
        let wait = retry_after.max(INITIAL_BACKOFF * 2_u32.pow(doublings));
        let at = now + wait;
        if at + self.setup.typical_call_time >= self.setup.deadline {
            let reason = last_reason(&self.slots[slot as usize]);
            self.give_up(slot, reason);
            return;
        }
        self.schedule(slot, at, slot::State::Scheduled);
    }

    /// Sends a retry if the budget permits; otherwise schedules another try.
    fn retry_within_budget(
        &mut self,
        slot: u32,
        position: usize,
        avoid: Option<&ids::Vm>,
        now: clock::Moment,
    ) {
        let direct = self.setup.policy == query::Policy::Direct;
        if direct || self.upstreams.spend_retry() {
            self.send(slot, position, message::Kind::Retry, avoid, now);
            return;
        }
        self.counts.retries_refused += 1;
        let entry = &mut self.slots[slot as usize];
        entry.failures += 1;
        let wait = INITIAL_BACKOFF * 2_u32.pow(entry.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.schedule(slot, now + wait, slot::State::AwaitingBudget);
    }

    /// Sets the retry timer of a slot.
    fn schedule(&mut self, slot: u32, at: clock::Moment, state: slot::State) {
        if matches!(state, slot::State::Scheduled) {
            self.scheduled += 1;
        }
        self.slots[slot as usize].state = state;
        let restarts = self.restart.count;
        self.timers
            .push(cmp::Reverse((at, Timer::Retry { slot, restarts })));
    }

    /// Handles the retry timer of a slot; ignores one set before a restart.
    pub(super) fn retry_due(&mut self, slot: u32, restarts: u32, now: clock::Moment) {
        let entry = &mut self.slots[slot as usize];
        let current = restarts == self.restart.count;
        match entry.state {
            slot::State::Scheduled if current => self.scheduled -= 1,
            slot::State::AwaitingBudget if current => {}
            _ => return,
        }
        entry.tried = 0;
        if self.verdict_pending || self.verdict != query::CLEAR {
            entry.state = slot::State::Held;
            return;
        }
        self.retry(slot, None, time::Duration::ZERO, now);
    }

    /// Gives up a shard that has no replica, or none with the pinned version, and
    /// considers a restart.
    pub(super) fn no_replica(&mut self, slot: u32) {
        let no_replicas = self
            .plan
            .shard(self.slots[slot as usize].shard)
            .replicas
            .is_empty();
        self.restart.wanted = true;
        self.give_up(
            slot,
            if no_replicas {
                query::Reason::Unreachable
            } else {
                query::Reason::VersionUnavailable
            },
        );
    }

    /// Stops calling a shard; it will be missing from the answer.
    pub(super) fn give_up(&mut self, slot: u32, reason: query::Reason) {
        let slot = &mut self.slots[slot as usize];
        if matches!(slot.state, slot::State::Scheduled) {
            self.scheduled -= 1;
        }
        slot.state = slot::State::GivenUp;
        slot.reason = Some(reason);
    }

    /// Gives up all shards that aren't covered.
    pub(super) fn give_up_all(&mut self, reason: query::Reason) {
        for slot in 0..self.slots.len() as u32 {
            if !self.slots[slot as usize].is_final() {
                self.give_up(slot, reason);
            }
        }
    }
}

fn last_reason(slot: &slot::Slot) -> query::Reason {
    slot.reason.unwrap_or(query::Reason::Deadline)
}

/// Converts the outcome of a shard's last call to the reason that the caller
/// sees.
fn reason(outcome: Outcome) -> query::Reason {
    match outcome {
        Outcome::Late | Outcome::Shed => query::Reason::Overloaded,
        Outcome::Version => query::Reason::VersionUnavailable,
        Outcome::Crossed | Outcome::Failed | Outcome::Hits => query::Reason::BadReply,
        Outcome::Deadline => query::Reason::Deadline,
        Outcome::Unknown
        | Outcome::Draining
        | Outcome::Unreachable
        | Outcome::NotHome
        | Outcome::Lost
        | Outcome::Silent
        | Outcome::Cancelled
        | Outcome::Stopping => query::Reason::Unreachable,
    }
}
