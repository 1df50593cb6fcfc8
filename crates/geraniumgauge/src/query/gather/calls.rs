//! Chooses replicas, and sends, hedges and cancels calls.

use std::cmp;
use std::time;

use rand::Rng as _;

use super::Action;
use super::Gather;
use super::Phase;
use super::Timer;
use super::attempt;
use super::homes;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::query;
use crate::query::plan;
use crate::time as clock;

/// Collects actions, so that calls to the same home share a frame.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    calls: Vec<(u32, message::Call)>,
    cancels: Vec<(u32, u64)>,
    pub(super) actions: Vec<Action>,
}

impl Outbox {
    /// Returns the collected actions, grouped by home. Cancels come first, since
    /// they free slots that the calls may need.
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

    /// Converts calls and cancels to actions before the plan or the pin changes.
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

/// Groups items by VM, in ascending order of the VM's number.
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
    /// Sends the first call of a shard, or gives the shard up if no replica may
    /// serve it.
    pub(super) fn send_first(&mut self, slot: u32, now: clock::Moment) {
        let Some(position) = self.choose(slot, 0, now) else {
            self.no_replica(slot);
            return;
        };
        self.send(slot, position, message::Kind::First, None, now);
    }

    /// Sends one call for `slot` to the replica at `position` of its shard,
    /// through another home than `avoid` if there is one.
    pub(super) fn send(
        &mut self,
        slot: u32,
        position: usize,
        kind: message::Kind,
        avoid: Option<&ids::Vm>,
        now: clock::Moment,
    ) {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let replica = shard.replicas[position];
        let Some(vm) = self.plan.home(replica, avoid, now) else {
            self.give_up(slot, query::Reason::Unreachable);
            return;
        };
        let number = self.attempts.len() as u32;
        let id = self.setup.first_attempt + u64::from(number);
        let vm = self.homes.number(vm);
        let called = self.plan.replica(replica);
        called.stats.sent();
        called.stats.record_probe(now);
        let call = super::call(id, &called.id, &shard.id, kind);
        self.outbox.calls.push((vm, call));
        self.attempts.push(attempt::Attempt {
            slot,
            replica,
            vm,
            sent: now,
            kind,
            ended: false,
            unsent: false,
            failure: None,
            cancel_unconfirmed: false,
        });
        self.open_calls += 1;
        let slot = &mut self.slots[slot as usize];
        slot.push(number);
        slot.tried |= bit(position);
        if !slot.covered() {
            slot.state = slot::State::Running;
        }
        let called_before = std::mem::replace(&mut slot.called, true);
        self.count(kind, called_before);
        if self.is_hedged(kind) {
            let due = now + self.hedge_delay(kind);
            self.timers.push(cmp::Reverse((due, Timer::Hedge(number))));
        }
    }

    /// Returns whether a call of this kind gets a hedge timer. A lead call, which is
    /// sent before the fan-out as a canary or to learn the index version, is followed
    /// by a second one under every policy. Other calls are hedged under the full policy
    /// only, and trials never.
    fn is_hedged(&self, kind: message::Kind) -> bool {
        match kind {
            message::Kind::Trial => false,
            message::Kind::Canary => true,
            _ => self.setup.policy == query::Policy::Full,
        }
    }

    /// Returns the time after which a call of this kind is hedged. Each canary gets longer
    /// than the one before, since one that is cancelled has run in vain.
    fn hedge_delay(&self, kind: message::Kind) -> time::Duration {
        let earlier = match self.phase {
            Phase::Lead { leads } if kind == message::Kind::Canary && self.setup.canary => {
                leads.saturating_sub(1)
            }
            _ => 0,
        };
        let factor = LONG_CALL_FACTOR.saturating_pow(earlier);
        self.setup.hedge_after.saturating_mul(factor)
    }

    /// Counts one call. `called_before` says whether its shard was already called at
    /// this pin.
    fn count(&mut self, kind: message::Kind, called_before: bool) {
        let counts = &mut self.counts;
        match kind {
            message::Kind::First | message::Kind::Canary if called_before => counts.moved += 1,
            message::Kind::First | message::Kind::Canary if self.restart.count > 0 => {
                counts.repeated += 1;
            }
            message::Kind::First | message::Kind::Canary => counts.first += 1,
            message::Kind::Hedge => counts.hedges += 1,
            message::Kind::Retry => counts.retries += 1,
            message::Kind::Trial => counts.trials += 1,
        }
    }

