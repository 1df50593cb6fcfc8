//! What the store holds of one bucket: recent claims, and where older ones are.

use std::collections;

use crate::ids;
use crate::ledger::key;
use crate::time;

/// A head above this many bytes takes no more claims. Only claims without an
/// outcome fill it, since settled ones move to pages.
pub(super) const FULL: usize = 768 * 1024;
/// Largest result that is kept with its claim, in bytes.
pub const MAX_RESULT: usize = 16 * 1024;

/// Names one attempt at one claim; no other attempt ever has the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub(super) struct Token(String);

impl Token {
    /// The token of `attempt` of one start of `vm`.
    pub(super) fn new(vm: &ids::Vm, incarnation: ids::Incarnation, attempt: ids::Attempt) -> Self {
        Self(format!("{vm}/{incarnation}/{attempt}"))
    }
}

/// Where a claim stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub(super) enum State {
    /// It may be sent, is being run, or its end isn't known.
    Claimed,
    /// It has run, once.
    Done,
    /// It was given up before anything was sent, or the upstream has said that
    /// it didn't run: the key may be claimed again.
    NotRun,
}

/// One claim.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Entry {
    /// Who may send it.
    pub(super) token: Token,
    /// The caller's request that it was created for.
    pub(super) request: ids::Request,
    /// What the caller asked for.
    pub(super) fingerprint: ids::Fingerprint,
    /// When it was created, by the claimant's clock.
    pub(super) since: time::Wall,
    /// The upstream that it was last sent to, or is about to be.
    pub(super) upstream: ids::Upstream,
    /// Where it stands.
    pub(super) state: State,
    /// The upstream's result, where done and not above [`MAX_RESULT`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) result: Option<Box<serde_json::value::RawValue>>,
}

/// An object with older entries of a bucket. Pages are never changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Page {
    /// Its store key.
    pub(super) id: String,
    /// Entries or hashes in it.
    pub(super) count: usize,
    /// When its newest entry was created.
    pub(super) newest: time::Wall,
    /// Times of its oldest and newest key, where its keys carry them.
    pub(super) times: Option<(time::Wall, time::Wall)>,
    /// It holds hashes of keys only.
    pub(super) hashes: bool,
}

impl Page {
    /// Whether a key with this time can be in the page.
    pub(super) fn may_hold(&self, timed: Option<time::Wall>) -> bool {
        match (self.times, timed) {
            (Some((from, to)), Some(time)) => from <= time && time <= to,
            (None, None) => true,
            _ => false,
        }
    }
}

/// The object of one bucket that changes.
#[derive(Debug, Clone, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Head {
    /// Timed keys up to this time are refused: their claims may be forgotten.
    /// Raised in the same update that forgets them, so a VM whose clock is
    /// wrong or which was paused can't claim such a key again.
    #[serde(default)]
    pub(super) floor: time::Wall,
    /// Recent claims, and all those without an outcome.
    #[serde(default)]
    pub(super) entries: collections::BTreeMap<ids::Key, Entry>,
    /// Older ones, oldest first.
    #[serde(default)]
    pub(super) pages: Vec<Page>,
}

/// The entries of one page.
pub(super) type Entries = collections::BTreeMap<ids::Key, Entry>;

impl Head {
    /// Drops timed claims whose keys are older than `cutoff`, and the pages
    /// with only such; returns the pages dropped.
    pub(super) fn expire(&mut self, cutoff: time::Wall) -> Vec<Page> {
        self.floor = self.floor.max(cutoff);
        let floor = self.floor;
        let young = |key: &ids::Key| key::time(key).is_none_or(|time| time > floor);
        self.entries.retain(|key, _| young(key));
        let old = |page: &mut Page| page.times.is_some_and(|(_, to)| to <= floor);
        self.pages.extract_if(.., old).collect()
    }
}
