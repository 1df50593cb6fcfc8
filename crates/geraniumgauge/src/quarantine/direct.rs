//! Sends marks to every VM at once, beside the rumours.

use std::sync;

use tokio::sync::watch;

use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;

/// VMs that one VM tells itself; those it tells pass a mark on to a share each.
const FANOUT: usize = 48;

/// Rumours take seconds to reach everyone, and a caller's resend takes
/// milliseconds: a mark therefore goes straight to each VM as well. Above
/// `FANOUT` members the first receivers pass it on to their share, so that
/// no VM sends thousands of frames; one that doesn't hear is reached by rumour.
pub struct Direct {
    /// The members' gossip.
    pub gossip: sync::Arc<dyn quarantine::Spread>,
    /// The links.
    pub post: sync::Arc<dyn mesh::Sender>,
    /// The members.
    pub view: watch::Receiver<member::SharedView>,
}

impl Direct {
    /// Passes on a frame that asks for it, at the VM that received it.
    pub fn relay(&self, mark: &message::Mark) {
        if mark.relay == 0 {
            return;
        }
        let view = self.view.borrow().clone();
        let local = view.members.iter().position(|m| m.vm == view.local);
        let (Some(local), stride) = (local, mark.relay as usize) else {
            return;
        };
        let last = message::Mark {
            relay: 0,
            ..mark.clone()
        };
        let share = (1..).map(|n| local + n).take(stride - 1);
        let share = share.filter_map(|at| view.members.get(at % view.members.len()));
        for member in share.filter(|member| member.vm != view.local) {
            self.send(member, last.clone());
        }
    }

    fn send(&self, member: &member::Member, mark: message::Mark) {
        if let Err(error) = self.post.send(&member.vm, message::Body::Mark(mark)) {
            log::debug!("a mark waits for the rumours: {error}");
        }
    }
}

impl quarantine::Spread for Direct {
    fn publish(&self, rumour: member::Update) {
        let view = self.view.borrow().clone();
        let stride = view.members.len().div_ceil(FANOUT).max(1);
        let mark = message::Mark {
            key: rumour.key.clone(),
            version: rumour.version,
            body: rumour.body.clone(),
            relay: if stride > 1 { stride as u32 } else { 0 },
        };
        let heads = view.members.iter().step_by(stride);
        for member in heads.filter(|member| member.vm != view.local) {
            self.send(member, mark.clone());
        }
        self.gossip.publish(rumour);
    }
}
