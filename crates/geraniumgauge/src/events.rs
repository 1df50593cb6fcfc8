//! A queue of events in virtual time, for tests of several state machines that share
//! one clock.

use std::collections;

use crate::time as clock;

/// Events ordered by due time; those due at the same time keep the order in which
/// they were pushed.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    due: collections::BTreeMap<(clock::Moment, u64), T>,
    pushed: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            due: collections::BTreeMap::new(),
            pushed: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an event that is due at `at`.
    pub(crate) fn push(&mut self, at: clock::Moment, event: T) {
        self.pushed += 1;
        self.due.insert((at, self.pushed), event);
    }

    /// Removes and returns the next event that is due at or before `until`, with its due
    /// time.
    pub(crate) fn pop(&mut self, until: clock::Moment) -> Option<(clock::Moment, T)> {
        let first = self.due.first_entry()?;
        let at = first.key().0;
        (at <= until).then(|| (at, first.remove()))
    }
}
