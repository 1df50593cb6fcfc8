//! Sending, cancelling, and which replica is called.

use std::cmp;
use std::time;

use rand::Rng as _;

use super::Action;
use super::Due;
use super::Gather;
use super::Phase;
use super::attempt;
use super::homes;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::query;
use crate::query::plan;
use crate::time as clock;

/// What is to be done, gathered so that calls to one home share a frame.
#[derive(Debug, Default)]
pub(super) struct Out {
    calls: Vec<(u32, message::Call)>,
    cancels: Vec<(u32, u64)>,
    pub(super) actions: Vec<Action>,
}

impl Out {
    /// Groups by home. Cancels go first: they free what the calls may need.
    pub(super) fn take(
        &mut self,
        version: Option<ids::IndexVersion>,
        plan: &plan::Plan,
        homes: &homes::Homes,
    ) -> Vec<Action> {
        let mut actions = Vec::with_capacity(self.actions.len() + 2);
        let name = |vm: u32| homes.name(vm).clone();
        for (vm, attempts) in group(&mut self.cancels) {
            let vm = name(vm);
            actions.push(Action::Cancel { vm, attempts });
        }
        for (vm, calls) in group(&mut self.calls) {
            actions.push(Action::Send {
                vm: name(vm),
                version,
                layout: plan.layout.version,
                calls,
            });
        }
        actions.append(&mut self.actions);
        actions
    }

    /// Sends what is gathered before plan or pin change under it.
    pub(super) fn flush(
        &mut self,
        version: Option<ids::IndexVersion>,
        plan: &plan::Plan,
        homes: &homes::Homes,
    ) {
        let actions = self.take(version, plan, homes);
        self.actions = actions;
    }
}

fn group<T>(items: &mut Vec<(u32, T)>) -> Vec<(u32, Vec<T>)> {
    items.sort_by_key(|(vm, _)| *vm);
    let mut groups: Vec<(u32, Vec<T>)> = Vec::new();
    for (vm, item) in items.drain(..) {
        match groups.last_mut() {
            Some((last, group)) if *last == vm => group.push(item),
            _ => groups.push((vm, vec![item])),
        }
    }
    groups
}

impl Gather {
    pub(super) fn send_first(&mut self, slot: u32, now: clock::Moment) {
        let Some(place) = self.choose(slot, 0, now) else {
            self.no_replica(slot);
            return;
        };
        self.send(slot, place, message::Kind::First, None, now);
    }

    /// Sends one call for `slot` to the replica at `place` of its shard,
    /// through another home than `not` where there is one.
    pub(super) fn send(
        &mut self,
        slot: u32,
        place: usize,
        kind: message::Kind,
        not: Option<&ids::Vm>,
        now: clock::Moment,
    ) {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let replica = shard.replicas[place];
        let Some(vm) = self.plan.home(replica, not, now) else {
            self.give_up(slot, query::Reason::Unreachable);
            return;
        };
        let number = self.attempts.len() as u32;
        let id = self.setup.base + u64::from(number);
        let vm = self.homes.number(vm);
        let called = self.plan.replica(replica);
        called.stats.sent();
        called.stats.probe(now);
        let call = super::call(id, &called.id, &shard.id, kind);
        self.out.calls.push((vm, call));
        self.attempts.push(attempt::Attempt {
            slot,
            replica,
            vm,
            sent: now,
            kind,
            ended: false,
            recalled: false,
        });
        self.open += 1;
        let slot = &mut self.slots[slot as usize];
        slot.push(number);
        slot.tried |= bit(place);
        if !slot.covered() {
            slot.state = slot::State::Running;
        }
        let before = std::mem::replace(&mut slot.called, true);
        self.count(kind, before);
        if self.hedges(kind) {
            let due = now + self.setup.hedge_after;
            self.due.push(cmp::Reverse((due, Due::Hedge(number))));
        }
    }

    /// Leads are followed by a second one at their hedge point under every
    /// policy; other calls are hedged under the full policy.
    fn hedges(&self, kind: message::Kind) -> bool {
        match kind {
            message::Kind::Trial => false,
            message::Kind::Canary => true,
            _ => self.setup.policy == query::Policy::Full,
        }
    }

