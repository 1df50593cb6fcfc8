//! What a VM has heard of an upstream since its own start.

use std::time;

use crate::time as clock;

/// What this VM has heard of an upstream since its own start.
///
/// An extra call that this VM made before a restart may still wait at an upstream
/// that doesn't read. The upstream has read everything from before the start once it
/// answers a call that was made since. One that is silent for long also loses its
/// registration, as it misses its heartbeats; it may go on before it has that back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Contact {
    /// No call has ended yet.
    #[default]
    None,
    /// All calls were given up without a reply.
    Silent,
    /// It answered at that time, for the first time, after it was silent, or its
    /// registration came back.
    Resumed(clock::Moment),
    /// It answered the first call, or what was sent to it before can't arrive any more.
    Answered,
}

impl Contact {
    /// Handles a reply at `now`.
    pub(super) fn answered(&mut self, now: clock::Moment) {
        match self {
            Self::None => *self = Self::Answered,
            Self::Silent => *self = Self::Resumed(now),
            Self::Resumed(_) | Self::Answered => {}
        }
    }

    /// Handles the return of the upstream's registration at `now`.
    pub(super) fn returned(&mut self, now: clock::Moment) {
        if matches!(self, Self::None | Self::Silent) {
            *self = Self::Resumed(now);
        }
    }

    /// Handles a call that was given up without a reply.
    pub(super) fn given_up(&mut self) {
        if *self == Self::None {
            *self = Self::Silent;
        }
    }

    /// Returns whether calls from before the start may arrive now, or did so within the
    /// last `window`.
    pub(super) fn may_have_waiting(self, window: time::Duration, now: clock::Moment) -> bool {
        match self {
            Self::None | Self::Answered => false,
            Self::Silent => true,
            Self::Resumed(at) => now.since(at) < window,
        }
    }
}
