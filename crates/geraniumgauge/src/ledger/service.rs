//! The handle of the ledger on one VM.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::metrics;
use tokio::sync::watch;

use crate::document;
use crate::ids;
use crate::ledger;
use crate::ledger::admit;
use crate::ledger::book;
use crate::ledger::bucket;
use crate::ledger::change;
use crate::ledger::head;
use crate::ledger::key;
use crate::ledger::meter;
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

/// Tokens a service's retry budget holds at most.
const RETRY_CAP: f64 = 10.0;
/// Attempts are numbered from the incarnation, in milliseconds, shifted by this:
/// a start that makes fewer than a million a millisecond repeats no number.
const ATTEMPT_BITS: u32 = 20;
/// Longest read of one key's state.
const LOOK: time::Duration = time::Duration::from_secs(2);

/// Settings.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM.
    pub vm: ids::Vm,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
    /// Where it runs.
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
    pub(super) post: sync::Arc<dyn mesh::Sender>,
    store: sync::Arc<dyn store::Api>,
    pub(super) book: sync::Arc<dyn book::Book>,
    pub(super) slo: sync::Arc<dyn slo::Record>,
    pub(super) clock: clock::Clock,
    pub(super) timer: timer::Service,
    pub(super) meter: meter::Meter,
    attempts: atomic::AtomicU64,
    buckets: sync::Mutex<collections::HashMap<(ids::Service, u64), bucket::Bucket>>,
    pub(super) records: table::Table<message::RecordReply>,
    pub(super) handed: table::Table<message::Registered>,
    pub(super) admission: admit::Admission,
    retries: sync::Mutex<collections::HashMap<ids::Service, rate::Budget>>,
    running: watch::Sender<u64>,
    leaving: atomic::AtomicBool,
}