    fn count(&mut self, kind: message::Kind, before: bool) {
        let counts = &mut self.counts;
        match kind {
            message::Kind::First | message::Kind::Canary if before => counts.moved += 1,
            message::Kind::First | message::Kind::Canary if self.restart.rounds > 0 => {
                counts.again += 1;
            }
            message::Kind::First | message::Kind::Canary => counts.first += 1,
            message::Kind::Hedge => counts.hedges += 1,
            message::Kind::Retry => counts.retries += 1,
            message::Kind::Trial => counts.trials += 1,
        }
    }

    /// The replica to call for `slot`, as its place in the shard: one that is
    /// not in `but`, may offer the pinned version and was not seen failing; of
    /// two of these at random the one with less to do.
    pub(super) fn choose(&mut self, slot: u32, but: u64, now: clock::Moment) -> Option<usize> {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let mut may = 0;
        let mut well = 0;
        for place in 0..shard.replicas.len().min(MOST_REPLICAS) {
            if but & bit(place) == 0 && self.may(shard, place, now) {
                may |= bit(place);
                let avoided = self.stats(shard, place).avoided(now);
                well |= if avoided { 0 } else { bit(place) };
            }
        }
        if self.setup.policy == query::Policy::Direct {
            let count = may.count_ones() as usize;
            return (count > 0).then(|| nth(may, self.fleet.turn() % count));
        }
        let from = if well == 0 { may } else { well };
        let (first, second) = two(&mut self.rng, from)?;
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let load = |place| self.stats(shard, place).load(self.setup.typical, now);
        let better = load(second) < load(first);
        Some(if better { second } else { first })
    }

    fn may(&self, shard: &plan::Shard, place: usize, now: clock::Moment) -> bool {
        let Some(pin) = self.pin else {
            return true;
        };
        self.stats(shard, place).offers(pin, now) != Some(false)
    }

    fn stats(&self, shard: &plan::Shard, place: usize) -> &query::replica::Stats {
        &self.plan.replica(shard.replicas[place]).stats
    }

    /// A call hasn't been answered by its hedge point.
    pub(super) fn hedge_due(&mut self, attempt: u32, now: clock::Moment) {
        let called = &self.attempts[attempt as usize];
        if called.ended || self.verdict != query::CLEAR || self.judging {
            return;
        }
        let (slot, vm, replica) = (called.slot, called.vm, called.replica);
        if called.kind == message::Kind::Canary {
            self.follow_lead(now);
            return;
        }
        let held = &self.slots[slot as usize];
        if held.open().len() >= slot::MOST_OPEN || !self.fits(now) {
            return;
        }
        if self.setup.policy != query::Policy::Full {
            return;
        }
        if !self.hedge_ripe(attempt, now) {
            let long = self.attempts[attempt as usize].sent + self.setup.hedge_after * LONG;
            self.due.push(cmp::Reverse((long, Due::Hedge(attempt))));
            return;
        }
        let Some(place) = self.hedge_place(slot, replica, now) else {
            return;
        };
        if self.queues(slot, place, now) {
            return;
        }
        if !self.fleet.hedge() {
            self.counts.hedges_refused += 1;
            let again = now + self.setup.hedge_after.max(LEAST_HEDGE);
            self.due.push(cmp::Reverse((again, Due::Hedge(attempt))));
            return;
        }
        let not = self.homes.name(vm).clone();
        self.send(slot, place, message::Kind::Hedge, Some(&not), now);
    }

    /// Few enough shards are left that those are the stragglers of this search.
    ///
    /// While many are left, everything is slow: hedges would double the load
    /// of that moment and leave the budget empty for the real stragglers. So
    /// the hedge point counts only from a few shards left on, and the very last
    /// ones are hedged soon: the quantile over the last seconds knows nothing
    /// of this search. A short wait lets those end that are about to.
    pub(super) fn hedge_last(&mut self, now: clock::Moment) {
        let left = self.slots.len() - self.covered;
        let last = left == self.setup.hedge_last;
        let few = left == self.few();
        if !(last || few) || left == 0 || self.phase != Phase::Wide {
            return;
        }
        for slot in &self.slots {
            if let (slot::State::Running, [attempt]) = (&slot.state, slot.open()) {
                let sent = self.attempts[*attempt as usize].sent;
                let point = sent + self.setup.hedge_after;
                let soon = now + self.setup.typical / SOON;
                let due = if last {
                    soon
                } else {
                    point.max(now + self.setup.typical)
                };
                self.due.push(cmp::Reverse((due, Due::Hedge(*attempt))));
            }
        }
    }

