//! Attempts that wait for a frame from another VM.

use std::collections;
use std::sync;

use tokio::sync::oneshot;

use crate::ids;

/// Senders by attempt, with the VM that is to answer. Clones share them.
#[derive(Debug)]
pub(super) struct Table<T> {
    waiting: sync::Arc<sync::Mutex<Waiting<T>>>,
}

type Waiting<T> = collections::BTreeMap<ids::Attempt, (ids::Vm, oneshot::Sender<T>)>;

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            waiting: sync::Arc::default(),
        }
    }
}

/// One waiting attempt; dropped, a late answer is passed over.
#[derive(Debug)]
pub(super) struct Slot<T> {
    waiting: sync::Arc<sync::Mutex<Waiting<T>>>,
    attempt: ids::Attempt,
    answer: oneshot::Receiver<T>,
    ended: bool,
}

impl<T> Table<T> {
    /// Starts to wait for `vm` to answer `attempt`.
    pub(super) fn wait(&self, attempt: ids::Attempt, vm: ids::Vm) -> Slot<T> {
        let (tell, answer) = oneshot::channel();
        lock(&self.waiting).insert(attempt, (vm, tell));
        Slot {
            waiting: self.waiting.clone(),
            attempt,
            answer,
            ended: false,
        }
    }

    /// Hands an answer on, where `from` is the VM that was asked.
    pub(super) fn answer(&self, from: &ids::Vm, attempt: ids::Attempt, answer: T) {
        let mut waiting = lock(&self.waiting);
        if waiting.get(&attempt).is_some_and(|(vm, _)| vm == from) {
            let found = waiting.remove(&attempt);
            drop(waiting);
            if let Some((_, tell)) = found {
                let _ = tell.send(answer);
            }
        }
    }

    /// Drops what waits for `vm`: its slots end without an answer.
    pub(super) fn lost(&self, vm: &ids::Vm) {
        lock(&self.waiting).retain(|_, (asked, _)| asked != vm);
    }
}

impl<T> Slot<T> {
    /// The answer; `None` where the link was lost or it was taken before. May
    /// be called again after being cancelled.
    pub(super) async fn answer(&mut self) -> Option<T> {
        if self.ended {
            return None;
        }
        let answer = (&mut self.answer).await.ok();
        self.ended = true;
        answer
    }
}

impl<T> Drop for Slot<T> {
    fn drop(&mut self) {
        lock(&self.waiting).remove(&self.attempt);
    }
}

fn lock<T>(waiting: &sync::Mutex<Waiting<T>>) -> sync::MutexGuard<'_, Waiting<T>> {
    waiting.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
