//! Messages of registrations, between coordinator, claimant and home.

use bytes::Bytes;

use super::Outcome;

/// A record to send to an upstream once, from the VM that created its claim.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Record {
    /// The claimant's [`crate::ids::Attempt`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Id of the caller's request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The upstream to send the record to.
    #[prost(string, tag = "4")]
    pub upstream: String,
    /// The shard that stores the record.
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
    /// Version of the layout by which the shard was chosen.
    #[prost(uint64, tag = "10")]
    pub layout: u64,
    /// Set for the isolated trial of a suspect request, which runs alone on its
    /// upstream.
    #[prost(bool, tag = "11")]
    pub trial: bool,
}

/// Outcome of a [`Record`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RecordReply {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The outcome; [`Outcome::Hits`] if the record ran and `body` holds the result.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// The upstream's result, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A registration, sent to the VM that makes the claims for its key.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Register {
    /// The coordinator's number for this registration.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Id of the caller's request.
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

/// Answer to a [`Register`]: the result or refusal to send to the caller.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Registered {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Whether the registration is done and `body` holds its result.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// The result as JSON, if done.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// The [`crate::query::Code`] of a refusal, as text.
    #[prost(string, tag = "4")]
    pub code: String,
    /// The message of a refusal for the caller.
    #[prost(string, tag = "5")]
    pub message: String,
    /// Whether a refused registration is known not to have run.
    #[prost(bool, tag = "6")]
    pub not_run: bool,
    /// Milliseconds after which the caller may retry; 0 if not applicable.
    #[prost(uint64, tag = "7")]
    pub retry_after_ms: u64,
}
