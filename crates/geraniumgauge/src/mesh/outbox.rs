//! The queue of one link: encoded frames, one after another in one buffer.
//!
//! Senders encode straight into the buffer and the link's task writes what has
//! gathered with one system call, so frames of many queries share a packet.

use std::sync;

use crate::mesh::codec;
use crate::mesh::message;

/// Why a frame wasn't queued.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// Too many frames or bytes wait.
    Full,
    /// The link is closing; a fresh one takes the frame.
    Closed,
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Frames that may wait.
    pub(super) frames: usize,
    /// Bytes that may wait.
    pub(super) bytes: usize,
    /// Largest frame, in bytes.
    pub(super) frame: usize,
}

/// What waits on a link.
#[derive(Debug)]
pub(super) struct Outbox {
    limits: Limits,
    queue: sync::Mutex<Queue>,
    ready: tokio::sync::Notify,
    drained: tokio::sync::Notify,
}

#[derive(Debug, Default)]
struct Queue {
    buffer: bytes::BytesMut,
    frames: usize,
    /// Bytes handed to the writer that it hasn't reported written.
    writing: usize,
    closed: bool,
}

/// Locks a mutex whose data stays sound when a holder panics.
pub(super) fn locked<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Outbox {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            queue: sync::Mutex::default(),
            ready: tokio::sync::Notify::new(),
            drained: tokio::sync::Notify::new(),
        }
    }

    /// Queues `body`, whose encoded size is `size`.
    pub(super) fn push(&self, body: &message::Body, size: usize) -> Result<(), Refusal> {
        let mut queue = locked(&self.queue);
        if queue.closed {
            return Err(Refusal::Closed);
        }
        let waiting = queue.buffer.len() + queue.writing;
        let full = waiting + size + codec::HEAD > self.limits.bytes;
        if (full && waiting > 0) || queue.frames >= self.limits.frames {
            return Err(Refusal::Full);
        }
        if codec::put(body, size, self.limits.frame, &mut queue.buffer).is_err() {
            return Err(Refusal::Full);
        }
        queue.frames += 1;
        drop(queue);
        self.ready.notify_one();
        Ok(())
    }

    /// Waits for frames and moves all of them into `into`, which is cleared
    /// first. Returns their number; `None` once closed and empty.
    pub(super) async fn take(&self, into: &mut bytes::BytesMut) -> Option<usize> {
        loop {
            let notified = self.ready.notified();
            if let Some(taken) = self.try_take(into) {
                return taken;
            }
            notified.await;
        }
    }

    fn try_take(&self, into: &mut bytes::BytesMut) -> Option<Option<usize>> {
        into.clear();
        let mut queue = locked(&self.queue);
        queue.writing = 0;
        if queue.buffer.is_empty() {
            self.drained.notify_waiters();
            return queue.closed.then_some(None);
        }
        std::mem::swap(&mut queue.buffer, into);
        queue.writing = into.len();
        Some(Some(std::mem::take(&mut queue.frames)))
    }

    /// Takes no more frames; those that wait are still written.
    pub(super) fn close(&self) {
        locked(&self.queue).closed = true;
        self.ready.notify_one();
    }

    /// Closes where nothing waits; false where something does.
    pub(super) fn retire(&self) -> bool {
        let mut queue = locked(&self.queue);
        if queue.buffer.is_empty() && queue.writing == 0 {
            queue.closed = true;
        }
        let retired = queue.closed;
        drop(queue);
        if retired {
            self.ready.notify_one();
        }
        retired
    }

    /// Closes and forgets what waits, since its link is lost.
    pub(super) fn abandon(&self) {
        let mut queue = locked(&self.queue);
        queue.closed = true;
        queue.buffer.clear();
        queue.frames = 0;
        queue.writing = 0;
        drop(queue);
        self.drained.notify_waiters();
    }

    /// Waits until nothing waits and nothing is being written.
    pub(super) async fn flushed(&self) {
        loop {
            let notified = self.drained.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_empty() {
                return;
            }
            notified.await;
        }
    }

    fn is_empty(&self) -> bool {
        let queue = locked(&self.queue);
        queue.buffer.is_empty() && queue.writing == 0
    }
}
