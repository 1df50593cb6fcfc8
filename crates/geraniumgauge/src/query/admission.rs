//! How many searches of one service run at once at this entry.
//!
//! The document's limit is the VM's share of the service. Below it the limit
//! follows what the homes say: where calls are refused for load, or wait long
//! in queues, fewer searches whole are worth more than many in part. Fewer are
//! let in then, and the others are refused before anything is sent.

use std::time;

use crate::time as clock;

/// Least searches that may run, however loaded the upstreams are.
const LEAST: f64 = 2.0;
/// What is kept of the limit under congestion.
const CUT: f64 = 0.85;
/// Least time between two cuts: the first one must show its effect.
const HOLD: time::Duration = time::Duration::from_millis(100);

/// What one search met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// Room.
    Free,
    /// Refusals for load, or long queues.
    Congested,
}

/// The searches of one service that run here.
#[derive(Debug, Clone)]
pub struct Limit {
    limit: f64,
    running: u32,
    cut: Option<clock::Moment>,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            limit: f64::INFINITY,
            running: 0,
            cut: None,
        }
    }
}

impl Limit {
    /// Lets one search in, where fewer than `most` and than the limit run.
    pub fn admit(&mut self, most: u32) -> bool {
        self.limit = self.limit.min(f64::from(most)).max(LEAST);
        let room = self.running < most && f64::from(self.running) < self.limit;
        if room {
            self.running += 1;
        }
        room
    }

    /// One search has ended.
    pub fn done(&mut self, sign: Sign, now: clock::Moment) {
        let used = f64::from(self.running) * 2.0 > self.limit;
        self.running = self.running.saturating_sub(1);
        match sign {
            Sign::Free if used => self.limit += 1.0 / self.limit,
            Sign::Free => {}
            Sign::Congested => self.congested(now),
        }
    }

    fn congested(&mut self, now: clock::Moment) {
        if self.cut.is_some_and(|cut| now.since(cut) < HOLD) {
            return;
        }
        self.cut = Some(now);
        let present = self.limit.min(f64::from(self.running + 1));
        self.limit = (present * CUT).max(LEAST);
    }

    /// Searches that run now.
    pub fn running(&self) -> u32 {
        self.running
    }
}
