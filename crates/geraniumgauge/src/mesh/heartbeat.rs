//! Detects links that no longer deliver frames, by heartbeats.
//!
//! A connection can stop delivering for good while new ones work: a device on the
//! path has dropped its state, writes succeed and nothing arrives. A heartbeat is
//! therefore sent on each tick after frames were sent. A link without new frames
//! gets none, so an idle mesh costs nothing. Ticks are counted instead of time: a
//! VM that was paused sees one tick when it resumes, and doesn't take the pause for
//! silence of its peers.

/// An input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// A frame was queued on the link.
    FrameQueued,
    /// The peer answered the heartbeat of this number.
    Answered(u64),
    /// A tick of the timer.
    Tick,
}

/// An output of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Send the heartbeat of this number.
    Send(u64),
    /// Abort the link, because the peer has not answered in time.
    Silent,
    /// Close the link cleanly, because it has been idle for the limit.
    Idle,
}

/// Limits in ticks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Ticks without an answer after which a link counts as silent.
    pub(super) silent_ticks: u32,
    /// Ticks without frames after which a link is closed.
    pub(super) idle_ticks: u32,
}

/// Heartbeat state of one link.
#[derive(Debug)]
pub(super) struct Monitor {
    limits: Limits,
    /// Set when frames were queued since the newest heartbeat.
    frames_since_heartbeat: bool,
    /// Number of the newest heartbeat sent.
    last_sent: u64,
    /// Number of the newest heartbeat answered.
    last_answered: u64,
    /// Ticks spent waiting since the last answer.
    ticks_waiting: u32,
    /// Ticks since a frame was last queued.
    ticks_idle: u32,
}

impl Monitor {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            frames_since_heartbeat: false,
            last_sent: 0,
            last_answered: 0,
            ticks_waiting: 0,
            ticks_idle: 0,
        }
    }

    pub(super) fn handle(&mut self, event: Event) -> Option<Action> {
        match event {
            Event::FrameQueued => {
                self.frames_since_heartbeat = true;
                self.ticks_idle = 0;
                None
            }
            Event::Answered(number) => {
                if number > self.last_answered && number <= self.last_sent {
                    self.last_answered = number;
                    self.ticks_waiting = 0;
                }
                None
            }
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) -> Option<Action> {
        self.ticks_idle = self.ticks_idle.saturating_add(1);
        let awaiting = self.last_sent > self.last_answered;
        if awaiting {
            self.ticks_waiting += 1;
            if self.ticks_waiting >= self.limits.silent_ticks {
                return Some(Action::Silent);
            }
        }
        if self.frames_since_heartbeat {
            self.frames_since_heartbeat = false;
            self.last_sent += 1;
            return Some(Action::Send(self.last_sent));
        }
        if !awaiting && self.ticks_idle >= self.limits.idle_ticks {
            return Some(Action::Idle);
        }
        None
    }
}

#[cfg(test)]
#[path = "tests/heartbeat.rs"]
mod tests;