/// A registration counted as running, until dropped.
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
    /// A ledger over what is in force and who is there. Call within a runtime.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a part that the daemon wires"
    )]
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        view: watch::Receiver<member::SharedView>,
        post: sync::Arc<dyn mesh::Sender>,
        store: sync::Arc<dyn store::Api>,
        book: sync::Arc<dyn book::Book>,
        slo: sync::Arc<dyn slo::Record>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        // Replies to an earlier start of this VM must fit no attempt of this one.
        let first = config.incarnation.0 << ATTEMPT_BITS;
        let inner = Inner {
            config,
            catalog,
            view,
            post,
            store,
            book,
            slo,
            clock,
            timer,
            meter: meter::Meter::new(meter),
            attempts: atomic::AtomicU64::new(first),
            buckets: sync::Mutex::default(),
            records: table::Table::default(),
            handed: table::Table::default(),
            admission: admit::Admission::default(),
            retries: sync::Mutex::default(),
            running: watch::Sender::new(0),
            leaving: atomic::AtomicBool::new(false),
        };
        Self {
            inner: sync::Arc::new(inner),
        }
    }

    /// Runs a registration, or answers it from the record. Goes on to its end
    /// when the caller is gone.
    ///
    /// # Errors
    /// A refusal that states whether the registration may have run.
    pub async fn register(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        let this = self.clone();
        let running = self.run();
        let task = tokio::spawn(async move {
            let _running = running;
            this.enter(registration).await
        });
        let told = task.await.unwrap_or_else(|_| Err(fault()));
        if let Err(refusal) = &told {
            self.inner.meter.refusal(refusal);
        }
        told
    }

    /// Another VM's entry hands over a registration for a bucket of this VM.
    pub fn handed(&self, from: &ids::Vm, register: message::Register) {
        let this = self.clone();
        let from = from.clone();
        let running = self.run();
        tokio::spawn(async move {
            let _running = running;
            let attempt = register.attempt;
            let told = match this.inner.leaving.load(atomic::Ordering::Acquire) {
                true => Err(stopping()),
                false => this.claim_for(register).await,
            };
            let body = message::Body::Registered(registered(attempt, told));
            if let Err(error) = this.inner.post.send(&from, body) {
                log::warn!("the end of a registration can't be told: {error}");
            }
        });
    }

    /// A claimant has ended a registration that this VM handed over.
    pub fn registered(&self, from: &ids::Vm, registered: message::Registered) {
        let attempt = ids::Attempt(registered.attempt);
        self.inner.handed.answer(from, attempt, registered);
    }

    /// A home tells what became of a record.
    pub fn record_reply(&self, from: &ids::Vm, reply: message::RecordReply) {
        let attempt = ids::Attempt(reply.attempt);
        self.inner.records.answer(from, attempt, reply);
    }

    /// The link to `vm` was lost.
    pub fn lost(&self, vm: &ids::Vm) {
        self.inner.records.lost(vm);
        self.inner.handed.lost(vm);
    }

    /// This VM is stopping: entries whose views lag are told to claim by
    /// themselves. What is here already is finished.
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

    /// What is recorded of a key.
    ///
    /// # Errors
    /// Where the store can't be read in time.
    pub async fn state(
        &self,
        service: &ids::Service,
        key: &ids::Key,
    ) -> Result<ledger::Standing, query::Refusal> {
        if self.inner.catalog.get(service).is_none() {
            return Err(unknown_service(service));
        }
        let bucket = self.bucket(service, key::slot(key));
        match bucket.look(key, LOOK).await {
            change::Verdict::Taken(entry) => Ok(ledger::Standing::of(entry)),
            change::Verdict::Paged(page) => self.paged(key, &page).await,
            change::Verdict::Unseen | change::Verdict::Expired => Ok(ledger::Standing::unseen()),
            change::Verdict::Failed(reason) => {
                Err(query::Refusal::not_run(query::Code::Unavailable, reason))
            }
            _ => Ok(ledger::Standing::forgotten()),
        }
    }

    async fn paged(
        &self,
        key: &ids::Key,
        page: &head::Page,
    ) -> Result<ledger::Standing, query::Refusal> {
        let entry = self.entry(key, page).await;
        let entry =
            entry.map_err(|reason| query::Refusal::not_run(query::Code::Unavailable, reason))?;
        let forgotten = ledger::Standing::forgotten;
        Ok(entry.map_or_else(forgotten, ledger::Standing::of))
    }

    /// The entry of a key in a page; `None` where the page has its hash only.
    pub(super) async fn entry(
        &self,
        key: &ids::Key,
        page: &head::Page,
    ) -> Result<Option<head::Entry>, String> {
        if page.hashes {
            return Ok(None);
        }
        let found = self.inner.store.get(&page.id).await;
        let body = found.map_err(|error| error.to_string())?.body;
        let mut entries: head::Entries =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        Ok(entries.remove(key))
    }

    /// The task of a bucket, started when first needed.
    pub(super) fn bucket(&self, service: &ids::Service, slot: u64) -> bucket::Bucket {
        let mut buckets = self.buckets();
        let bucket = buckets.entry((service.clone(), slot));
        let start = || {
            bucket::Bucket::start(bucket::Parts {
                vm: self.inner.config.vm.clone(),
                service: service.clone(),
                slot,
                store: self.inner.store.clone(),
                clock: self.inner.clock,
                timer: self.inner.timer.clone(),
                meter: self.inner.meter.clone(),
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

    pub(super) fn attempt(&self) -> ids::Attempt {
        ids::Attempt(self.inner.attempts.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Earns for one first attempt.
    pub(super) fn earn(&self, service: &ids::Service, share: rate::Share) {
        let mut retries = self.retries();
        let budget = retries
            .entry(service.clone())
            .or_insert_with(|| rate::Budget::new(share, RETRY_CAP));
        budget.set(share, RETRY_CAP);
        budget.earn(1);
    }

    /// Pays for one retry.
    pub(super) fn pay(&self, service: &ids::Service) -> bool {
        let paid = self
            .retries()
            .get_mut(service)
            .is_some_and(rate::Budget::spend);
        if paid {
            self.inner.meter.retry();
        }
        paid
    }

    fn retries(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::Service, rate::Budget>> {
        self.inner
            .retries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(super) fn run(&self) -> Running {
        self.inner.running.send_modify(|count| *count += 1);
        Running {
            service: self.clone(),
        }
    }
}

/// A registration whose task has ended by a fault of this program.
fn fault() -> query::Refusal {
    let text = "a fault of this program ended the registration; read the key back";
    query::Refusal::unknown(query::Code::Internal, text)
}

fn stopping() -> query::Refusal {
    let text = "the VM that claims for the key is stopping";
    query::Refusal::not_run(query::Code::Stopping, text)
}

pub(super) fn unknown_service(service: &ids::Service) -> query::Refusal {
    let text = format!("there is no service {service}");
    query::Refusal::not_run(query::Code::NotFound, text)
}

/// What a claimant tells the entry.
fn registered(
    attempt: u64,
    told: Result<Box<serde_json::value::RawValue>, query::Refusal>,
) -> message::Registered {
    match told {
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
