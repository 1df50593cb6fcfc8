//! Estimates how late events occur relative to their due time.

use std::time;

/// Upper bound of the estimate. Compensating for a larger lag wouldn't help.
const MAX_LAG: time::Duration = time::Duration::from_millis(20);

/// Weights for samples above and below the estimate. Their ratio determines the
/// quantile that the estimate follows: 0.18 to 0.02 yields nine of ten.
const P90_WEIGHTS: Weights = Weights {
    later: 0.18,
    earlier: 0.02,
};
/// Weights for an estimate of about the 97th percentile.
const P97_WEIGHTS: Weights = Weights {
    later: 0.16,
    earlier: 0.005,
};

#[derive(Debug, Clone, Copy)]
struct Weights {
    later: f64,
    earlier: f64,
}

/// Moving estimate of a high quantile of delays: how late this process acts on its
/// timers, or how late another VM's messages arrive. A process that has only a
/// fraction of a core must wait until it is scheduled.
#[derive(Debug, Clone, Copy)]
pub struct Lag {
    seconds: f64,
    weights: Weights,
}

impl Lag {
    /// Creates an estimate that about 90 of 100 samples don't exceed.
    pub fn p90() -> Self {
        Self {
            seconds: 0.0,
            weights: P90_WEIGHTS,
        }
    }

    /// Creates an estimate that about 97 of 100 samples don't exceed.
    pub fn p97() -> Self {
        Self {
            seconds: MAX_LAG.as_secs_f64() / 2.0,
            weights: P97_WEIGHTS,
        }
    }

    /// Adds a sample of lateness.
    pub fn add(&mut self, late: time::Duration) {
        let late = late.min(MAX_LAG).as_secs_f64();
        let weight = if late > self.seconds {
            self.weights.later
        } else {
            self.weights.earlier
        };
        self.seconds += weight * (late - self.seconds);
    }

    /// Returns the estimate.
    pub fn get(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }
}
