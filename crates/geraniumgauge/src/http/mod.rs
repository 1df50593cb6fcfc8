//! The HTTP side of a VM: callers' requests, and operators' paths apart.
//!
//! Rocket serves both. Its own shutdown closes the listener and then idle
//! keep-alive connections at once; a caller that writes on such a connection
//! at that moment loses its request. So a stopping VM first answers for a while
//! with `Connection: close` (see [`Gate`]) and shuts rocket down when idle.

mod callers;
mod gate;
mod head;
mod operators;
mod reply;
mod server;

pub use gate::Gate;
pub use server::Error;
pub use server::Server;

use std::sync;

use crate::ids;
use crate::ledger;
use crate::query;
use crate::rate;

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body.
    pub body: rate::Bytes,
    /// Largest `query` value within it.
    pub query: rate::Bytes,
    /// All headers together.
    pub headers: rate::Bytes,
    /// Requests that run at once; more are refused.
    pub requests: u32,
    /// Most hits a caller may ask for.
    pub hits: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: rate::Bytes(256 << 10),
            query: rate::Bytes(64 << 10),
            headers: rate::Bytes(16 << 10),
            requests: 2048,
            hits: 1000,
        }
    }
}

/// What answers the requests.
#[async_trait::async_trait]
pub trait Backend: Send + Sync + 'static {
    /// Answers a search.
    ///
    /// # Errors
    /// What the caller is told instead.
    async fn search(&self, search: query::Search) -> Result<query::Answer, query::Refusal>;

    /// Runs a registration.
    ///
    /// # Errors
    /// What the caller is told instead.
    async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal>;

    /// What the ledger holds of a key, as JSON.
    ///
    /// # Errors
    /// What the caller is told instead.
    async fn record(
        &self,
        service: ids::Service,
        key: ids::Key,
    ) -> Result<serde_json::Value, query::Refusal>;

    /// Why this VM shouldn't get requests; `None` where it should.
    fn unready(&self) -> Option<String>;

    /// The figures for `/metrics`.
    fn metrics(&self) -> Result<String, crate::metrics::Error>;

    /// A request id that no other request has.
    fn request_id(&self) -> ids::Request;
}

/// A backend shared by the servers.
pub type Shared = sync::Arc<dyn Backend>;

#[cfg(test)]
mod tests;
