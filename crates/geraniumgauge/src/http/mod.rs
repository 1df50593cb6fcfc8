//! HTTP interface of a VM, with separate servers for callers and operators.
//!
//! Both run on rocket, whose shutdown closes the listener and then immediately all
//! idle keep-alive connections. A caller that writes to such a connection at that
//! moment loses its request. So a stopping VM first sends `Connection: close` with
//! its answers (see [`Gate`]) and shuts rocket down once no request is running.

mod body;
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

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body.
    pub body: rate::Bytes,
    /// Largest size of all request bodies together; further ones are refused.
    pub bodies: rate::Bytes,
    /// Largest `query` value in a body.
    pub query: rate::Bytes,
    /// Largest size of all headers together.
    pub headers: rate::Bytes,
    /// Largest number of concurrent requests; further ones are refused.
    pub requests: u32,
    /// Largest number of hits that a caller may ask for.
    pub hits: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: rate::Bytes(256 << 10),
            bodies: rate::Bytes(64 << 20),
            query: rate::Bytes(64 << 10),
            headers: rate::Bytes(16 << 10),
            requests: 2048,
            hits: 1000,
        }
    }
}

/// Handler of the requests that the servers receive.
#[async_trait::async_trait]
pub trait Backend: Send + Sync + 'static {
    /// Answers a search.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    async fn search(&self, search: query::Search) -> Result<query::Answer, query::Refusal>;

    /// Runs a registration.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal>;

    /// Returns what the ledger has stored for a key, such as its state, as JSON.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    async fn key_status(
        &self,
        service: ids::Service,
        key: ids::Key,
    ) -> Result<serde_json::Value, query::Refusal>;

    /// Returns the reason why this VM is not ready for requests; `None` if it is.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the response body of `/metrics`.
    fn metrics(&self) -> Result<String, crate::metrics::Error>;

    /// Returns a new, unique request id.
    fn request_id(&self) -> ids::Request;
}

/// A backend shared by the servers.
pub type Shared = sync::Arc<dyn Backend>;

#[cfg(test)]
mod tests;
