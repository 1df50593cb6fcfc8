//! Decides when a starting VM may accept requests.
//!
//! If a VM starts while the store is unavailable or was restored to an older
//! state, it could serve requests with outdated limits and deadlines. A VM is
//! therefore ready only when it holds everything that the store lists and a few
//! peers have reported their versions. While the store is unavailable, a
//! majority of the members must have reported instead, and everything they
//! reported must be held. Only peers that are ready count towards the majority.

use std::collections;
use std::time;

use crate::ids;
use crate::time as clock;

/// Peers that must answer in addition to the store, because a store that was
/// restored to an older state may lack versions that peers apply.
const MIN_ANSWERS: usize = 3;
/// Longest wait for answers of peers, since the whole fleet may be starting.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Longest wait for versions that peers reported but that aren't held yet, if
/// the store was read.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Peers that are asked at the same time.
const BATCH_SIZE: usize = 32;
/// Time between two batches of peers.
const BATCH_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Source that confirmed the accepted documents and layouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub(super) enum Source {
    /// The store.
    #[display("the store")]
    Store,
    /// A majority of the members, while the store is unavailable.
    #[display("a majority of the members; the store is unavailable")]
    Peers,
}

/// Tracks whether a starting VM is ready.
#[derive(Debug)]
pub(super) struct Join {
    started: clock::Moment,
    store_loaded: bool,
    store_failed: bool,
    /// Whether each peer that answered was ready.
    answered: collections::BTreeMap<ids::Vm, bool>,
    asked: usize,
    next_batch: clock::Moment,
    ready: bool,
}

impl Join {
    pub(super) fn new(now: clock::Moment) -> Self {
        Self {
            started: now,
            store_loaded: false,
            store_failed: false,
            answered: collections::BTreeMap::new(),
            asked: 0,
            next_batch: now,
            ready: false,
        }
    }

    pub(super) fn ready(&self) -> bool {
        self.ready
    }

    /// Returns whether the store was read completely since the start.
    pub(super) fn confirmed(&self) -> bool {
        self.store_loaded
    }

    pub(super) fn loaded(&mut self) {
        self.store_loaded = true;
    }

    pub(super) fn store_failed(&mut self) {
        self.store_failed = true;
    }

    /// Records that a peer reported its versions and whether it was ready.
    pub(super) fn answered(&mut self, peer: &ids::Vm, ready: bool) {
        if !self.ready {
            self.answered.insert(peer.clone(), ready);
        }
    }

    /// Returns the next batch of peers to ask; empty until the interval has passed.
    pub(super) fn ask(&mut self, peers: &[ids::Vm], now: clock::Moment) -> Vec<ids::Vm> {
        if self.ready || now < self.next_batch || peers.is_empty() {
            return Vec::new();
        }
        self.next_batch = now + BATCH_INTERVAL;
        let missing = peers
            .iter()
            .filter(|peer| self.answered.get(*peer) != Some(&true));
        let missing: Vec<_> = missing.cloned().collect();
        if missing.is_empty() {
            return missing;
        }
        let from = self.asked % missing.len();
        self.asked += BATCH_SIZE;
        let rotated = missing.iter().cycle().skip(from);
        rotated
            .take(BATCH_SIZE.min(missing.len()))
            .cloned()
            .collect()
    }

    /// Returns the source if the VM becomes ready now. `complete` says that every
    /// known version is held.
    pub(super) fn tick(
        &mut self,
        peers: &[ids::Vm],
        complete: bool,
        now: clock::Moment,
    ) -> Option<Source> {
        if self.ready {
            return None;
        }
        let answers = peers.iter().filter_map(|peer| self.answered.get(peer));
        let answered = answers.clone().count();
        let ready = answers.filter(|ready| **ready).count();
        let waited = now.since(self.started);
        let enough = answered >= peers.len().min(MIN_ANSWERS) && !peers.is_empty()
            || waited >= ANSWER_TIMEOUT;
        let source = if self.store_loaded && enough && (complete || waited >= FETCH_TIMEOUT) {
            Source::Store
        } else if self.store_failed && complete && ready * 2 > peers.len() {
            Source::Peers
        } else {
            return None;
        };
        self.ready = true;
        self.answered.clear();
        Some(source)
    }
}
