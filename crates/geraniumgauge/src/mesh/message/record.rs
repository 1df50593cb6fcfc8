//! Registrations, between entry, claimant and home.

use bytes::Bytes;

use super::Outcome;

/// A record to be sent to an upstream once, by the VM that created its claim.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Record {
    /// The claimant's [`crate::ids::Attempt`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The caller's request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The upstream to send to.
    #[prost(string, tag = "4")]
    pub upstream: String,
    /// The shard that takes the record.
    #[prost(string, tag = "5")]
    pub shard: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "6")]
    pub key: String,
    /// The record, as JSON.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
    /// [`crate::ids::Fingerprint`] of the record.
    #[prost(fixed64, tag = "8")]
    pub fingerprint: u64,
    /// Time left, in microseconds.
    #[prost(uint64, tag = "9")]
    pub time_left_us: u64,
    /// The layout by which the shard was chosen.
    #[prost(uint64, tag = "10")]
    pub layout: u64,
    /// A suspect request's lone trial: it runs alone on its upstream.
    #[prost(bool, tag = "11")]
    pub trial: bool,
}

/// What became of a record.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RecordReply {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// What happened; [`Outcome::Hits`] where it ran and `body` holds the result.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// The upstream's result, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A registration, handed to the VM that claims for its key.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Register {
    /// The entry's number for this registration.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The caller's request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "4")]
    pub key: String,
    /// The caller's body, as JSON.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Time left, in microseconds.
    #[prost(uint64, tag = "6")]
    pub time_left_us: u64,
}

/// What to tell the caller of a registration.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Registered {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Whether it is done and `body` holds its result.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// The result as JSON, where done.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// [`crate::query::Code`] of a refusal, as text.
    #[prost(string, tag = "4")]
    pub code: String,
    /// What the caller reads of a refusal.
    #[prost(string, tag = "5")]
    pub message: String,
    /// Whether a refused registration is known not to have run.
    #[prost(bool, tag = "6")]
    pub not_run: bool,
    /// When to come back, in milliseconds; 0 where that makes no sense.
    #[prost(uint64, tag = "7")]
    pub retry_after_ms: u64,
}
