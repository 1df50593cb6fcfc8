//! How long calls of one route usually take.

use std::cell;
use std::time;

/// Step of the estimate, as a share of it. With 2 in 100 it follows a change by
/// half within some 35 calls and isn't moved by single stragglers.
const STEP: f64 = 0.02;
/// Bounds of the estimate, as shares of the route's aim.
const LEAST: f64 = 0.02;
const MOST: f64 = 0.5;
/// Where the estimate starts, as a share of the route's aim.
const START: f64 = 0.12;

/// A running estimate of the median time of a route's calls.
#[derive(Debug)]
pub struct Times {
    aim: cell::Cell<time::Duration>,
    median: cell::Cell<time::Duration>,
}

impl Times {
    /// For a route with this aim.
    pub fn new(aim: time::Duration) -> Self {
        Self {
            aim: cell::Cell::new(aim),
            median: cell::Cell::new(aim.mul_f64(START)),
        }
    }

    /// Follows a changed aim.
    pub fn set_aim(&self, aim: time::Duration) {
        self.aim.set(aim);
    }

    /// Takes the time of one call.
    pub fn add(&self, took: time::Duration) {
        let median = self.median.get();
        let moved = if took > median {
            median.mul_f64(1.0 + STEP)
        } else {
            median.mul_f64(1.0 - STEP)
        };
        let aim = self.aim.get();
        self.median
            .set(moved.clamp(aim.mul_f64(LEAST), aim.mul_f64(MOST)));
    }

    /// The median.
    pub fn median(&self) -> time::Duration {
        self.median.get()
    }
}
