//! Waits between tries at the store.

use std::time;

/// Exponential waits with full jitter, so that VMs which lost the store
/// together don't come back together.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: time::Duration,
    most: time::Duration,
    failures: u32,
}

impl Backoff {
    /// Waits of up to `first` after the first failure, doubling up to `most`.
    pub fn new(first: time::Duration, most: time::Duration) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// The wait after one more failure. `random` is uniform from 0 to 1.
    pub fn failed(&mut self, random: f64) -> time::Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        doubled.min(self.most).mul_f64(random.clamp(0.0, 1.0))
    }

    /// Starts again after a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
#[path = "tests/backoff.rs"]
mod tests;
