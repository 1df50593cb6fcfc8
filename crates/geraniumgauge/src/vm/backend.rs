//! Answers HTTP requests from the duties.

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

/// Joins the duties for [`http::Server`].
pub(super) struct Backend {
    duties: sync::Arc<vm::Duties>,
    gate: http::Gate,
    ready: watch::Receiver<bool>,
    prefix: String,
    next: atomic::AtomicU64,
}

impl Backend {
    pub(super) fn new(
        config: &vm::Config,
        duties: &sync::Arc<vm::Duties>,
        gate: http::Gate,
        clock: Clock,
    ) -> Self {
        Self {
            duties: sync::Arc::clone(duties),
            gate,
            ready: duties.document.ready(),
            // The start's time keeps ids apart over restarts under one name.
            prefix: format!("{}-{:x}", config.vm, clock.wall().0),
            next: atomic::AtomicU64::new(0),
        }
    }
}

#[async_trait::async_trait]
impl http::Backend for Backend {
    async fn search(&self, search: query::Search) -> Result<query::Answer, query::Refusal> {
        self.duties.query.search(search).await
    }

    async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        self.duties.ledger.register(registration).await
    }

    async fn record(
        &self,
        service: ids::Service,
        key: ids::Key,
    ) -> Result<serde_json::Value, query::Refusal> {
        let state = self.duties.ledger.state(&service, &key).await?;
        let unwritten = |error: serde_json::Error| {
            query::Refusal::unknown(query::Code::Internal, error.to_string())
        };
        serde_json::to_value(state).map_err(unwritten)
    }

    fn unready_reason(&self) -> Option<String> {
        if self.gate.is_stopping() {
            return Some("stopping".to_owned());
        }
        let ready = *self.ready.borrow();
        (!ready).then(|| "starting: the accepted documents aren't here yet".to_owned())
    }

    fn metrics(&self) -> Result<String, metrics::Error> {
        self.duties.metrics.text()
    }

    fn request_id(&self) -> ids::Request {
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let text = format!("{}-{number:x}", self.prefix);
        text.parse().unwrap_or_else(|_| fallback(number))
    }
}

/// An id without the VM's name, for names so long that the id exceeds its limit.
fn fallback(number: u64) -> ids::Request {
    let text = format!("r-{:x}-{number:x}", rand::random::<u64>());
    #[expect(
        clippy::expect_used,
        reason = "hexadecimal digits and dashes are an identifier"
    )]
    text.parse().expect("a valid request id")
}
