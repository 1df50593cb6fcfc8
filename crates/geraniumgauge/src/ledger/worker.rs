//! The task of one bucket: executes the actions that [`commit`] returns.

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

/// Minimum time between two updates of one bucket. Changes that arrive in between
/// are written in one update.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Maximum delay after the first of several failures of the store; it doubles with each
/// further one, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(20);
/// Maximum delay after a failure of the store.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// Duration after which a call counts as an outage, since the store normally
/// replies in milliseconds. Queued claims are refused then rather than at their
/// deadlines.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Interval between searches for claims outside the window.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// The state of one bucket's task.
pub(super) struct Worker {
    context: bucket::Context,
    key: String,
    pages: String,
    commands: mpsc::UnboundedReceiver<bucket::Command>,
    commit: commit::Commit,
    verdict_senders: collections::HashMap<change::Ticket, oneshot::Sender<change::Verdict>>,
    drained: Vec<oneshot::Sender<()>>,
    unlisted_pages: Vec<head::Page>,
    backoff: store::Backoff,
    /// Number of store failures and stalls so far.
    failures: u64,
    /// Set when the last or current call takes longer than [`STALL_TIMEOUT`].
    stalled: bool,
    /// Set during a call to the store.
    calling: bool,
    /// Claims are refused at once until this time if the store fails or stalls.
    closed_until: clock::Moment,
    /// Earliest time of the next update.
    next_update: clock::Moment,
    /// Time of the next search for claims outside the window.
    next_cleanup: clock::Moment,
    /// Ticket of the worker's own last change. Counts down from the maximum, so that
    /// it doesn't collide with the tickets of submitters.
    last_own_ticket: u64,
}

impl Worker {
    pub(super) fn new(
        context: bucket::Context,
        commands: mpsc::UnboundedReceiver<bucket::Command>,
    ) -> Self {
        Self {
            key: key::head_key(&context.service, context.number),
            pages: format!("ledger/{}/pages-{}", context.service, context.number),
            context,
            commands,
            commit: commit::Commit::default(),
            verdict_senders: collections::HashMap::new(),
            drained: Vec::new(),
            unlisted_pages: Vec::new(),
            backoff: store::Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
            failures: 0,
            stalled: false,
            calling: false,
            closed_until: clock::Moment::default(),
            next_update: clock::Moment::default(),
            next_cleanup: clock::Moment::default(),
            last_own_ticket: u64::MAX,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            while let Ok(command) = self.commands.try_recv() {
                self.handle(command);
            }
            if self.commit.expects_write() {
                let (store, key) = (self.context.store.clone(), self.key.clone());
                self.await_call(store.wait_for_write_budget(&key)).await;
            }
            let action = self.commit.next();
            self.deliver_verdicts();
            match action {
                commit::Action::Idle => {
                    self.drained.clear();
                    let Some(command) = self.commands.recv().await else {
                        return;
                    };
                    self.handle(command);
                    self.wait_for_next_update().await;
                }
                commit::Action::Backoff => {
                    if !self.wait_closed().await {
                        return;
                    }
                }
                action => self.call(action).await,
            }
            self.delete_unlisted_pages().await;
        }
    }

    /// Waits until the backoff delay has passed, and handles commands meanwhile.
    /// Returns false if the timer was stopped.
    async fn wait_closed(&mut self) -> bool {
        loop {
            let left = self.context.clock.now().until(self.closed_until);
            tokio::select! {
                biased;
                running = self.context.timer.sleep(left) => return running,
                Some(command) = self.commands.recv() => self.handle(command),
            }
        }
    }

    fn handle(&mut self, command: bucket::Command) {
        match command {
            bucket::Command::Submit(
                _,
                change::Change::Claim(..) | change::Change::Lookup(_),
                sender,
            ) if self.is_closed() => {
                let reason = "the store is unavailable".to_owned();
                let _ = sender.send(change::Verdict::Failed(reason));
            }
            bucket::Command::Submit(ticket, change, sender) => {
                self.verdict_senders.insert(ticket, sender);
                self.commit.submit(ticket, change);
            }
            bucket::Command::Abandon(ticket, key, entry) => {
                self.verdict_senders.remove(&ticket);
                self.commit.abandon(ticket, key, entry);
            }
            bucket::Command::Drained(done) => self.drained.push(done),
        }
    }

    /// Returns whether new claims are refused because the store fails or stalls.
    fn is_closed(&self) -> bool {
        let bad = self.commit.is_failing() || self.stalled;
        bad && (self.calling || self.context.clock.now() < self.closed_until)
    }

    /// Waits for a call to the store, and handles commands meanwhile. Refuses claims
    /// once the call takes too long, so that callers don't wait for a store that
    /// doesn't reply.
    async fn await_call<T>(&mut self, call: impl Future<Output = T>) -> T {
        let timer = self.context.timer.clone();
        let stall = timer.sleep(STALL_TIMEOUT);
        tokio::pin!(call, stall);
        self.calling = true;
        let (mut open, mut in_time) = (true, true);
        loop {
            tokio::select! {
                biased;
                done = &mut call => {
                    self.calling = false;
                    self.stalled = !in_time;
                    return done;
                }
                command = self.commands.recv(), if open => match command {
                    Some(command) => self.handle(command),
                    None => open = false,
                },
                _ = &mut stall, if in_time => {
                    in_time = false;
                    self.stalled = true;
                    self.commit.refuse("the store does not reply");
                    self.deliver_verdicts();
                }
            }
        }
    }

