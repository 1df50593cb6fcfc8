//! Carries the book's decisions out: rumours, the store, metrics.

use std::sync;
use std::sync::atomic;
use std::time;

use opentelemetry::KeyValue;
use opentelemetry::metrics;
use tokio::sync::mpsc;

use crate::ids;
use crate::member;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::book;
use crate::quarantine::trial;
use crate::store;
use crate::time as clock;
use crate::timer;

/// How often expired marks are dropped and failed writes tried again.
const ROUND: time::Duration = time::Duration::from_secs(1);
/// How often the store's marks are read, against rumours that were missed.
const REREAD: time::Duration = time::Duration::from_secs(60);
/// Tries of one conditional update before it waits for the next round.
const TRIES: usize = 4;
/// Most writes that wait for the store; the oldest are dropped beyond it.
const WAITING: usize = 1024;
/// When to ask again where another trial runs or the store is out.
const ASK_AGAIN: time::Duration = time::Duration::from_millis(200);

/// Tells every VM of a mark, by rumour at least.
pub trait Spread: Send + Sync {
    /// Hands one rumour of [`member::Topic::Mark`] on. Must not block.
    fn publish(&self, rumour: member::Rumour);
}

/// Settings.
#[derive(Debug, Clone)]
pub struct Config {
    /// This VM.
    pub vm: ids::Vm,
}

/// Why no trial may start now.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Denied {
    /// Another try may succeed after this time.
    #[display("no trial may start for {} ms", after.as_millis())]
    Later {
        /// How long to wait.
        after: time::Duration,
    },
    /// The request is quarantined.
    #[display("the request is quarantined")]
    Quarantined,
}

/// What this VM knows of requests that crash upstreams; cheap to clone.
#[derive(Clone)]
pub struct Service {
    inner: sync::Arc<Inner>,
}

struct Inner {
    config: Config,
    book: sync::Mutex<book::Book>,
    /// Whether any mark is held: the common case takes no lock.
    held: atomic::AtomicBool,
    epoch: atomic::AtomicU64,
    tokens: atomic::AtomicU64,
    store: sync::Arc<dyn store::Api>,
    spread: sync::Arc<dyn Spread>,
    clock: clock::Clock,
    writes: mpsc::Sender<Write>,
    marked: metrics::Counter<u64>,
    trials: metrics::Counter<u64>,
}

enum Write {
    Join(quarantine::Mark),
    Finish(ids::Service, trial::Claim),
}

