//! Messages of searches: shard calls, their outcomes and cancels.

use bytes::Bytes;

/// Shard calls of one query to upstreams of the same home.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Batch {
    /// Id of the caller's request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The service searched.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Body of the upstream requests, the same for each shard.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// [`crate::ids::Fingerprint`] of the query.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
    /// Time left until the answer is due, in microseconds.
    #[prost(uint64, tag = "5")]
    pub time_left_us: u64,
    /// The pinned index version; absent if the upstream is to use its newest.
    #[prost(uint64, optional, tag = "6")]
    pub index_version: Option<u64>,
    /// Version of the pinned layout.
    #[prost(uint64, tag = "7")]
    pub layout: u64,
    /// The calls.
    #[prost(message, repeated, tag = "8")]
    pub calls: Vec<Call>,
}

/// A call of one shard at one upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Call {
    /// The coordinator's [`crate::ids::Attempt`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The upstream to call.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The shard to search there.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// Reason for the call.
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
}

/// Reason for a shard call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
pub enum Kind {
    /// First call for its shard and pinned version.
    First = 0,
    /// Second call while the first is slow, charged to the hedge budget.
    Hedge = 1,
    /// Call after a failed one, charged to the retry budget.
    Retry = 2,
    /// Call of the first shard of a wide fan-out, made before the others.
    Canary = 3,
    /// Isolated trial of a suspect request: it runs alone on its upstream.
    Trial = 4,
}

/// Outcomes of shard calls.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Replies {
    /// One reply for each call; a batch may be answered in several frames.
    #[prost(message, repeated, tag = "1")]
    pub replies: Vec<Reply>,
}

/// Outcome of one shard call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Reply {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The upstream that was called.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The shard, as echoed by the upstream.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// The outcome.
    #[prost(enumeration = "Outcome", tag = "4")]
    pub outcome: i32,
    /// Index version of the hits, as echoed by the upstream.
    #[prost(uint64, tag = "5")]
    pub index_version: u64,
    /// Layout version of the hits, as echoed by the upstream.
    #[prost(uint64, tag = "6")]
    pub layout: u64,
    /// Oldest index version that the upstream offers; 0 if unknown.
    #[prost(uint64, tag = "7")]
    pub oldest: u64,
    /// Newest index version that the upstream offers; 0 if unknown.
    #[prost(uint64, tag = "8")]
    pub newest: u64,
    /// The upstream's reply body, JSON `{"hits": […]}`, if the outcome is
    /// [`Outcome::Hits`].
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// Time that the call was queued at the home, in microseconds.
    #[prost(uint64, tag = "10")]
    pub queued_us: u64,
    /// Time that the upstream took, in microseconds.
    #[prost(uint64, tag = "11")]
    pub upstream_us: u64,
    /// Time after which a retry may succeed, in microseconds; 0 if unknown.
    #[prost(uint64, tag = "12")]
    pub retry_after_us: u64,
}

/// Outcome of a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
pub enum Outcome {
    /// Unset, or a value of a newer version: treated as [`Outcome::Lost`].
    Unknown = 0,
    /// The call or record ran, and the reply contains the hits or the result.
    Hits = 1,
    /// Not run: the call would not have left the home's queue in time.
    Late = 2,
    /// Not run: the upstream sheds load.
    Shed = 3,
    /// Not run: the upstream is draining.
    Draining = 4,
    /// Not run: no connection to the upstream could be made.
    Unreachable = 5,
    /// Not run: the upstream doesn't offer this index version or layout.
    Version = 6,
    /// Not run: this VM is not a home of the upstream; the sender should check its
    /// view again.
    NotHome = 7,
    /// The connection was lost while the call ran, so it may have crashed the upstream.
    Lost = 8,
    /// The connection stayed silent; it is unknown whether the call ran.
    Silent = 9,
    /// The reply belongs to another call, or its body is too large; it was dropped and
    /// the connection closed.
    Crossed = 10,
    /// The upstream answered with an error.
    Failed = 11,
    /// The deadline passed while the call ran, and the call was cancelled.
    Deadline = 12,
    /// The call was cancelled on request.
    Cancelled = 13,
    /// Not run: this VM is stopping.
    Stopping = 14,
    /// Not run: a canary of a request that the home knows as suspected of crashing
    /// upstreams.
    Suspect = 15,
}

impl Outcome {
    /// Whether it is certain that the call did not run.
    pub fn not_run(self) -> bool {
        use Outcome::{Draining, Late, NotHome, Shed, Stopping, Suspect, Unreachable, Version};
        matches!(
            self,
            Late | Shed | Draining | Unreachable | Version | NotHome | Stopping | Suspect
        )
    }
}

/// Cancels attempts.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Cancel {
    /// The coordinator's numbers of the attempts.
    #[prost(uint64, repeated, tag = "1")]
    pub attempts: Vec<u64>,
}
