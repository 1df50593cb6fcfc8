//! The task of one bucket: carries out what [`commit`] decides.

use std::collections;
use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ids;
use crate::ledger::change;
use crate::ledger::commit;
use crate::ledger::head;
use crate::ledger::key;
use crate::ledger::meter;
use crate::ledger::pages;
use crate::rendezvous;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Least time between two updates of one bucket; what comes in between is
/// committed together.
const PACE: time::Duration = time::Duration::from_millis(10);
/// First and longest wait after a failure of the store.
const BACKOFF: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_millis(500),
);
/// How often old claims are looked for.
const TIDY: time::Duration = time::Duration::from_secs(30);

/// What a bucket's task works with.
#[derive(Clone)]
pub(super) struct Parts {
    pub(super) vm: ids::Vm,
    pub(super) service: ids::Service,
    pub(super) slot: u64,
    pub(super) store: sync::Arc<dyn store::Api>,
    pub(super) clock: clock::Clock,
    pub(super) timer: timer::Service,
    pub(super) meter: meter::Meter,
    pub(super) catalog: crate::document::Catalog,
}

enum Ask {
    Submit(
        change::Ticket,
        change::Change,
        oneshot::Sender<change::Verdict>,
    ),
    Abandon(change::Ticket, ids::Key, head::Entry),
    Drained(oneshot::Sender<()>),
}

/// Hands changes to one bucket's task; cheap to clone.
#[derive(Clone)]
pub(super) struct Bucket {
    asks: mpsc::UnboundedSender<Ask>,
    tickets: sync::Arc<sync::atomic::AtomicU64>,
    timer: timer::Service,
}

impl Bucket {
    /// Starts the bucket's task.
    pub(super) fn start(parts: Parts) -> Self {
        let (asks, waiting) = mpsc::unbounded_channel();
        let timer = parts.timer.clone();
        tokio::spawn(Worker::new(parts, waiting).run());
        Self {
            asks,
            tickets: sync::Arc::default(),
            timer,
        }
    }

    /// Creates a claim. Where it isn't granted within `within`, it is given up:
    /// recorded as not run if it came to be, and never sent by this caller.
    pub(super) async fn claim(
        &self,
        key: &ids::Key,
        entry: &head::Entry,
        within: time::Duration,
    ) -> change::Verdict {
        let change = change::Change::Claim(key.clone(), entry.clone());
        let (ticket, verdict) = self.submit(change);
        tokio::select! {
            biased;
            Ok(verdict) = verdict => verdict,
            _ = self.timer.pause(within) => {
                let ask = Ask::Abandon(ticket, key.clone(), entry.clone());
                let _ = self.asks.send(ask);
                let reason = "the claim was not recorded in time".to_owned();
                change::Verdict::Failed(reason)
            }
        }
    }

    /// Records where a claim stands. Tried until it succeeds, whether the
    /// receiver is waited for or not.
    pub(super) fn settle(
        &self,
        key: &ids::Key,
        entry: head::Entry,
    ) -> oneshot::Receiver<change::Verdict> {
        self.submit(change::Change::Settle(key.clone(), entry)).1
    }

    /// What is recorded of a key.
    pub(super) async fn look(&self, key: &ids::Key, within: time::Duration) -> change::Verdict {
        let (_, verdict) = self.submit(change::Change::Look(key.clone()));
        let late = || change::Verdict::Failed("the store took too long".to_owned());
        tokio::select! {
            biased;
            verdict = verdict => verdict.unwrap_or_else(|_| late()),
            _ = self.timer.pause(within) => late(),
        }
    }

    /// Waits until nothing waits for the store.
    pub(super) async fn drained(&self) {
        let (done, wait) = oneshot::channel();
        if self.asks.send(Ask::Drained(done)).is_ok() {
            let _ = wait.await;
        }
    }

    fn submit(
        &self,
        change: change::Change,
    ) -> (change::Ticket, oneshot::Receiver<change::Verdict>) {
        let number = self.tickets.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let ticket = change::Ticket(number);
        let (tell, verdict) = oneshot::channel();
        let _ = self.asks.send(Ask::Submit(ticket, change, tell));
        (ticket, verdict)
    }
}