    /// Chooses the replica to call for `slot` and returns its position in the
    /// shard. Excludes the positions in the bit mask `excluded` and replicas known to
    /// lack the pinned version, prefers replicas that aren't avoided and have a home
    /// that isn't, and takes the less loaded of two random candidates. Under
    /// [`query::Policy::Direct`] the eligible replicas are taken in turn instead,
    /// avoided or not.
    pub(super) fn choose(&mut self, slot: u32, excluded: u64, now: clock::Moment) -> Option<usize> {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let mut eligible = 0;
        let mut healthy = 0;
        for position in 0..shard.replicas.len().min(MAX_REPLICAS_PER_SHARD) {
            if excluded & bit(position) == 0 && self.may_offer(shard, position, now) {
                eligible |= bit(position);
                let avoided = self.stats(shard, position).avoided(now);
                let reachable = self.plan.reachable(shard.replicas[position], now);
                healthy |= if avoided || !reachable {
                    0
                } else {
                    bit(position)
                };
            }
        }
        if self.setup.policy == query::Policy::Direct {
            let count = eligible.count_ones() as usize;
            return (count > 0).then(|| nth(eligible, self.upstreams.next_turn() % count));
        }
        let candidates = if healthy == 0 { eligible } else { healthy };
        let (first, second) = pick_two(&mut self.rng, candidates)?;
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let load = |position| {
            self.stats(shard, position)
                .load(self.setup.typical_call_time, now)
        };
        let better = load(second) < load(first);
        Some(if better { second } else { first })
    }

    /// Returns whether the replica offers the pinned version, as far as known.
    pub(super) fn may_offer(
        &self,
        shard: &plan::Shard,
        position: usize,
        now: clock::Moment,
    ) -> bool {
        let Some(pin) = self.pin else {
            return true;
        };
        self.stats(shard, position).offers(pin, now) != Some(false)
    }

    /// Returns the statistics of the replica at a position of a shard.
    fn stats(&self, shard: &plan::Shard, position: usize) -> &query::replica::Stats {
        &self.plan.replica(shard.replicas[position]).stats
    }

    /// Hedges a call that is still unanswered when its hedge timer fires, if the
    /// search isn't suspect, the queue of the other replica isn't long and the budget
    /// allows it. A lead call is followed by a second one instead.
    pub(super) fn on_hedge_timer(&mut self, attempt: u32, now: clock::Moment) {
        let called = &self.attempts[attempt as usize];
        if called.ended || self.verdict != query::CLEAR || self.verdict_pending {
            return;
        }
        let (slot, vm, replica) = (called.slot, called.vm, called.replica);
        if called.kind == message::Kind::Canary {
            if self.setup.canary {
                self.cancel_slow_canary(attempt, now);
            } else {
                self.send_second_lead(now);
            }
            return;
        }
        let entry = &self.slots[slot as usize];
        if entry.open().len() >= slot::MAX_OPEN_CALLS || !self.has_time_for_call(now) {
            return;
        }
        if self.setup.policy != query::Policy::Full {
            return;
        }
        if !self.hedge_allowed(attempt, now) {
            let retry_at =
                self.attempts[attempt as usize].sent + self.setup.hedge_after * LONG_CALL_FACTOR;
            self.timers
                .push(cmp::Reverse((retry_at, Timer::Hedge(attempt))));
            return;
        }
        let Some(position) = self.hedge_position(slot, replica, now) else {
            return;
        };
        if self.queue_is_long(slot, position, now) {
            return;
        }
        if !self.upstreams.spend_hedge() {
            self.counts.hedges_refused += 1;
            let retry_at = now + self.setup.hedge_after.max(MIN_HEDGE_RETRY_INTERVAL);
            self.timers
                .push(cmp::Reverse((retry_at, Timer::Hedge(attempt))));
            return;
        }
        let avoid = self.homes.name(vm).clone();
        self.send(slot, position, message::Kind::Hedge, Some(&avoid), now);
    }

    /// Sets hedge timers once so few shards are outstanding that they are the
    /// stragglers of this search.
    ///
    /// While many are outstanding, everything is slow: hedges would double the
    /// load at that moment and use up the budget for the real stragglers. So calls
    /// are hedged after `hedge_after` only when few shards are outstanding. The very
    /// last ones are hedged earlier, because `hedge_after` is a quantile of the call
    /// times of all searches of the last seconds and may be too long for this one. A
    /// short delay lets calls that are about to end do so.
    pub(super) fn schedule_last_hedges(&mut self, now: clock::Moment) {
        let outstanding = self.slots.len() - self.covered;
        let hedge_early = outstanding == self.setup.early_hedge_shards;
        let few = outstanding == self.max_outstanding_for_hedges();
        if !(hedge_early || few) || outstanding == 0 || self.phase != Phase::FanOut {
            return;
        }
        for slot in &self.slots {
            if let (slot::State::Running, [attempt]) = (&slot.state, slot.open()) {
                let sent = self.attempts[*attempt as usize].sent;
                let hedge_at = sent + self.setup.hedge_after;
                let early = now + self.setup.typical_call_time / EARLY_HEDGE_DIVISOR;
                let due = if hedge_early {
                    early
                } else {
                    hedge_at.max(now + self.setup.typical_call_time)
                };
                self.timers
                    .push(cmp::Reverse((due, Timer::Hedge(*attempt))));
            }
        }
    }

    /// Returns the maximum number of outstanding shards at which calls are hedged
    /// after `hedge_after`.
    fn max_outstanding_for_hedges(&self) -> usize {
        (self.setup.early_hedge_shards * HEDGE_SHARDS_FACTOR).max(MIN_HEDGE_SHARDS)
    }

