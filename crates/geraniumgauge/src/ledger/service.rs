//! The ledger's service on one VM.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::metrics;
use tokio::sync::watch;

use crate::document;
use crate::ids;
use crate::ledger;
use crate::ledger::admission;
use crate::ledger::bucket;
use crate::ledger::change;
use crate::ledger::head;
use crate::ledger::instruments;
use crate::ledger::key;
use crate::ledger::limiter;
use crate::ledger::table;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::query;
use crate::rate;
use crate::slo;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Maximum number of tokens in the retry budget of a service.
const MAX_RETRY_TOKENS: f64 = 10.0;
/// The first attempt number is the incarnation (the start time in milliseconds)
/// shifted left by this. Numbers stay unique across restarts at up to a million
/// attempts per millisecond.
const ATTEMPT_BITS: u32 = 20;
/// Timeout for reading the status of one key.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Identity and location of this VM.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this VM.
    pub vm: ids::Vm,
    /// Incarnation of this VM, which differs at each start.
    pub incarnation: ids::Incarnation,
    /// Data centre of this VM.
    pub data_centre: ids::DataCentre,
}

/// Runs registrations at most once; cheap to clone.
#[derive(Clone)]
pub struct Service {
    pub(super) inner: sync::Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) config: Config,
    pub(super) catalog: document::Catalog,
    pub(super) view: watch::Receiver<member::SharedView>,
    pub(super) sender: sync::Arc<dyn mesh::Sender>,
    store: sync::Arc<dyn store::Api>,
    pub(super) admission: sync::Arc<dyn admission::Admission>,
    pub(super) slo: sync::Arc<dyn slo::Record>,
    pub(super) clock: clock::Clock,
    pub(super) timer: timer::Service,
    pub(super) instruments: instruments::Instruments,
    /// Number of the next attempt.
    next_attempt: atomic::AtomicU64,
    buckets: sync::Mutex<collections::HashMap<(ids::Service, u64), bucket::Bucket>>,
    /// Waits for homes' replies to records that this VM sent, by attempt.
    pub(super) sent_records: table::Table<message::RecordReply>,
    /// Waits for claimants' replies to registrations that this VM passed on, by attempt.
    pub(super) remote_claims: table::Table<message::Registered>,
    pub(super) limiter: limiter::Limiter,
    retry_budgets: sync::Mutex<collections::HashMap<ids::Service, rate::Budget>>,
    running: watch::Sender<u64>,
    leaving: atomic::AtomicBool,
}

/// Counts a registration as running until dropped.
pub(super) struct Running {
    service: Service,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.service
            .inner
            .running
            .send_modify(|count| *count = count.saturating_sub(1));
    }
}

