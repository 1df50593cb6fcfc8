//! What the owner of a batch reads back of each key.

use crate::ids;
use crate::ledger::head;
use crate::time;

/// Where a key stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum State {
    /// It has run, once.
    Done,
    /// It has not run, and a repeat may run.
    NotRun,
    /// It is being run, or whether it ran isn't known. A repeat will not run it.
    Unsettled,
    /// Nothing is recorded: it has not run, or is too old to tell.
    Unknown,
}

/// What is recorded of a key.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Standing {
    /// Where it stands.
    pub state: State,
    /// The caller's request that it was claimed for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<ids::Request>,
    /// When it was claimed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since: Option<time::Wall>,
    /// The upstream it was last sent to, or was about to be.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<ids::Upstream>,
    /// The result, where done and still kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<serde_json::value::RawValue>>,
}

impl Standing {
    pub(super) fn of(entry: head::Entry) -> Self {
        let state = match entry.state {
            head::State::Claimed => State::Unsettled,
            head::State::Done => State::Done,
            head::State::NotRun => State::NotRun,
        };
        Self {
            state,
            request: Some(entry.request),
            since: Some(entry.since),
            upstream: Some(entry.upstream),
            result: entry.result,
        }
    }

    pub(super) fn unseen() -> Self {
        Self::bare(State::Unknown)
    }

    /// Only the hash of the key is left, and only keys that are done get there.
    pub(super) fn forgotten() -> Self {
        Self::bare(State::Done)
    }

    fn bare(state: State) -> Self {
        Self {
            state,
            request: None,
            since: None,
            upstream: None,
            result: None,
        }
    }
}
