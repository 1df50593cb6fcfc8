//! Quantiles of one service's shard call times over the last seconds.

use std::time;

use crate::document;
use crate::time as clock;

/// Minimum number of recorded calls for a quantile.
const MIN_SAMPLES: u64 = 64;
/// Time that one histogram is filled before it becomes the old one.
const HISTOGRAM_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Minimum time between two computations of the quantiles.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Longest call time that the histograms distinguish, in microseconds.
const MAX_CALL_TIME_US: u64 = 60_000_000;
/// Significant digits of recorded call times.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Call times in two histograms that rotate.
#[derive(Debug)]
pub struct Times {
    current: hdrhistogram::Histogram<u64>,
    previous: hdrhistogram::Histogram<u64>,
    since: clock::Moment,
    refreshed: Option<clock::Moment>,
}

/// Quantiles of the call time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quantiles {
    /// Time after which a call is hedged.
    pub hedge: time::Duration,
    /// The median call time.
    pub typical_call_time: time::Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            current: empty(),
            previous: empty(),
            since: clock::Moment::default(),
            refreshed: None,
        }
    }
}

impl Times {
    /// Records call times.
    pub fn record(&mut self, call_times: &[time::Duration], now: clock::Moment) {
        if now.since(self.since) > HISTOGRAM_WINDOW {
            self.previous = std::mem::replace(&mut self.current, empty());
            self.since = now;
        }
        for span in call_times {
            self.current.saturating_record(clock::micros(*span).max(1));
        }
    }

    /// Returns the quantiles; `None` if the last computation is too recent or too
    /// few calls are recorded.
    pub fn quantiles(
        &mut self,
        budgets: &document::Budgets,
        now: clock::Moment,
    ) -> Option<Quantiles> {
        let waiting = self
            .refreshed
            .is_some_and(|refreshed| now.since(refreshed) < REFRESH_INTERVAL);
        if waiting || self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        self.refreshed = Some(now);
        let mut both = self.current.clone();
        both.add(&self.previous).ok()?;
        let at = |quantile| time::Duration::from_micros(both.value_at_quantile(quantile));
        Some(Quantiles {
            hedge: at(hedge_quantile(budgets)),
            typical_call_time: at(0.5),
        })
    }
}

/// Returns the quantile at which calls are hedged: the document's, but no lower
/// than one that hedges half of what the budget pays for. Hedging all of what it
/// pays for, noise would spend the budget on calls that are about to end and
/// leave none for the real stragglers.
fn hedge_quantile(budgets: &document::Budgets) -> f64 {
    budgets
        .hedge_quantile
        .get()
        .max(1.0 - budgets.hedge.get() / 2.0)
}

#[expect(
    clippy::expect_used,
    reason = "the bounds are constants that every test uses"
)]
fn empty() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_CALL_TIME_US, SIGNIFICANT_DIGITS)
        .expect("valid bounds")
}
