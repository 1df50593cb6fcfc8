//! Whether a link still carries what is sent over it.
//!
//! A connection can go silent for good while new ones work: something between
//! the two ends has lost track of it, writes succeed and nothing arrives. A
//! link that carries frames is therefore asked for a sign of life each tick; a
//! link with nothing unanswered is left alone, so a quiet mesh costs nothing.
//! Ticks are counted instead of time: a VM that was paused sees one tick on
//! waking, not proof that its peers were silent.

/// What happens on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// Frames were queued.
    Sent,
    /// The peer answered heartbeat `0`.
    Answered(u64),
    /// A tick passed.
    Tick,
}

/// What to do about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Send this heartbeat.
    Beat(u64),
    /// Close the link: the peer has not answered in time.
    Silent,
    /// Close the link in order: it hasn't been used for long.
    Idle,
}

/// How many ticks to wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Ticks without an answer until a link counts as silent.
    pub(super) silent: u32,
    /// Ticks without frames until a link is closed.
    pub(super) idle: u32,
}

/// The state of one link.
#[derive(Debug)]
pub(super) struct Pulse {
    limits: Limits,
    /// Frames were sent since the newest heartbeat.
    fresh: bool,
    /// Newest heartbeat sent.
    beat: u64,
    /// Newest heartbeat answered.
    answered: u64,
    /// Ticks since an answer was first awaited.
    waited: u32,
    /// Ticks since a frame was sent.
    unused: u32,
}

impl Pulse {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            fresh: false,
            beat: 0,
            answered: 0,
            waited: 0,
            unused: 0,
        }
    }

    pub(super) fn handle(&mut self, event: Event) -> Option<Action> {
        match event {
            Event::Sent => {
                self.fresh = true;
                self.unused = 0;
                None
            }
            Event::Answered(beat) => {
                if beat > self.answered && beat <= self.beat {
                    self.answered = beat;
                    self.waited = 0;
                }
                None
            }
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) -> Option<Action> {
        self.unused = self.unused.saturating_add(1);
        let awaiting = self.beat > self.answered;
        if awaiting {
            self.waited += 1;
            if self.waited >= self.limits.silent {
                return Some(Action::Silent);
            }
        }
        if self.fresh {
            self.fresh = false;
            self.beat += 1;
            return Some(Action::Beat(self.beat));
        }
        if !awaiting && self.unused >= self.limits.idle {
            return Some(Action::Idle);
        }
        None
    }
}

#[cfg(test)]
#[path = "tests/pulse.rs"]
mod tests;