struct Worker {
    parts: Parts,
    key: String,
    pages: String,
    asks: mpsc::UnboundedReceiver<Ask>,
    commit: commit::Commit,
    tell: collections::HashMap<change::Ticket, oneshot::Sender<change::Verdict>>,
    drained: Vec<oneshot::Sender<()>>,
    garbage: Vec<head::Page>,
    backoff: store::Backoff,
    /// Failures so far.
    tries: u64,
    /// Claims are refused at once until then.
    closed: clock::Moment,
    /// The next update is made no earlier.
    paced: clock::Moment,
    /// Old claims are looked for again.
    tidy: clock::Moment,
    /// The tickets of the worker's own changes count down from the top.
    own: u64,
}

impl Worker {
    fn new(parts: Parts, asks: mpsc::UnboundedReceiver<Ask>) -> Self {
        Self {
            key: key::head(&parts.service, parts.slot),
            pages: format!("ledger/{}/pages-{}", parts.service, parts.slot),
            parts,
            asks,
            commit: commit::Commit::default(),
            tell: collections::HashMap::new(),
            drained: Vec::new(),
            garbage: Vec::new(),
            backoff: store::Backoff::new(BACKOFF.0, BACKOFF.1),
            tries: 0,
            closed: clock::Moment::default(),
            paced: clock::Moment::default(),
            tidy: clock::Moment::default(),
            own: u64::MAX,
        }
    }

    async fn run(mut self) {
        loop {
            while let Ok(ask) = self.asks.try_recv() {
                self.take(ask);
            }
            let action = self.commit.next();
            self.deliver();
            match action {
                commit::Action::Idle => {
                    self.drained.clear();
                    let Some(ask) = self.asks.recv().await else {
                        return;
                    };
                    self.take(ask);
                    self.pace().await;
                }
                commit::Action::Pause => {
                    if !self.wait_closed().await {
                        return;
                    }
                }
                action => self.call(action).await,
            }
            self.collect().await;
        }
    }

    /// Waits before the store is tried again; refuses what comes meanwhile.
    /// False where the timer was stopped.
    async fn wait_closed(&mut self) -> bool {
        loop {
            let left = self.parts.clock.now().until(self.closed);
            tokio::select! {
                biased;
                going = self.parts.timer.pause(left) => return going,
                Some(ask) = self.asks.recv() => self.take(ask),
            }
        }
    }

    fn take(&mut self, ask: Ask) {
        match ask {
            Ask::Submit(_, change::Change::Claim(..) | change::Change::Look(_), tell)
                if self.is_closed() =>
            {
                let reason = "the store is not available".to_owned();
                let _ = tell.send(change::Verdict::Failed(reason));
            }
            Ask::Submit(ticket, change, tell) => {
                self.tell.insert(ticket, tell);
                self.commit.submit(ticket, change);
            }
            Ask::Abandon(ticket, key, entry) => {
                self.tell.remove(&ticket);
                self.commit.abandon(ticket, key, entry);
            }
            Ask::Drained(done) => self.drained.push(done),
        }
    }

    fn is_closed(&self) -> bool {
        self.commit.is_failing() && self.parts.clock.now() < self.closed
    }

    fn deliver(&mut self) {
        for (ticket, verdict) in self.commit.verdicts() {
            if let change::Verdict::Dropped(pages) = &verdict {
                self.garbage.extend(pages.iter().cloned());
            }
            if let Some(tell) = self.tell.remove(&ticket) {
                let _ = tell.send(verdict);
            }
        }
    }

    /// Deletes pages that the head no longer lists. One that stays after a
    /// failure only takes room.
    async fn collect(&mut self) {
        for page in std::mem::take(&mut self.garbage) {
            let gone = self.parts.store.delete(&page.id, store::Condition::Any);
            if let Err(error) = gone.await {
                log::warn!("an old page of the ledger stays: {error}");
            }
        }
    }

    /// Lets changes gather where an update was made a moment ago.
    async fn pace(&self) {
        let wait = self.parts.clock.now().until(self.paced);
        if wait > time::Duration::ZERO {
            self.parts.timer.pause(wait).await;
        }
    }

