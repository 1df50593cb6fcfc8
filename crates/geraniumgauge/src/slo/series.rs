//! Counts over time, in slices that are merged into wider ones with age.

use std::collections;
use std::time;

use crate::slo;
use crate::time as clock;

const MINUTE_MS: u64 = 60_000;

/// Slice widths and the ages up to which slices of that width are kept, both in
/// milliseconds. The report's windows are 5 minutes, 1 hour, 6 hours and 3 days.
const TIERS: [(u64, u64); 3] = [
    (MINUTE_MS, 10 * MINUTE_MS),
    (5 * MINUTE_MS, 370 * MINUTE_MS),
    (60 * MINUTE_MS, (72 + 2) * 60 * MINUTE_MS),
];

/// Counts of one service over time, in at most about 160 slices.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Series {
    slices: Vec<Slice>,
}

/// Counts of the period from `start` that lasts `width` milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Slice {
    #[serde(rename = "s")]
    start: clock::Wall,
    #[serde(rename = "w")]
    width: u64,
    #[serde(rename = "c")]
    counts: slo::Counts,
}

impl Series {
    /// Returns the counts of the minute that contains `now`.
    pub fn at(&mut self, now: clock::Wall) -> &mut slo::Counts {
        self.slice(floor(now, MINUTE_MS), MINUTE_MS)
    }

    /// Adds the counts of another series.
    pub fn add(&mut self, other: &Self) {
        for slice in &other.slices {
            self.slice(slice.start, slice.width).add(&slice.counts);
        }
    }

    /// Returns whether the series has no slices.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Merges aged slices and removes those that are older than every window.
    pub fn compact(&mut self, now: clock::Wall) {
        let mut merged = collections::BTreeMap::<(clock::Wall, u64), slo::Counts>::new();
        for slice in self.slices.drain(..) {
            let age = clock::millis(now.since(slice.start));
            let fits = |(width, kept): &&(u64, u64)| slice.width <= *width && age <= *kept;
            let Some((width, _)) = TIERS.iter().find(fits) else {
                continue;
            };
            let start = floor(slice.start, *width);
            merged
                .entry((start, *width))
                .or_default()
                .add(&slice.counts);
        }
        let slices = merged.into_iter().map(|((start, width), counts)| Slice {
            start,
            width,
            counts,
        });
        self.slices = slices.collect();
    }

    /// Returns the counts of the last `window`. A slice that lies partly within is
    /// counted in full, so the sum may cover up to one slice's width more.
    pub fn window(&self, now: clock::Wall, window: time::Duration) -> slo::Counts {
        let from = now.0.saturating_sub(clock::millis(window));
        let mut sum = slo::Counts::default();
        let within = |slice: &&Slice| slice.start.0 + slice.width > from;
        let slices = self.slices.iter().filter(within);
        slices.for_each(|slice| sum.add(&slice.counts));
        sum
    }

    /// Returns the start and counts of every slice, oldest first.
    pub fn points(&self) -> Vec<(clock::Wall, &slo::Counts)> {
        let slices = self.slices.iter();
        let mut points: Vec<_> = slices.map(|slice| (slice.start, &slice.counts)).collect();
        points.sort_by_key(|(start, _)| *start);
        points
    }

    fn slice(&mut self, start: clock::Wall, width: u64) -> &mut slo::Counts {
        let matches = |slice: &Slice| slice.start == start && slice.width == width;
        let at = match self.slices.iter().rposition(matches) {
            Some(at) => at,
            None => {
                self.slices.push(Slice {
                    start,
                    width,
                    counts: slo::Counts::default(),
                });
                self.slices.len() - 1
            }
        };
        &mut self.slices[at].counts
    }
}

fn floor(moment: clock::Wall, width: u64) -> clock::Wall {
    clock::Wall(moment.0 - moment.0 % width)
}

#[cfg(test)]
#[path = "tests/series.rs"]
mod tests;
