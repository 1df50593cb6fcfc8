//! Counts what is refused or ended for lack of room, and logs it at most once a second.

use std::cell;
use std::fmt;
use std::time;

use crate::edge;

/// Shortest time between two log lines of the same cause.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why something was refused or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub(super) enum Cause {
    /// A request was refused: no memory is left for its bytes.
    #[display("request_memory")]
    RequestMemory,
    /// A connection was ended to make room for others' messages.
    #[display("ended_for_memory")]
    EndedForMemory,
    /// A connection was ended to make room for other connections.
    #[display("ended_for_connections")]
    EndedForConnections,
    /// A new connection was closed, as none of the others could be ended.
    #[display("connection_closed")]
    ConnectionClosed,
    /// A body came too slowly.
    #[display("slow_body")]
    SlowBody,
}

const CAUSES: usize = 5;

/// What was refused or ended so far. Clones share the counts.
#[derive(Debug, Clone)]
pub(super) struct Overload {
    instruments: edge::Instruments,
    unlogged: std::rc::Rc<[Unlogged; CAUSES]>,
}

#[derive(Debug, Default)]
struct Unlogged {
    count: cell::Cell<u64>,
    logged_at: cell::Cell<Option<tokio::time::Instant>>,
}

impl Overload {
    pub(super) fn new(instruments: edge::Instruments) -> Self {
        Self {
            instruments,
            unlogged: std::rc::Rc::default(),
        }
    }

    /// Counts one refusal or end. `details` are logged if the last line is old enough.
    pub(super) fn count(&self, cause: Cause, details: fmt::Arguments<'_>) {
        self.instruments.refused(cause);
        let unlogged = &self.unlogged[cause as usize];
        unlogged.count.set(unlogged.count.get() + 1);
        let now = tokio::time::Instant::now();
        let logged_at = unlogged.logged_at.get();
        if logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        unlogged.logged_at.set(Some(now));
        let count = unlogged.count.replace(0);
        log::warn!(cause:% = cause, count = count, last:% = details; "overload");
    }
}
