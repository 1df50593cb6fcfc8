//! The connections to one upstream, and the calls that wait for one.

use std::collections;

use crate::ids;
use crate::time as clock;

/// Connections to one upstream that one VM opens at most, whatever the limit:
/// more than an upstream's slots only queue there.
const MOST: u32 = 6;
/// Part of an upstream's connection limit that all VMs together use. The rest
/// is for connections that are closing and for VMs not counted yet.
const USED: f64 = 0.85;

/// A connection's id, never used again while the process lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub(super) struct Link(pub(super) u64);

/// The connections to one upstream.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Idle connections, the one used last at the end.
    pub(super) idle: Vec<(Link, clock::Moment)>,
    /// Connections open or being opened.
    pub(super) links: u32,
    /// Connections being opened.
    pub(super) opening: u32,
    /// Calls that wait for a connection.
    pub(super) waiting: collections::VecDeque<ids::Attempt>,
}

impl Pool {
    /// Connections that a VM whose part of an upstream's limit is `share` may
    /// have to it. At least one: a VM without any couldn't serve.
    pub(super) fn allowed(share: f64) -> u32 {
        // Truncation is meant: the shares together must not exceed the limit.
        ((share * USED) as u32).clamp(1, MOST)
    }

    /// Whether another connection is to be opened for the calls that wait.
    pub(super) fn wants_link(&self, allowed: u32) -> bool {
        self.waiting.len() > self.opening as usize && self.links < allowed
    }

    /// Takes a connection off the idle ones.
    pub(super) fn forget_idle(&mut self, link: Link) {
        self.idle.retain(|(idle, _)| *idle != link);
    }
}
