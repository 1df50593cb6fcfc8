//! Retries the calls of a shard, now or later, or gives the shard up.

use std::cmp;
use std::time;

use super::Gather;
use super::Timer;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::query;
use crate::time as clock;

/// Failed calls of one shard at one pin after which the shard is given up.
const MAX_FAILURES: u32 = 8;
/// First delay before a replica is called again; doubles each time.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(4);
/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Gather {
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
