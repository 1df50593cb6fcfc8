//! The pool of connections to one upstream and the calls that wait for one.

use std::collections;

use crate::forward;
use crate::ids;
use crate::time as clock;

/// Maximum number of connections from one VM to one upstream, whatever the upstream's
/// limit. Calls beyond the upstream's slots would only be queued there.
const MAX_LINKS: u32 = 6;
/// Share of an upstream's connection limit that all VMs together use. The rest is for
/// connections that are being closed and for VMs that aren't counted yet.
const USABLE_LIMIT_SHARE: f64 = 0.85;

/// The id of a connection, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub(super) struct Link(pub(super) u64);

/// A call that waits for a connection.
#[derive(Debug)]
pub(super) struct Waiting {
    /// Identifies the call.
    pub(super) call: ids::Attempt,
    permit: forward::Permit,
}

impl Waiting {
    /// Creates an entry for a call that `permit` allows.
    pub(super) fn new(call: ids::Attempt, permit: forward::Permit) -> Self {
        Self { call, permit }
    }

    /// Uses up the permit to send the call.
    pub(super) fn send(self) -> ids::Attempt {
        self.permit.use_up();
        self.call
    }
}

/// The connections to one upstream.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Idle connections and the time at which each became idle, the most recently used
    /// one last.
    pub(super) idle: Vec<(Link, clock::Moment)>,
    /// Number of connections that are open or being opened.
    pub(super) links: u32,
    /// Number of connections that are being opened.
    pub(super) opening: u32,
    /// Calls that wait for a connection, in order.
    pub(super) waiting: collections::VecDeque<Waiting>,
}

impl Pool {
    /// Returns how many connections a VM may have to an upstream, given its `share` of
    /// the upstream's limit. Always at least one, without which it couldn't serve.
    pub(super) fn allowed(share: f64) -> u32 {
        // Rounds down, since all shares together must not exceed the limit.
        ((share * USABLE_LIMIT_SHARE) as u32).clamp(1, MAX_LINKS)
    }

    /// Returns whether to open another connection for the calls that wait.
    pub(super) fn needs_link(&self, allowed: u32) -> bool {
        self.waiting.len() > self.opening as usize && self.links < allowed
    }

    /// Removes a connection from the idle ones, if it is among them.
    pub(super) fn remove_idle(&mut self, link: Link) {
        self.idle.retain(|(idle, _)| *idle != link);
    }
}
