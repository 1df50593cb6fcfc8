//! How many calls may run at once: at most the slots, fewer where the upstream
//! shows that it can't take them.

use std::time;

use crate::time::Moment;

/// What a success adds to the limit.
const GROWTH: f64 = 0.125;
/// What is left of the limit after the upstream refused or failed a call.
const CUT: f64 = 0.7;
/// First pause after a refusal at a limit of one call; doubled each time.
const PAUSE: time::Duration = time::Duration::from_millis(5);
/// Doublings of the pause at most.
const DOUBLINGS: u32 = 6;

/// Weight of one call in the share of sheds.
const WEIGHT: f64 = 1.0 / 16.0;
/// How long an upstream that sheds everything is best left alone.
const LEAVE: time::Duration = time::Duration::from_secs(2);

/// Additive increase, multiplicative decrease, between one call and the slots.
#[derive(Debug)]
pub(super) struct Limit {
    slots: u32,
    limit: f64,
    refusals: u32,
    paused_until: Moment,
    cut_at: Moment,
    /// Share of the last calls that were shed.
    shed: f64,
}

impl Limit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            refusals: 0,
            paused_until: Moment::default(),
            cut_at: Moment::default(),
            shed: 0.0,
        }
    }

    /// Calls that may run now, before pauses: at least one.
    pub(super) fn calls(&self) -> u32 {
        // Truncation is meant: a limit of 1.9 lets one call run.
        (self.limit as u32).clamp(1, self.slots)
    }

    /// When the present pause ends.
    pub(super) fn paused_until(&self) -> Moment {
        self.paused_until
    }

    /// How long calls had better go elsewhere after a shed. One shed says
    /// little; of an upstream that keeps shedding, each call that comes back
    /// costs its entry a retry from a small budget.
    pub(super) fn leave_alone(&self) -> time::Duration {
        LEAVE.mul_f64(self.shed)
    }

    pub(super) fn succeeded(&mut self) {
        self.refusals = 0;
        self.shed -= self.shed * WEIGHT;
        self.limit = (self.limit + GROWTH).min(f64::from(self.slots));
    }

    /// The upstream refused a call or failed it. Calls sent before the last
    /// cut tell of the old limit and don't cut again.
    pub(super) fn failed(&mut self, sent: Moment, now: Moment) {
        self.shed += (1.0 - self.shed) * WEIGHT;
        if sent < self.cut_at {
            return;
        }
        self.cut_at = now;
        if self.limit < 2.0 {
            let pause = PAUSE * 2_u32.pow(self.refusals.min(DOUBLINGS));
            self.refusals += 1;
            self.paused_until = now + pause;
        }
        self.limit = (self.limit * CUT).max(1.0);
    }

    /// The upstream has just started: it is loaded step by step.
    pub(super) fn cold(&mut self) {
        self.limit = 1.0;
    }
}
