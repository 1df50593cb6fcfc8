//! How long the upstream takes for a call, as seen from here.

use std::time;

use crate::time::micros;

/// Samples after which the older half is forgotten.
const WINDOW: u64 = 256;
/// Samples needed before the figures are believed.
const ENOUGH: u64 = 8;
/// Figures are worked out again after this many samples.
const REFRESH: u64 = 8;
/// Weight of one sample in the mean.
const WEIGHT: f64 = 0.05;
/// Longest time counted, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Quantile beyond which a call counts as slow.
const SLOW: f64 = 0.95;

/// Running figures over the last few hundred calls.
#[derive(Debug)]
pub(super) struct Times {
    recent: Option<hdrhistogram::Histogram<u32>>,
    older: Option<hdrhistogram::Histogram<u32>>,
    seen: u64,
    mean_us: f64,
    median: time::Duration,
    slow: Option<time::Duration>,
}

fn histogram() -> Option<hdrhistogram::Histogram<u32>> {
    hdrhistogram::Histogram::new_with_bounds(1, LONGEST_US, 2).ok()
}

impl Times {
    pub(super) fn new() -> Self {
        Self {
            recent: histogram(),
            older: histogram(),
            seen: 0,
            mean_us: 0.0,
            median: time::Duration::ZERO,
            slow: None,
        }
    }

    pub(super) fn record(&mut self, took: time::Duration) {
        let us = micros(took).clamp(1, LONGEST_US);
        self.seen += 1;
        let weight = WEIGHT.max(1.0 / self.seen as f64);
        self.mean_us += (us as f64 - self.mean_us) * weight;
        if let Some(recent) = &mut self.recent {
            recent.saturating_record(us);
        }
        if self.seen.is_multiple_of(WINDOW) {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.iter_mut().for_each(|recent| recent.reset());
        }
        if self.seen >= ENOUGH && (self.seen <= WINDOW || self.seen.is_multiple_of(REFRESH)) {
            self.refresh();
        }
    }

    /// Forgets what was seen, but for a mean that the next samples soon move.
    pub(super) fn forget(&mut self) {
        let all = self.recent.iter_mut().chain(&mut self.older);
        all.for_each(|times| times.reset());
        self.seen = self.seen.min(ENOUGH);
        self.slow = None;
    }

    fn refresh(&mut self) {
        let (Some(recent), Some(older)) = (&self.recent, &self.older) else {
            return;
        };
        let mut both = recent.clone();
        if both.add(older).is_err() {
            return;
        }
        let at = |quantile| time::Duration::from_micros(both.value_at_quantile(quantile));
        self.median = at(0.5);
        self.slow = Some(at(SLOW));
    }

    /// Mean; zero where not known yet.
    pub(super) fn mean(&self) -> time::Duration {
        if self.seen < ENOUGH {
            return time::Duration::ZERO;
        }
        time::Duration::from_micros(self.mean_us as u64)
    }

    /// Median; zero where not known yet.
    pub(super) fn median(&self) -> time::Duration {
        self.median
    }

    /// The time that few calls exceed; `None` where not known yet.
    pub(super) fn slow(&self) -> Option<time::Duration> {
        self.slow
    }
}
