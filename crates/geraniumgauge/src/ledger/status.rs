//! The recorded status of a key, as callers read it.

use crate::ids;
use crate::ledger::head;
use crate::time;

/// The state of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum State {
    /// The registration has run, once.
    Done,
    /// The registration has not run, and a repeat may run.
    NotRun,
    /// The registration is running, or whether it ran is unknown. A repeat will
    /// not run it.
    Unsettled,
    /// Nothing is recorded: the registration has not run, or the key is older than
    /// the service's ledger window.
    Unknown,
}

/// What is recorded for a key.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The state of the key.
    pub state: State,
    /// The caller's request that the key was claimed for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<ids::Request>,
    /// When the key was claimed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since: Option<time::Wall>,
    /// The upstream that the record was last sent to, or was about to be.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<ids::Upstream>,
    /// The upstream's result, if the registration is done and the result hasn't expired.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<serde_json::value::RawValue>>,
}

impl Status {
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

    /// The status of a key without a record.
    pub(super) fn unrecorded() -> Self {
        Self::without_entry(State::Unknown)
    }

    /// The status of a key of which only the hash is left. Only keys that are done
    /// are reduced to their hash.
    pub(super) fn hash_only() -> Self {
        Self::without_entry(State::Done)
    }

    fn without_entry(state: State) -> Self {
        Self {
            state,
            request: None,
            since: None,
            upstream: None,
            result: None,
        }
    }
}
