//! One shard of a search.

use crate::query;
use crate::query::merge;

/// Calls of one shard that may run at once.
pub(super) const MOST_OPEN: usize = 3;

/// One shard.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    /// Its number in the plan.
    pub(super) shard: u32,
    /// How far it is.
    pub(super) state: State,
    /// Running calls, by their number.
    open: [u32; MOST_OPEN],
    open_len: u8,
    /// Replicas called at this pin, one bit each by their place in the shard.
    pub(super) tried: u64,
    /// Calls that failed at this pin.
    pub(super) fails: u32,
    /// Whether any call was sent at this pin.
    pub(super) called: bool,
    /// Whether a call was sent to another home for free already.
    pub(super) moved: bool,
    /// Why the last call failed.
    pub(super) reason: Option<query::Reason>,
}

/// How far a shard is.
#[derive(Debug, Clone)]
pub(super) enum State {
    /// No call at this pin yet.
    Unsent,
    /// Calls are running.
    Running,
    /// Its lead failed: its turn comes with the rest.
    Deferred,
    /// Waits for its next call to fall due; the answer waits with it.
    Scheduled,
    /// The budget refused its next call: it is asked again as long as others
    /// keep the answer waiting.
    Parked,
    /// Waits for the verdict or a trial.
    Held,
    /// Waits for the plan to be looked at again.
    Moving,
    /// Its own reply is here.
    Covered(merge::Found),
    /// Nothing more is tried.
    GivenUp,
}

impl Slot {
    pub(super) fn new(shard: u32) -> Self {
        Self {
            shard,
            state: State::Unsent,
            open: [0; MOST_OPEN],
            open_len: 0,
            tried: 0,
            fails: 0,
            called: false,
            moved: false,
            reason: None,
        }
    }

    pub(super) fn open(&self) -> &[u32] {
        &self.open[..usize::from(self.open_len)]
    }

    pub(super) fn push(&mut self, attempt: u32) {
        if let Some(free) = self.open.get_mut(usize::from(self.open_len)) {
            *free = attempt;
            self.open_len += 1;
        }
    }

    pub(super) fn remove(&mut self, attempt: u32) {
        let Some(at) = self.open().iter().position(|open| *open == attempt) else {
            return;
        };
        self.open_len -= 1;
        self.open[at] = self.open[usize::from(self.open_len)];
    }

    pub(super) fn covered(&self) -> bool {
        matches!(self.state, State::Covered(_))
    }

    /// Whether neither a reply nor a call is to come.
    pub(super) fn over(&self) -> bool {
        matches!(self.state, State::Covered(_) | State::GivenUp)
    }
}