/// The right to run one lone trial. Dropped without an end, it lapses and
/// counts as a crash: whether the request ran isn't known.
pub struct Trial {
    owner: Service,
    service: ids::Service,
    claim: trial::Claim,
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
        let (writes, waiting) = mpsc::channel(WAITING);
        let inner = Inner {
            config,
            book: sync::Mutex::default(),
            held: atomic::AtomicBool::new(false),
            epoch: atomic::AtomicU64::new(0),
            tokens: atomic::AtomicU64::new(clock.wall().0),
            store,
            spread,
            clock,
            writes,
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

    /// Grows with each change of any verdict.
    pub fn epoch(&self) -> u64 {
        self.inner.epoch.load(atomic::Ordering::Acquire)
    }

    /// Whether the request completed lately at this VM.
    pub fn lately(&self, service: &ids::Service, fingerprint: ids::Fingerprint) -> bool {
        let now = self.inner.clock.now();
        self.book().lately(service, fingerprint, now)
    }

    /// Whether `upstream` may be down after a crash that some VM saw.
    pub fn down(&self, upstream: &ids::Upstream) -> bool {
        self.inner.held.load(atomic::Ordering::Acquire) && self.book().down(upstream, self.now())
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
    pub fn heard(&self, rumour: &member::Rumour) {
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

    /// Asks the store for the right to run a lone trial.
    ///
    /// # Errors
    /// Where none may start now: another one runs in the service, upstreams
    /// are going down, the store is out, or the request is quarantined.
    pub async fn trial(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> Result<Trial, Denied> {
        let calm = self.book().calm(service, fingerprint, self.now());
        calm.map_err(|after| Denied::Later { after })?;
        let claim = trial::Claim {
            fingerprint,
            vm: self.inner.config.vm.clone(),
            token: self.inner.tokens.fetch_add(1, atomic::Ordering::Relaxed),
            until: self.inner.clock.wall() + trial::SPAN,
        };
        for _ in 0..TRIES {
            if self.claim(service, &claim).await? {
                let owner = self.clone();
                let service = service.clone();
                return Ok(Trial {
                    owner,
                    service,
                    claim,
                });
            }
        }
        Err(Denied::Later { after: ASK_AGAIN })
    }

    /// One try at the claim; false where another writer was faster.
    async fn claim(&self, service: &ids::Service, claim: &trial::Claim) -> Result<bool, Denied> {
        let later = || Denied::Later { after: ASK_AGAIN };
        let (held, condition) = self.fetch(service).await.map_err(|_| later())?;
        self.take_in(&held);
        if held.claim.as_ref() == Some(claim) {
            return Ok(true);
        }
        let wall = self.inner.clock.wall();
        let fingerprint = claim.fingerprint;
        if self.verdict(service, fingerprint) == quarantine::Verdict::Quarantined {
            return Err(Denied::Quarantined);
        }
        let next = held.start(claim, wall).ok_or_else(later)?;
        match self.put(service, &next, condition).await {
            Ok(()) => Ok(true),
            Err(store::Error::Conflict { .. } | store::Error::Unsure { .. }) => Ok(false),
            Err(_) => Err(later()),
        }
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
        self.inner.epoch.fetch_add(1, atomic::Ordering::AcqRel);
        let state = KeyValue::new("state", mark.state.to_string());
        self.inner.marked.add(1, &[state]);
        log::warn!(
            "request {} of {} is {}",
            mark.fingerprint,
            mark.service,
            mark.state
        );
        let body = serde_json::to_vec(&mark).unwrap_or_default();
        self.inner.spread.publish(member::Rumour {
            topic: member::Topic::Mark,
            key: mark.key(),
            version: mark.version,
            body: body.into(),
        });
        if self.inner.writes.try_send(Write::Join(mark)).is_err() {
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
            self.inner.epoch.fetch_add(1, atomic::Ordering::AcqRel);
        }
    }

    fn take_in(&self, ledger: &trial::Ledger) {
        for mark in &ledger.marks {
            self.hear(mark.clone());
        }
    }

    async fn fetch(
        &self,
        service: &ids::Service,
    ) -> Result<(trial::Ledger, store::Condition), store::Error> {
        match self.inner.store.get(&trial::key(service)).await {
            Ok(object) => {
                let ledger = serde_json::from_slice(&object.body).unwrap_or_default();
                Ok((ledger, store::Condition::Version(object.version)))
            }
            Err(store::Error::Missing { .. }) => {
                Ok((trial::Ledger::default(), store::Condition::Absent))
            }
            Err(error) => Err(error),
        }
    }

    async fn put(
        &self,
        service: &ids::Service,
        ledger: &trial::Ledger,
        condition: store::Condition,
    ) -> Result<(), store::Error> {
        let body = serde_json::to_vec(ledger).unwrap_or_default();
        let key = trial::key(service);
        self.inner.store.put(&key, body.into(), condition).await?;
        Ok(())
    }

    /// Reads the store's marks at the start and now and then.
    async fn reread(self, timer: timer::Service) {
        self.load().await;
        let mut ticks = timer.jittered(REREAD);
        while ticks.tick().await.is_some() {
            self.load().await;
        }
    }

    async fn load(&self) {
        let Ok(listing) = self.inner.store.list(trial::PREFIX).await else {
            return;
        };
        for change in listing.changes {
            let Some(name) = change.key.strip_prefix(trial::PREFIX) else {
                continue;
            };
            let Ok(service) = name.parse::<ids::Service>() else {
                continue;
            };
            if let Ok((ledger, _)) = self.fetch(&service).await {
                self.take_in(&ledger);
            }
        }
    }

    /// Writes marks and ends of trials; what the store doesn't take waits.
    async fn keep(self, mut waiting: mpsc::Receiver<Write>, timer: timer::Service) {
        let mut ticks = timer.every(ROUND, ROUND);
        let mut left = Vec::new();
        loop {
            tokio::select! {
                write = waiting.recv() => left.extend(write),
                tick = ticks.tick() => if tick.is_none() { return },
            }
            self.expire();
            let mut failed = Vec::new();
            for write in left.drain(..) {
                if !self.write(&write).await {
                    failed.push(write);
                }
            }
            failed.truncate(WAITING);
            left = failed;
        }
    }

    fn expire(&self) {
        let mut book = self.book();
        book.expire(self.now());
        self.inner
            .held
            .store(!book.is_empty(), atomic::Ordering::Release);
    }

    /// Whether the write is done or void.
    async fn write(&self, write: &Write) -> bool {
        for _ in 0..TRIES {
            let service = match write {
                Write::Join(mark) => &mark.service,
                Write::Finish(service, _) => service,
            };
            let Ok((held, condition)) = self.fetch(service).await else {
                return false;
            };
            let Some(next) = self.apply(write, &held) else {
                return true;
            };
            if self.put(service, &next, condition).await.is_ok() {
                return true;
            }
        }
        false
    }

    fn apply(&self, write: &Write, held: &trial::Ledger) -> Option<trial::Ledger> {
        let wall = self.inner.clock.wall();
        match write {
            Write::Finish(_, claim) => held.finish(claim),
            Write::Join(mark) if wall >= mark.until => None,
            Write::Join(mark) => {
                let mut next = held.clone();
                next.join(mark, wall);
                (next != *held).then_some(next)
            }
        }
    }

    fn now(&self) -> book::Now {
        book::Now {
            moment: self.inner.clock.now(),
            wall: self.inner.clock.wall(),
        }
    }

    fn book(&self) -> sync::MutexGuard<'_, book::Book> {
        let locked = self.inner.book.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Trial {
    /// States how the trial ended; `upstream` ran it.
    pub fn finish(self, end: trial::End, upstream: &ids::Upstream) {
        let Self {
            owner,
            service,
            claim,
        } = self;
        let kind = KeyValue::new("end", format!("{end:?}").to_lowercase());
        owner.inner.trials.add(1, &[kind]);
        let fingerprint = claim.fingerprint;
        match end {
            trial::End::Completed => owner.completed(&service, fingerprint),
            trial::End::Lost => {
                owner.lost_while(&service, fingerprint, upstream, book::Run::Trial);
            }
            trial::End::NotRun => {}
            trial::End::Unknown => return,
        }
        if owner
            .inner
            .writes
            .try_send(Write::Finish(service, claim))
            .is_err()
        {
            log::warn!("the end of a trial isn't kept in the store: too many wait");
        }
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
