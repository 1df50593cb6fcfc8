//! Lead calls, which run before the fan-out: to learn the index version, or as
//! the canary.
//!
//! The target of a canary is derived from the request's fingerprint, so every
//! VM sends its canary of one request to the same replica. A crashing request
//! that a caller sends to all VMs at once then costs one upstream, not one per
//! VM.

use std::cmp;
use std::time;

use super::Gather;
use super::Phase;
use super::Timer;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::query;
use crate::time as clock;

/// Lead calls that may run at the same time. The second one starts when the first has run
/// for `hedge_after`, and if it is a canary, only once its cancel took too long to confirm.
const MAX_CONCURRENT_LEADS: usize = 2;
/// Delay of the next canary after one whose upstream was unreachable: long
/// enough to receive the quarantine mark of the VM whose canary crashed it.
const MARK_PROPAGATION_DELAY: time::Duration = time::Duration::from_millis(30);
/// Maximum wait for the end of a cancelled canary. A home that doesn't tell it by then is
/// paused or cut off.
const CANCEL_WAIT: time::Duration = time::Duration::from_millis(100);
/// Lead calls of one search in total; after that its shards are given up.
const MAX_LEADS: u32 = 8;

/// A canary that was cancelled because it was slow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cancelled {
    attempt: u32,
    /// When the next canary is sent in any case.
    wait_until: clock::Moment,
}

impl Gather {
    /// Sends one more lead call. It is the first call of its shard, so it
    /// needs no retry or hedge budget.
    pub(super) fn send_lead(&mut self, now: clock::Moment) {
        let Phase::Lead { leads } = self.phase else {
            return;
        };
        let target = (leads < MAX_LEADS).then(|| self.lead_target(now)).flatten();
        let Some((slot, position)) = target else {
            self.end_leads(now);
            return;
        };
        self.cancelled_canary = None;
        self.phase = Phase::Lead { leads: leads + 1 };
        self.send(slot, position, message::Kind::Canary, None, now);
    }

    /// Sends a second lead call when the running one has run for `hedge_after`.
    pub(super) fn send_second_lead(&mut self, now: clock::Moment) {
        let one = self.open_calls > 0 && self.open_calls < MAX_CONCURRENT_LEADS;
        if matches!(self.phase, Phase::Lead { .. }) && one && self.has_time_for_call(now) {
            let more = self.lead_target(now).is_some();
            if more {
                self.send_lead(now);
            }
        }
    }

    /// Cancels a canary that has run for its hedge delay; the next one is sent once its
    /// end is known. Two canaries at a time could both be lost to one shared outage, which
    /// would look like two crashes.
    pub(super) fn cancel_slow_canary(&mut self, attempt: u32, now: clock::Moment) {
        let leads = matches!(self.phase, Phase::Lead { .. });
        if !leads || !self.has_time_for_call(now) || self.lead_target(now).is_none() {
            return;
        }
        self.record_loser(attempt, now);
        self.cancel(attempt);
        let slot = self.attempts[attempt as usize].slot;
        let slot = &mut self.slots[slot as usize];
        slot.tried = 0;
        slot.state = slot::State::Deferred;
        let wait_until = now + CANCEL_WAIT;
        self.cancelled_canary = Some(Cancelled {
            attempt,
            wait_until,
        });
        self.timers.push(cmp::Reverse((wait_until, Timer::Lead)));
    }

    /// Sends the next canary once the end of a cancelled one is known. If its upstream was
    /// lost, the verdict is pending or the home's mark has come before.
    pub(super) fn cancelled_canary_ended(&mut self, attempt: u32, now: clock::Moment) {
        if !matches!(self.phase, Phase::Lead { .. }) {
            return;
        }
        let awaited = self.cancelled_canary.map(|cancelled| cancelled.attempt);
        if awaited == Some(attempt) {
            self.cancelled_canary = None;
            self.lead_due(now);
        } else if self.lead_blocked {
            self.lead_due(now);
        }
    }

    /// Stops waiting for the end of cancelled canaries at a VM that can't tell it any more.
    pub(super) fn forget_cancelled_at(&mut self, vm: &ids::Vm, now: clock::Moment) {
        let number = self.homes.find(vm);
        for attempt in 0..self.attempts.len() as u32 {
            let call = &mut self.attempts[attempt as usize];
            if Some(call.vm) == number && std::mem::take(&mut call.cancel_unconfirmed) {
                self.cancelled_canary_ended(attempt, now);
            }
        }
    }

