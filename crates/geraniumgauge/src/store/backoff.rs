//! Exponential backoff between retries.

use std::time;

/// Exponential delays with full jitter, so that VMs that lost the store at the same
/// time don't all retry at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: time::Duration,
    max: time::Duration,
    failures: u32,
}

impl Backoff {
    /// Delays up to `initial` after the first failure; the bound doubles with each
    /// further one, up to `max`.
    pub fn new(initial: time::Duration, max: time::Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next try. `random` is
    /// uniformly distributed from 0 to 1.
    pub fn failed(&mut self, random: f64) -> time::Duration {
        let doubled = self.initial.saturating_mul(1 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        doubled.min(self.max).mul_f64(random.clamp(0.0, 1.0))
    }

    /// Records a success: the next delay is bounded by the initial one again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
#[path = "tests/backoff.rs"]
mod tests;