    /// Shards left from which on the hedge point counts.
    fn few(&self) -> usize {
        (self.setup.hedge_last * FEW).max(LEAST_FEW)
    }

    /// Whether the call's time has come for a hedge of its own.
    fn hedge_ripe(&self, attempt: u32, now: clock::Moment) -> bool {
        let left = self.slots.len() - self.covered;
        let waited = now.since(self.attempts[attempt as usize].sent);
        left <= self.few() || waited >= self.setup.hedge_after * LONG
    }

    /// Whether calls to the replica wait longer for a slot than a good part of
    /// a call. Under such load a slow call isn't a straggler but one of many
    /// that wait, and its hedge would take another's slot.
    fn queues(&self, slot: u32, place: usize, now: clock::Moment) -> bool {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let wait = self.stats(shard, place).wait(now);
        wait > self.setup.typical / LONG_WAIT
    }

    /// Another replica than those that run the call now, else the same one,
    /// which the other home calls on another connection.
    fn hedge_place(&mut self, slot: u32, replica: u32, now: clock::Moment) -> Option<usize> {
        let held = &self.slots[slot as usize];
        let shard = self.plan.shard(held.shard);
        let running = held.open().iter();
        let running: Vec<u32> = running
            .map(|open| self.attempts[*open as usize].replica)
            .collect();
        let places = shard.replicas.iter().enumerate();
        let busy = places.filter(|(_, replica)| running.contains(replica));
        let busy = busy.fold(0, |mask, (place, _)| mask | bit(place));
        let same = shard.replicas.iter().position(|other| *other == replica);
        self.choose(slot, busy, now).or(same)
    }

    /// Ends a call that isn't wanted any more, at its upstream too.
    pub(super) fn cancel(&mut self, attempt: u32) {
        let called = &self.attempts[attempt as usize];
        if called.ended {
            return;
        }
        let id = self.setup.base + u64::from(attempt);
        self.out.cancels.push((called.vm, id));
        self.counts.cancels += 1;
        self.end(attempt);
        self.attempts[attempt as usize].recalled = true;
    }

    pub(super) fn cancel_all(&mut self) {
        for attempt in 0..self.attempts.len() as u32 {
            self.cancel(attempt);
        }
        self.end_trial_unknown();
    }

    /// Marks a call as ended, whatever became of it.
    pub(super) fn end(&mut self, attempt: u32) {
        let called = &mut self.attempts[attempt as usize];
        called.ended = true;
        self.plan.replica(called.replica).stats.ended();
        self.slots[called.slot as usize].remove(attempt);
        self.open -= 1;
    }

    /// What a loser took until it was cancelled: at least so long a call was.
    pub(super) fn outlasted(&mut self, attempt: u32, now: clock::Moment) {
        let called = &self.attempts[attempt as usize];
        let span = now.since(called.sent);
        self.plan.replica(called.replica).stats.took(span, now);
        self.spans.push(span);
    }
}

/// Least time between two tries to hedge a call.
const LEAST_HEDGE: time::Duration = time::Duration::from_millis(2);
/// Shards left from which on the hedge point counts, as this many times those
/// that are hedged soon.
const FEW: usize = 2;
/// The last shards are hedged after one part in this of a typical call.
const SOON: u32 = 4;
/// The same for narrow searches.
const LEAST_FEW: usize = 2;
/// Hedge points after which a call is hedged however many are left: a home that
/// went silent holds more calls than a few.
const LONG: u32 = 3;
/// A replica's queue is long from one part in this of a typical call on.
const LONG_WAIT: u32 = 2;
/// Replicas of one shard that are told apart; more are not called.
const MOST_REPLICAS: usize = 64;

pub(super) fn bit(place: usize) -> u64 {
    1_u64.checked_shl(place as u32).unwrap_or(0)
}

/// Two places of `from`, picked at random; the same one twice where it is alone.
fn two(rng: &mut rand::rngs::SmallRng, from: u64) -> Option<(usize, usize)> {
    let len = from.count_ones() as usize;
    if len == 0 {
        return None;
    }
    let first = rng.random_range(0..len);
    let step = if len > 1 { rng.random_range(1..len) } else { 0 };
    Some((nth(from, first), nth(from, (first + step) % len)))
}

/// The place of the `nth` bit that is set.
fn nth(mut mask: u64, nth: usize) -> usize {
    for _ in 0..nth {
        mask &= mask.wrapping_sub(1);
    }
    mask.trailing_zeros() as usize
}
