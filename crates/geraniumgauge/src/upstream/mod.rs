//! The adapter to upstream servers: the only module that knows their HTTP API.

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

/// Header with the id of a call; the reply echoes it.
pub const REQUEST_ID: &str = "Request-Id";
/// Header with the milliseconds left until the caller's deadline.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// Header with the requested index version; the reply echoes it.
pub const INDEX_VERSION: &str = "Index-Version";
/// Header with the requested layout version; the reply echoes it.
pub const LAYOUT_VERSION: &str = "Layout-Version";
/// Reply header with the shard that was searched.
pub const SHARD: &str = "Shard";
/// Reply header with the oldest index version that can be searched.
pub const INDEX_OLDEST: &str = "Index-Oldest";
/// Reply header with the newest index version that can be searched.
pub const INDEX_NEWEST: &str = "Index-Newest";
/// Header with the caller's idempotency key, for the upstream's own records.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// A call that searches one shard.
#[derive(Debug, Clone)]
pub struct Search {
    /// The id of this call, from [`call_id`]; unique among all calls.
    pub id: String,
    /// The shard to call.
    pub shard: ids::Shard,
    /// Time left until the deadline; sent in whole milliseconds.
    pub time_left: std::time::Duration,
    /// The index version to search; `None` for the upstream's newest.
    pub index_version: Option<ids::IndexVersion>,
    /// The layout that the shard belongs to.
    pub layout: ids::LayoutVersion,
    /// The query, in the upstream's format.
    pub body: bytes::Bytes,
}

/// A call that writes one record to one shard.
#[derive(Debug, Clone)]
pub struct Record {
    /// The id of this call, from [`call_id`]; unique among all calls.
    pub id: String,
    /// The shard to call.
    pub shard: ids::Shard,
    /// Time left until the deadline; sent in whole milliseconds.
    pub time_left: std::time::Duration,
    /// The layout that the shard belongs to.
    pub layout: ids::LayoutVersion,
    /// The caller's idempotency key.
    pub key: String,
    /// The record, as JSON.
    pub body: bytes::Bytes,
}

/// Returns the id of a call. It contains the VM and the attempt, since several
/// calls may run for one caller's request at the same time, such as a hedge, and
/// each VM numbers its own attempts.
pub fn call_id(request: &str, vm: &ids::Vm, attempt: u64) -> String {
    format!("{request}.{vm}.{attempt}")
}

#[cfg(test)]
mod tests;
