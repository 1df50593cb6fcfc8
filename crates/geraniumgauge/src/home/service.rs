//! The homes of one VM: takes calls from coordinators, follows view and layouts.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::metrics;
use tokio::sync::watch;

use super::guard;
use super::instruments;
use super::outbox;
use super::placement;
use super::state;
use super::worker;
use crate::document;
use crate::home;
use crate::ids;
use crate::layout;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::time::Clock;
use crate::timer;

/// Interval at which documents and layouts are checked for changes.
const RECONCILE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval at which a stopping VM checks whether its calls have ended.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Identity and mode of this VM.
#[derive(Debug, Clone)]
pub struct Config {
    /// The VM's name.
    pub vm: ids::Vm,
    /// The data centre that the VM runs in.
    pub data_centre: ids::DataCentre,
    /// Set in the baseline for measurements, where every VM calls all upstreams itself.
    pub direct: bool,
}

/// All homes on this VM; clones share them.
#[derive(Clone)]
pub struct Service {
    inner: sync::Arc<Inner>,
}

type Workers = collections::HashMap<ids::Upstream, sync::Arc<worker::Worker>>;

struct Inner {
    config: Config,
    catalog: document::Catalog,
    view: watch::Receiver<member::SharedView>,
    placement: placement::Cache,
    context: sync::Arc<worker::Context>,
    sender: sync::Arc<dyn mesh::Sender>,
    workers: sync::RwLock<Workers>,
    /// Workers of upstreams whose layout entry has changed, kept until they are idle.
    retired: sync::Mutex<Vec<sync::Arc<worker::Worker>>>,
    leaving: atomic::AtomicBool,
}

impl Service {
    /// Starts the homes of the VM that `config` names.
    #[expect(
        clippy::too_many_arguments,
        reason = "the daemon passes each dependency once"
    )]
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        view: watch::Receiver<member::SharedView>,
        sender: sync::Arc<dyn mesh::Sender>,
        guard: sync::Arc<dyn home::Guard>,
        clock: Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let outbox = sync::Arc::new(outbox::Outbox::new(
            sync::Arc::clone(&sender),
            timer.clone(),
        ));
        tokio::spawn(sync::Arc::clone(&outbox).run());
        let context = worker::Context {
            clock,
            timer,
            outbox,
            instruments: instruments::Instruments::new(meter),
            calls: worker::Calls::default(),
            guard: guard::Handle((!config.direct).then_some(guard)),
        };
        let placement = match config.direct {
            true => placement::Cache::direct(),
            false => placement::Cache::default(),
        };
        let inner = sync::Arc::new(Inner {
            config,
            catalog,
            view,
            placement,
            context: sync::Arc::new(context),
            sender,
            workers: sync::RwLock::default(),
            retired: sync::Mutex::default(),
            leaving: atomic::AtomicBool::new(false),
        });
        tokio::spawn(run(sync::Arc::clone(&inner)));
        Self { inner }
    }

    /// Takes the shard calls of one query; each gets one reply.
    pub fn batch(&self, from: &ids::Vm, mut batch: message::Batch) {
        let calls = std::mem::take(&mut batch.calls);
        let service = batch.service.parse().ok();
        let now = self.inner.context.clock.now();
        let deadline = now + time::Duration::from_micros(batch.time_left_us);
        let batch = sync::Arc::new(batch);
        for call in calls {
            let kind = call.kind();
            let (Ok(upstream), Ok(shard)) = (call.upstream.parse(), call.shard.parse()) else {
                log::warn!("dropping a call from {from}: invalid upstream or shard name");
                continue;
            };
            let job = state::Job {
                id: state::Id {
                    coordinator: from.clone(),
                    attempt: call.attempt,
                },
                upstream,
                kind,
                deadline,
                arrived: now,
                work: state::Work::Search {
                    batch: sync::Arc::clone(&batch),
                    shard,
                },
            };
            self.inner.call(service.as_ref(), job);
        }
    }

    /// Takes a record, which is sent at most once; it gets one reply.
    pub fn record(&self, from: &ids::Vm, record: message::Record) {
        let (Ok(upstream), Ok(shard)) = (record.upstream.parse(), record.shard.parse()) else {
            log::warn!("dropping a record from {from}: invalid upstream or shard name");
            return;
        };
        let service = record.service.parse().ok();
        let now = self.inner.context.clock.now();
        let job = state::Job {
            id: state::Id {
                coordinator: from.clone(),
                attempt: record.attempt,
            },
            upstream,
            kind: if record.trial {
                message::Kind::Trial
            } else {
                message::Kind::First
            },
            deadline: now + time::Duration::from_micros(record.time_left_us),
            arrived: now,
            work: state::Work::Record {
                record: sync::Arc::new(record),
                shard,
            },
        };
        self.inner.call(service.as_ref(), job);
    }

    /// Cancels calls of `from` that are no longer wanted.
    pub fn cancel(&self, from: &ids::Vm, cancel: message::Cancel) {
        for attempt in cancel.attempts {
            let id = state::Id {
                coordinator: from.clone(),
                attempt,
            };
            if let Some(worker) = self.inner.context.calls.get(&id) {
                worker.handle(state::Event::Cancel(id));
            }
        }
    }

    /// Answers when upstreams last answered this VM, and checks those that it takes as
    /// down.
    pub fn inquiry(&self, from: &ids::Vm, inquiry: message::Inquiry) {
        let now = self.inner.context.clock.now();
        let names = inquiry
            .upstreams
            .iter()
            .filter_map(|name| name.parse().ok());
        let answered = names.filter_map(|upstream: ids::Upstream| {
            let worker = self.inner.read().get(&upstream).cloned()?;
            let answered = worker.read(state::State::latest_answered_send);
            worker.handle(state::Event::Inquiry);
            Some(message::Answered {
                upstream: upstream.to_string(),
                age_us: crate::time::micros(now.since(answered?)),
            })
        });
        let report = message::Report {
            service: inquiry.service,
            asked_us: inquiry.asked_us,
            answered: answered.collect(),
        };
        if let Err(error) = self.inner.sender.send(from, message::Body::Report(report)) {
            log::debug!("failed to report to {from} when upstreams last answered: {error}");
        }
    }

    /// Drops the calls of `vm` after the mesh link to it was lost.
    pub fn link_lost(&self, vm: &ids::Vm) {
        self.inner.context.calls.remove_calls_of(vm);
        for worker in self.inner.all() {
            worker.handle(state::Event::CoordinatorLost(vm.clone()));
        }
    }

    /// Refuses new and waiting calls from now on; running calls go on.
    pub fn leave(&self) {
        self.inner.leaving.store(true, atomic::Ordering::SeqCst);
        for worker in self.inner.all() {
            worker.handle(state::Event::Leave);
        }
    }

    /// Waits until every running call has ended and every answer is sent.
    pub async fn drained(&self) {
        let mut ticks = self
            .inner
            .context
            .timer
            .every(DRAIN_CHECK_INTERVAL, time::Duration::ZERO);
        while !self.inner.is_idle() {
            if ticks.tick().await.is_none() {
                return;
            }
        }
    }
}

