//! Calls that run ahead of the rest: to learn the version, or as the canary.
//!
//! Canaries of one request meet at the same replica whichever VM sends them,
//! since the targets follow from the fingerprint alone: a caller that sends
//! the request again at every VM at once loses one upstream, not one for each.

use super::Gather;
use super::Phase;
use super::slot;
use crate::mesh::message;
use crate::query;
use crate::time as clock;

/// Leads that run at once: the second one starts at the first one's hedge point.
const TOGETHER: usize = 2;
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
        if matches!(self.phase, Phase::Lead { .. }) && self.open < TOGETHER && self.fits(now) {
            let more = self.lead_target(now).is_some();
            if more {
                self.send_lead(now);
            }
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

    /// The unsent shard and replica that the fingerprint ranks first, of
    /// upstreams that share no shard with one that runs a lead or has failed
    /// one, and that are not seen failing, where there are any.
    fn lead_target(&self, now: clock::Moment) -> Option<(u32, usize)> {
        let used: Vec<u32> = self
            .attempts
            .iter()
            .map(|attempt| attempt.replica)
            .collect();
        let mut best = None;
        for (slot, held) in self.slots.iter().enumerate() {
            if !matches!(held.state, slot::State::Unsent) {
                continue;
            }
            for (place, replica) in self.plan.shard(held.shard).replicas.iter().enumerate() {
                let rank = (
                    !self.apart(*replica, &used),
                    self.poor(*replica, now),
                    self.rank(*replica),
                    self.rank_shard(held.shard),
                );
                if best.as_ref().is_none_or(|(held, _)| rank < *held) {
                    best = Some((rank, (slot as u32, place)));
                }
            }
        }
        best.map(|(_, target)| target)
    }

    fn poor(&self, replica: u32, now: clock::Moment) -> bool {
        let stats = &self.plan.replica(replica).stats;
        let lacks = self
            .pin
            .is_some_and(|pin| stats.offers(pin, now) == Some(false));
        lacks || stats.avoided(now) || stats.down()
    }

    /// Whether a loss of `replica` beside `used` leaves no shard without both
    /// of its replicas: they share no shard, and no data centre where that can
    /// be had.
    pub(super) fn apart(&self, replica: u32, used: &[u32]) -> bool {
        let shards = &self.plan.replica(replica).shards;
        let shares = |other: &u32| {
            let others = &self.plan.replica(*other).shards;
            *other == replica || others.iter().any(|shard| shards.contains(shard))
        };
        !used.iter().any(shares)
    }

    fn rank(&self, replica: u32) -> u64 {
        let name = self.plan.replica(replica).id.as_str();
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.setup.fingerprint.0)
    }

    fn rank_shard(&self, shard: u32) -> u64 {
        let name = self.plan.shard(shard).id.as_str();
        xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), self.setup.fingerprint.0)
    }
}
