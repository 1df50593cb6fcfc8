//! Table of attempts that wait for a reply frame from another VM.

use std::collections;
use std::sync;

use tokio::sync::oneshot;

use crate::ids;

/// Reply channels by attempt, each with the VM that is expected to reply.
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

/// One waiting attempt. After it is dropped, a late reply is ignored.
#[derive(Debug)]
pub(super) struct Waiter<T> {
    waiting: sync::Arc<sync::Mutex<Waiting<T>>>,
    attempt: ids::Attempt,
    reply: oneshot::Receiver<T>,
    ended: bool,
}

impl<T> Table<T> {
    /// Registers `attempt` to wait for a reply from `vm`.
    pub(super) fn wait(&self, attempt: ids::Attempt, vm: ids::Vm) -> Waiter<T> {
        let (sender, reply) = oneshot::channel();
        lock(&self.waiting).insert(attempt, (vm, sender));
        Waiter {
            waiting: self.waiting.clone(),
            attempt,
            reply,
            ended: false,
        }
    }

    /// Delivers a reply if `from` is the VM that was asked; ignores it otherwise.
    pub(super) fn reply(&self, from: &ids::Vm, attempt: ids::Attempt, reply: T) {
        let mut waiting = lock(&self.waiting);
        if waiting.get(&attempt).is_some_and(|(vm, _)| vm == from) {
            let found = waiting.remove(&attempt);
            drop(waiting);
            if let Some((_, sender)) = found {
                let _ = sender.send(reply);
            }
        }
    }

    /// Ends all waits for `vm` without a reply, since the link to it was lost.
    pub(super) fn link_lost(&self, vm: &ids::Vm) {
        lock(&self.waiting).retain(|_, (asked, _)| asked != vm);
    }
}

impl<T> Waiter<T> {
    /// Waits for the reply. Returns `None` if the link was lost or the reply was
    /// already returned. Cancel safe: may be called again after being cancelled.
    pub(super) async fn reply(&mut self) -> Option<T> {
        if self.ended {
            return None;
        }
        let reply = (&mut self.reply).await.ok();
        self.ended = true;
        reply
    }
}

impl<T> Drop for Waiter<T> {
    fn drop(&mut self) {
        lock(&self.waiting).remove(&self.attempt);
    }
}

fn lock<T>(waiting: &sync::Mutex<Waiting<T>>) -> sync::MutexGuard<'_, Waiting<T>> {
    waiting.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
