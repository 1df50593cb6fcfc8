//! Sends replies to their coordinators, several in one frame where possible.

use std::collections;
use std::mem;
use std::sync;
use std::time;

use prost::Message as _;

use super::state;
use crate::ids;
use crate::mesh;
use crate::mesh::message;
use crate::time::micros;
use crate::timer;
use crate::upstream;

/// Target size of a frame of replies; a single larger reply gets its own frame.
const TARGET_FRAME_BYTES: usize = 128 * 1024;
/// Delay before another attempt when a mesh link's queue is full.
const FULL_QUEUE_DELAY: time::Duration = time::Duration::from_millis(2);

/// Queue of answers to send. A separate task sends them: a frame to this VM itself is
/// delivered at once, and its receiver may call back into the state that has just
/// answered.
pub(super) struct Outbox {
    sender: sync::Arc<dyn mesh::Sender>,
    timer: timer::Service,
    waiting: sync::Mutex<Waiting>,
    changed: tokio::sync::Notify,
}

#[derive(Default)]
struct Waiting {
    replies: collections::BTreeMap<ids::Vm, collections::VecDeque<message::Reply>>,
    records: Vec<(ids::Vm, message::RecordReply)>,
    /// Set while the sending task holds replies that it has not sent yet.
    sending: bool,
}

impl Outbox {
    pub(super) fn new(sender: sync::Arc<dyn mesh::Sender>, timer: timer::Service) -> Self {
        Self {
            sender,
            timer,
            waiting: sync::Mutex::default(),
            changed: tokio::sync::Notify::new(),
        }
    }

    pub(super) fn push(&self, answer: state::Answer) {
        let mut waiting = self.lock();
        let to = answer.job.id.coordinator.clone();
        if answer.job.is_record() {
            waiting.records.push((to, record_reply(answer)));
        } else {
            let replies = waiting.replies.entry(to).or_default();
            replies.push_back(search_reply(answer));
        }
        drop(waiting);
        self.changed.notify_one();
    }

    pub(super) fn is_empty(&self) -> bool {
        let waiting = self.lock();
        waiting.replies.is_empty() && waiting.records.is_empty() && !waiting.sending
    }

    fn lock(&self) -> sync::MutexGuard<'_, Waiting> {
        self.waiting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sends queued answers until the timer service is stopped.
    pub(super) async fn run(self: sync::Arc<Self>) {
        loop {
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.timer.stop().cancelled() => return,
            }
            let (batches, records) = {
                let mut waiting = self.lock();
                waiting.sending = true;
                (
                    mem::take(&mut waiting.replies),
                    mem::take(&mut waiting.records),
                )
            };
            for (vm, reply) in records {
                self.send_record(&vm, reply).await;
            }
            for (vm, replies) in batches {
                self.send(&vm, replies).await;
            }
            self.lock().sending = false;
        }
    }

    async fn send(&self, vm: &ids::Vm, mut replies: collections::VecDeque<message::Reply>) {
        while !replies.is_empty() {
            let frame = take_frame(&mut replies);
            if self.send_frame(vm, frame).await.is_none() {
                return;
            }
        }
    }

    /// Sends the reply to a record. Returns `None` if it is dropped.
    async fn send_record(&self, vm: &ids::Vm, reply: message::RecordReply) -> Option<()> {
        loop {
            let body = message::Body::RecordReply(reply.clone());
            match self.sender.send(vm, body) {
                Ok(()) => return Some(()),
                Err(mesh::Error::Full { .. }) => {
                    self.timer.sleep(FULL_QUEUE_DELAY).await.then_some(())?;
                }
                Err(error) => {
                    log::warn!("dropping the reply to a record: {error}");
                    return None;
                }
            }
        }
    }

    /// Sends one frame. Returns `None` if nothing more can be sent to the VM.
    async fn send_frame(&self, vm: &ids::Vm, replies: Vec<message::Reply>) -> Option<()> {
        let mut frame = message::Replies { replies };
        loop {
            let body = message::Body::Replies(frame.clone());
            match self.sender.send(vm, body) {
                Ok(()) => return Some(()),
                Err(mesh::Error::Full { .. }) => {
                    self.timer.sleep(FULL_QUEUE_DELAY).await.then_some(())?;
                }
                Err(mesh::Error::Large { .. }) => drop_largest_body(&mut frame)?,
                Err(error) => {
                    log::debug!("dropping replies: {error}");
                    return None;
                }
            }
        }
    }
}

/// Clears the largest body in a frame that is too large and marks its reply as failed,
/// so that the coordinator learns of it at once. Returns `None` if no body is left.
fn drop_largest_body(frame: &mut message::Replies) -> Option<()> {
    let large = frame
        .replies
        .iter_mut()
        .max_by_key(|reply| reply.body.len());
    let large = large.filter(|reply| !reply.body.is_empty())?;
    large.body.clear();
    large.outcome = message::Outcome::Failed.into();
    Some(())
}

fn search_reply(answer: state::Answer) -> message::Reply {
    let shard = match &answer.job.work {
        state::Work::Search { shard, .. } | state::Work::Record { shard, .. } => shard,
    };
    let layout = match &answer.job.work {
        state::Work::Search { batch, .. } => batch.layout,
        state::Work::Record { record, .. } => record.layout,
    };
    let reply = answer.reply;
    let empty = || upstream::Reply::bare(upstream::Outcome::Unsent);
    let reply = reply.unwrap_or_else(empty);
    message::Reply {
        attempt: answer.job.id.attempt,
        upstream: answer.job.upstream.to_string(),
        shard: shard.to_string(),
        outcome: answer.outcome.into(),
        index_version: reply.index_version.0,
        layout,
        oldest: reply.oldest.0,
        newest: reply.newest.0,
        body: reply.body,
        queued_us: micros(answer.queued),
        upstream_us: micros(answer.ran),
        retry_after_us: micros(answer.retry_after),
    }
}

fn record_reply(answer: state::Answer) -> message::RecordReply {
    message::RecordReply {
        attempt: answer.job.id.attempt,
        outcome: answer.outcome.into(),
        body: answer.reply.map(|reply| reply.body).unwrap_or_default(),
    }
}

fn take_frame(replies: &mut collections::VecDeque<message::Reply>) -> Vec<message::Reply> {
    let mut frame = Vec::new();
    let mut bytes = 0;
    while let Some(next) = replies.front() {
        bytes += next.encoded_len();
        if !frame.is_empty() && bytes > TARGET_FRAME_BYTES {
            break;
        }
        frame.extend(replies.pop_front());
    }
    frame
}
