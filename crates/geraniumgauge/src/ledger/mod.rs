//! Registrations: at most once.
//!
//! Before anything is sent, a claim with the token of this attempt is created
//! in the store by conditional update. Who created it may send the record
//! once. A VM that was paused, a second home or a caller that sends again at
//! another VM finds the claim taken, so none of them can run it twice.
//! Nothing else is relied on: routing a key to one VM only keeps writers of a
//! bucket from meeting.

pub mod key;

mod admit;
mod book;
mod bucket;
mod change;
mod claim;
mod commit;
mod entry;
mod head;
mod meter;
mod pages;
mod plan;
mod send;
mod service;
mod standing;
mod table;
mod unsettled;
mod worker;

pub use book::Book;
pub use head::MAX_RESULT;
pub use pages::SKEW;
pub use service::Config;
pub use service::Service;
pub use standing::Standing;
pub use standing::State;
pub use unsettled::Unsettled;
pub use unsettled::unsettled;

use std::time;

use crate::ids;

/// The one outcome of a registration that is answered.
pub const DONE: &str = "done";

/// A registration as it was admitted.
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
    /// Time left; `None` for the service's default.
    pub time_left: Option<time::Duration>,
}

/// A registration that is done.
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
