//! The state of one shard of a search.

use crate::query;
use crate::query::merge;

/// Calls of one shard that may run at the same time.
pub(super) const MAX_OPEN_CALLS: usize = 3;

/// A shard of the search.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    /// Index of the shard in the plan.
    pub(super) shard: u32,
    /// The shard's state.
    pub(super) state: State,
    /// Indexes of the running attempts; the first `open_len` are valid.
    open: [u32; MAX_OPEN_CALLS],
    open_len: u8,
    /// Replicas already called, as a bit mask over their positions in the shard.
    /// Cleared before a delayed retry and after a failed lead call.
    pub(super) tried: u64,
    /// Number of failed calls at this pin.
    pub(super) failures: u32,
    /// Set once a call was sent at this pin.
    pub(super) called: bool,
    /// Set once a call was moved to another home without using the retry budget.
    pub(super) moved: bool,
    /// Reason of the last failure.
    pub(super) reason: Option<query::Reason>,
}

/// The state of a shard.
#[derive(Debug, Clone)]
pub(super) enum State {
    /// No call has been sent at the present pin.
    Unsent,
    /// Calls are running.
    Running,
    /// Its lead call failed; it is called again in the fan-out.
    Deferred,
    /// Waits for the delay before its next call. The answer waits for it.
    Scheduled,
    /// The retry budget refused its next call. It tries again later, but the
    /// answer doesn't wait for it.
    AwaitingBudget,
    /// Waits for the quarantine verdict or an isolated trial.
    Held,
    /// Waits for a new plan because its home has moved.
    AwaitingPlan,
    /// Has a valid reply.
    Covered(merge::ShardHits),
    /// No further call is made.
    GivenUp,
}

impl State {
    /// Returns the state's name, for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Running => "running",
            Self::Deferred => "deferred",
            Self::Scheduled => "scheduled",
            Self::AwaitingBudget => "awaiting budget",
            Self::Held => "held",
            Self::AwaitingPlan => "awaiting plan",
            Self::Covered(_) => "covered",
            Self::GivenUp => "given up",
        }
    }
}

impl Slot {
    pub(super) fn new(shard: u32) -> Self {
        Self {
            shard,
            state: State::Unsent,
            open: [0; MAX_OPEN_CALLS],
            open_len: 0,
            tried: 0,
            failures: 0,
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

    /// Returns whether the shard is covered or given up.
    pub(super) fn is_final(&self) -> bool {
        matches!(self.state, State::Covered(_) | State::GivenUp)
    }
}
