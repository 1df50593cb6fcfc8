//! Hands changes to the task of one bucket.

use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::document;
use crate::ids;
use crate::ledger::change;
use crate::ledger::head;
use crate::ledger::meter;
use crate::ledger::worker;
use crate::store;
use crate::time as clock;
use crate::timer;

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
    pub(super) catalog: document::Catalog,
}

/// What a bucket's task is asked for.
pub(super) enum Ask {
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
        tokio::spawn(worker::Worker::new(parts, waiting).run());
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
            _ = self.timer.sleep(within) => {
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
            _ = self.timer.sleep(within) => late(),
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
