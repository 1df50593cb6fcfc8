//! Estimates the typical latency of one route's calls.

use std::cell;
use std::time;

/// Relative change of the estimate per call. At 2 in 100, it follows a change
/// by half within some 35 calls and is hardly moved by single stragglers.
const STEP: f64 = 0.02;
/// Bounds of the estimate, as shares of the route's latency target.
const MIN_SHARE: f64 = 0.02;
const MAX_SHARE: f64 = 0.5;
/// Initial estimate, as a share of the route's latency target.
const INITIAL_SHARE: f64 = 0.12;

/// Moving estimate of the median latency of a route's calls.
#[derive(Debug)]
pub struct Latency {
    target: cell::Cell<time::Duration>,
    median: cell::Cell<time::Duration>,
}

impl Latency {
    /// Creates the estimate for a route with this latency target.
    pub fn new(target: time::Duration) -> Self {
        Self {
            target: cell::Cell::new(target),
            median: cell::Cell::new(target.mul_f64(INITIAL_SHARE)),
        }
    }

    /// Changes the latency target.
    pub fn set_target(&self, target: time::Duration) {
        self.target.set(target);
    }

    /// Adds the time that one call took.
    pub fn add(&self, took: time::Duration) {
        let median = self.median.get();
        let moved = if took > median {
            median.mul_f64(1.0 + STEP)
        } else {
            median.mul_f64(1.0 - STEP)
        };
        let target = self.target.get();
        self.median
            .set(moved.clamp(target.mul_f64(MIN_SHARE), target.mul_f64(MAX_SHARE)));
    }

    /// Returns the estimated median.
    pub fn median(&self) -> time::Duration {
        self.median.get()
    }
}