impl Inner {
    fn read(&self) -> sync::RwLockReadGuard<'_, Workers> {
        self.workers
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn write(&self) -> sync::RwLockWriteGuard<'_, Workers> {
        self.workers
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn retired(&self) -> sync::MutexGuard<'_, Vec<sync::Arc<worker::Worker>>> {
        self.retired
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns all workers, including retired ones.
    fn all(&self) -> Vec<sync::Arc<worker::Worker>> {
        let present: Vec<_> = self.read().values().cloned().collect();
        let retired = self.retired().clone();
        present.into_iter().chain(retired).collect()
    }

    fn is_idle(&self) -> bool {
        let idle = |worker: &sync::Arc<worker::Worker>| worker.read(state::State::is_idle);
        self.all().iter().all(idle) && self.context.outbox.is_empty()
    }

    fn call(&self, service: Option<&ids::Service>, job: state::Job) {
        let known = self.read().get(&job.upstream).cloned();
        let worker = match known {
            Some(worker) => Ok(worker),
            None => self.start_worker(service, &job.upstream),
        };
        match worker {
            Ok(worker) => {
                self.context.calls.insert(job.id.clone(), &worker);
                worker.handle(state::Event::Call(job));
            }
            Err(outcome) => self.context.outbox.push(state::Answer {
                job,
                outcome,
                reply: None,
                queued: time::Duration::ZERO,
                ran: time::Duration::ZERO,
                retry_after: time::Duration::ZERO,
            }),
        }
    }

