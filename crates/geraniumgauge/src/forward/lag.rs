//! How late things come that were due at a known point in time.

use std::time;

/// Largest estimate. Beyond it, acting on it wouldn't help any more.
const MOST: time::Duration = time::Duration::from_millis(20);

/// Weights by which an estimate follows later and earlier ones. Their ratio says
/// which part of all comes by it: nine of ten.
const USUAL: Weights = Weights {
    up: 0.18,
    down: 0.02,
};
/// Likewise for some 97 of 100.
const RARE: Weights = Weights {
    up: 0.16,
    down: 0.005,
};

#[derive(Debug, Clone, Copy)]
struct Weights {
    up: f64,
    down: f64,
}

/// A running estimate of how late most of something comes: this process's own
/// turns after a timer's point, or the messages of another VM. On a part of a
/// core, a turn has to wait for the others.
#[derive(Debug, Clone, Copy)]
pub struct Lag {
    seconds: f64,
    weights: Weights,
}

impl Lag {
    /// Nine of ten come by the estimate.
    pub fn usual() -> Self {
        Self {
            seconds: 0.0,
            weights: USUAL,
        }
    }

    /// Some 97 of 100 come by the estimate.
    pub fn rare() -> Self {
        Self {
            seconds: MOST.as_secs_f64() / 2.0,
            weights: RARE,
        }
    }

    /// Takes how late one came.
    pub fn add(&mut self, late: time::Duration) {
        let late = late.min(MOST).as_secs_f64();
        let weight = if late > self.seconds {
            self.weights.up
        } else {
            self.weights.down
        };
        self.seconds += weight * (late - self.seconds);
    }

    /// The estimate.
    pub fn get(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }
}
