//! Runs searches.

use std::sync;

use opentelemetry::metrics;
use tokio::sync::watch;

use crate::document;
use crate::ids;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::slo;
use crate::time;
use crate::timer;

/// How calls are placed and repeated. All but [`Policy::Full`] are baselines
/// for measurements.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display, derive_more::FromStr,
)]
pub enum Policy {
    /// Everything.
    #[default]
    Full,
    /// As `Full`, without hedges.
    NoHedge,
    /// Round robin over the replicas, no hedge, no canary or quarantine, no
    /// budgets: a not-run call is retried until the deadline.
    Direct,
}

/// Settings.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM.
    pub vm: ids::Vm,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// How calls are placed.
    pub policy: Policy,
}

/// Runs searches; cheap to clone.
#[derive(Clone)]
pub struct Service {}

impl Service {
    /// A service over what is in force and who is there.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a part that the daemon wires"
    )]
    pub fn start(
        _config: Config,
        _catalog: document::Catalog,
        _view: watch::Receiver<member::Shared>,
        _post: sync::Arc<dyn mesh::Post>,
        _book: quarantine::Service,
        _slo: sync::Arc<dyn slo::Record>,
        _clock: time::Clock,
        _timer: timer::Service,
        _meter: &metrics::Meter,
    ) -> Self {
        Self {}
    }

    /// Runs one search to its answer.
    ///
    /// # Errors
    /// A refusal with a truthful `ran`.
    pub async fn search(&self, _search: query::Search) -> Result<query::Answer, query::Refusal> {
        Err(query::Refusal::not_run(query::Code::Unavailable, "not yet"))
    }

    /// Replies from a home.
    pub fn replies(&self, _from: &ids::Vm, _replies: message::Replies) {}

    /// The link to a VM was lost.
    pub fn lost(&self, _vm: &ids::Vm) {}

    /// Searches that run now.
    pub fn running(&self) -> usize {
        0
    }
}
