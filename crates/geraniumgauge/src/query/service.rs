//! Admits searches, runs them and delivers replies to them.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::metrics;
use tokio::sync::watch;
use tokio::task as tasks;

use crate::document;
use crate::home::placement;
use crate::ids;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::query::instruments;
use crate::query::links;
use crate::query::router;
use crate::query::state;
use crate::query::task;
use crate::slo;
use crate::time as clock;
use crate::timer;

/// How replicas are chosen and calls retried or hedged. All policies but
/// [`Policy::Full`] are baselines for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Policy {
    /// Load-aware choice of replicas, canaries, quarantine, budgeted retries and
    /// hedges.
    #[default]
    Full,
    /// As `Full`, without hedges.
    NoHedge,
    /// Round robin over the replicas, no hedge, no canary or quarantine, no
    /// budgets and no limit below the document's: a call that failed is
    /// retried until the deadline.
    Direct,
}

/// Settings of the service.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this VM.
    pub vm: ids::Vm,
    /// Data centre of this VM.
    pub data_centre: ids::DataCentre,
    /// How calls are made.
    pub policy: Policy,
}

/// Runs searches. Cheap to clone.
#[derive(Clone)]
pub struct Service {
    inner: sync::Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) config: Config,
    pub(super) mesh: sync::Arc<dyn mesh::Sender>,
    pub(super) quarantine: quarantine::Service,
    pub(super) slo: sync::Arc<dyn slo::Record>,
    pub(super) clock: clock::Clock,
    pub(super) router: router::Router,
    pub(super) instruments: instruments::Instruments,
    pub(super) catalog: document::Catalog,
    pub(super) view: watch::Receiver<member::SharedView>,
    pub(super) states: sync::RwLock<collections::HashMap<ids::Service, sync::Arc<state::State>>>,
    pub(super) homes: placement::Cache,
    pub(super) links: links::Links,
    pub(super) next_search: atomic::AtomicU64,
    pub(super) running: atomic::AtomicUsize,
}

impl Service {
    /// Starts the service. Must be called within a Tokio runtime.
    #[expect(
        clippy::too_many_arguments,
        reason = "the daemon passes each dependency once"
    )]
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        view: watch::Receiver<member::SharedView>,
        mesh: sync::Arc<dyn mesh::Sender>,
        quarantine: quarantine::Service,
        slo: sync::Arc<dyn slo::Record>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let changes = quarantine.changes();
        let homes = match config.policy {
            Policy::Direct => placement::Cache::direct(),
            Policy::Full | Policy::NoHedge => placement::Cache::default(),
        };
        let inner = Inner {
            config,
            mesh,
            quarantine,
            slo,
            clock,
            router: router::Router::default(),
            instruments: instruments::Instruments::new(meter),
            catalog,
            view,
            states: sync::RwLock::default(),
            homes,
            links: links::Links::default(),
            next_search: atomic::AtomicU64::new(1),
            running: atomic::AtomicUsize::new(0),
        };
        let this = Self {
            inner: sync::Arc::new(inner),
        };
        tokio::spawn(this.clone().notify_marks(changes, timer));
        this
    }

    /// Runs one search and returns its answer. Dropping the future cancels it.
    ///
    /// # Errors
    /// Returns a refusal whose `ran` says whether the search may have run.
    pub async fn search(&self, search: query::Search) -> Result<query::Answer, query::Refusal> {
        let service = search.service.clone();
        let answer = match self.inner.admit(search) {
            Ok(task) => Self::spawn(task).await,
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = &answer {
            self.inner.refused(service, refusal);
        }
        answer
    }

    /// Delivers replies from a home.
    pub fn replies(&self, from: &ids::Vm, replies: message::Replies) {
        let late = self.inner.router.replies(from, replies.replies);
        let lost = |reply: &&message::Reply| reply.outcome() == message::Outcome::Lost;
        for reply in late.iter().filter(lost) {
            self.inner.report_late_loss(reply);
        }
    }

    /// Handles a home's answer to an inquiry.
    pub fn report(&self, report: &message::Report) {
        let service = report.service.parse().ok();
        let Some(state) = service.and_then(|service| self.inner.known_state(&service)) else {
            return;
        };
        // Sent at the inquiry at the latest: the answer may have been long under way.
        let asked = clock::Moment(report.asked_us).min(self.inner.clock.now());
        for answered in &report.answered {
            let stats = answered.upstream.parse().ok();
            let stats = stats.and_then(|upstream| state.upstreams.known_stats(&upstream));
            if let Some(stats) = stats {
                stats.record_contact(asked.before(time::Duration::from_micros(answered.age_us)));
            }
        }
    }

    /// Handles the loss of the link to a VM.
    pub fn link_lost(&self, vm: &ids::Vm) {
        self.inner.links.get(vm).record_loss(self.inner.clock.now());
        self.inner
            .router
            .broadcast(|| task::Input::LinkLost(vm.clone()));
    }

    /// Handles a link to a VM that couldn't be opened.
    pub fn link_not_opened(&self, vm: &ids::Vm) {
        self.inner.links.get(vm).record_loss(self.inner.clock.now());
        self.inner
            .router
            .broadcast(|| task::Input::LinkNotOpened(vm.clone()));
    }

    /// Returns the number of running searches.
    pub fn running(&self) -> usize {
        self.inner.running.load(atomic::Ordering::Relaxed)
    }

    /// Runs a search as its own Tokio task, so that a panic ends only that search.
    async fn spawn(task: task::Task) -> Result<query::Answer, query::Refusal> {
        let handle = tasks::spawn(task.run());
        let _abort = Abort(handle.abort_handle());
        handle.await.map_err(|error| {
            log::error!("search task failed: {error}");
            let message = "internal error; other requests are not affected";
            query::Refusal::unknown(query::Code::Internal, message)
        })
    }

    /// Makes running searches check their verdict when any quarantine mark changes,
    /// so that canaries of a request that crashed an upstream of another VM are
    /// cancelled.
    async fn notify_marks(self, mut changes: watch::Receiver<u64>, timer: timer::Service) {
        loop {
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = timer.stop().cancelled() => return,
            }
            self.inner.router.broadcast(|| task::Input::MarksChanged);
        }
    }
}

/// Aborts the search's task when the caller's future is dropped.
struct Abort(tasks::AbortHandle);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}
