//! Carries the book's decisions out: rumours, the store, metrics.

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
use crate::quarantine::book;
use crate::quarantine::keep;
use crate::quarantine::trial;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Tells every VM of a mark, by rumour at least.
pub trait Spread: Send + Sync {
    /// Hands one rumour of [`member::Topic::Mark`] on. Must not block.
    fn publish(&self, rumour: member::Update);
}

/// Settings.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM.
    pub vm: ids::Vm,
}

/// What this VM knows of requests that crash upstreams; cheap to clone.
#[derive(Clone)]
pub struct Service {
    pub(super) inner: sync::Arc<Inner>,
}

pub(super) struct Inner {
    pub(super) config: Config,
    book: sync::Mutex<book::Book>,
    /// Whether any mark is held: the common case takes no lock.
    pub(super) held: atomic::AtomicBool,
    pub(super) tokens: atomic::AtomicU64,
    pub(super) store: sync::Arc<dyn store::Api>,
    spread: sync::Arc<dyn Spread>,
    pub(super) clock: clock::Clock,
    pub(super) writes: mpsc::Sender<keep::Write>,
    changes: watch::Sender<u64>,
    marked: metrics::Counter<u64>,
    pub(super) trials: metrics::Counter<u64>,
}

impl Service {
    /// Starts the tasks that read and write the store. Call within a runtime.
    pub fn start(
        config: Config,
        store: sync::Arc<dyn store::Api>,
        spread: sync::Arc<dyn Spread>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let (writes, waiting) = mpsc::channel(keep::WAITING);
        let inner = Inner {
            config,
            book: sync::Mutex::default(),
            held: atomic::AtomicBool::new(false),
            tokens: atomic::AtomicU64::new(clock.wall().0),
            store,
            spread,
            clock,
            writes,
            changes: watch::Sender::new(0),
            marked: counter(meter, "quarantine.marks", "Marks set here, by state"),
            trials: counter(meter, "quarantine.trials", "Lone trials run here, by end"),
        };
        let this = Self {
            inner: sync::Arc::new(inner),
        };
        tokio::spawn(this.clone().reread(timer.clone()));
        tokio::spawn(this.clone().keep(waiting, timer));
        this
    }

    /// What holds for a request. Takes no lock while no mark is held.
    pub fn verdict(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> quarantine::Verdict {
        if !self.inner.held.load(atomic::Ordering::Acquire) {
            return quarantine::Verdict::Clear;
        }
        let wall = self.inner.clock.wall();
        self.book().verdict(service, fingerprint, wall)
    }

    /// A number that grows with each change of any verdict.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    fn changed(&self) {
        self.inner.changes.send_modify(|count| *count += 1);
    }

    /// Whether the request completed lately at this VM.
    pub fn lately(&self, service: &ids::Service, fingerprint: ids::Fingerprint) -> bool {
        let now = self.inner.clock.now();
        self.book().lately(service, fingerprint, now)
    }

    /// Upstreams that may be down after a crash that some VM saw.
    pub fn down(&self) -> Vec<book::Down> {
        self.book().down(self.now())
    }

    /// A connection to `upstream` was lost while it ran the request beside
    /// others.
    pub fn lost(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        upstream: &ids::Upstream,
    ) {
        self.lost_while(service, fingerprint, upstream, book::Run::Plain);
    }

    /// A connection to `upstream` was lost while it ran the request as `run`.
    pub fn lost_while(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        upstream: &ids::Upstream,
        run: book::Run,
    ) {
        self.handle(book::Event::Lost {
            service: service.clone(),
            fingerprint,
            upstream: upstream.clone(),
            run,
        });
    }

    /// An upstream has answered the request. Clears a suspicion: to be called
    /// for runs that began after it only, which are trials.
    pub fn completed(&self, service: &ids::Service, fingerprint: ids::Fingerprint) {
        self.handle(book::Event::Completed {
            service: service.clone(),
            fingerprint,
        });
    }

    /// A rumour of [`member::Topic::Mark`]. Others are passed over.
    pub fn heard(&self, rumour: &member::Update) {
        if rumour.topic == member::Topic::Mark {
            self.read(&rumour.body);
        }
    }

    /// A mark that another VM sent directly; hand it to
    /// [`quarantine::Direct::relay`] as well.
    pub fn received(&self, mark: &message::Mark) {
        self.read(&mark.body);
    }

    /// Marks held now, for operators.
    pub fn list(&self) -> Vec<quarantine::Mark> {
        self.book().list(self.inner.clock.wall())
    }

    fn handle(&self, event: book::Event) {
        let (actions, empty) = {
            let mut book = self.book();
            let actions = book.handle(event, self.now());
            (actions, book.is_empty())
        };
        self.inner.held.store(!empty, atomic::Ordering::Release);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&self, action: book::Action) {
        let book::Action::Publish(mark) = action;
        self.changed();
        let state = KeyValue::new("state", mark.state.to_string());
        self.inner.marked.add(1, &[state]);
        log::warn!(
            "request {} of {} is {}",
            mark.fingerprint,
            mark.service,
            mark.state
        );
        let body = serde_json::to_vec(&mark).unwrap_or_default();
        self.inner.spread.publish(member::Update {
            topic: member::Topic::Mark,
            key: mark.key(),
            version: mark.version,
            body: body.into(),
        });
        if self.inner.writes.try_send(keep::Write::Join(mark)).is_err() {
            log::warn!("a mark isn't kept in the store: too many wait");
        }
    }

    fn read(&self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(mark) => self.hear(mark),
            Err(error) => log::warn!("a mark can't be read: {error}"),
        }
    }

    fn hear(&self, mark: quarantine::Mark) {
        let before = self.verdict(&mark.service, mark.fingerprint);
        let (service, fingerprint) = (mark.service.clone(), mark.fingerprint);
        self.handle(book::Event::Heard(mark));
        if self.verdict(&service, fingerprint) != before {
            self.changed();
        }
    }

    pub(super) fn take_in(&self, ledger: &trial::Ledger) {
        for mark in &ledger.marks {
            self.hear(mark.clone());
        }
    }

    pub(super) fn now(&self) -> book::Now {
        book::Now {
            moment: self.inner.clock.now(),
            wall: self.inner.clock.wall(),
        }
    }

    pub(super) fn book(&self) -> sync::MutexGuard<'_, book::Book> {
        let locked = self.inner.book.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
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
