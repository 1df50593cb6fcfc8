//! When a VM that starts may take requests.
//!
//! Failure: a VM starts while the store is out, or shows an older state, and
//! takes requests by documents that were replaced; callers see limits and
//! deadlines of the past from one VM in many. So a VM is ready only when it
//! holds all that the store lists and a few peers have told what they apply,
//! or, while the store is out, when a majority of the members have told and
//! all of it is held. A peer that isn't ready itself doesn't count for the latter.

use std::collections;
use std::time;

use crate::ids;
use crate::time as clock;

/// Peers to hear besides the store; one of them knows what an older state of
/// the store lacks.
const HEAR: usize = 3;
/// Longest wait for these peers: the whole fleet may be starting.
const HEAR_WAIT: time::Duration = time::Duration::from_secs(2);
/// Longest wait for what a peer claims to have, once the store was read.
const FETCH_WAIT: time::Duration = time::Duration::from_secs(6);
/// Peers asked at once.
const WAVE: usize = 32;
/// Time between waves.
const AGAIN: time::Duration = time::Duration::from_millis(500);

/// Where the accepted set was had from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub(super) enum Source {
    /// The store.
    #[display("the store")]
    Store,
    /// A majority of the members, the store being out.
    #[display("a majority of the members, the store being out")]
    Peers,
}

/// One VM's way to readiness.
#[derive(Debug)]
pub(super) struct Join {
    started: clock::Moment,
    loaded: bool,
    failed: bool,
    /// The peers that answered, and whether they were ready.
    answered: collections::BTreeMap<ids::Vm, bool>,
    asked: usize,
    next: clock::Moment,
    ready: bool,
}

impl Join {
    pub(super) fn new(now: clock::Moment) -> Self {
        Self {
            started: now,
            loaded: false,
            failed: false,
            answered: collections::BTreeMap::new(),
            asked: 0,
            next: now,
            ready: false,
        }
    }

    pub(super) fn ready(&self) -> bool {
        self.ready
    }

    /// Whether the store has confirmed what is held since the start.
    pub(super) fn confirmed(&self) -> bool {
        self.loaded
    }

    pub(super) fn loaded(&mut self) {
        self.loaded = true;
    }

    pub(super) fn store_failed(&mut self) {
        self.failed = true;
    }

    /// A peer has told what it applies; `settled` where it is ready itself.
    pub(super) fn answered(&mut self, peer: &ids::Vm, settled: bool) {
        if !self.ready {
            self.answered.insert(peer.clone(), settled);
        }
    }

    /// The peers to ask now, a wave at a time.
    pub(super) fn ask(&mut self, peers: &[ids::Vm], now: clock::Moment) -> Vec<ids::Vm> {
        if self.ready || now < self.next || peers.is_empty() {
            return Vec::new();
        }
        self.next = now + AGAIN;
        let missing = peers
            .iter()
            .filter(|peer| self.answered.get(*peer) != Some(&true));
        let missing: Vec<_> = missing.cloned().collect();
        if missing.is_empty() {
            return missing;
        }
        let from = self.asked % missing.len();
        self.asked += WAVE;
        let around = missing.iter().cycle().skip(from);
        around.take(WAVE.min(missing.len())).cloned().collect()
    }

    /// Whether the VM becomes ready now. `complete`: nothing is known of that
    /// isn't held.
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
        let settled = answers.filter(|settled| **settled).count();
        let waited = now.since(self.started);
        let heard = answered >= peers.len().min(HEAR) && !peers.is_empty() || waited >= HEAR_WAIT;
        let source = if self.loaded && heard && (complete || waited >= FETCH_WAIT) {
            Source::Store
        } else if self.failed && complete && settled * 2 > peers.len() {
            Source::Peers
        } else {
            return None;
        };
        self.ready = true;
        self.answered.clear();
        Some(source)
    }
}
