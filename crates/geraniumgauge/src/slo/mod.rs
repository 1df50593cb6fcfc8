//! Service-level indicators and their burn.
//!
//! Entries record what became of each request; the counts go to the store,
//! where `geraniumgauge burn` reads them.

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
pub use report::FAST;
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
