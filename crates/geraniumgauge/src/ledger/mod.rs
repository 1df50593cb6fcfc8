//! Registrations: at most once.

use std::time;

use crate::ids;

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
#[derive(Debug, Clone, serde::Serialize)]
pub struct Done {
    /// The caller's request.
    pub request_id: ids::Request,
    /// Always `done`.
    pub outcome: &'static str,
    /// The upstream's result.
    pub result: Box<serde_json::value::RawValue>,
}
