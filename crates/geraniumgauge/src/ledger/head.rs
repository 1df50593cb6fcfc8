//! The stored form of one bucket: its recent claims and a list of the pages with
//! older ones.

use std::collections;

use crate::ids;
use crate::ledger::key;
use crate::time;

/// Size in bytes above which a head accepts no more claims. Only claims without
/// an outcome can fill it, since settled ones are moved to pages.
pub(super) const MAX_HEAD_BYTES: usize = 768 * 1024;
/// Maximum size in bytes of a result that is stored with its claim.
pub const MAX_RESULT_BYTES: usize = 16 * 1024;

/// Identifies one attempt to create a claim; unique across all VMs and restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub(super) struct Token(String);

impl Token {
    /// Creates the token of `attempt` of one incarnation of `vm`.
    pub(super) fn new(vm: &ids::Vm, incarnation: ids::Incarnation, attempt: ids::Attempt) -> Self {
        Self(format!("{vm}/{incarnation}/{attempt}"))
    }
}

/// The state of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub(super) enum State {
    /// The record may be sent, is running, or its outcome is unknown.
    Claimed,
    /// The record has run, once.
    Done,
    /// The claim was abandoned before anything was sent, or the upstream reported
    /// that the record didn't run. The key may be claimed again.
    NotRun,
}

/// One claim and its outcome.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Entry {
    /// Identifies the attempt that may send the record.
    pub(super) token: Token,
    /// The caller's request that the claim was created for.
    pub(super) request: ids::Request,
    /// Fingerprint of the caller's record.
    pub(super) fingerprint: ids::Fingerprint,
    /// When the claim was created, by the claimant's clock.
    pub(super) since: time::Wall,
    /// The upstream that the record was last sent to, or is about to be.
    pub(super) upstream: ids::Upstream,
    /// The state of the claim.
    pub(super) state: State,
    /// The upstream's result, if done and not larger than [`MAX_RESULT_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) result: Option<Box<serde_json::value::RawValue>>,
}

/// Describes an object with older entries of a bucket. Pages are immutable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Page {
    /// Store key of the page.
    pub(super) id: String,
    /// Number of entries or hashes in the page.
    pub(super) count: usize,
    /// When its newest entry was created.
    pub(super) newest: time::Wall,
    /// Times of its oldest and newest key, if its keys are timed.
    pub(super) times: Option<(time::Wall, time::Wall)>,
    /// Set when the page contains only hashes of keys.
    #[serde(rename = "hashes")]
    pub(super) hashes_only: bool,
}

impl Page {
    /// Returns whether a key with this time, or without one, can be in the page.
    pub(super) fn may_hold(&self, timed: Option<time::Wall>) -> bool {
        match (self.times, timed) {
            (Some((from, to)), Some(time)) => from <= time && time <= to,
            (None, None) => true,
            _ => false,
        }
    }
}

/// The mutable object of one bucket.
#[derive(Debug, Clone, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Head {
    /// Timed keys up to this time are refused, since their claims may have been
    /// deleted. Raised in the same update that deletes them, so that a VM whose
    /// clock is wrong or that was paused can't claim such a key again.
    #[serde(default)]
    pub(super) floor: time::Wall,
    /// Recent claims, and all claims without an outcome.
    #[serde(default)]
    pub(super) entries: collections::BTreeMap<ids::Key, Entry>,
    /// Pages with older claims, oldest first.
    #[serde(default)]
    pub(super) pages: Vec<Page>,
}

/// The entries of one page.
pub(super) type Entries = collections::BTreeMap<ids::Key, Entry>;

impl Head {
    /// Removes timed claims whose keys are not newer than `cutoff`, and the pages
    /// that contain only such keys; returns the removed pages.
    pub(super) fn expire(&mut self, cutoff: time::Wall) -> Vec<Page> {
        self.floor = self.floor.max(cutoff);
        let floor = self.floor;
        let young = |key: &ids::Key| key::time(key).is_none_or(|time| time > floor);
        self.entries.retain(|key, _| young(key));
        let old = |page: &mut Page| page.times.is_some_and(|(_, to)| to <= floor);
        self.pages.extract_if(.., old).collect()
    }
}