    /// Delays the next canary after one whose upstream was unexpectedly
    /// unreachable. Another VM's canary of the same request may just have
    /// crashed it; calling the next upstream before that VM's quarantine mark
    /// arrives could crash that one too.
    pub(super) fn delay_next_lead(&mut self, now: clock::Moment) {
        self.timers
            .push(cmp::Reverse((now + MARK_PROPAGATION_DELAY, Timer::Lead)));
    }

    /// Sends the delayed lead call, unless one is running or the request became
    /// suspect meanwhile.
    pub(super) fn lead_due(&mut self, now: clock::Moment) {
        let clear = self.verdict == query::CLEAR && !self.verdict_pending;
        let waits = self.cancelled_canary;
        let waits = waits.is_some_and(|cancelled| now < cancelled.wait_until);
        if self.open_calls > 0 || !clear || waits || !self.has_time_for_call(now) {
            return;
        }
        let may_run = self.attempts.iter().filter(|call| call.cancel_unconfirmed);
        self.lead_blocked = may_run.count() >= MAX_CONCURRENT_LEADS;
        if !self.lead_blocked {
            self.send_lead(now);
        }
    }

    /// Ends the lead phase when no more lead calls can be sent, unless one is
    /// still running and may answer.
    fn end_leads(&mut self, now: clock::Moment) {
        if self.open_calls > 0 {
            return;
        }
        if self.setup.canary || self.pin.is_none() {
            self.give_up_after_leads();
        } else {
            self.start_fan_out(now);
        }
    }

    /// Gives up all shards. Without one good reply the fan-out isn't started:
    /// whatever failed the lead calls would fail the other calls as well.
    fn give_up_after_leads(&mut self) {
        let reason = self.slots.iter().find_map(|slot| slot.reason);
        let reason = reason.unwrap_or(query::Reason::Unreachable);
        for slot in 0..self.slots.len() as u32 {
            if !self.slots[slot as usize].is_final() {
                self.give_up(slot, reason);
            }
        }
        self.phase = Phase::FanOut;
    }

    /// Returns the slot and the replica's position in its shard for the next
    /// lead call. Prefers, in this order, upstreams whose siblings are up, that
    /// share no shard with an upstream already called, and that are healthy;
    /// among equals, the one that the fingerprint ranks first.
    fn lead_target(&self, now: clock::Moment) -> Option<(u32, usize)> {
        let used: Vec<u32> = self.attempts.iter().map(|call| call.replica).collect();
        let rank = |replica: &u32| {
            (
                !self.siblings_up(*replica),
                !self.shares_no_shard(*replica, &used),
                self.unhealthy(*replica, now),
                self.rank(self.plan.replica(*replica).id.as_str()),
            )
        };
        let replicas = 0..self.plan.replicas.len() as u32;
        let open = replicas.filter(|replica| self.unsent_slots(*replica).next().is_some());
        let replica = open.min_by_key(rank)?;
        let shard_rank = |slot: &u32| {
            let shard = self.slots[*slot as usize].shard;
            self.rank(self.plan.shard(shard).id.as_str())
        };
        let slot = self.unsent_slots(replica).min_by_key(shard_rank)?;
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let position = shard.replicas.iter().position(|known| *known == replica)?;
        Some((slot, position))
    }

    /// Returns the unsent slots whose shards `replica` holds.
    fn unsent_slots(&self, replica: u32) -> impl Iterator<Item = u32> {
        let shards = self.plan.replica(replica).shards.iter();
        let slots = shards.map(|shard| self.slot_of[*shard as usize]);
        let requested = slots.filter(|slot| *slot != super::NO_SLOT);
        requested.filter(|slot| matches!(self.slots[*slot as usize].state, slot::State::Unsent))
    }

    /// Returns whether `replica` lacks the pinned version, is down or avoided, or has
    /// only homes that are avoided.
    fn unhealthy(&self, replica: u32, now: clock::Moment) -> bool {
        let stats = &self.plan.replica(replica).stats;
        let lacks = self
            .pin
            .is_some_and(|pin| stats.offers(pin, now) == Some(false));
        let unreachable = !self.plan.reachable(replica, now);
        lacks || unreachable || stats.avoided(now) || stats.down()
    }

    /// Returns whether `replica` shares no shard with any of `used`, so that
    /// losing them all leaves no shard without both of its replicas.
    pub(super) fn shares_no_shard(&self, replica: u32, used: &[u32]) -> bool {
        let shards = &self.plan.replica(replica).shards;
        let shares = |other: &u32| {
            let others = &self.plan.replica(*other).shards;
            *other == replica
                || others
                    .iter()
                    .any(|shard| shards.binary_search(shard).is_ok())
        };
        !used.iter().any(shares)
    }

    /// Ranks a name by a hash that the request's fingerprint seeds.
    pub(super) fn rank(&self, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.setup.fingerprint.0)
    }
}