impl Service {
    /// Creates the ledger's service from the documents and layouts in force and the
    /// members of the cluster. Must be called within a tokio runtime.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a dependency that the daemon supplies"
    )]
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        view: watch::Receiver<member::SharedView>,
        sender: sync::Arc<dyn mesh::Sender>,
        store: sync::Arc<dyn store::Api>,
        admission: sync::Arc<dyn admission::Admission>,
        slo: sync::Arc<dyn slo::Record>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        // A reply to an earlier incarnation of this VM must not match an attempt of
        // this one.
        let first = config.incarnation.0 << ATTEMPT_BITS;
        let inner = Inner {
            config,
            catalog,
            view,
            sender,
            store,
            admission,
            slo,
            clock,
            timer,
            instruments: instruments::Instruments::new(meter),
            next_attempt: atomic::AtomicU64::new(first),
            buckets: sync::Mutex::default(),
            sent_records: table::Table::default(),
            remote_claims: table::Table::default(),
            limiter: limiter::Limiter::default(),
            retry_budgets: sync::Mutex::default(),
            running: watch::Sender::new(0),
            leaving: atomic::AtomicBool::new(false),
        };
        Self {
            inner: sync::Arc::new(inner),
        }
    }

    /// Runs a registration, or answers it with the outcome stored in the ledger.
    /// Continues to its end even if the returned future is dropped.
    ///
    /// # Errors
    /// A refusal that states whether the registration may have run.
    pub async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        let this = self.clone();
        let running = self.count_running();
        let task = tokio::spawn(async move {
            let _running = running;
            this.coordinate(registration).await
        });
        let outcome = task.await.unwrap_or_else(|_| Err(no_outcome()));
        if let Err(refusal) = &outcome {
            self.inner.instruments.refusal(refusal);
        }
        outcome
    }

    /// Handles a registration that coordinator `from` passes to this VM as the
    /// claimant.
    pub fn receive_register(&self, from: &ids::Vm, register: message::Register) {
        let this = self.clone();
        let from = from.clone();
        let running = self.count_running();
        tokio::spawn(async move {
            let _running = running;
            let attempt = register.attempt;
            let outcome = match this.inner.leaving.load(atomic::Ordering::Acquire) {
                true => Err(stopping()),
                false => this.claim_for(register).await,
            };
            let body = message::Body::Registered(registered_reply(attempt, outcome));
            if let Err(error) = this.inner.sender.send(&from, body) {
                log::warn!("can't send the outcome of a registration to its coordinator: {error}");
            }
        });
    }

    /// Handles a claimant's reply to a registration that this VM passed to it.
    pub fn receive_registered(&self, from: &ids::Vm, registered: message::Registered) {
        let attempt = ids::Attempt(registered.attempt);
        self.inner.remote_claims.reply(from, attempt, registered);
    }

    /// Handles a home's reply to a record that this VM sent.
    pub fn receive_record_reply(&self, from: &ids::Vm, reply: message::RecordReply) {
        let attempt = ids::Attempt(reply.attempt);
        self.inner.sent_records.reply(from, attempt, reply);
    }

    /// Ends all waits for `vm`, since the link to it was lost.
    pub fn link_lost(&self, vm: &ids::Vm) {
        self.inner.sent_records.link_lost(vm);
        self.inner.remote_claims.link_lost(vm);
    }

    /// Stops accepting registrations from other VMs: coordinators whose views still
    /// list this VM are refused and claim by themselves. Accepted registrations are
    /// finished.
    pub fn leave(&self) {
        self.inner.leaving.store(true, atomic::Ordering::Release);
    }

    /// Waits until every registration has ended and every outcome is recorded.
    pub async fn drained(&self) {
        let mut running = self.inner.running.subscribe();
        let _ = running.wait_for(|count| *count == 0).await;
        let buckets: Vec<_> = self.buckets().values().cloned().collect();
        for bucket in buckets {
            bucket.drained().await;
        }
    }

    /// Returns what is recorded for a key.
    ///
    /// # Errors
    /// If the service does not exist, or the store can't be read in time.
    pub async fn status(
        &self,
        service: &ids::Service,
        key: &ids::Key,
    ) -> Result<ledger::Status, query::Refusal> {
        if self.inner.catalog.get(service).is_none() {
            return Err(unknown_service(service));
        }
        let bucket = self.bucket(service, key::bucket(key));
        match bucket.look_up(key, LOOKUP_TIMEOUT).await {
            change::Verdict::Taken(entry) => Ok(ledger::Status::of(entry)),
            change::Verdict::Paged(page) => self.status_from_page(key, &page).await,
            change::Verdict::Unrecorded | change::Verdict::Expired => {
                Ok(ledger::Status::unrecorded())
            }
            change::Verdict::Failed(reason) => {
                Err(query::Refusal::not_run(query::Code::Unavailable, reason))
            }
            _ => Ok(ledger::Status::hash_only()),
        }
    }

    /// Returns what `page` contains about a key.
    async fn status_from_page(
        &self,
        key: &ids::Key,
        page: &head::Page,
    ) -> Result<ledger::Status, query::Refusal> {
        let entry = self.entry(key, page).await;
        let entry =
            entry.map_err(|reason| query::Refusal::not_run(query::Code::Unavailable, reason))?;
        let hash_only = ledger::Status::hash_only;
        Ok(entry.map_or_else(hash_only, ledger::Status::of))
    }

    /// Reads the entry of a key from a page. Returns `None` if the page contains only
    /// its hash.
    pub(super) async fn entry(
        &self,
        key: &ids::Key,
        page: &head::Page,
    ) -> Result<Option<head::Entry>, String> {
        if page.hashes_only {
            return Ok(None);
        }
        let found = self.inner.store.get(&page.id).await;
        let body = found.map_err(|error| error.to_string())?.body;
        let mut entries: head::Entries =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        Ok(entries.remove(key))
    }

    /// Returns the handle of a bucket, whose task is started when first used.
    pub(super) fn bucket(&self, service: &ids::Service, number: u64) -> bucket::Bucket {
        let mut buckets = self.buckets();
        let bucket = buckets.entry((service.clone(), number));
        let start = || {
            bucket::Bucket::start(bucket::Context {
                vm: self.inner.config.vm.clone(),
                service: service.clone(),
                number,
                store: self.inner.store.clone(),
                clock: self.inner.clock,
                timer: self.inner.timer.clone(),
                instruments: self.inner.instruments.clone(),
                catalog: self.inner.catalog.clone(),
            })
        };
        bucket.or_insert_with(start).clone()
    }

    fn buckets(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<(ids::Service, u64), bucket::Bucket>> {
        self.inner
            .buckets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Allocates the number of a new attempt.
    pub(super) fn new_attempt(&self) -> ids::Attempt {
        ids::Attempt(
            self.inner
                .next_attempt
                .fetch_add(1, atomic::Ordering::Relaxed),
        )
    }

    /// Adds the share of one first attempt to the retry budget of `service`.
    pub(super) fn earn_retry(&self, service: &ids::Service, share: rate::Share) {
        let mut budgets = self.retry_budgets();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| rate::Budget::new(share, MAX_RETRY_TOKENS));
        budget.set(share, MAX_RETRY_TOKENS);
        budget.earn(1);
    }

    /// Spends one retry from the budget of `service`; returns false if it has none.
    pub(super) fn spend_retry(&self, service: &ids::Service) -> bool {
        let spent = self
            .retry_budgets()
            .get_mut(service)
            .is_some_and(rate::Budget::spend);
        if spent {
            self.inner.instruments.retry();
        }
        spent
    }

    fn retry_budgets(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<ids::Service, rate::Budget>> {
        self.inner
            .retry_budgets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a registration as running until the returned guard is dropped.
    pub(super) fn count_running(&self) -> Running {
        self.inner.running.send_modify(|count| *count += 1);
        Running {
            service: self.clone(),
        }
    }
}

/// The refusal of a registration whose task ended without an outcome.
fn no_outcome() -> query::Refusal {
    let text = "an internal error ended the registration; read the key's state";
    query::Refusal::unknown(query::Code::Internal, text)
}

fn stopping() -> query::Refusal {
    let text = "the VM that handles this key is stopping";
    query::Refusal::not_run(query::Code::Stopping, text)
}

pub(super) fn unknown_service(service: &ids::Service) -> query::Refusal {
    let text = format!("service {service} does not exist");
    query::Refusal::not_run(query::Code::NotFound, text)
}

/// Creates the claimant's reply to the coordinator.
fn registered_reply(
    attempt: u64,
    outcome: Result<Box<serde_json::value::RawValue>, query::Refusal>,
) -> message::Registered {
    match outcome {
        Ok(result) => message::Registered {
            attempt,
            done: true,
            body: result.get().as_bytes().to_vec().into(),
            ..message::Registered::default()
        },
        Err(refusal) => {
            let span = refusal.retry_after.unwrap_or_default();
            message::Registered {
                attempt,
                code: refusal.code.to_string(),
                message: refusal.message,
                not_run: refusal.ran == query::Ran::No,
                retry_after_ms: clock::millis(span),
                ..message::Registered::default()
            }
        }
    }
}
