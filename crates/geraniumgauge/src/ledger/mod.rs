//! Runs registrations at most once.
//!
//! Before a record is sent, a claim with the token of this attempt is created in
//! the store by conditional update. The attempt that created the claim may send
//! the record once. Whoever tries again, such as a VM that was paused, another
//! coordinator or a caller that retries at another VM, finds the claim and can't
//! run the record again. This is the only safeguard needed: assigning the keys of
//! a bucket to one VM merely avoids conflicts between writers.

pub mod key;

mod admission;
mod bucket;
mod change;
mod claim;
mod commit;
mod coordinator;
mod head;
mod instruments;
mod limiter;
mod pages;
mod plan;
mod send;
mod service;
mod status;
mod table;
mod unsettled;
mod worker;

pub use admission::Admission;
pub use head::MAX_RESULT_BYTES;
pub use pages::MAX_CLOCK_SKEW;
pub use service::Config;
pub use service::Service;
pub use status::State;
pub use status::Status;
pub use unsettled::Unsettled;
pub use unsettled::unsettled;

use std::time;

use crate::ids;

/// The outcome in the answer to a successful registration.
pub const DONE: &str = "done";

/// A registration as received from the caller.
#[derive(Debug, Clone)]
pub struct Registration {
    /// The caller's request.
    pub request: ids::Request,
    /// The service.
    pub service: ids::Service,
    /// The caller's idempotency key.
    pub key: ids::Key,
    /// The record, as the caller's JSON.
    pub body: bytes::Bytes,
    /// Time left until the deadline; `None` for the service's default.
    pub time_left: Option<time::Duration>,
}

/// The answer to a registration that has run.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Done {
    /// The caller's request.
    pub request_id: ids::Request,
    /// Always [`DONE`].
    pub outcome: &'static str,
    /// The upstream's result.
    pub result: Box<serde_json::value::RawValue>,
}

#[cfg(test)]
mod tests;
