//! Handles replies of homes.

use std::time;

use super::Action;
use super::Gather;
use super::Phase;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::query;
use crate::query::merge;
use crate::time as clock;

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
            self.cancelled_canary_ended(attempt, now);
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
}
