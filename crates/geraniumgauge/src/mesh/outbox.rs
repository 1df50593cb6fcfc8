//! The send queue of one link: encoded frames, concatenated in one buffer.
//!
//! Senders encode directly into the buffer, and the link's task writes all queued
//! frames with one system call, so frames of many queries share a packet.

use std::sync;

use crate::mesh::codec;
use crate::mesh::message;

/// Reason why a frame was not queued.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The queue holds too many frames or bytes.
    Full,
    /// The link is closing; the frame has to go over a new one.
    Closed,
}

/// Limits of a queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Most frames queued.
    pub(super) max_frames: usize,
    /// Most bytes queued or being written.
    pub(super) max_bytes: usize,
    /// Largest frame, in bytes.
    pub(super) max_frame_bytes: usize,
}

/// The send queue of one link, shared by the senders and the link's task.
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
    /// Bytes taken by the writer and not yet written.
    writing: usize,
    closed: bool,
}

/// Locks a mutex and ignores poisoning: its data stays valid if a holder panics.
pub(super) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
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

    /// Queues `body`, whose encoded size is `size` bytes.
    pub(super) fn push(&self, body: &message::Body, size: usize) -> Result<(), Refusal> {
        let mut queue = lock(&self.queue);
        if queue.closed {
            return Err(Refusal::Closed);
        }
        let waiting = queue.buffer.len() + queue.writing;
        let full = waiting + size + codec::LENGTH_BYTES > self.limits.max_bytes;
        if (full && waiting > 0) || queue.frames >= self.limits.max_frames {
            return Err(Refusal::Full);
        }
        if codec::encode_frame(body, size, self.limits.max_frame_bytes, &mut queue.buffer).is_err()
        {
            return Err(Refusal::Full);
        }
        queue.frames += 1;
        drop(queue);
        self.ready.notify_one();
        Ok(())
    }

    /// Waits for frames and moves all of them into `into`, which is cleared
    /// first. Returns their number, or `None` once the queue is closed and empty.
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
        let mut queue = lock(&self.queue);
        queue.writing = 0;
        if queue.buffer.is_empty() {
            self.drained.notify_waiters();
            return queue.closed.then_some(None);
        }
        std::mem::swap(&mut queue.buffer, into);
        queue.writing = into.len();
        Some(Some(std::mem::take(&mut queue.frames)))
    }

    /// Closes the queue. Frames already queued are still written.
    pub(super) fn close(&self) {
        lock(&self.queue).closed = true;
        self.ready.notify_one();
    }

    /// Closes the queue if nothing is queued or being written. Returns whether it is
    /// closed.
    pub(super) fn close_if_empty(&self) -> bool {
        let mut queue = lock(&self.queue);
        if queue.buffer.is_empty() && queue.writing == 0 {
            queue.closed = true;
        }
        let closed = queue.closed;
        drop(queue);
        if closed {
            self.ready.notify_one();
        }
        closed
    }

    /// Closes the queue and discards its frames after the loss of the link.
    pub(super) fn discard(&self) {
        let mut queue = lock(&self.queue);
        queue.closed = true;
        queue.buffer.clear();
        queue.frames = 0;
        queue.writing = 0;
        drop(queue);
        self.drained.notify_waiters();
    }

    /// Waits until nothing is queued or being written.
    pub(super) async fn wait_flushed(&self) {
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
        let queue = lock(&self.queue);
        queue.buffer.is_empty() && queue.writing == 0
    }
}
