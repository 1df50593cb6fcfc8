//! Calls that run ahead of the rest: to learn the version, or as the canary.
//!
//! Canaries of one request meet at the same replica whichever VM sends them,
//! since the targets follow from the fingerprint alone: a caller that sends
//! the request again at every VM at once loses one upstream, not one for each.

use std::cmp;
use std::time;

use super::Due;
use super::Gather;
use super::Phase;
use super::slot;
use crate::mesh::message;
use crate::query;
use crate::time as clock;

/// Leads that run at once: the second one starts at the first one's hedge point.
const TOGETHER: usize = 2;
/// How long the next canary waits after one that found its upstream gone: long
/// enough for a mark to come from the VM whose canary took it down.
const MARK_IN: time::Duration = time::Duration::from_millis(30);
/// Leads of one search in all; after these its shards are given up.
const MOST: u32 = 8;

impl Gather {
    /// Sends one more lead. It is the first call of its shard, so it costs
    /// nothing beyond the search itself.
    pub(super) fn send_lead(&mut self, now: clock::Moment) {
        let Phase::Lead { leads } = self.phase else {
            return;
        };
        let target = (leads < MOST).then(|| self.lead_target(now)).flatten();
        let Some((slot, place)) = target else {
            self.leads_over(now);
            return;
        };
        self.phase = Phase::Lead { leads: leads + 1 };
        self.send(slot, place, message::Kind::Canary, None, now);
    }

    /// A lead is at its hedge point.
    pub(super) fn follow_lead(&mut self, now: clock::Moment) {
        let one = self.open > 0 && self.open < TOGETHER;
        if matches!(self.phase, Phase::Lead { .. }) && one && self.fits(now) {
            let more = self.lead_target(now).is_some();
            if more {
                self.send_lead(now);
            }
        }
    }

    /// A canary's upstream is gone, and this entry didn't know. Another VM's
    /// canary of the same request may have crashed it a moment ago; going on to
    /// the next upstream before its mark is here would crash that one too.
    pub(super) fn lead_later(&mut self, now: clock::Moment) {
        self.due.push(cmp::Reverse((now + MARK_IN, Due::Lead)));
    }

    pub(super) fn lead_due(&mut self, now: clock::Moment) {
        let clear = self.verdict == query::CLEAR && !self.judging;
        if self.open == 0 && clear {
            self.send_lead(now);
        }
    }

    /// No more leads can be sent. While one runs it may still answer.
    fn leads_over(&mut self, now: clock::Moment) {
        if self.open > 0 {
            return;
        }
        if self.setup.canary || self.pin.is_none() {
            self.lead_failed();
        } else {
            self.go_wide(now);
        }
    }

    /// Without one good reply the rest isn't sent: what refused or failed the
    /// leads would meet them all.
    fn lead_failed(&mut self) {
        let why = self.slots.iter().find_map(|slot| slot.reason);
        let why = why.unwrap_or(query::Reason::Unreachable);
        for slot in 0..self.slots.len() as u32 {
            if !self.slots[slot as usize].over() {
                self.give_up(slot, why);
            }
        }
        self.phase = Phase::Wide;
    }

    /// The unsent shard and replica that the fingerprint ranks first; of
    /// upstreams whose siblings are up, that share no shard with one that was
    /// called, and that are not seen failing, where there are any.
    fn lead_target(&self, now: clock::Moment) -> Option<(u32, usize)> {
        let used: Vec<u32> = self.attempts.iter().map(|call| call.replica).collect();
        let rank = |replica: &u32| {
            (
                !self.siblings_up(*replica, &[]),
                !self.apart(*replica, &used),
                self.poor(*replica, now),
                self.rank(self.plan.replica(*replica).id.as_str()),
            )
        };
        let replicas = 0..self.plan.replicas.len() as u32;
        let open = replicas.filter(|replica| self.unsent_of(*replica).next().is_some());
        let replica = open.min_by_key(rank)?;
        let shard_rank = |slot: &u32| {
            let shard = self.slots[*slot as usize].shard;
            self.rank(self.plan.shard(shard).id.as_str())
        };
        let slot = self.unsent_of(replica).min_by_key(shard_rank)?;
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let place = shard.replicas.iter().position(|known| *known == replica)?;
        Some((slot, place))
    }

    /// Slots of the shards that `replica` holds and that no call was sent for.
    fn unsent_of(&self, replica: u32) -> impl Iterator<Item = u32> {
        let shards = self.plan.replica(replica).shards.iter();
        let slots = shards.map(|shard| self.slot_of[*shard as usize]);
        let asked = slots.filter(|slot| *slot != super::NONE);
        asked.filter(|slot| matches!(self.slots[*slot as usize].state, slot::State::Unsent))
    }

    fn poor(&self, replica: u32, now: clock::Moment) -> bool {
        let stats = &self.plan.replica(replica).stats;
        let lacks = self
            .pin
            .is_some_and(|pin| stats.offers(pin, now) == Some(false));
        lacks || stats.avoided(now) || stats.down()
    }

    /// Whether a loss of `replica` beside `used` leaves no shard without both
    /// of its replicas: they share no shard.
    pub(super) fn apart(&self, replica: u32, used: &[u32]) -> bool {
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

    pub(super) fn rank(&self, name: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.setup.fingerprint.0)
    }
}
