//! Shard call times of one service, over the last seconds.

use std::time;

use crate::document;
use crate::time as clock;

/// Calls before any quantile is believed.
const ENOUGH: u64 = 64;
/// How long one histogram is filled before it becomes the older one.
const WINDOW: time::Duration = time::Duration::from_secs(5);
/// How often the quantiles are taken anew.
const REFRESH: time::Duration = time::Duration::from_millis(20);
/// Longest call time told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Significant digits of a call time.
const DIGITS: u8 = 2;

/// Call times in two windows that take turns.
#[derive(Debug)]
pub struct Times {
    young: hdrhistogram::Histogram<u64>,
    old: hdrhistogram::Histogram<u64>,
    since: clock::Moment,
    taken: Option<clock::Moment>,
}

/// Quantiles that searches go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Points {
    /// When a call is hedged.
    pub hedge: time::Duration,
    /// The median.
    pub typical: time::Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            young: empty(),
            old: empty(),
            since: clock::Moment::default(),
            taken: None,
        }
    }
}

impl Times {
    /// Counts call times.
    pub fn record(&mut self, spans: &[time::Duration], now: clock::Moment) {
        if now.since(self.since) > WINDOW {
            self.old = std::mem::replace(&mut self.young, empty());
            self.since = now;
        }
        for span in spans {
            self.young.saturating_record(clock::micros(*span).max(1));
        }
    }

    /// The quantiles, now and then; `None` in between and while too few calls
    /// are measured.
    pub fn points(&mut self, budgets: &document::Budgets, now: clock::Moment) -> Option<Points> {
        let waiting = self.taken.is_some_and(|taken| now.since(taken) < REFRESH);
        if waiting || self.young.len() + self.old.len() < ENOUGH {
            return None;
        }
        self.taken = Some(now);
        let mut both = self.young.clone();
        both.add(&self.old).ok()?;
        let at = |quantile| time::Duration::from_micros(both.value_at_quantile(quantile));
        Some(Points {
            hedge: at(quantile(budgets)),
            typical: at(0.5),
        })
    }
}

/// The document's quantile, but no earlier than what the budget pays for twice
/// over. At exactly the share that it pays, noise would empty the budget on
/// calls that are about to end, and the real stragglers would find it empty.
fn quantile(budgets: &document::Budgets) -> f64 {
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
    hdrhistogram::Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("valid bounds")
}
