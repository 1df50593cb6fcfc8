//! Admits searches and hands replies to them.

use std::collections;
use std::sync;
use std::sync::atomic;

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
use crate::query::desk;
use crate::query::figures;
use crate::query::links;
use crate::query::route;
use crate::query::task;
use crate::slo;
use crate::time as clock;
use crate::timer;

/// How calls are placed and repeated. All but [`Policy::Full`] are baselines
/// for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Policy {
    /// Everything.
    #[default]
    Full,
    /// As `Full`, without hedges.
    NoHedge,
    /// Round robin over the replicas, no hedge, no canary or quarantine, no
    /// budgets and no limit below the document's: a call that failed is
    /// retried until the deadline.
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
pub struct Service {
    inner: sync::Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) config: Config,
    pub(super) post: sync::Arc<dyn mesh::Sender>,
    pub(super) book: quarantine::Service,
    pub(super) slo: sync::Arc<dyn slo::Record>,
    pub(super) clock: clock::Clock,
    pub(super) route: route::Route,
    pub(super) figures: figures::Figures,
    pub(super) catalog: document::Catalog,
    pub(super) view: watch::Receiver<member::SharedView>,
    pub(super) desks: sync::RwLock<collections::HashMap<ids::Service, sync::Arc<desk::Desk>>>,
    pub(super) homes: placement::Cache,
    pub(super) links: links::Links,
    pub(super) numbers: atomic::AtomicU64,
    pub(super) running: atomic::AtomicUsize,
}

impl Service {
    /// A service over what is in force and who is there. Call within a runtime.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a part that the daemon wires"
    )]
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        view: watch::Receiver<member::SharedView>,
        post: sync::Arc<dyn mesh::Sender>,
        book: quarantine::Service,
        slo: sync::Arc<dyn slo::Record>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let changes = book.changes();
        let homes = match config.policy {
            Policy::Direct => placement::Cache::direct(),
            Policy::Full | Policy::NoHedge => placement::Cache::default(),
        };
        let inner = Inner {
            config,
            post,
            book,
            slo,
            clock,
            route: route::Route::default(),
            figures: figures::Figures::new(meter),
            catalog,
            view,
            desks: sync::RwLock::default(),
            homes,
            links: links::Links::default(),
            numbers: atomic::AtomicU64::new(1),
            running: atomic::AtomicUsize::new(0),
        };
        let this = Self {
            inner: sync::Arc::new(inner),
        };
        tokio::spawn(this.clone().tell_marks(changes, timer));
        this
    }

    /// Runs one search to its answer. Dropping the future cancels the search.
    ///
    /// # Errors
    /// A refusal with a truthful `ran`.
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

    /// Replies from a home.
    pub fn replies(&self, from: &ids::Vm, replies: message::Replies) {
        let late = self.inner.route.replies(from, replies.replies);
        let lost = |reply: &&message::Reply| reply.outcome() == message::Outcome::Lost;
        for reply in late.iter().filter(lost) {
            self.inner.lost_late(reply);
        }
    }

    /// The link to a VM was lost.
    pub fn lost(&self, vm: &ids::Vm) {
        self.inner.links.get(vm).lost(self.inner.clock.now());
        self.inner.route.all(|| task::Input::Lost(vm.clone()));
    }

    /// Searches that run now.
    pub fn running(&self) -> usize {
        self.inner.running.load(atomic::Ordering::Relaxed)
    }

    /// A task of its own: a panic under one search ends that search only.
    async fn spawn(task: task::Task) -> Result<query::Answer, query::Refusal> {
        let handle = tasks::spawn(task.run());
        let _abort = Abort(handle.abort_handle());
        handle.await.map_err(|error| {
            log::error!("a search failed: {error}");
            let message = "a fault of this program; other requests go on";
            query::Refusal::unknown(query::Code::Internal, message)
        })
    }

    /// Running searches look at their verdict again when any mark changes, so
    /// that canaries of a request that crashed elsewhere are called back.
    async fn tell_marks(self, mut changes: watch::Receiver<u64>, timer: timer::Service) {
        loop {
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = timer.stop().cancelled() => return,
            }
            self.inner.route.all(|| task::Input::Marked);
        }
    }
}

/// Ends the search's task with its caller.
struct Abort(tasks::AbortHandle);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}
