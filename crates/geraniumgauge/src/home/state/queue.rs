//! Calls that wait for a slot, the earliest deadline first.

use std::cmp;
use std::collections;

use super::job;
use crate::ids;
use crate::time::Moment;

/// Deadline of a call and its number by arrival.
type Key = (Moment, u64);

/// A queue ordered by deadline, then by arrival. Isolated trials go first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: collections::BTreeMap<Key, job::Job>,
    keys_by_id: collections::HashMap<job::Id, Key>,
    /// Keys of the isolated trials.
    trial_keys: collections::BTreeSet<Key>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn contains(&self, id: &job::Id) -> bool {
        self.keys_by_id.contains_key(id)
    }

    pub(super) fn insert(&mut self, job: job::Job) {
        self.arrivals += 1;
        let key = (job.deadline, self.arrivals);
        if job.is_trial() {
            self.trial_keys.insert(key);
        }
        self.keys_by_id.insert(job.id.clone(), key);
        self.jobs.insert(key, job);
    }

    /// Returns the next call to run.
    pub(super) fn head(&self) -> Option<&job::Job> {
        let trial = self.trial_keys.first().and_then(|key| self.jobs.get(key));
        trial.or_else(|| self.jobs.values().next())
    }

    pub(super) fn take_head(&mut self) -> Option<job::Job> {
        let id = self.head()?.id.clone();
        self.remove(&id)
    }

    pub(super) fn remove(&mut self, id: &job::Id) -> Option<job::Job> {
        let key = self.keys_by_id.remove(id)?;
        self.trial_keys.remove(&key);
        self.jobs.remove(&key)
    }

    /// Returns the earliest deadline of all waiting calls.
    pub(super) fn earliest_deadline(&self) -> Option<Moment> {
        self.jobs.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns every call.
    pub(super) fn drain(&mut self) -> Vec<job::Job> {
        self.keys_by_id.clear();
        self.trial_keys.clear();
        std::mem::take(&mut self.jobs).into_values().collect()
    }

    /// Removes and returns as few calls as possible so that all others meet their
    /// deadlines. `too_late(position, deadline)` returns whether a call with that
    /// many calls ahead of it would miss its deadline.
    ///
    /// Any call ahead of a late one could be removed instead of it. The one with the
    /// lowest [`job::Rank`] is, because the rank depends only on the request's id and
    /// on whether the call is a hedge, so all homes refuse calls of the same queries.
    /// If each home refused its latest call instead, homes would refuse different
    /// queries: with twice as many calls as the upstreams can run, nearly every query
    /// over 8 shards would miss one of them.
    pub(super) fn remove_late(
        &mut self,
        too_late: impl Fn(usize, Moment) -> bool,
    ) -> Vec<job::Job> {
        let is_late = |(position, job): (usize, &job::Job)| too_late(position, job.deadline);
        if !self.jobs.values().enumerate().any(is_late) {
            return Vec::new();
        }
        let mut kept = collections::BinaryHeap::new();
        let mut refused = Vec::new();
        for job in self.jobs.values() {
            kept.push(cmp::Reverse((job.rank(), &job.id)));
            if too_late(kept.len() - 1, job.deadline) {
                refused.extend(kept.pop().map(|cmp::Reverse((_, id))| id.clone()));
            }
        }
        refused.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes and returns the calls of one coordinator.
    pub(super) fn remove_calls_of(&mut self, coordinator: &ids::Vm) -> Vec<job::Job> {
        let of_coordinator = self
            .keys_by_id
            .keys()
            .filter(|id| id.coordinator == *coordinator);
        let ids: Vec<_> = of_coordinator.cloned().collect();
        ids.iter().filter_map(|id| self.remove(id)).collect()
    }
}
