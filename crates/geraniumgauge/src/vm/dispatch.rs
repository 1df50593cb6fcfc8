//! Routes mesh frames and gossip updates to the components that handle them.

use std::sync;

use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use crate::document;
use crate::home;
use crate::ids;
use crate::ledger;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;
use crate::query;

/// Components that handle frames.
pub(super) struct Targets {
    pub(super) home: home::Service,
    pub(super) query: query::Service,
    pub(super) ledger: ledger::Service,
    pub(super) document: document::Service,
    pub(super) quarantine: quarantine::Service,
    pub(super) broadcast: sync::Arc<quarantine::Broadcast>,
}

/// Receiver of the mesh's frames. The mesh starts before the components, which send
/// through it. Frames that arrive before [`Self::set`] are dropped, as if the VM had
/// started a moment later.
#[derive(Default)]
pub(super) struct Dispatch {
    targets: sync::OnceLock<Targets>,
}

impl Dispatch {
    /// Sets the components that handle frames. Only the first call has an effect.
    pub(super) fn set(&self, targets: Targets) {
        let _ = self.targets.set(targets);
    }
}

impl mesh::Receiver for Dispatch {
    fn receive(&self, from: &ids::Vm, body: message::Body) {
        let Some(targets) = self.targets.get() else {
            return;
        };
        match body {
            message::Body::Batch(batch) => targets.home.batch(from, batch),
            message::Body::Cancel(cancel) => targets.home.cancel(from, cancel),
            message::Body::Record(record) => targets.home.record(from, record),
            message::Body::Replies(replies) => targets.query.replies(from, replies),
            message::Body::RecordReply(reply) => targets.ledger.receive_record_reply(from, reply),
            message::Body::Register(register) => targets.ledger.receive_register(from, register),
            message::Body::Registered(done) => targets.ledger.receive_registered(from, done),
            message::Body::Pull(pull) => targets.document.pull(from, pull),
            message::Body::Pulled(pulled) => targets.document.pulled(from, pulled),
            message::Body::Mark(mark) => {
                targets.broadcast.relay(&mark);
                targets.quarantine.receive_mark(&mark);
            }
            message::Body::Inquiry(inquiry) => targets.home.inquiry(from, inquiry),
            message::Body::Report(report) => targets.query.report(&report),
            message::Body::Bye(_)
            | message::Body::Hello(_)
            | message::Body::Heartbeat(_)
            | message::Body::HeartbeatReply(_) => {}
        }
    }

    fn link_lost(&self, vm: &ids::Vm) {
        let Some(targets) = self.targets.get() else {
            return;
        };
        targets.home.link_lost(vm);
        targets.query.link_lost(vm);
        targets.ledger.link_lost(vm);
    }

    fn link_not_opened(&self, vm: &ids::Vm) {
        let Some(targets) = self.targets.get() else {
            return;
        };
        targets.home.link_lost(vm);
        targets.query.link_not_opened(vm);
        targets.ledger.link_lost(vm);
    }
}

/// Passes gossip updates about marks of suspect requests to the quarantine until
/// `stop` is cancelled.
pub(super) async fn forward_marks(
    mut updates: broadcast::Receiver<member::Update>,
    quarantine: quarantine::Service,
    stop: CancellationToken,
) {
    loop {
        let received = tokio::select! {
            received = updates.recv() => received,
            () = stop.cancelled() => return,
        };
        match received {
            Ok(update) if update.topic == member::Topic::Mark => {
                quarantine.receive_update(&update);
            }
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

impl quarantine::Publisher for member::Service {
    fn publish(&self, update: member::Update) {
        self.publish(update);
    }
}

impl document::Gossip for member::Service {
    fn publish(&self, update: member::Update) {
        self.publish(update);
    }

    fn updates(&self) -> broadcast::Receiver<member::Update> {
        self.updates()
    }
}
