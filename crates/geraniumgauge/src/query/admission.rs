//! Limits how many searches of one service run at the same time on this VM.
//!
//! The document sets the maximum. Below it the limit adapts to congestion: when homes
//! refuse calls because of overload or queue them for a long time, fewer searches are
//! admitted and the others are refused before any call is sent, since a few complete
//! answers are worth more than many partial ones.

use std::time;

use crate::time as clock;

/// Minimum of the limit, however loaded the upstreams are.
const MIN_LIMIT: f64 = 2.0;
/// Factor that the limit is multiplied by on congestion.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two reductions, so that the first can take effect.
const MIN_DECREASE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The load that one search observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// No congestion.
    Free,
    /// Calls were refused because of overload or queued for a long time.
    Congested,
}

/// The adaptive limit and the number of running searches of one service.
#[derive(Debug, Clone)]
pub struct Limit {
    limit: f64,
    running: u32,
    last_decrease: Option<clock::Moment>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            running: 0,
            last_decrease: None,
        }
    }
}

impl Limit {
    /// Admits one search if fewer than `max` and fewer than the limit are running.
    pub fn admit(&mut self, max: u32) -> bool {
        self.limit = self.limit.min(f64::from(max)).max(MIN_LIMIT);
        let admitted = self.running < max && f64::from(self.running) < self.limit;
        if admitted {
            self.running += 1;
        }
        admitted
    }

    /// Records the end of one search and adapts the limit: additive increase while
    /// more than half of it is used, multiplicative decrease on congestion.
    pub fn finish(&mut self, load: Load, now: clock::Moment) {
        let used = f64::from(self.running) * 2.0 > self.limit;
        self.running = self.running.saturating_sub(1);
        match load {
            Load::Free if used => self.limit += 1.0 / self.limit,
            Load::Free => {}
            Load::Congested => self.reduce_limit(now),
        }
    }

    /// Reduces the limit, unless it was reduced a moment ago.
    fn reduce_limit(&mut self, now: clock::Moment) {
        if self
            .last_decrease
            .is_some_and(|last_decrease| now.since(last_decrease) < MIN_DECREASE_INTERVAL)
        {
            return;
        }
        self.last_decrease = Some(now);
        let current = self.limit.min(f64::from(self.running + 1));
        self.limit = (current * DECREASE_FACTOR).max(MIN_LIMIT);
    }

    /// Returns the number of running searches.
    pub fn running(&self) -> u32 {
        self.running
    }
}
