//! Backend of the HTTP servers on top of the VM's components.

use std::sync;
use std::sync::atomic;

use tokio::sync::watch;

use crate::http;
use crate::ids;
use crate::ledger;
use crate::metrics;
use crate::query;
use crate::time::Clock;
use crate::vm;

/// Implementation of [`http::Backend`] that calls the VM's components.
pub(super) struct Backend {
    components: sync::Arc<vm::Components>,
    gate: http::Gate,
    ready: watch::Receiver<bool>,
    /// First part of the request ids.
    id_prefix: String,
    /// Number of the next request id.
    next_id: atomic::AtomicU64,
}

impl Backend {
    pub(super) fn new(
        config: &vm::Config,
        components: &sync::Arc<vm::Components>,
        gate: http::Gate,
        clock: Clock,
    ) -> Self {
        Self {
            components: sync::Arc::clone(components),
            gate,
            ready: components.document.ready(),
            // The start time keeps ids unique when a VM of the same name restarts.
            id_prefix: format!("{}-{:x}", config.vm, clock.wall().0),
            next_id: atomic::AtomicU64::new(0),
        }
    }
}

#[async_trait::async_trait]
impl http::Backend for Backend {
    async fn search(&self, search: query::Search) -> Result<query::Answer, query::Refusal> {
        self.components.query.search(search).await
    }

    async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        self.components.ledger.register(registration).await
    }

    async fn key_status(
        &self,
        service: ids::Service,
        key: ids::Key,
    ) -> Result<serde_json::Value, query::Refusal> {
        let state = self.components.ledger.status(&service, &key).await?;
        let unserializable = |error: serde_json::Error| {
            query::Refusal::unknown(query::Code::Internal, error.to_string())
        };
        serde_json::to_value(state).map_err(unserializable)
    }

    fn unready_reason(&self) -> Option<String> {
        if self.gate.is_stopping() {
            return Some("stopping".to_owned());
        }
        let ready = *self.ready.borrow();
        (!ready).then(|| "starting: the accepted documents aren't loaded yet".to_owned())
    }

    fn metrics(&self) -> Result<String, metrics::Error> {
        self.components.metrics.text()
    }

    fn request_id(&self) -> ids::Request {
        let number = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let text = format!("{}-{number:x}", self.id_prefix);
        text.parse().unwrap_or_else(|_| id_without_name(number))
    }
}

/// Returns a request id without the VM's name, for names so long that the id would
/// exceed its limit.
fn id_without_name(number: u64) -> ids::Request {
    let text = format!("r-{:x}-{number:x}", rand::random::<u64>());
    #[expect(
        clippy::expect_used,
        reason = "hexadecimal digits and dashes are an identifier"
    )]
    text.parse().expect("a valid request id")
}
