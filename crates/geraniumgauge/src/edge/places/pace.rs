//! How fast a message comes or goes.

use std::time;

use crate::rate;

/// Bytes that each message has ahead of its first byte.
const HEAD_START: rate::Bytes = rate::Bytes(48 << 10);
/// Time after which earlier bytes hardly count for the rate of a message any more.
const PACE_TIME: time::Duration = time::Duration::from_millis(500);

/// How fast a message has come or gone lately.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Number of bytes so far.
    moved: rate::Bytes,
    /// Number of bytes, of which those count less that are longer ago.
    recent: f64,
    at: tokio::time::Instant,
}

impl Pace {
    pub(super) fn start(now: tokio::time::Instant) -> Self {
        Self {
            moved: rate::Bytes(0),
            recent: HEAD_START.0 as f64,
            at: now,
        }
    }

    /// Returns the pace after `moved` bytes in all until `now`.
    pub(super) fn moved(self, moved: rate::Bytes, now: tokio::time::Instant) -> Self {
        let new = moved.0.saturating_sub(self.moved.0);
        Self {
            moved,
            recent: self.recent(now) + new as f64,
            at: now,
        }
    }

    fn recent(self, now: tokio::time::Instant) -> f64 {
        let span = (now - self.at).as_secs_f64();
        self.recent * (-span / PACE_TIME.as_secs_f64()).exp()
    }

    /// Returns the rate at `now`.
    pub(super) fn rate(self, now: tokio::time::Instant) -> rate::BytesPerSecond {
        rate::BytesPerSecond(self.recent(now) / PACE_TIME.as_secs_f64())
    }
}
