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

/// Takes what a search is told.
pub(super) type Inbox = mpsc::UnboundedSender<task::Input>;

/// The running searches, by number.
#[derive(Debug)]
pub(super) struct Route {
    parts: Vec<sync::Mutex<collections::HashMap<u64, Inbox>>>,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            parts: (0..PARTS).map(|_| sync::Mutex::default()).collect(),
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

    /// Hands on one frame. Replies of a batch come together, so a frame mostly
    /// goes to one search as it is. Replies to ended searches are dropped.
    pub(super) fn replies(&self, from: &ids::Vm, mut replies: Vec<message::Reply>) {
        while let Some(last) = replies.last() {
            let search = last.attempt >> BITS;
            let other = |reply: &message::Reply| reply.attempt >> BITS != search;
            let own = replies.iter().rposition(other).map_or(0, |at| at + 1);
            let own = replies.split_off(own);
            self.send(search, || task::Input::Replies(from.clone(), own));
        }
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

    fn send(&self, search: u64, input: impl FnOnce() -> task::Input) {
        if let Some(inbox) = self.part(search).get(&search) {
            let _ = inbox.send(input());
        }
    }

    fn part(&self, search: u64) -> Part<'_> {
        lock(&self.parts[search as usize % PARTS])
    }
}

type Part<'a> = sync::MutexGuard<'a, collections::HashMap<u64, Inbox>>;

fn lock(part: &sync::Mutex<collections::HashMap<u64, Inbox>>) -> Part<'_> {
    part.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
