//! Whether an upstream takes work, from what is seen and what it says.
//!
//! What is seen outweighs what is said: reports lag and lie. A report alone
//! never stops an upstream's work, it only makes the home careful; a refused
//! call stops it, a call that succeeds opens it again.

use std::time;

use crate::time::Moment;
use crate::upstream;

/// How long a refusal as draining holds where no other sign contradicts it;
/// doubled with each refusal after such a wait.
const HOLD: time::Duration = time::Duration::from_secs(20);
/// How long a report of draining leaves room for a call that proves it wrong.
const TEST: time::Duration = time::Duration::from_secs(1);
/// Doublings of the hold at most.
const DOUBLINGS: u32 = 4;

/// What a home does with calls for the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stand {
    /// It takes work.
    Open,
    /// Signs differ: one call at a time, until one succeeds.
    Doubtful,
    /// It has refused work as draining: none is sent.
    Draining,
    /// It doesn't answer new connections: none is sent.
    Down,
}

#[derive(Debug)]
pub(super) struct Standing {
    stand: Stand,
    since: Moment,
    /// Times it was held as draining since the last success.
    holds: u32,
    /// The present hold began with a refused call, not with a report.
    refused: bool,
    /// A report of draining has been seen since the first such refusal.
    confessed: bool,
    /// Its connections broke while it was draining: it has gone.
    gone: bool,
    /// Reports of draining were proven wrong by a success.
    lies: bool,
    /// When the last call that succeeded was sent.
    success_sent: Option<Moment>,
}

impl Standing {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            stand: Stand::Open,
            since: now,
            holds: 0,
            refused: false,
            confessed: false,
            gone: false,
            lies: false,
            success_sent: None,
        }
    }

    pub(super) fn stand(&self) -> Stand {
        self.stand
    }

    /// Whether a call sent at `since` or later has succeeded.
    pub(super) fn worked_since(&self, since: Moment) -> bool {
        self.success_sent.is_some_and(|sent| sent >= since)
    }

    pub(super) fn is_down(&self) -> bool {
        self.stand == Stand::Down
    }

    fn enter(&mut self, stand: Stand, now: Moment) {
        if self.stand != stand {
            self.stand = stand;
            self.since = now;
        }
    }

    /// When the present state ends by itself. A drain that was both seen and
    /// reported ends only when the report is withdrawn or the upstream goes.
    pub(super) fn held_until(&self) -> Option<Moment> {
        let doublings = self.holds.saturating_sub(1).min(DOUBLINGS);
        match self.stand {
            Stand::Draining if self.refused && self.confessed => None,
            Stand::Draining => Some(self.since + HOLD * 2_u32.pow(doublings)),
            Stand::Doubtful if self.confessed => Some(self.since + TEST),
            Stand::Doubtful | Stand::Open | Stand::Down => None,
        }
    }

    /// A call that was sent at `sent` succeeded.
    pub(super) fn succeeded(&mut self, sent: Moment, now: Moment) {
        self.success_sent = self.success_sent.max(Some(sent));
        let stale = matches!(self.stand, Stand::Draining | Stand::Down) && sent <= self.since;
        if stale {
            return;
        }
        if self.stand == Stand::Doubtful && self.confessed {
            self.lies = true;
        }
        self.holds = 0;
        self.confessed = false;
        self.enter(Stand::Open, now);
    }

    /// A call was refused as draining.
    pub(super) fn refused(&mut self, now: Moment) {
        self.lies = false;
        self.refused = true;
        self.hold(now);
    }

    fn hold(&mut self, now: Moment) {
        if self.stand != Stand::Draining {
            self.holds += 1;
            self.gone = false;
        }
        self.enter(Stand::Draining, now);
    }

    /// A running call's connection broke.
    pub(super) fn broke(&mut self, now: Moment) {
        match self.stand {
            Stand::Draining => self.gone = true,
            Stand::Open => self.enter(Stand::Doubtful, now),
            Stand::Doubtful | Stand::Down => {}
        }
    }

    /// No connection can be had.
    pub(super) fn unreachable(&mut self, now: Moment) {
        self.enter(Stand::Down, now);
    }

    /// A new connection answered; true where the upstream has come back.
    pub(super) fn reached(&mut self, now: Moment) -> bool {
        let back = self.stand == Stand::Down || (self.stand == Stand::Draining && self.gone);
        if back {
            self.gone = false;
            self.confessed = false;
            self.enter(Stand::Doubtful, now);
        }
        back
    }

    /// Time passes; a hold may end.
    pub(super) fn tick(&mut self, now: Moment) {
        if self.held_until().is_none_or(|until| now < until) {
            return;
        }
        if self.stand == Stand::Draining {
            self.enter(Stand::Doubtful, now);
        } else {
            self.refused = false;
            self.hold(now);
        }
    }

    /// A report that tells what held `age` ago.
    pub(super) fn hint(&mut self, status: upstream::Status, age: time::Duration, now: Moment) {
        let told_at = Moment(now.0.saturating_sub(crate::time::micros(age)));
        let draining = status == upstream::Status::Draining;
        match self.stand {
            Stand::Open if draining => self.doubt(told_at, now),
            Stand::Open => self.lies = false,
            Stand::Doubtful => self.confessed = draining,
            Stand::Draining if draining => self.confessed = true,
            // A report of draining that is withdrawn: the drain was called off.
            // A report that never told of it proves nothing.
            Stand::Draining if self.confessed && told_at >= self.since => {
                self.confessed = false;
                self.enter(Stand::Doubtful, now);
            }
            Stand::Draining | Stand::Down => {}
        }
    }

    fn doubt(&mut self, told_at: Moment, now: Moment) {
        let outdated = self.success_sent.is_some_and(|sent| told_at <= sent);
        if !outdated && !self.lies {
            self.confessed = true;
            self.enter(Stand::Doubtful, now);
        }
    }
}
