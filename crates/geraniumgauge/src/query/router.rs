//! Delivers replies to the searches that wait for them.

use std::collections;
use std::sync;

use tokio::sync::mpsc;

use crate::ids;
use crate::mesh::message;
use crate::query::task;

/// Bits of an attempt's number that count within its search; the upper bits are
/// the number of the search.
const ATTEMPT_BITS: u32 = 20;
/// Partitions of the table, each with its own lock.
const PARTITIONS: usize = 32;

/// Ended searches kept for late replies to their cancelled calls.
const MAX_ENDED: usize = 4096;

/// The sending side of a search's input queue.
pub(super) type InputSender = mpsc::UnboundedSender<task::Input>;

/// The running searches by number, and recently ended ones.
#[derive(Debug)]
pub(super) struct Router {
    partitions: Vec<sync::Mutex<collections::HashMap<u64, InputSender>>>,
    ended: sync::Mutex<collections::VecDeque<Ended>>,
}

/// A search that ended with calls whose outcome is unknown.
#[derive(Debug, Clone)]
pub(super) struct Ended {
    pub(super) search: u64,
    pub(super) service: ids::Service,
    pub(super) fingerprint: ids::Fingerprint,
}

impl Default for Router {
    fn default() -> Self {
        Self {
            partitions: (0..PARTITIONS).map(|_| sync::Mutex::default()).collect(),
            ended: sync::Mutex::default(),
        }
    }
}

impl Router {
    /// Returns the number of the first attempt of a search.
    pub(super) fn first_attempt(search: u64) -> u64 {
        search << ATTEMPT_BITS
    }

    pub(super) fn add(&self, search: u64, sender: InputSender) {
        self.partition(search).insert(search, sender);
    }

    pub(super) fn remove(&self, search: u64) {
        self.partition(search).remove(&search);
    }

    /// Keeps an ended search for late replies; drops the oldest one when full.
    pub(super) fn keep_ended(&self, search: Ended) {
        let mut ended = lock(&self.ended);
        if ended.len() >= MAX_ENDED {
            ended.pop_front();
        }
        ended.push_back(search);
    }

    /// Returns the ended search that an attempt belongs to, if it is still kept.
    pub(super) fn find_ended(&self, attempt: u64) -> Option<Ended> {
        let ended = lock(&self.ended);
        let mut newest = ended.iter().rev();
        newest
            .find(|search| search.search == attempt >> ATTEMPT_BITS)
            .cloned()
    }

    /// Delivers the replies of one frame and returns those to searches that have
    /// ended. Replies to one batch arrive together, so most frames are passed on
    /// undivided to one search.
    pub(super) fn replies(
        &self,
        from: &ids::Vm,
        mut replies: Vec<message::Reply>,
    ) -> Vec<message::Reply> {
        let mut late = Vec::new();
        while let Some(last) = replies.last() {
            let search = last.attempt >> ATTEMPT_BITS;
            let other = |reply: &message::Reply| reply.attempt >> ATTEMPT_BITS != search;
            let own = replies.iter().rposition(other).map_or(0, |at| at + 1);
            let own = replies.split_off(own);
            let partition = self.partition(search);
            match partition.get(&search) {
                Some(sender) => {
                    let _ = sender.send(task::Input::Replies(from.clone(), own));
                }
                None => late.extend(own),
            }
        }
        late
    }

    /// Sends an input to every running search.
    pub(super) fn broadcast(&self, input: impl Fn() -> task::Input) {
        for partition in &self.partitions {
            for sender in lock(partition).values() {
                // Fails only for a search that has just ended.
                let _ = sender.send(input());
            }
        }
    }

    fn partition(&self, search: u64) -> Partition<'_> {
        lock(&self.partitions[search as usize % PARTITIONS])
    }
}

type Partition<'a> = sync::MutexGuard<'a, collections::HashMap<u64, InputSender>>;

fn lock<T>(partition: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    partition
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}
