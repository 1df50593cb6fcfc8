//! The task of one bucket: carries out what [`commit`] decides.

use std::collections;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::ledger::bucket;
use crate::ledger::change;
use crate::ledger::commit;
use crate::ledger::head;
use crate::ledger::key;
use crate::ledger::pages;
use crate::rendezvous;
use crate::store;
use crate::time as clock;

/// Least time between two updates of one bucket; what comes in between is
/// committed together.
const PACE: time::Duration = time::Duration::from_millis(10);
/// First and longest wait after a failure of the store.
const BACKOFF: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_millis(500),
);
/// A call that takes longer than this is taken for an outage: the store answers
/// in milliseconds. Claims that wait are refused then, not at their deadlines.
const STALL: time::Duration = time::Duration::from_millis(500);
/// How often old claims are looked for.
const TIDY: time::Duration = time::Duration::from_secs(30);

/// One bucket's task.
pub(super) struct Worker {
    parts: bucket::Parts,
    key: String,
    pages: String,
    asks: mpsc::UnboundedReceiver<bucket::Ask>,
    commit: commit::Commit,
    tell: collections::HashMap<change::Ticket, oneshot::Sender<change::Verdict>>,
    drained: Vec<oneshot::Sender<()>>,
    garbage: Vec<head::Page>,
    backoff: store::Backoff,
    /// Failures so far.
    tries: u64,
    /// The last call took longer than [`STALL`], or the present one does.
    stalled: bool,
    /// A call is under way.
    calling: bool,
    /// While the store fails or stalls, claims are refused at once until then.
    closed: clock::Moment,
    /// The next update is made no earlier.
    paced: clock::Moment,
    /// Old claims are looked for again.
    tidy: clock::Moment,
    /// The tickets of the worker's own changes count down from the top.
    own: u64,
}

impl Worker {
    pub(super) fn new(parts: bucket::Parts, asks: mpsc::UnboundedReceiver<bucket::Ask>) -> Self {
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
            stalled: false,
            calling: false,
            closed: clock::Moment::default(),
            paced: clock::Moment::default(),
            tidy: clock::Moment::default(),
            own: u64::MAX,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            while let Ok(ask) = self.asks.try_recv() {
                self.take(ask);
            }
            if self.commit.is_due() {
                let (store, key) = (self.parts.store.clone(), self.key.clone());
                self.patiently(store.ready(&key)).await;
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
                going = self.parts.timer.sleep(left) => return going,
                Some(ask) = self.asks.recv() => self.take(ask),
            }
        }
    }

    fn take(&mut self, ask: bucket::Ask) {
        match ask {
            bucket::Ask::Submit(_, change::Change::Claim(..) | change::Change::Look(_), tell)
                if self.is_closed() =>
            {
                let reason = "the store is not available".to_owned();
                let _ = tell.send(change::Verdict::Failed(reason));
            }
            bucket::Ask::Submit(ticket, change, tell) => {
                self.tell.insert(ticket, tell);
                self.commit.submit(ticket, change);
            }
            bucket::Ask::Abandon(ticket, key, entry) => {
                self.tell.remove(&ticket);
                self.commit.abandon(ticket, key, entry);
            }
            bucket::Ask::Drained(done) => self.drained.push(done),
        }
    }

    fn is_closed(&self) -> bool {
        let bad = self.commit.is_failing() || self.stalled;
        bad && (self.calling || self.parts.clock.now() < self.closed)
    }

    /// Waits for a call to the store, and takes what comes meanwhile: nobody is
    /// to wait for a store that doesn't answer.
    async fn patiently<T>(&mut self, call: impl Future<Output = T>) -> T {
        let timer = self.parts.timer.clone();
        let stall = timer.sleep(STALL);
        tokio::pin!(call, stall);
        self.calling = true;
        let (mut open, mut quick) = (true, true);
        loop {
            tokio::select! {
                biased;
                done = &mut call => {
                    self.calling = false;
                    self.stalled = !quick;
                    return done;
                }
                ask = self.asks.recv(), if open => match ask {
                    Some(ask) => self.take(ask),
                    None => open = false,
                },
                _ = &mut stall, if quick => {
                    quick = false;
                    self.stalled = true;
                    self.commit.refuse("the store doesn't answer");
                    self.deliver();
                }
            }
        }
    }

    fn deliver(&mut self) {
        self.parts.meter.unsure_settled(self.commit.settled());
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
            self.parts.timer.sleep(wait).await;
        }
    }

    async fn call(&mut self, action: commit::Action) {
        match action {
            commit::Action::Read => {
                let (store, key) = (self.parts.store.clone(), self.key.clone());
                let found = self.patiently(store.get(&key)).await;
                self.note(found.as_ref().err());
                self.commit.read(found);
            }
            commit::Action::Load(page) => {
                let store = self.parts.store.clone();
                let found = self.patiently(store.get(&page.id)).await;
                self.note(found.as_ref().err());
                self.commit.loaded(&page, found);
            }
            commit::Action::Write(body, condition) => self.write(body, condition).await,
            commit::Action::Pause | commit::Action::Idle => {}
        }
    }

    async fn write(&mut self, body: bytes::Bytes, condition: store::Condition) {
        let (store, key) = (self.parts.store.clone(), self.key.clone());
        let done = self.patiently(store.put(&key, body, condition)).await;
        self.note(done.as_ref().err());
        self.parts.meter.commit(done.as_ref().err());
        let well = done.is_ok();
        self.commit.written(done);
        self.deliver();
        self.paced = self.parts.clock.now() + PACE;
        if well {
            self.tidy_up().await;
        }
        self.pace().await;
    }

    /// Follows the store's failures.
    fn note(&mut self, error: Option<&store::Error>) {
        let failed = matches!(
            error,
            Some(store::Error::Unavailable { .. } | store::Error::Refused { .. })
        );
        if failed || self.stalled {
            let jitter = self.jitter();
            let wait = self.backoff.failed(jitter);
            self.closed = self.parts.clock.now() + wait;
        } else {
            self.backoff.succeeded();
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
