//! Chooses where an isolated trial runs, and asks which lost replicas are back.

use std::collections;

use rand::seq::IteratorRandom as _;

use super::Action;
use super::Gather;
use crate::ids;
use crate::quarantine::trial;
use crate::query::plan;
use crate::time as clock;

/// Upstreams that homes are asked about at once.
const MAX_INQUIRIES: usize = 8;

impl Gather {
    /// Asks the homes of lost replicas whether these are back. Waiting for other
    /// searches to call them takes longer than most searches have.
    pub(super) fn inquire(&mut self, now: clock::Moment) {
        let plan = &self.plan;
        let replicas = self.slots.iter();
        let replicas = replicas.flat_map(|slot| plan.shard(slot.shard).replicas.iter());
        let lost = replicas.filter(|replica| !self.is_up(plan.replica(**replica)));
        let lost: collections::BTreeSet<u32> = lost.copied().collect();
        let asked = lost
            .into_iter()
            .choose_multiple(&mut self.rng, MAX_INQUIRIES);
        let mut homes: collections::BTreeMap<u32, Vec<ids::Upstream>> =
            collections::BTreeMap::new();
        for replica in asked {
            if let Some(vm) = plan.home(replica, None, now) {
                let upstream = plan.replica(replica).id.clone();
                homes.entry(vm).or_default().push(upstream);
            }
        }
        for (vm, upstreams) in homes {
            let vm = plan.vms[vm as usize].id.clone();
            let action = Action::Inquire { vm, upstreams };
            self.outbox.actions.push(action);
        }
    }

    /// Describes the trial's upstream and its siblings.
    pub(super) fn trial_place(&self, slot: u32, position: usize) -> trial::Place {
        let replica = self.replica_at(slot, position);
        let shards = self.plan.replica(replica).shards.iter();
        let others = shards
            .flat_map(|shard| self.plan.replicas_of(*shard))
            .map(|upstream| upstream.id.clone());
        let upstream = self.plan.replica(replica).id.clone();
        trial::Place {
            siblings: others.filter(|id| *id != upstream).collect(),
            upstream,
        }
    }

    /// Returns the plan's index of the replica at a position of a slot's shard.
    pub(super) fn replica_at(&self, slot: u32, position: usize) -> u32 {
        let shard = self.slots[slot as usize].shard;
        self.plan.shard(shard).replicas[position]
    }

    /// Chooses a replica for the trial whose siblings are all up, so that a crash
    /// leaves no shard without replicas. Prefers shards that have neither a
    /// reply nor a running call, then the replica that the fingerprint ranks
    /// first, so that trials of different requests mostly use different
    /// upstreams.
    pub(super) fn trial_target(&self, now: clock::Moment) -> Option<(u32, usize)> {
        let positions = (0..self.slots.len() as u32).flat_map(|slot| {
            let shard = self.slots[slot as usize].shard;
            (0..self.plan.shard(shard).replicas.len()).map(move |position| (slot, position))
        });
        let fits = |(slot, position): &(u32, usize)| {
            let replica = self.replica_at(*slot, *position);
            self.siblings_up(replica) && self.ready(replica, now)
        };
        let rank = |(slot, position): &(u32, usize)| {
            let entry = &self.slots[*slot as usize];
            let covered = entry.is_final() || !entry.open().is_empty();
            let replica = self.replica_at(*slot, *position);
            (covered, self.rank(self.plan.replica(replica).id.as_str()))
        };
        positions.filter(fits).min_by_key(rank)
    }

    /// Returns whether the replica isn't avoided and may offer the pinned version.
    pub(super) fn ready(&self, replica: u32, now: clock::Moment) -> bool {
        let stats = &self.plan.replica(replica).stats;
        let offers = self
            .pin
            .is_none_or(|pin| stats.offers(pin, now) != Some(false));
        offers && !stats.avoided(now)
    }

    /// Returns whether each shard of `replica` has another replica and all of its
    /// replicas are up.
    pub(super) fn siblings_up(&self, replica: u32) -> bool {
        let shards = &self.plan.replica(replica).shards;
        let mut siblings = shards
            .iter()
            .flat_map(|shard| self.plan.replicas_of(*shard));
        let several = shards
            .iter()
            .all(|shard| self.plan.shard(*shard).replicas.len() > 1);
        several && siblings.all(|sibling| self.is_up(sibling))
    }

    /// Returns whether the replica is up, as far as this VM and the marks at the last
    /// grant show.
    fn is_up(&self, replica: &plan::Replica) -> bool {
        let answered = replica.stats.answered();
        let down = self.trial.down.iter();
        let mut lost = down.filter(|down| down.upstream == replica.id);
        !replica.stats.down() && lost.all(|down| answered > down.lost)
    }
}
