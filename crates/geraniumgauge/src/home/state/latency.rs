//! Latency of the upstream's calls, as measured by this home.

use std::time;

use crate::time::micros;

/// Number of samples after which the older histogram is dropped.
const WINDOW_SAMPLES: u64 = 256;
/// Number of samples needed before an estimate is given.
const MIN_SAMPLES: u64 = 8;
/// Quantiles are recomputed after this many samples.
const UPDATE_SAMPLES: u64 = 8;
/// Weight of one sample in the moving mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Longest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Quantile above which a call counts as slow.
const SLOW_QUANTILE: f64 = 0.95;

/// Latency estimates from the last few hundred calls.
#[derive(Debug)]
pub(super) struct Latency {
    recent: Option<hdrhistogram::Histogram<u32>>,
    older: Option<hdrhistogram::Histogram<u32>>,
    samples: u64,
    mean_us: f64,
    median: time::Duration,
    slow: Option<time::Duration>,
}

fn histogram() -> Option<hdrhistogram::Histogram<u32>> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok()
}

impl Latency {
    pub(super) fn new() -> Self {
        Self {
            recent: histogram(),
            older: histogram(),
            samples: 0,
            mean_us: 0.0,
            median: time::Duration::ZERO,
            slow: None,
        }
    }

    pub(super) fn record(&mut self, latency: time::Duration) {
        let us = micros(latency).clamp(1, MAX_LATENCY_US);
        self.samples += 1;
        let weight = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        self.mean_us += (us as f64 - self.mean_us) * weight;
        if let Some(recent) = &mut self.recent {
            recent.saturating_record(us);
        }
        if self.samples.is_multiple_of(WINDOW_SAMPLES) {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.iter_mut().for_each(|recent| recent.reset());
        }
        if self.samples >= MIN_SAMPLES
            && (self.samples <= WINDOW_SAMPLES || self.samples.is_multiple_of(UPDATE_SAMPLES))
        {
            self.update_quantiles();
        }
    }

    /// Drops the samples and the p95 latency. The mean stays, but new samples soon
    /// outweigh it.
    pub(super) fn reset(&mut self) {
        let all = self.recent.iter_mut().chain(&mut self.older);
        all.for_each(|histogram| histogram.reset());
        self.samples = self.samples.min(MIN_SAMPLES);
        self.slow = None;
    }

    fn update_quantiles(&mut self) {
        let (Some(recent), Some(older)) = (&self.recent, &self.older) else {
            return;
        };
        let mut both = recent.clone();
        if both.add(older).is_err() {
            return;
        }
        let at = |quantile| time::Duration::from_micros(both.value_at_quantile(quantile));
        self.median = at(0.5);
        self.slow = Some(at(SLOW_QUANTILE));
    }

    /// Returns the mean latency; zero if not known yet.
    pub(super) fn mean(&self) -> time::Duration {
        if self.samples < MIN_SAMPLES {
            return time::Duration::ZERO;
        }
        time::Duration::from_micros(self.mean_us as u64)
    }

    /// Returns the median latency; zero if not known yet.
    pub(super) fn median(&self) -> time::Duration {
        self.median
    }

    /// Returns the p95 latency; `None` if not known yet.
    pub(super) fn slow(&self) -> Option<time::Duration> {
        self.slow
    }
}
