//! Service-level indicators and burn rates.
//!
//! Coordinators record the result of each request. The counts are delivered to the
//! store, from which `geraniumgauge burn` makes its report.

mod counts;
mod instruments;
mod object;
mod page;
mod report;
mod series;
mod service;

pub use counts::Counts;
pub use page::Error as PageError;
pub use page::page;
pub use page::plot;
pub use report::FAST_BURN_RATE;
pub use report::Indicator;
pub use report::Missing;
pub use report::Report;
pub use report::WINDOWS;
pub use report::Window;
pub use report::burn;
pub use report::report;
pub use series::Series;
pub use service::Config;
pub use service::Service;

use crate::ids;
use crate::query;

/// Result of one request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The service.
    pub service: ids::Service,
    /// Set if the request was answered before its deadline.
    pub in_time: bool,
    /// Set if the answer covered every shard.
    pub complete: bool,
    /// Set if the request was refused.
    pub refused: bool,
    /// Number of missing shards by reason.
    pub missing: Vec<(query::Reason, u64)>,
    /// Number of shard calls that were first attempts.
    pub first_attempts: u64,
    /// Number of other shard calls: hedges, retries, restarts and repeated canaries.
    pub extra_attempts: u64,
}

/// Records the results of callers' requests. Implementations must not block.
pub trait Record: Send + Sync {
    /// Records one request.
    fn record(&self, event: &Event);
}
