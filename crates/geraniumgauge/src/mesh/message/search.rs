//! Shard calls of searches, and what became of them.

use bytes::Bytes;

/// Shard calls of one query to upstreams of one home.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Batch {
    /// The caller's request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The service asked.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The upstream request's body, the same for each shard.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// [`crate::ids::Fingerprint`] of the query.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
    /// Time left until the answer is due, in microseconds.
    #[prost(uint64, tag = "5")]
    pub time_left_us: u64,
    /// The pinned index version; none where the upstream is to pick its newest.
    #[prost(uint64, optional, tag = "6")]
    pub index_version: Option<u64>,
    /// The pinned layout's version.
    #[prost(uint64, tag = "7")]
    pub layout: u64,
    /// The calls.
    #[prost(message, repeated, tag = "8")]
    pub calls: Vec<Call>,
}

/// One shard call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Call {
    /// The entry's [`crate::ids::Attempt`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The upstream to call.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The shard to search there.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// Why the call is made.
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
}

/// Why a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
pub enum Kind {
    /// The first for its shard and pin.
    First = 0,
    /// A second one beside a slow one, paid from the hedge budget.
    Hedge = 1,
    /// One after a failed one, paid from the retry budget.
    Retry = 2,
    /// The first shard of a wide fan-out, ahead of the rest.
    Canary = 3,
    /// A suspect request's lone trial: it runs alone on its upstream.
    Trial = 4,
}

/// What became of shard calls.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Replies {
    /// One for each call; calls of a batch may be answered in several frames.
    #[prost(message, repeated, tag = "1")]
    pub replies: Vec<Reply>,
}

/// What became of one shard call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Reply {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The upstream that was called.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The shard, as the upstream echoed it.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// What happened.
    #[prost(enumeration = "Outcome", tag = "4")]
    pub outcome: i32,
    /// Index version of the hits, as the upstream echoed it.
    #[prost(uint64, tag = "5")]
    pub index_version: u64,
    /// Layout of the hits, as the upstream echoed it.
    #[prost(uint64, tag = "6")]
    pub layout: u64,
    /// Oldest index version the upstream still offers; 0 where not known.
    #[prost(uint64, tag = "7")]
    pub oldest: u64,
    /// Newest index version the upstream offers; 0 where not known.
    #[prost(uint64, tag = "8")]
    pub newest: u64,
    /// The upstream's reply body, JSON `{"hits": […]}`, where the outcome is [`Outcome::Hits`].
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// Time the call waited at the home, in microseconds.
    #[prost(uint64, tag = "10")]
    pub queued_us: u64,
    /// Time the upstream took, in microseconds.
    #[prost(uint64, tag = "11")]
    pub upstream_us: u64,
    /// How long until another try may fit, in microseconds; 0 where not known.
    #[prost(uint64, tag = "12")]
    pub retry_after_us: u64,
}

/// What became of a call at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
pub enum Outcome {
    /// Unset or of a newer kind: treated as [`Outcome::Lost`].
    Unknown = 0,
    /// It ran, and the hits are here.
    Hits = 1,
    /// Not run: the home's queue would not reach it in time.
    Late = 2,
    /// Not run: the upstream sheds load.
    Shed = 3,
    /// Not run: the upstream is leaving.
    Draining = 4,
    /// Not run: no connection could be had.
    Unreachable = 5,
    /// Not run: the upstream doesn't offer this index version or layout.
    Version = 6,
    /// Not run: this VM is no home of the upstream; look at the view again.
    NotHome = 7,
    /// The connection was lost while the call ran: it may have crashed the upstream.
    Lost = 8,
    /// The connection stayed silent; whether the call ran isn't known.
    Silent = 9,
    /// A reply that answers something else; it was dropped and its connection closed.
    Crossed = 10,
    /// The upstream answered with an error of its own.
    Failed = 11,
    /// The deadline passed while the call ran; it was cancelled.
    Deadline = 12,
    /// It was cancelled on request.
    Cancelled = 13,
    /// Not run: this VM is stopping.
    Stopping = 14,
}

impl Outcome {
    /// Whether no upstream has run any of the call.
    pub fn not_run(self) -> bool {
        use Outcome::{Draining, Late, NotHome, Shed, Stopping, Unreachable, Version};
        matches!(
            self,
            Late | Shed | Draining | Unreachable | Version | NotHome | Stopping
        )
    }
}

/// Attempts that are no longer wanted.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Cancel {
    /// The attempts, as their entry numbered them.
    #[prost(uint64, repeated, tag = "1")]
    pub attempts: Vec<u64>,
}
