//! Handle for submitting changes to the task of one bucket.

use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::document;
use crate::ids;
use crate::ledger::change;
use crate::ledger::head;
use crate::ledger::instruments;
use crate::ledger::worker;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Everything that a bucket's task depends on.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) vm: ids::Vm,
    pub(super) service: ids::Service,
    pub(super) number: u64,
    pub(super) store: sync::Arc<dyn store::Api>,
    pub(super) clock: clock::Clock,
    pub(super) timer: timer::Service,
    pub(super) instruments: instruments::Instruments,
    pub(super) catalog: document::Catalog,
}

/// A command to a bucket's task.
pub(super) enum Command {
    /// Applies a change, and sends its verdict.
    Submit(
        change::Ticket,
        change::Change,
        oneshot::Sender<change::Verdict>,
    ),
    /// Abandons a claim whose submitter no longer waits.
    Abandon(change::Ticket, ids::Key, head::Entry),
    /// Notifies the sender once no change is queued.
    Drained(oneshot::Sender<()>),
}

/// Submits changes to one bucket's task; cheap to clone.
#[derive(Clone)]
pub(super) struct Bucket {
    commands: mpsc::UnboundedSender<Command>,
    tickets: sync::Arc<sync::atomic::AtomicU64>,
    timer: timer::Service,
}

impl Bucket {
    /// Starts the bucket's task.
    pub(super) fn start(context: Context) -> Self {
        let (commands, queued) = mpsc::unbounded_channel();
        let timer = context.timer.clone();
        tokio::spawn(worker::Worker::new(context, queued).run());
        Self {
            commands,
            tickets: sync::Arc::default(),
            timer,
        }
    }

    /// Creates a claim. If no verdict arrives within `timeout`, the claim is
    /// abandoned: the caller must not send the record, and a claim that was created
    /// nevertheless is recorded as not run.
    pub(super) async fn claim(
        &self,
        key: &ids::Key,
        entry: &head::Entry,
        timeout: time::Duration,
    ) -> change::Verdict {
        let change = change::Change::Claim(key.clone(), entry.clone());
        let (ticket, verdict) = self.submit(change);
        tokio::select! {
            biased;
            Ok(verdict) = verdict => verdict,
            _ = self.timer.sleep(timeout) => {
                let command = Command::Abandon(ticket, key.clone(), entry.clone());
                let _ = self.commands.send(command);
                let reason = "the claim was not stored in time".to_owned();
                change::Verdict::Failed(reason)
            }
        }
    }

    /// Records the state of a claim. Retried until it succeeds, even if the receiver
    /// is dropped.
    pub(super) fn settle(
        &self,
        key: &ids::Key,
        entry: head::Entry,
    ) -> oneshot::Receiver<change::Verdict> {
        self.submit(change::Change::Settle(key.clone(), entry)).1
    }

    /// Looks up what is recorded for a key.
    pub(super) async fn look_up(&self, key: &ids::Key, timeout: time::Duration) -> change::Verdict {
        let (_, verdict) = self.submit(change::Change::Lookup(key.clone()));
        let late = || change::Verdict::Failed("the store did not reply in time".to_owned());
        tokio::select! {
            biased;
            verdict = verdict => verdict.unwrap_or_else(|_| late()),
            _ = self.timer.sleep(timeout) => late(),
        }
    }

    /// Waits until no change is queued.
    pub(super) async fn drained(&self) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(Command::Drained(done)).is_ok() {
            let _ = wait.await;
        }
    }

    fn submit(
        &self,
        change: change::Change,
    ) -> (change::Ticket, oneshot::Receiver<change::Verdict>) {
        let number = self.tickets.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let ticket = change::Ticket(number);
        let (sender, verdict) = oneshot::channel();
        let _ = self.commands.send(Command::Submit(ticket, change, sender));
        (ticket, verdict)
    }
}
