//! How late this process acts on its own timers.

use std::time;

/// Weights by which the estimate follows later and earlier turns: together they
/// keep it at about the ninth of ten.
const UP: f64 = 0.18;
const DOWN: f64 = 0.02;
/// Largest estimate. Beyond it, answering earlier wouldn't help any more.
const MOST: time::Duration = time::Duration::from_millis(20);

/// A running estimate of the time between a timer's point and the turn in which
/// it is handled. On a part of a core, a turn has to wait for the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    seconds: f64,
}

impl Lag {
    /// Takes how late one turn came.
    pub fn add(&mut self, late: time::Duration) {
        let late = late.min(MOST).as_secs_f64();
        let weight = if late > self.seconds { UP } else { DOWN };
        self.seconds += weight * (late - self.seconds);
    }

    /// The estimate.
    pub fn get(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }
}