    /// Starts the worker of an upstream that has none. Returns the outcome to answer
    /// with if this VM is no home of the upstream or doesn't know it.
    fn start_worker(
        &self,
        service: Option<&ids::Service>,
        upstream: &ids::Upstream,
    ) -> Result<sync::Arc<worker::Worker>, message::Outcome> {
        let in_force = service.and_then(|service| Some((service, self.catalog.get(service)?)));
        let (service, in_force) = in_force.ok_or(message::Outcome::Unreachable)?;
        let upstream = in_force.layout.upstream(upstream);
        let upstream = upstream.ok_or(message::Outcome::Unreachable)?;
        let role = self.role(service, upstream);
        role.ok_or(message::Outcome::NotHome)?;
        Ok(self.worker_or_start(upstream, role))
    }

    fn role(&self, service: &ids::Service, upstream: &layout::Upstream) -> Option<placement::Role> {
        let view = sync::Arc::clone(&self.view.borrow());
        self.placement
            .role(&view, upstream, service, &self.config.vm)
    }

    /// Returns the upstream's worker, which is started if there is none.
    fn worker_or_start(
        &self,
        upstream: &layout::Upstream,
        role: Option<placement::Role>,
    ) -> sync::Arc<worker::Worker> {
        let mut workers = self.write();
        if let Some(worker) = workers.get(&upstream.id) {
            return sync::Arc::clone(worker);
        }
        let now = self.context.clock.now();
        let state = state::State::new(upstream.clone(), role, now);
        let context = sync::Arc::clone(&self.context);
        let worker = worker::Worker::start(state, context);
        workers.insert(upstream.id.clone(), sync::Arc::clone(&worker));
        drop(workers);
        if self.leaving.load(atomic::Ordering::SeqCst) {
            worker.handle(state::Event::Leave);
        }
        worker
    }

    /// Brings all workers in line with the current view and layouts.
    fn reconcile(&self) {
        let mut listed = collections::HashSet::new();
        for (service, in_force) in self.catalog.all() {
            for upstream in &in_force.layout.upstreams {
                listed.insert(upstream.id.clone());
                self.reconcile_upstream(&service, upstream);
            }
        }
        let unlisted: Vec<_> = self
            .read()
            .iter()
            .filter(|(id, _)| !listed.contains(*id))
            .map(|(_, worker)| sync::Arc::clone(worker))
            .collect();
        for worker in unlisted {
            worker.handle(state::Event::Listed(false));
        }
        self.remove_finished();
        self.record_sums();
    }

    fn reconcile_upstream(&self, service: &ids::Service, upstream: &layout::Upstream) {
        let role = self.role(service, upstream);
        let present = self.read().get(&upstream.id).cloned();
        match present {
            Some(worker) if worker.read(|state| state.upstream() != upstream) => {
                self.retire(&upstream.id);
                self.worker_or_start(upstream, role);
            }
            Some(worker) if worker.read(|state| state.role() != role || !state.is_listed()) => {
                worker.handle(state::Event::Listed(true));
                worker.handle(state::Event::Role(role));
            }
            Some(_) => {}
            None if role.is_some_and(|role| role != placement::Role::Reserve) => {
                let worker = self.worker_or_start(upstream, role);
                worker.handle(state::Event::Tick);
            }
            None => {}
        }
    }

    fn retire(&self, upstream: &ids::Upstream) {
        let Some(worker) = self.write().remove(upstream) else {
            return;
        };
        worker.handle(state::Event::Listed(false));
        self.retired().push(worker);
    }

    fn remove_finished(&self) {
        let now = self.context.clock.now();
        let kept = |worker: &worker::Worker| !worker.read(|state| state.is_finished(now));
        self.write().retain(|_, worker| kept(worker));
        self.retired().retain(|worker| kept(worker));
    }

    fn record_sums(&self) {
        let mut sums = instruments::Sums::default();
        for worker in self.all() {
            worker.read(|state| {
                sums.upstreams += 1;
                sums.running += state.running() as u64;
                sums.waiting += state.waiting() as u64;
                sums.connections += state.connections() as u64;
            });
        }
        self.context.instruments.sums(sums);
    }
}

/// Calls [`Inner::reconcile`] at each interval and at each change of the view, until
/// the timer stops.
async fn run(inner: sync::Arc<Inner>) {
    let mut view = inner.view.clone();
    let mut ticks = inner
        .context
        .timer
        .every(RECONCILE_INTERVAL, time::Duration::ZERO);
    loop {
        tokio::select! {
            tick = ticks.tick() => if tick.is_none() { return },
            Ok(()) = view.changed() => {}
        }
        inner.reconcile();
    }
}