    async fn call(&mut self, action: commit::Action) {
        match action {
            commit::Action::Read => {
                let found = self.parts.store.get(&self.key).await;
                self.note(found.as_ref().err());
                self.commit.read(found);
            }
            commit::Action::Load(page) => {
                let found = self.parts.store.get(&page.id).await;
                self.note(found.as_ref().err());
                self.commit.loaded(&page, found);
            }
            commit::Action::Write(body, condition) => self.write(body, condition).await,
            commit::Action::Pause | commit::Action::Idle => {}
        }
    }

    async fn write(&mut self, body: bytes::Bytes, condition: store::Condition) {
        let done = self.parts.store.put(&self.key, body, condition).await;
        self.note(done.as_ref().err());
        self.parts.meter.commit(done.as_ref().err());
        let doubted = self.commit.in_doubt();
        let well = done.is_ok();
        self.commit.written(done);
        if doubted && !self.commit.in_doubt() {
            self.parts.meter.unsure_settled();
        }
        self.deliver();
        self.paced = self.parts.clock.now() + PACE;
        if well {
            self.tidy_up().await;
        }
        self.pace().await;
    }

    /// Follows the store's failures.
    fn note(&mut self, error: Option<&store::Error>) {
        match error {
            Some(store::Error::Unavailable { .. } | store::Error::Refused { .. }) => {
                let jitter = self.jitter();
                let wait = self.backoff.failed(jitter);
                self.closed = self.parts.clock.now() + wait;
            }
            Some(store::Error::Unsure { .. }) | None => self.backoff.succeeded(),
            Some(_) => {}
        }
    }

    /// From 0 to 1, different for each VM, bucket and failure.
    fn jitter(&mut self) -> f64 {
        self.tries += 1;
        let duty = format!("{}/{}", self.key, self.tries);
        rendezvous::weight(&duty, &self.parts.vm) as f64 / u64::MAX as f64
    }

    /// Moves older claims out of the head and forgets those past the window.
    async fn tidy_up(&mut self) {
        let Some((head, size)) = self.commit.head() else {
            return;
        };
        for batch in pages::split(&self.pages, head, size) {
            self.move_out(batch).await;
        }
        let now = self.parts.clock.now();
        if now < self.tidy {
            return;
        }
        self.tidy = now + TIDY;
        self.forget().await;
    }

    async fn move_out(&mut self, batch: pages::Batch) {
        if batch.page.count > 0 && !self.put_page(&batch.page.id, batch.body).await {
            return;
        }
        let change = change::Change::Move(batch.page, batch.moved);
        self.submit(change);
    }

    /// A page is named by its content, so one that exists is the same.
    async fn put_page(&self, id: &str, body: bytes::Bytes) -> bool {
        let done = self
            .parts
            .store
            .put(id, body, store::Condition::Absent)
            .await;
        matches!(done, Ok(_) | Err(store::Error::Conflict { .. }))
    }

    fn submit(&mut self, change: change::Change) {
        self.own -= 1;
        self.commit.submit(change::Ticket(self.own), change);
    }

    async fn forget(&mut self) {
        let Some(in_force) = self.parts.catalog.get(&self.parts.service) else {
            return;
        };
        let window = in_force.document.ledger_window;
        let wall = self.parts.clock.wall();
        let Some((head, _)) = self.commit.head() else {
            return;
        };
        let cutoff = pages::cutoff(head, window, wall);
        let old = pages::old(head, window, wall);
        if let Some(cutoff) = cutoff {
            self.submit(change::Change::Expire(cutoff));
        }
        if let Some(old) = old {
            self.bury(old).await;
        }
    }

    async fn bury(&mut self, old: Vec<head::Page>) {
        let mut bodies = Vec::new();
        for page in &old {
            let Ok(object) = self.parts.store.get(&page.id).await else {
                return;
            };
            let Ok(entries) = serde_json::from_slice::<head::Entries>(&object.body) else {
                return;
            };
            bodies.push(entries);
        }
        let (page, body) = pages::bury(&self.pages, &bodies);
        if self.put_page(&page.id, body).await {
            let ids = old.into_iter().map(|page| page.id).collect();
            self.submit(change::Change::Bury(ids, page));
        }
    }
}
