//! Carries out the decisions of [`tracker::Tracker`]: gossip, the store and metrics.

use std::sync;
use std::sync::atomic;

use opentelemetry::KeyValue;
use opentelemetry::metrics;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::ids;
use crate::member;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::mark;
use crate::quarantine::persist;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Sends marks to all VMs, at least by gossip.
pub trait Publisher: Send + Sync {
    /// Publishes an update of [`member::Topic::Mark`]. Must not block.
    fn publish(&self, update: member::Update);

    /// Sends an update of [`member::Topic::Mark`] to one VM, if there is a direct way.
    /// Must not block.
    fn send(&self, to: &ids::Vm, update: member::Update) {
        let _ = (to, update);
    }
}

/// Settings of the quarantine service.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this VM.
    pub vm: ids::Vm,
}

/// Handle to this VM's quarantine of requests that crash upstreams. Cheap to clone.
#[derive(Clone)]
pub struct Service {
    pub(super) inner: sync::Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) config: Config,
    tracker: sync::Mutex<tracker::Tracker>,
    /// Set while there are marks, so that a lookup without any takes no lock.
    pub(super) has_marks: atomic::AtomicBool,
    pub(super) next_token: atomic::AtomicU64,
    pub(super) store: sync::Arc<dyn store::Api>,
    publisher: sync::Arc<dyn Publisher>,
    pub(super) clock: clock::Clock,
    pub(super) writes: mpsc::Sender<persist::Write>,
    changes: watch::Sender<u64>,
    published: metrics::Counter<u64>,
    pub(super) trials: metrics::Counter<u64>,
}

impl Service {
    /// Starts the tasks that read and write the store. Must be called within a tokio
    /// runtime.
    pub fn start(
        config: Config,
        store: sync::Arc<dyn store::Api>,
        publisher: sync::Arc<dyn Publisher>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let (writes, queue) = mpsc::channel(persist::MAX_QUEUED_WRITES);
        let inner = Inner {
            config,
            tracker: sync::Mutex::default(),
            has_marks: atomic::AtomicBool::new(false),
            next_token: atomic::AtomicU64::new(clock.wall().0),
            store,
            publisher,
            clock,
            writes,
            changes: watch::Sender::new(0),
            published: counter(meter, "quarantine.marks", "Marks set here, by state"),
            trials: counter(meter, "quarantine.trials", "Lone trials run here, by end"),
        };
        let this = Self {
            inner: sync::Arc::new(inner),
        };
        tokio::spawn(this.clone().reload(timer.clone()));
        tokio::spawn(this.clone().persist(queue, timer));
        this
    }

    /// Returns the verdict on a request. Takes no lock while there are no marks.
    pub fn verdict(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> quarantine::Verdict {
        if !self.inner.has_marks.load(atomic::Ordering::Acquire) {
            return quarantine::Verdict::Clear;
        }
        let wall = self.inner.clock.wall();
        self.tracker().verdict(service, fingerprint, wall)
    }

    /// Returns a counter that increases whenever any verdict may have changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    fn notify_change(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
    }

