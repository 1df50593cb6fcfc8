//! The homes of one VM: takes calls from entries, follows view and layouts.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::metrics;
use tokio::sync::watch;

use super::instruments;
use super::outbox;
use super::placement;
use super::state;
use super::worker;
use crate::document;
use crate::ids;
use crate::layout;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::time::Clock;
use crate::timer;

/// How often documents and layouts are looked at for changes.
const FOLLOW_EVERY: time::Duration = time::Duration::from_millis(500);
/// How often a stopping VM looks whether its calls have ended.
const DRAIN_EVERY: time::Duration = time::Duration::from_millis(10);

/// Who this VM is.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub vm: ids::Vm,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Every VM calls every upstream itself: a baseline for measurements.
    pub direct: bool,
}

/// The homes of this VM; clones share them.
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
    means: sync::Arc<worker::Means>,
    workers: sync::RwLock<Workers>,
    /// Workers of upstreams that have moved to another address, until idle.
    retired: sync::Mutex<Vec<sync::Arc<worker::Worker>>>,
    leaving: atomic::AtomicBool,
}

impl Service {
    /// Starts the homes of the VM `config` names.
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        view: watch::Receiver<member::SharedView>,
        post: sync::Arc<dyn mesh::Sender>,
        clock: Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let outbox = sync::Arc::new(outbox::Outbox::new(post, timer.clone()));
        tokio::spawn(sync::Arc::clone(&outbox).run());
        let means = worker::Means {
            clock,
            timer,
            outbox,
            instruments: instruments::Instruments::new(meter),
            calls: worker::Calls::default(),
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
            means: sync::Arc::new(means),
            workers: sync::RwLock::default(),
            retired: sync::Mutex::default(),
            leaving: atomic::AtomicBool::new(false),
        });
        tokio::spawn(follow(sync::Arc::clone(&inner)));
        Self { inner }
    }

    /// Shard calls of one query; each gets one reply.
    pub fn batch(&self, from: &ids::Vm, mut batch: message::Batch) {
        let calls = std::mem::take(&mut batch.calls);
        let service = batch.service.parse().ok();
        let now = self.inner.means.clock.now();
        let deadline = now + time::Duration::from_micros(batch.time_left_us);
        let batch = sync::Arc::new(batch);
        for call in calls {
            let kind = call.kind();
            let (Ok(upstream), Ok(shard)) = (call.upstream.parse(), call.shard.parse()) else {
                log::warn!("a call from {from} names no upstream or shard; dropped");
                continue;
            };
            let job = state::Job {
                id: state::Id {
                    entry: from.clone(),
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

    /// A record to be sent once; gets one reply.
    pub fn record(&self, from: &ids::Vm, record: message::Record) {
        let (Ok(upstream), Ok(shard)) = (record.upstream.parse(), record.shard.parse()) else {
            log::warn!("a record from {from} names no upstream or shard; dropped");
            return;
        };
        let service = record.service.parse().ok();
        let now = self.inner.means.clock.now();
        let job = state::Job {
            id: state::Id {
                entry: from.clone(),
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

    /// Calls that are no longer wanted.
    pub fn cancel(&self, from: &ids::Vm, cancel: message::Cancel) {
        for attempt in cancel.attempts {
            let id = state::Id {
                entry: from.clone(),
                attempt,
            };
            if let Some(worker) = self.inner.means.calls.get(&id) {
                worker.handle(state::Event::Cancel(id));
            }
        }
    }

    /// The link to `vm` is gone; its calls can't be answered.
    pub fn lost(&self, vm: &ids::Vm) {
        self.inner.means.calls.forget(vm);
        for worker in self.inner.all() {
            worker.handle(state::Event::EntryLost(vm.clone()));
        }
    }

    /// Stops taking calls; calls that run go on.
    pub fn leave(&self) {
        self.inner.leaving.store(true, atomic::Ordering::SeqCst);
        for worker in self.inner.all() {
            worker.handle(state::Event::Leave);
        }
    }

    /// Waits until every call that runs has ended and every answer is sent.
    pub async fn drained(&self) {
        let mut ticks = self
            .inner
            .means
            .timer
            .every(DRAIN_EVERY, time::Duration::ZERO);
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

    fn all(&self) -> Vec<sync::Arc<worker::Worker>> {
        let present: Vec<_> = self.read().values().cloned().collect();
        let retired = self.retired().clone();
        present.into_iter().chain(retired).collect()
    }

    fn is_idle(&self) -> bool {
        let idle = |worker: &sync::Arc<worker::Worker>| worker.read(state::State::is_idle);
        self.all().iter().all(idle) && self.means.outbox.is_empty()
    }

    fn call(&self, service: Option<&ids::Service>, job: state::Job) {
        let known = self.read().get(&job.upstream).cloned();
        let worker = match known {
            Some(worker) => Ok(worker),
            None => self.find(service, &job.upstream),
        };
        match worker {
            Ok(worker) => {
                self.means.calls.insert(job.id.clone(), &worker);
                worker.handle(state::Event::Call(job));
            }
            Err(outcome) => self.means.outbox.push(state::Answer {
                job,
                outcome,
                reply: None,
                queued: time::Duration::ZERO,
                ran: time::Duration::ZERO,
                retry_after: time::Duration::ZERO,
            }),
        }
    }

    /// The worker of an upstream that none was known for.
    fn find(
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
        Ok(self.worker(upstream, role))
    }

    fn role(&self, service: &ids::Service, upstream: &layout::Upstream) -> Option<placement::Role> {
        let view = sync::Arc::clone(&self.view.borrow());
        self.placement
            .role(&view, upstream, service, &self.config.vm)
    }

    /// The upstream's worker, which is started where there is none.
    fn worker(
        &self,
        upstream: &layout::Upstream,
        role: Option<placement::Role>,
    ) -> sync::Arc<worker::Worker> {
        let mut workers = self.write();
        if let Some(worker) = workers.get(&upstream.id) {
            return sync::Arc::clone(worker);
        }
        let now = self.means.clock.now();
        let state = state::State::new(upstream.clone(), role, now);
        let means = sync::Arc::clone(&self.means);
        let worker = worker::Worker::start(state, means);
        workers.insert(upstream.id.clone(), sync::Arc::clone(&worker));
        drop(workers);
        if self.leaving.load(atomic::Ordering::SeqCst) {
            worker.handle(state::Event::Leave);
        }
        worker
    }

    /// Brings the workers in line with view and layouts.
    fn reconcile(&self) {
        let mut listed = collections::HashSet::new();
        for (service, in_force) in self.catalog.all() {
            for upstream in &in_force.layout.upstreams {
                listed.insert(upstream.id.clone());
                self.align(&service, upstream);
            }
        }
        let gone: Vec<_> = self
            .read()
            .iter()
            .filter(|(id, _)| !listed.contains(*id))
            .map(|(_, worker)| sync::Arc::clone(worker))
            .collect();
        for worker in gone {
            worker.handle(state::Event::Listed(false));
        }
        self.drop_finished();
        self.measure();
    }

    fn align(&self, service: &ids::Service, upstream: &layout::Upstream) {
        let role = self.role(service, upstream);
        let present = self.read().get(&upstream.id).cloned();
        match present {
            Some(worker) if worker.read(|state| state.upstream() != upstream) => {
                self.retire(&upstream.id);
                self.worker(upstream, role);
            }
            Some(worker) if worker.read(|state| state.role() != role || !state.is_listed()) => {
                worker.handle(state::Event::Listed(true));
                worker.handle(state::Event::Role(role));
            }
            Some(_) => {}
            None if role.is_some_and(|role| role != placement::Role::Next) => {
                let worker = self.worker(upstream, role);
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

    fn drop_finished(&self) {
        let now = self.means.clock.now();
        let kept = |worker: &worker::Worker| !worker.read(|state| state.is_over(now));
        self.write().retain(|_, worker| kept(worker));
        self.retired().retain(|worker| kept(worker));
    }

    fn measure(&self) {
        let mut sums = instruments::Sums::default();
        for worker in self.all() {
            worker.read(|state| {
                sums.upstreams += 1;
                sums.running += state.running() as u64;
                sums.waiting += state.waiting() as u64;
                sums.connections += state.connections() as u64;
            });
        }
        self.means.instruments.sums(sums);
    }
}

async fn follow(inner: sync::Arc<Inner>) {
    let mut view = inner.view.clone();
    let mut ticks = inner.means.timer.every(FOLLOW_EVERY, time::Duration::ZERO);
    loop {
        tokio::select! {
            tick = ticks.tick() => if tick.is_none() { return },
            Ok(()) = view.changed() => {}
        }
        inner.reconcile();
    }
}