    /// Returns whether few shards are outstanding or the call has run for
    /// [`LONG_CALL_FACTOR`] times `hedge_after`.
    fn hedge_allowed(&self, attempt: u32, now: clock::Moment) -> bool {
        let left = self.slots.len() - self.covered;
        let waited = now.since(self.attempts[attempt as usize].sent);
        left <= self.max_outstanding_for_hedges()
            || waited >= self.setup.hedge_after * LONG_CALL_FACTOR
    }

    /// Returns whether calls to the replica wait for a slot for more than half of
    /// a typical call. Under such load a slow call isn't a straggler but one of
    /// many that are queued, and its hedge would take another call's slot.
    fn queue_is_long(&self, slot: u32, position: usize, now: clock::Moment) -> bool {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let wait = self.stats(shard, position).wait(now);
        wait > self.setup.typical_call_time / LONG_QUEUE_DIVISOR
    }

    /// Chooses the position of a replica for a hedge: one that isn't running the
    /// call, otherwise the same replica, called from another home and so over another
    /// connection.
    fn hedge_position(&mut self, slot: u32, replica: u32, now: clock::Moment) -> Option<usize> {
        let entry = &self.slots[slot as usize];
        let shard = self.plan.shard(entry.shard);
        let running = entry.open().iter();
        let running: Vec<u32> = running
            .map(|open| self.attempts[*open as usize].replica)
            .collect();
        let positions = shard.replicas.iter().enumerate();
        let busy = positions.filter(|(_, replica)| running.contains(replica));
        let busy = busy.fold(0, |mask, (position, _)| mask | bit(position));
        let same = shard.replicas.iter().position(|other| *other == replica);
        self.choose(slot, busy, now).or(same)
    }

    /// Ends a call and sends a cancel to its home, which cancels it at the upstream.
    pub(super) fn cancel(&mut self, attempt: u32) {
        let called = &self.attempts[attempt as usize];
        if called.ended {
            return;
        }
        let id = self.setup.first_attempt + u64::from(attempt);
        self.outbox.cancels.push((called.vm, id));
        self.counts.cancels += 1;
        self.end(attempt);
        self.attempts[attempt as usize].cancel_unconfirmed = true;
    }

    /// Cancels all running calls and ends a running trial.
    pub(super) fn cancel_all(&mut self) {
        for attempt in 0..self.attempts.len() as u32 {
            self.cancel(attempt);
        }
        self.end_trial_unknown();
    }

    /// Marks a call as ended, whatever its outcome.
    pub(super) fn end(&mut self, attempt: u32) {
        let called = &mut self.attempts[attempt as usize];
        called.ended = true;
        self.plan.replica(called.replica).stats.ended();
        self.slots[called.slot as usize].remove(attempt);
        self.open_calls -= 1;
    }

    /// Records the time that a losing call has run so far, as a lower bound of
    /// its duration.
    pub(super) fn record_loser(&mut self, attempt: u32, now: clock::Moment) {
        let called = &self.attempts[attempt as usize];
        let span = now.since(called.sent);
        self.plan
            .replica(called.replica)
            .stats
            .record_time(span, now);
        self.call_times.push(span);
    }
}

/// Minimum time until a hedge that the budget refused is tried again.
const MIN_HEDGE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Calls are hedged after `hedge_after` once at most this many times
/// `Setup::early_hedge_shards` shards are outstanding.
const HEDGE_SHARDS_FACTOR: usize = 2;
/// The last shards are hedged after a typical call time divided by this.
const EARLY_HEDGE_DIVISOR: u32 = 4;
/// In narrow searches, calls are hedged after `hedge_after` once at most this many
/// shards are outstanding.
const MIN_HEDGE_SHARDS: usize = 2;
/// A call that has run for this many times `hedge_after` is hedged however many
/// shards are outstanding, since a home that stopped responding can delay many calls
/// at once.
const LONG_CALL_FACTOR: u32 = 3;
/// A replica's queue is long if calls wait for more than a typical call time
/// divided by this.
const LONG_QUEUE_DIVISOR: u32 = 2;
/// Maximum number of a shard's replicas that are considered: one bit of a `u64` for
/// each.
const MAX_REPLICAS_PER_SHARD: usize = 64;

/// Returns the mask bit of a replica's position; zero beyond the mask.
pub(super) fn bit(position: usize) -> u64 {
    1_u64.checked_shl(position as u32).unwrap_or(0)
}

/// Returns two random positions of the mask `from`; the same one twice if it has
/// only one.
fn pick_two(rng: &mut rand::rngs::SmallRng, from: u64) -> Option<(usize, usize)> {
    let len = from.count_ones() as usize;
    if len == 0 {
        return None;
    }
    let first = rng.random_range(0..len);
    let step = if len > 1 { rng.random_range(1..len) } else { 0 };
    Some((nth(from, first), nth(from, (first + step) % len)))
}

/// Returns the position of the `nth` set bit, counted from zero.
fn nth(mut mask: u64, nth: usize) -> usize {
    for _ in 0..nth {
        mask &= mask.wrapping_sub(1);
    }
    mask.trailing_zeros() as usize
}
