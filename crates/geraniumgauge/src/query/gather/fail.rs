//! Replies, and what follows a call that failed.

use std::cmp;
use std::time;

use super::Action;
use super::Due;
use super::Gather;
use super::Phase;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::quarantine::tracker;
use crate::query;
use crate::query::merge;
use crate::time as clock;

/// Failed calls of one shard at one pin after which it is given up.
const MOST_FAILS: u32 = 8;
/// First wait before a replica is called again; doubles each time.
const BACKOFF: time::Duration = time::Duration::from_millis(4);
/// Most doublings of [`BACKOFF`].
const BACKOFF_DOUBLINGS: u32 = 5;

impl Gather {
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
            self.recalled(attempt, reply.outcome());
            return;
        }
        replica.stats.learn(&reply, now);
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

    /// A reply to a call that was cancelled. Of these only a loss counts: the
    /// call may have crashed its upstream before the cancel came there, and
    /// unseen it would not be held against the request.
    fn recalled(&mut self, attempt: u32, outcome: Outcome) {
        let called = &mut self.attempts[attempt as usize];
        let first = std::mem::take(&mut called.recalled);
        if first && outcome == Outcome::Lost && self.setup.policy != query::Policy::Direct {
            let (replica, kind) = (called.replica, called.kind);
            let upstream = self.plan.replica(replica).id.clone();
            self.blame(upstream, kind);
        }
    }

    fn attempt_of(&self, reply: &message::Reply) -> Option<u32> {
        let number = reply.attempt.checked_sub(self.setup.base)?;
        let known = number < self.attempts.len() as u64;
        known.then_some(number as u32)
    }

    /// The hits of a reply to its own call, shard and pin; `None` for any other.
    fn hits(&self, attempt: u32, reply: &message::Reply) -> Option<merge::Found> {
        let called = &self.attempts[attempt as usize];
        let shard = &self.plan.shard(self.slots[called.slot as usize].shard).id;
        let version = ids::IndexVersion(reply.index_version);
        let own = reply.shard == shard.as_str()
            && reply.layout == self.plan.layout.version.0
            && self.pin.is_none_or(|pin| pin == version);
        let body = own.then(|| reply.body.clone())?;
        merge::read(body, shard, self.setup.limit)
    }

    fn cover(
        &mut self,
        attempt: u32,
        reply: &message::Reply,
        found: merge::Found,
        now: clock::Moment,
    ) {
        let called = &self.attempts[attempt as usize];
        let (number, kind, span) = (called.slot, called.kind, now.since(called.sent));
        let upstream = self.plan.replica(called.replica);
        upstream.stats.good(now);
        upstream.stats.took(span, now);
        let upstream = upstream.id.clone();
        self.spans.push(span);
        self.end(attempt);
        self.pin
            .get_or_insert(ids::IndexVersion(reply.index_version));
        let losers = self.slots[number as usize].open().to_vec();
        for loser in losers {
            self.outlasted(loser, now);
            self.cancel(loser);
        }
        let slot = &mut self.slots[number as usize];
        if !slot.covered() {
            slot.state = slot::State::Covered(found);
            self.covered += 1;
            self.hedge_last(now);
        }
        if kind == message::Kind::Trial {
            self.trial_completed(upstream, now);
        }
        if !self.first_hits && self.verdict == query::CLEAR {
            self.first_hits = true;
            self.out.actions.push(Action::Completed);
        }
        if matches!(self.phase, Phase::Lead { .. }) && self.verdict == query::CLEAR {
            self.go_wide(now);
        }
    }

    pub(super) fn unsent(&mut self, attempts: &[u64], now: clock::Moment) {
        for id in attempts {
            let number = id.checked_sub(self.setup.base);
            let known = number.filter(|number| *number < self.attempts.len() as u64);
            let Some(attempt) = known.map(|number| number as u32) else {
                continue;
            };
            if !self.attempts[attempt as usize].ended {
                let vm = self.homes.name(self.attempts[attempt as usize].vm).clone();
                self.avoid(&vm, now);
                self.failed(attempt, Outcome::NotHome, time::Duration::ZERO, now);
            }
        }
    }

    pub(super) fn link_lost(&mut self, vm: &ids::Vm, now: clock::Moment) {
        self.avoid(vm, now);
        let Some(lost) = self.homes.find(vm) else {
            return;
        };
        for attempt in 0..self.attempts.len() as u32 {
            let called = &self.attempts[attempt as usize];
            if !called.ended && called.vm == lost {
                self.failed(attempt, Outcome::Unknown, time::Duration::ZERO, now);
            }
        }
    }

    fn avoid(&self, vm: &ids::Vm, now: clock::Moment) {
        if let Some(known) = self.plan.vms.iter().find(|known| known.id == *vm) {
            known.link.lost(now);
        }
    }

    /// One call failed. Others of its shard may still run.
    pub(super) fn failed(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let called = self.attempts[attempt as usize].clone();
        let replica = self.plan.replica(called.replica);
        replica.stats.bad(outcome, retry_after, now);
        let upstream = replica.id.clone();
        self.end(attempt);
        if matches!(outcome, Outcome::Shed | Outcome::Late) {
            self.counts.overloads += 1;
        }
        if called.kind == message::Kind::Trial {
            self.trial_failed(outcome, upstream, now);
        } else if outcome == Outcome::Lost && self.setup.policy != query::Policy::Direct {
            self.blame(upstream, called.kind);
        }
        let slot = &mut self.slots[called.slot as usize];
        if slot.over() {
            return;
        }
        slot.reason = Some(reason(outcome));
        slot.fails += 1;
        if slot.open().is_empty() {
            self.again(called.slot, Some(called.vm), outcome, retry_after, now);
        }
    }

    /// A connection was lost under the request. Nothing more of it is sent
    /// until the book has judged: a retry at the sibling would be the second
    /// crash.
    fn blame(&mut self, upstream: ids::Upstream, kind: message::Kind) {
        let run = match kind {
            message::Kind::Canary => tracker::Run::Canary,
            _ => tracker::Run::Concurrent,
        };
        self.judging = true;
        self.out.actions.push(Action::Lost { upstream, run });
    }

    /// The next call of a shard that has none running.
    fn again(
        &mut self,
        slot: u32,
        vm: Option<u32>,
        outcome: Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        if self.judging || self.verdict != query::CLEAR {
            self.slots[slot as usize].state = slot::State::Held;
            return;
        }
        if matches!(self.phase, Phase::Lead { .. }) {
            self.lead_again(slot, outcome, now);
            return;
        }
        let held = &mut self.slots[slot as usize];
        let moves = matches!(outcome, Outcome::NotHome | Outcome::Stopping);
        if moves && !held.moved {
            held.moved = true;
            held.state = slot::State::Moving;
            self.restart.replan(&mut self.out.actions);
            return;
        }
        let not = vm.map(|vm| self.homes.name(vm).clone());
        let not = not.filter(|_| moves || outcome == Outcome::Unknown);
        self.retry(slot, not, retry_after, now);
    }

    /// A lead failed: its shard's turn comes with the rest. With the version
    /// gone, the book knows more than at the start.
    fn lead_again(&mut self, slot: u32, outcome: Outcome, now: clock::Moment) {
        let moved = outcome == Outcome::Version && self.covered == 0 && self.repin(now);
        let held = &mut self.slots[slot as usize];
        held.tried = 0;
        held.state = if moved {
            slot::State::Unsent
        } else {
            slot::State::Deferred
        };
        let gone = matches!(
            outcome,
            Outcome::Unreachable | Outcome::Silent | Outcome::Unknown
        );
        if gone && self.setup.canary {
            self.lead_later(now);
        } else if self.open == 0 {
            self.send_lead(now);
        }
    }

    /// Whether another version suits better, now that a replica said what it
    /// offers. Nothing of the present pin was gathered yet.
    fn repin(&mut self, now: clock::Moment) -> bool {
        let pick = query::version::pick(&self.plan, &self.asked, now);
        let pin = pick.map(|pick| pick.version);
        std::mem::replace(&mut self.pin, pin) != pin
    }

    /// Tries `slot` once more where time, replicas and budget allow.
    pub(super) fn retry(
        &mut self,
        slot: u32,
        not: Option<ids::Vm>,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let held = &self.slots[slot as usize];
        let (tried, fails) = (held.tried, held.fails);
        let direct = self.setup.policy == query::Policy::Direct;
        if !self.fits(now) || (fails >= MOST_FAILS && !direct) {
            let why = held_reason(held);
            self.restart.wanted |= why == query::Reason::BadReply;
            self.give_up(slot, why);
            return;
        }
        if let Some(place) = self.choose(slot, tried, now) {
            self.pay(slot, place, not.as_ref(), now);
            return;
        }
        if self.choose(slot, 0, now).is_none() {
            self.no_replica(slot);
            return;
        }
        let doublings = fails.min(BACKOFF_DOUBLINGS);
        let wait = retry_after.max(BACKOFF * 2_u32.pow(doublings));
        let at = now + wait;
        if at + self.setup.typical >= self.setup.deadline {
            let why = held_reason(&self.slots[slot as usize]);
            self.give_up(slot, why);
            return;
        }
        self.schedule(slot, at, slot::State::Scheduled);
    }

    fn pay(&mut self, slot: u32, place: usize, not: Option<&ids::Vm>, now: clock::Moment) {
        let direct = self.setup.policy == query::Policy::Direct;
        if direct || self.fleet.retry() {
            self.send(slot, place, message::Kind::Retry, not, now);
            return;
        }
        self.counts.retries_refused += 1;
        let held = &mut self.slots[slot as usize];
        held.fails += 1;
        let wait = BACKOFF * 2_u32.pow(held.fails.min(BACKOFF_DOUBLINGS));
        self.schedule(slot, now + wait, slot::State::Parked);
    }

    fn schedule(&mut self, slot: u32, at: clock::Moment, state: slot::State) {
        if matches!(state, slot::State::Scheduled) {
            self.scheduled += 1;
        }
        self.slots[slot as usize].state = state;
        let round = self.restart.rounds;
        self.due
            .push(cmp::Reverse((at, Due::Retry { slot, round })));
    }

    pub(super) fn retry_due(&mut self, slot: u32, round: u32, now: clock::Moment) {
        let held = &mut self.slots[slot as usize];
        let current = round == self.restart.rounds;
        match held.state {
            slot::State::Scheduled if current => self.scheduled -= 1,
            slot::State::Parked if current => {}
            _ => return,
        }
        held.tried = 0;
        if self.judging || self.verdict != query::CLEAR {
            held.state = slot::State::Held;
            return;
        }
        self.retry(slot, None, time::Duration::ZERO, now);
    }

    /// No replica offers the pinned version, or the shard has none at all.
    pub(super) fn no_replica(&mut self, slot: u32) {
        let bare = self
            .plan
            .shard(self.slots[slot as usize].shard)
            .replicas
            .is_empty();
        self.restart.wanted = true;
        self.give_up(
            slot,
            if bare {
                query::Reason::Unreachable
            } else {
                query::Reason::VersionUnavailable
            },
        );
    }

    pub(super) fn give_up(&mut self, slot: u32, why: query::Reason) {
        let slot = &mut self.slots[slot as usize];
        if matches!(slot.state, slot::State::Scheduled) {
            self.scheduled -= 1;
        }
        slot.state = slot::State::GivenUp;
        slot.reason = Some(why);
    }

    pub(super) fn give_up_all(&mut self, why: query::Reason) {
        for slot in 0..self.slots.len() as u32 {
            if !self.slots[slot as usize].over() {
                self.give_up(slot, why);
            }
        }
    }
}

fn held_reason(slot: &slot::Slot) -> query::Reason {
    slot.reason.unwrap_or(query::Reason::Deadline)
}

/// What the caller reads where the last call of a shard ended like this.
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
