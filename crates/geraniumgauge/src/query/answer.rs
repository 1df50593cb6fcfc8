//! Searches, answers and refusals. The JSON forms are part of the HTTP API.

use std::collections;
use std::time;

use crate::ids;

/// A search request.
#[derive(Debug, Clone)]
pub struct Search {
    /// The id of the caller's request.
    pub request: ids::Request,
    /// The service to search.
    pub service: ids::Service,
    /// The query, as the caller's JSON.
    pub query: Box<serde_json::value::RawValue>,
    /// Maximum number of hits.
    pub limit: u32,
    /// The shards to search; all if `None`.
    pub shards: Option<Vec<ids::Shard>>,
    /// Time left until the answer is due; `None` for the service's default.
    pub time_left: Option<time::Duration>,
}

/// The answer to a search, complete or partial.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The id of the caller's request.
    pub request_id: ids::Request,
    /// The snapshot that all hits belong to.
    pub snapshot: Snapshot,
    /// Which shards are covered and which are missing.
    pub coverage: Coverage,
    /// The best hits, best first.
    pub hits: Vec<Hit>,
}

/// A version of a service's indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The index version.
    pub version: ids::IndexVersion,
    /// The layout's version.
    pub layout: ids::LayoutVersion,
}

/// The shards that an answer covers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Coverage {
    /// Number of requested shards of the pinned layout.
    pub shards: usize,
    /// Number of shards whose reply is merged.
    pub covered: usize,
    /// Whether every shard is covered.
    pub complete: bool,
    /// The shards that aren't covered, each with a reason.
    pub missing: Vec<Missing>,
}

/// A shard that the answer doesn't cover.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Missing {
    /// The shard's id.
    pub shard: ids::Shard,
    /// The reason.
    pub reason: Reason,
}

/// The reason why a shard is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// No reply before the deadline.
    Deadline,
    /// The call was refused because of overload.
    Overloaded,
    /// No replica could be called, or the connection was lost.
    Unreachable,
    /// No replica offers the pinned version.
    VersionUnavailable,
    /// The query is suspected of crashing upstreams.
    Quarantined,
    /// The answer was sent at the service's latency target, before this shard replied.
    CutOff,
    /// The upstream replied with an error, with a malformed body, or for another shard
    /// or version.
    BadReply,
}

/// One hit. Further fields are passed through as the upstream returned them.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hit {
    /// The record's id.
    pub id: String,
    /// Relevance; higher is better.
    pub score: f64,
    /// The shard that returned it.
    pub shard: ids::Shard,
    /// All other fields.
    #[serde(flatten)]
    pub rest: collections::BTreeMap<String, serde_json::Value>,
}

/// The error response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{code}: {message}")]
pub struct Refusal {
    /// The kind of refusal.
    pub code: Code,
    /// Message for the caller: what is wrong, where, and what to do.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time after which a retry may succeed.
    pub retry_after: Option<time::Duration>,
}

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::FromStr
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Ran {
    /// It didn't run: nothing that could start it was sent, or the upstream
    /// reported that it wasn't run.
    No,
    /// It may have run.
    Unknown,
}

/// Kinds of refusal; each has its HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::FromStr
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Code {
    /// 400: the request is malformed.
    BadRequest,
    /// 404: no such service, shard or path.
    NotFound,
    /// 409: the key belongs to another request, or its request is still running.
    Conflict,
    /// 413: the body or a field exceeds its limit.
    TooLarge,
    /// 429: the service has reached its limit on this VM.
    Overloaded,
    /// 503: a dependency is unavailable.
    Unavailable,
    /// 503: the request is suspected of crashing upstreams.
    Quarantined,
    /// 503: this VM is stopping; retry at another one.
    Stopping,
    /// 504: no answer before the deadline.
    Deadline,
    /// 500: an internal error.
    Internal,
}

impl Code {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Overloaded => 429,
            Self::Unavailable | Self::Quarantined | Self::Stopping => 503,
            Self::Deadline => 504,
            Self::Internal => 500,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that wasn't run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(self, span: time::Duration) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }
}
