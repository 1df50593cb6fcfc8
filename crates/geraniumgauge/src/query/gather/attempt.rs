//! One call of a search.

use crate::mesh::message;
use crate::time as clock;

/// The end of a failed call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Failure {
    pub(super) outcome: message::Outcome,
    pub(super) at: clock::Moment,
}

/// A call of one shard at one replica.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// Index of the slot that it is for.
    pub(super) slot: u32,
    /// Index of the replica in the plan.
    pub(super) replica: u32,
    /// Number of the home, as given by `homes::Homes`.
    pub(super) vm: u32,
    /// Time when it was sent.
    pub(super) sent: clock::Moment,
    /// Reason for sending it.
    pub(super) kind: message::Kind,
    /// Set once it has ended; later replies are dropped.
    pub(super) ended: bool,
    /// Set when it failed without having left this VM.
    pub(super) unsent: bool,
    /// How it failed, if it did.
    pub(super) failure: Option<Failure>,
    /// Set when this search cancelled it and no reply has arrived since. It may
    /// have crashed its upstream before the cancel took effect.
    pub(super) cancel_unconfirmed: bool,
}

impl Attempt {
    /// Returns whether it has not ended.
    pub(super) fn running(&self) -> bool {
        !self.ended
    }
}
