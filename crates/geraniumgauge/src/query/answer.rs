//! What callers ask and are told. The JSON forms are a contract with callers.

use std::collections;
use std::time;

use crate::ids;

/// A search as it was admitted.
#[derive(Debug, Clone)]
pub struct Search {
    /// The caller's request.
    pub request: ids::Request,
    /// The service asked.
    pub service: ids::Service,
    /// The query, as the caller's JSON.
    pub query: Box<serde_json::value::RawValue>,
    /// Most hits wanted.
    pub limit: u32,
    /// Only these shards; all where `None`.
    pub shards: Option<Vec<ids::Shard>>,
    /// Time left for the whole answer; `None` for the service's default.
    pub time_left: Option<time::Duration>,
}

/// A whole answer.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The caller's request.
    pub request_id: ids::Request,
    /// The one snapshot that every hit is of.
    pub snapshot: Snapshot,
    /// Which shards the hits are from.
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

/// Which shards an answer covers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Coverage {
    /// Shards of the pinned layout that were asked for.
    pub shards: usize,
    /// Shards whose own reply is merged.
    pub covered: usize,
    /// Whether every shard is covered.
    pub complete: bool,
    /// The others, each with its reason.
    pub missing: Vec<Missing>,
}

/// A shard that the answer doesn't cover.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Missing {
    /// The shard.
    pub shard: ids::Shard,
    /// Why.
    pub reason: Reason,
}

/// Why a shard is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// No reply before the deadline.
    Deadline,
    /// Every replica was too loaded to take the call in time.
    Overloaded,
    /// No replica could be reached.
    Unreachable,
    /// No replica offers the pinned version.
    VersionUnavailable,
    /// The query is held to crash upstreams.
    Quarantined,
    /// The latency objective answered without it.
    CutOff,
    /// The replies were not what was asked for.
    BadReply,
}

/// One hit. Fields beyond these three pass through as the upstream gave them.
#[derive(Debug, Clone)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hit {
    /// The record's id.
    pub id: String,
    /// How well it fits; higher is better.
    pub score: f64,
    /// The shard it is from.
    pub shard: ids::Shard,
    /// Everything else.
    #[serde(flatten)]
    pub rest: collections::BTreeMap<String, serde_json::Value>,
}

/// A request that is not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{code}: {message}")]
pub struct Refusal {
    /// What kind of refusal.
    pub code: Code,
    /// What the caller reads: what is wrong, where, and what to do.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When another try may succeed.
    pub retry_after: Option<time::Duration>,
}

/// Whether a refused request ran.
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
    /// No byte that could start the work was sent, or the upstream said so.
    No,
    /// Everything else.
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
    /// 400: the request can't be understood.
    BadRequest,
    /// 404: no such service, shard or path.
    NotFound,
    /// 409: the key stands for another request, or is being run.
    Conflict,
    /// 413: the body or a field exceeds its limit.
    TooLarge,
    /// 429: the service is over its share of this VM.
    Overloaded,
    /// 503: something that is needed is not available.
    Unavailable,
    /// 503: the request is held to crash upstreams.
    Quarantined,
    /// 503: this VM is stopping; another one will answer.
    Stopping,
    /// 504: no answer before the deadline.
    Deadline,
    /// 500: a fault of this program.
    Internal,
}

impl Code {
    /// The HTTP status.
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
    /// A refusal of a request that was not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// The same, with the time after which another try may succeed.
    pub fn retry_after(self, span: time::Duration) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }
}