    /// Returns true if the request completed recently on this VM.
    pub fn completed_recently(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> bool {
        let now = self.inner.clock.now();
        self.tracker().completed_recently(service, fingerprint, now)
    }

    /// Returns the upstreams that may be down after a loss that some VM saw.
    pub fn down(&self) -> Vec<tracker::Down> {
        self.tracker().down(self.now())
    }

    /// Records that a connection to `upstream` was lost while it ran the request at
    /// the same time as others.
    pub fn concurrent_run_lost(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        upstream: &ids::Upstream,
    ) {
        self.connection_lost(service, fingerprint, upstream, tracker::Run::Concurrent);
    }

    /// Records that a connection to `upstream` was lost while it ran the request,
    /// as the kind of run that `run` gives.
    pub fn connection_lost(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        upstream: &ids::Upstream,
        run: tracker::Run,
    ) {
        self.handle(tracker::Event::Lost {
            service: service.clone(),
            fingerprint,
            upstream: upstream.clone(),
            run,
        });
    }

    /// Records that an upstream answered the request, which clears a suspicion. While
    /// the request is suspect this must be called only for trials, as other calls
    /// may have started before the suspicion.
    pub fn completed(&self, service: &ids::Service, fingerprint: ids::Fingerprint) {
        self.handle(tracker::Event::Completed {
            service: service.clone(),
            fingerprint,
        });
    }

    /// Handles a gossip update. Topics other than [`member::Topic::Mark`] are ignored.
    pub fn receive_update(&self, update: &member::Update) {
        if update.topic == member::Topic::Mark {
            self.receive_body(&update.body);
        }
    }

    /// Handles a mark that another VM sent directly. The caller must also pass it to
    /// [`quarantine::Broadcast::relay`].
    pub fn receive_mark(&self, mark: &message::Mark) {
        self.receive_body(&mark.body);
    }

    /// Sends the mark of a request to one VM, if there is one.
    pub fn send_mark(&self, service: &ids::Service, fingerprint: ids::Fingerprint, to: &ids::Vm) {
        let mark = self.tracker().mark(service, fingerprint).cloned();
        if let Some(mark) = mark {
            self.inner.publisher.send(to, update(&mark));
        }
    }

    /// Returns the marks in force, for operators.
    pub fn list(&self) -> Vec<quarantine::Mark> {
        self.tracker().list(self.inner.clock.wall())
    }

    fn handle(&self, event: tracker::Event) {
        let (actions, empty) = {
            let mut tracker = self.tracker();
            let actions = tracker.handle(event, self.now());
            (actions, tracker.is_empty())
        };
        self.inner
            .has_marks
            .store(!empty, atomic::Ordering::Release);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&self, action: tracker::Action) {
        let tracker::Action::Publish(mark) = action;
        self.notify_change();
        let state = KeyValue::new("state", mark.state.to_string());
        self.inner.published.add(1, &[state]);
        log::warn!(
            crashed = mark::names(&mark.crashed),
            lost = mark::names(&mark.lost),
            since_ms = clock::millis(self.inner.clock.wall().since(mark.since));
            "request {} of service {} is now {}",
            mark.fingerprint,
            mark.service,
            mark.state
        );
        self.inner.publisher.publish(update(&mark));
        if self
            .inner
            .writes
            .try_send(persist::Write::Merge(mark))
            .is_err()
        {
            log::warn!("mark not written to the store: write queue is full");
        }
    }

    fn receive_body(&self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(mark) => self.receive(mark),
            Err(error) => log::warn!("received mark can't be decoded: {error}"),
        }
    }

    fn receive(&self, mark: quarantine::Mark) {
        let before = self.verdict(&mark.service, mark.fingerprint);
        let (service, fingerprint) = (mark.service.clone(), mark.fingerprint);
        let age = self.inner.clock.wall().since(clock::Wall(mark.version));
        self.handle(tracker::Event::Received(mark));
        let after = self.verdict(&service, fingerprint);
        if after != before {
            log::debug!(
                age_ms = clock::millis(age);
                "learns that request {fingerprint} of service {service} is now {after}"
            );
            self.notify_change();
        }
    }

    /// Merges the marks of a store ledger into this VM's marks.
    pub(super) fn receive_ledger(&self, ledger: &trial::Ledger) {
        for mark in &ledger.marks {
            self.receive(mark.clone());
        }
    }

    pub(super) fn now(&self) -> tracker::Now {
        tracker::Now {
            moment: self.inner.clock.now(),
            wall: self.inner.clock.wall(),
        }
    }

    pub(super) fn tracker(&self) -> sync::MutexGuard<'_, tracker::Tracker> {
        let locked = self.inner.tracker.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the gossip update that carries a mark.
fn update(mark: &quarantine::Mark) -> member::Update {
    let frame = mark.frame();
    member::Update {
        topic: member::Topic::Mark,
        key: frame.key,
        version: frame.version,
        body: frame.body,
    }
}

fn counter(
    meter: &metrics::Meter,
    name: &'static str,
    description: &'static str,
) -> metrics::Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}
