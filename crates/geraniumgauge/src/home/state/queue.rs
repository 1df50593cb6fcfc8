//! Calls that wait for a slot, the most urgent first.

use std::cmp;
use std::collections;

use super::job;
use crate::ids;
use crate::time::Moment;

type Place = (Moment, u64);

/// A queue ordered by deadline, then by arrival. A lone trial goes first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: collections::BTreeMap<Place, job::Job>,
    places: collections::HashMap<job::Id, Place>,
    trials: collections::BTreeSet<Place>,
    arrivals: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn contains(&self, id: &job::Id) -> bool {
        self.places.contains_key(id)
    }

    pub(super) fn insert(&mut self, job: job::Job) {
        self.arrivals += 1;
        let place = (job.deadline, self.arrivals);
        if job.is_trial() {
            self.trials.insert(place);
        }
        self.places.insert(job.id.clone(), place);
        self.jobs.insert(place, job);
    }

    /// The call to run next.
    pub(super) fn head(&self) -> Option<&job::Job> {
        let trial = self.trials.first().and_then(|place| self.jobs.get(place));
        trial.or_else(|| self.jobs.values().next())
    }

    pub(super) fn take_head(&mut self) -> Option<job::Job> {
        let id = self.head()?.id.clone();
        self.remove(&id)
    }

    pub(super) fn remove(&mut self, id: &job::Id) -> Option<job::Job> {
        let place = self.places.remove(id)?;
        self.trials.remove(&place);
        self.jobs.remove(&place)
    }

    /// The earliest deadline.
    pub(super) fn earliest(&self) -> Option<Moment> {
        self.jobs.keys().next().map(|(deadline, _)| *deadline)
    }

    /// Takes out every call.
    pub(super) fn drain(&mut self) -> Vec<job::Job> {
        self.places.clear();
        self.trials.clear();
        std::mem::take(&mut self.jobs).into_values().collect()
    }

    /// Takes out as few calls as it takes for all others to fit, where `unfit`
    /// tells by position and deadline whether a call comes too late.
    ///
    /// Any call ahead of one that comes too late could make room for it. The
    /// one of lowest rank goes, and a query has the same rank at every home.
    /// If each home dropped its latest call instead, each would drop others: at
    /// twice the capacity, nearly every query over 8 shards would lose one.
    pub(super) fn refuse(&mut self, unfit: impl Fn(usize, Moment) -> bool) -> Vec<job::Job> {
        let late = |(position, job): (usize, &job::Job)| unfit(position, job.deadline);
        if !self.jobs.values().enumerate().any(late) {
            return Vec::new();
        }
        let mut kept = collections::BinaryHeap::new();
        let mut refused = Vec::new();
        for job in self.jobs.values() {
            kept.push(cmp::Reverse((job.rank(), &job.id)));
            if unfit(kept.len() - 1, job.deadline) {
                refused.extend(kept.pop().map(|cmp::Reverse((_, id))| id.clone()));
            }
        }
        refused.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Takes out the calls of one VM.
    pub(super) fn remove_entry(&mut self, entry: &ids::Vm) -> Vec<job::Job> {
        let of_entry = self.places.keys().filter(|id| id.entry == *entry);
        let ids: Vec<_> = of_entry.cloned().collect();
        ids.iter().filter_map(|id| self.remove(id)).collect()
    }
}
