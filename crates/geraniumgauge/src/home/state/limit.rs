//! Adaptive concurrency limit: at most the upstream's slots, fewer while the
//! upstream sheds calls.

use std::time;

use crate::time::Moment;

/// Added to the limit on each success.
const INCREASE: f64 = 0.125;
/// The limit is multiplied by this when the upstream sheds a call.
const DECREASE_FACTOR: f64 = 0.7;
/// First delay after a shed call at a limit below two; doubled each time.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(5);
/// Maximum number of times the delay is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Weight of one call in the moving share of shed calls.
const SHED_SHARE_WEIGHT: f64 = 1.0 / 16.0;
/// Suggested retry delay for an upstream that sheds every call.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Concurrency limit between one call and the number of slots, with additive
/// increase and multiplicative decrease.
#[derive(Debug)]
pub(super) struct Limit {
    slots: u32,
    limit: f64,
    /// Number of backoffs since the last success.
    backoffs: u32,
    backoff_until: Moment,
    decreased_at: Moment,
    /// Share of shed calls among recent ones, an exponential moving average.
    shed_share: f64,
}

impl Limit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            backoffs: 0,
            backoff_until: Moment::default(),
            decreased_at: Moment::default(),
            shed_share: 0.0,
        }
    }

    /// Returns how many calls may run at once, at least one; ignores the backoff.
    pub(super) fn calls(&self) -> u32 {
        // Truncation is intended: a limit of 1.9 lets one call run.
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Returns when the current backoff ends; no call is sent before.
    pub(super) fn backoff_until(&self) -> Moment {
        self.backoff_until
    }

    /// Returns how long callers should avoid this upstream after a shed call. A single
    /// shed has little weight. If the upstream keeps shedding, each call sent to it
    /// costs the coordinator a retry from a small budget.
    pub(super) fn retry_after(&self) -> time::Duration {
        MAX_RETRY_AFTER.mul_f64(self.shed_share)
    }

    pub(super) fn succeeded(&mut self) {
        self.backoffs = 0;
        self.shed_share -= self.shed_share * SHED_SHARE_WEIGHT;
        self.limit = (self.limit + INCREASE).min(f64::from(self.slots));
    }

    /// The upstream shed a call. Calls sent before the last decrease ran under the old
    /// limit and don't decrease it again.
    pub(super) fn shed(&mut self, sent: Moment, now: Moment) {
        self.shed_share += (1.0 - self.shed_share) * SHED_SHARE_WEIGHT;
        if sent < self.decreased_at {
            return;
        }
        self.decreased_at = now;
        if self.limit < 2.0 {
            let backoff = INITIAL_BACKOFF * 2_u32.pow(self.backoffs.min(MAX_BACKOFF_DOUBLINGS));
            self.backoffs += 1;
            self.backoff_until = now + backoff;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }

    /// The upstream has just started: the limit starts at one and grows from there.
    pub(super) fn slow_start(&mut self) {
        self.limit = 1.0;
    }
}
