//! One call of a search.

use crate::mesh::message;
use crate::time as clock;

/// One call.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// The slot it is for.
    pub(super) slot: u32,
    /// The replica, by its number in the plan.
    pub(super) replica: u32,
    /// The home, by its number in the plan.
    pub(super) vm: u32,
    /// When it was sent.
    pub(super) sent: clock::Moment,
    /// Why it was sent.
    pub(super) kind: message::Kind,
    /// Whether it has ended; a reply to an ended call is dropped.
    pub(super) ended: bool,
    /// Whether it was cancelled from here and no reply has come since. It may
    /// have crashed its upstream before the cancel came there.
    pub(super) recalled: bool,
}

impl Attempt {
    /// Whether a reply to it counts.
    pub(super) fn running(&self) -> bool {
        !self.ended
    }
}
