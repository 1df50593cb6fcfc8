//! The adapter to upstream servers: the only module that knows their HTTP.

mod connection;
mod reply;

pub use connection::Connection;
pub use connection::Error;
pub use connection::Limits;
pub use connection::Unanswered;
pub use reply::Health;
pub use reply::Outcome;
pub use reply::Reply;
pub use reply::Status;

use crate::ids;

/// Header with the id of one call; the reply echoes it.
pub const REQUEST_ID: &str = "Request-Id";
/// Header with the time left, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// Header with the index version, asked for and echoed.
pub const INDEX_VERSION: &str = "Index-Version";
/// Header with the layout's version, asked for and echoed.
pub const LAYOUT_VERSION: &str = "Layout-Version";
/// Reply header with the shard that was searched.
pub const SHARD: &str = "Shard";
/// Reply header with the oldest index version still offered.
pub const INDEX_OLDEST: &str = "Index-Oldest";
/// Reply header with the newest index version offered.
pub const INDEX_NEWEST: &str = "Index-Newest";
/// Header with the caller's idempotency key, for the upstream's own records.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// One search of one shard.
#[derive(Debug, Clone)]
pub struct Search {
    /// Names this call at the upstream; never used for another.
    pub id: String,
    /// The shard.
    pub shard: ids::Shard,
    /// Time left, which the upstream is told in whole milliseconds.
    pub time_left: std::time::Duration,
    /// The index version wanted; the upstream's newest where `None`.
    pub index_version: Option<ids::IndexVersion>,
    /// The layout that the shard is of.
    pub layout: ids::LayoutVersion,
    /// The query, as the upstream reads it.
    pub body: bytes::Bytes,
}

/// One record for one shard.
#[derive(Debug, Clone)]
pub struct Record {
    /// Names this call at the upstream; never used for another.
    pub id: String,
    /// The shard.
    pub shard: ids::Shard,
    /// Time left, which the upstream is told in whole milliseconds.
    pub time_left: std::time::Duration,
    /// The layout that the shard is of.
    pub layout: ids::LayoutVersion,
    /// The caller's idempotency key.
    pub key: String,
    /// The record, as JSON.
    pub body: bytes::Bytes,
}

/// The id of a call at an upstream. Attempts are numbered by each VM, so the
/// caller's request alone would name two calls where a hedge runs beside it.
pub fn call_id(request: &str, vm: &ids::Vm, attempt: u64) -> String {
    format!("{request}.{vm}.{attempt}")
}

#[cfg(test)]
mod tests;
