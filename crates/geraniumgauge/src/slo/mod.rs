//! Service-level indicators and their burn.

use crate::ids;
use crate::query;

/// What became of one request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The service.
    pub service: ids::Service,
    /// Answered, and before its deadline.
    pub in_time: bool,
    /// Answered with every shard covered.
    pub complete: bool,
    /// Refused.
    pub refused: bool,
    /// Missing shards by reason.
    pub missing: Vec<(query::Reason, u64)>,
    /// Shard calls that were first attempts.
    pub first_attempts: u64,
    /// Shard calls beyond these: hedges, retries, restarts, canaries sent twice.
    pub extra_attempts: u64,
}

/// Takes the events of callers' requests. Must not block.
pub trait Record: Send + Sync {
    /// Counts one request.
    fn record(&self, event: &Event);
}