    /// Sends the verdicts that were reached to the submitters.
    fn deliver_verdicts(&mut self) {
        self.context
            .instruments
            .unconfirmed_resolved(self.commit.take_resolved_writes());
        for (ticket, verdict) in self.commit.take_verdicts() {
            if let change::Verdict::Dropped(pages) = &verdict {
                self.unlisted_pages.extend(pages.iter().cloned());
            }
            if let Some(sender) = self.verdict_senders.remove(&ticket) {
                let _ = sender.send(verdict);
            }
        }
    }

    /// Deletes pages that the head no longer lists. A page that remains after a
    /// failure only uses storage.
    async fn delete_unlisted_pages(&mut self) {
        for page in std::mem::take(&mut self.unlisted_pages) {
            let gone = self.context.store.delete(&page.id, store::Condition::Any);
            if let Err(error) = gone.await {
                log::warn!("can't delete an old page of the ledger: {error}");
            }
        }
    }

    /// Waits until the next update may be made, so that changes accumulate.
    async fn wait_for_next_update(&self) {
        let wait = self.context.clock.now().until(self.next_update);
        if wait > time::Duration::ZERO {
            self.context.timer.sleep(wait).await;
        }
    }

    async fn call(&mut self, action: commit::Action) {
        match action {
            commit::Action::ReadHead => {
                let (store, key) = (self.context.store.clone(), self.key.clone());
                let found = self.await_call(store.get(&key)).await;
                self.update_backoff(found.as_ref().err());
                self.commit.on_head_read(found);
            }
            commit::Action::ReadPage(page) => {
                let store = self.context.store.clone();
                let found = self.await_call(store.get(&page.id)).await;
                self.update_backoff(found.as_ref().err());
                self.commit.on_page_read(&page, found);
            }
            commit::Action::WriteHead(body, condition) => self.write(body, condition).await,
            commit::Action::Backoff | commit::Action::Idle => {}
        }
    }

    async fn write(&mut self, body: bytes::Bytes, condition: store::Condition) {
        let (store, key) = (self.context.store.clone(), self.key.clone());
        let done = self.await_call(store.put(&key, body, condition)).await;
        self.update_backoff(done.as_ref().err());
        self.context.instruments.commit(done.as_ref().err());
        let succeeded = done.is_ok();
        self.commit.on_head_written(done);
        self.deliver_verdicts();
        self.next_update = self.context.clock.now() + UPDATE_INTERVAL;
        if succeeded {
            self.clean_up().await;
        }
        self.wait_for_next_update().await;
    }

    /// Updates the backoff delay after a call to the store.
    fn update_backoff(&mut self, error: Option<&store::Error>) {
        let failed = matches!(
            error,
            Some(store::Error::Unavailable { .. } | store::Error::Refused { .. })
        );
        if failed || self.stalled {
            let jitter = self.jitter();
            let wait = self.backoff.failed(jitter);
            self.closed_until = self.context.clock.now() + wait;
        } else {
            self.backoff.succeeded();
        }
    }

    /// Returns a number from 0 to 1 that differs by VM, bucket and failure.
    fn jitter(&mut self) -> f64 {
        self.failures += 1;
        let seed = format!("{}/{}", self.key, self.failures);
        rendezvous::weight(&seed, &self.context.vm) as f64 / u64::MAX as f64
    }

    /// Moves older claims out of the head and deletes those outside the window.
    async fn clean_up(&mut self) {
        let Some((head, size)) = self.commit.head() else {
            return;
        };
        for batch in pages::batches_to_move(&self.pages, head, size) {
            self.page_out(batch).await;
        }
        let now = self.context.clock.now();
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.expire().await;
    }

    async fn page_out(&mut self, batch: pages::Batch) {
        if batch.page.count > 0 && !self.put_page(&batch.page.id, batch.body).await {
            return;
        }
        let change = change::Change::PageOut(batch.page, batch.moved);
        self.submit(change);
    }

    /// Writes a page and returns whether it exists. Pages are named by their content,
    /// so an existing page is identical.
    async fn put_page(&self, id: &str, body: bytes::Bytes) -> bool {
        let done = self
            .context
            .store
            .put(id, body, store::Condition::Absent)
            .await;
        matches!(done, Ok(_) | Err(store::Error::Conflict { .. }))
    }

    fn submit(&mut self, change: change::Change) {
        self.last_own_ticket -= 1;
        self.commit
            .submit(change::Ticket(self.last_own_ticket), change);
    }

    /// Submits changes that delete or compact claims outside the window.
    async fn expire(&mut self) {
        let Some(in_force) = self.context.catalog.get(&self.context.service) else {
            return;
        };
        let window = in_force.document.ledger_window;
        let wall = self.context.clock.wall();
        let Some((head, _)) = self.commit.head() else {
            return;
        };
        let cutoff = pages::cutoff(head, window, wall);
        let old = pages::compactable(head, window, wall);
        if let Some(cutoff) = cutoff {
            self.submit(change::Change::Expire(cutoff));
        }
        if let Some(old) = old {
            self.compact(old).await;
        }
    }

    async fn compact(&mut self, old: Vec<head::Page>) {
        let mut bodies = Vec::new();
        for page in &old {
            let Ok(object) = self.context.store.get(&page.id).await else {
                return;
            };
            let Ok(entries) = serde_json::from_slice::<head::Entries>(&object.body) else {
                return;
            };
            bodies.push(entries);
        }
        let (page, body) = pages::compact(&self.pages, &bodies);
        if self.put_page(&page.id, body).await {
            let ids = old.into_iter().map(|page| page.id).collect();
            self.submit(change::Change::Compact(ids, page));
        }
    }
}
