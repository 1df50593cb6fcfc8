//! Sends marks directly to every VM, in addition to gossip.

use std::sync;

use tokio::sync::watch;

use crate::ids;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;

/// Maximum number of VMs to which the publishing VM sends a mark. Where there are
/// more members, each of these forwards it to a group of the others.
const MAX_FIRST_RECEIVERS: usize = 48;

/// Sends marks directly to every VM. Gossip takes seconds to reach all VMs, but a
/// caller may resend a request within milliseconds, so each mark is sent both ways.
/// Above `MAX_FIRST_RECEIVERS` members the first receivers forward the mark to a
/// group of members each, so that no VM sends thousands of frames. A VM that misses
/// the frame is reached by gossip.
pub struct Broadcast {
    /// Publishes the mark by gossip.
    pub gossip: sync::Arc<dyn quarantine::Publisher>,
    /// Sends frames to the other VMs.
    pub sender: sync::Arc<dyn mesh::Sender>,
    /// Current members.
    pub view: watch::Receiver<member::SharedView>,
}

impl Broadcast {
    /// Forwards a received mark to the members of this VM's group if the frame asks
    /// for it.
    pub fn relay(&self, mark: &message::Mark) {
        if mark.relay_group_size == 0 {
            return;
        }
        let view = self.view.borrow().clone();
        let local = view.members.iter().position(|m| m.vm == view.local);
        let (Some(local), stride) = (local, mark.relay_group_size as usize) else {
            return;
        };
        let forwarded = message::Mark {
            relay_group_size: 0,
            ..mark.clone()
        };
        let group = (1..).map(|n| local + n).take(stride - 1);
        let group = group.filter_map(|at| view.members.get(at % view.members.len()));
        for member in group.filter(|member| member.vm != view.local) {
            self.send_frame(&member.vm, forwarded.clone());
        }
    }

    fn send_frame(&self, to: &ids::Vm, mark: message::Mark) {
        if let Err(error) = self.sender.send(to, message::Body::Mark(mark)) {
            log::debug!("mark not sent directly, left to gossip: {error}");
        }
    }
}

impl quarantine::Publisher for Broadcast {
    fn publish(&self, update: member::Update) {
        let view = self.view.borrow().clone();
        let stride = view.members.len().div_ceil(MAX_FIRST_RECEIVERS).max(1);
        let mark = message::Mark {
            key: update.key.clone(),
            version: update.version,
            body: update.body.clone(),
            relay_group_size: if stride > 1 { stride as u32 } else { 0 },
        };
        let first_receivers = view.members.iter().step_by(stride);
        for member in first_receivers.filter(|member| member.vm != view.local) {
            self.send_frame(&member.vm, mark.clone());
        }
        self.gossip.publish(update);
    }

    fn send(&self, to: &ids::Vm, update: member::Update) {
        let mark = message::Mark {
            key: update.key,
            version: update.version,
            body: update.body,
            relay_group_size: 0,
        };
        self.send_frame(to, mark);
    }
}
