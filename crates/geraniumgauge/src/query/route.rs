//! Hands replies to the searches that wait for them.

use std::collections;
use std::sync;

use tokio::sync::mpsc;

use crate::ids;
use crate::mesh::message;
use crate::query::task;

/// Attempts of one search share the upper bits of their numbers.
const BITS: u32 = 20;
/// Parts of the table, each with its own lock.
const PARTS: usize = 32;

/// Ended searches remembered whose calls were cancelled.
const ENDED: usize = 4096;

/// Takes what a search is told.
pub(super) type Inbox = mpsc::UnboundedSender<task::Input>;

/// The running searches, by number.
#[derive(Debug)]
pub(super) struct Route {
    parts: Vec<sync::Mutex<collections::HashMap<u64, Inbox>>>,
    ended: sync::Mutex<collections::VecDeque<Ended>>,
}

/// A search that ended while calls of it were under way.
#[derive(Debug, Clone)]
pub(super) struct Ended {
    pub(super) search: u64,
    pub(super) service: ids::Service,
    pub(super) fingerprint: ids::Fingerprint,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            parts: (0..PARTS).map(|_| sync::Mutex::default()).collect(),
            ended: sync::Mutex::default(),
        }
    }
}

impl Route {
    /// Number of the first attempt of the search numbered `search`.
    pub(super) fn base(search: u64) -> u64 {
        search << BITS
    }

    pub(super) fn add(&self, search: u64, inbox: Inbox) {
        self.part(search).insert(search, inbox);
    }

    pub(super) fn remove(&self, search: u64) {
        self.part(search).remove(&search);
    }

    /// Remembers a search whose calls were cancelled at its end.
    pub(super) fn ended(&self, ended: Ended) {
        let mut held = lock(&self.ended);
        if held.len() >= ENDED {
            held.pop_front();
        }
        held.push_back(ended);
    }

    /// The search that a late reply is for, where that is still known.
    pub(super) fn late(&self, attempt: u64) -> Option<Ended> {
        let held = lock(&self.ended);
        let mut newest = held.iter().rev();
        newest
            .find(|ended| ended.search == attempt >> BITS)
            .cloned()
    }

    /// Hands on one frame. Replies of a batch come together, so a frame mostly
    /// goes to one search as it is. Returns replies to ended searches.
    pub(super) fn replies(
        &self,
        from: &ids::Vm,
        mut replies: Vec<message::Reply>,
    ) -> Vec<message::Reply> {
        let mut late = Vec::new();
        while let Some(last) = replies.last() {
            let search = last.attempt >> BITS;
            let other = |reply: &message::Reply| reply.attempt >> BITS != search;
            let own = replies.iter().rposition(other).map_or(0, |at| at + 1);
            let own = replies.split_off(own);
            let part = self.part(search);
            match part.get(&search) {
                Some(inbox) => {
                    let _ = inbox.send(task::Input::Replies(from.clone(), own));
                }
                None => late.extend(own),
            }
        }
        late
    }

    /// Tells every search.
    pub(super) fn all(&self, input: impl Fn() -> task::Input) {
        for part in &self.parts {
            for inbox in lock(part).values() {
                // A search that has just ended takes nothing more.
                let _ = inbox.send(input());
            }
        }
    }

    fn part(&self, search: u64) -> Part<'_> {
        lock(&self.parts[search as usize % PARTS])
    }
}

type Part<'a> = sync::MutexGuard<'a, collections::HashMap<u64, Inbox>>;

fn lock<T>(part: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    part.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
