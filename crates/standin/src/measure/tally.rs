//! Aggregates the samples of searches into figures and violations.

use std::collections;

use geraniumgauge::layout;

use crate::measure::check;
use crate::measure::load;
use crate::measure::outcome;

/// Highest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Counters and latencies of many searches of one service.
#[derive(Debug)]
pub struct Tally {
    latency: hdrhistogram::Histogram<u64>,
    sent: u64,
    answered: u64,
    in_time: u64,
    complete: u64,
    shards: u64,
    covered: u64,
    lost: u64,
    refused: collections::BTreeMap<String, u64>,
    missing: collections::BTreeMap<String, u64>,
    violations: Vec<outcome::Violation>,
}

impl Default for Tally {
    fn default() -> Self {
        #[expect(clippy::expect_used, reason = "the bounds are constants")]
        let latency =
            hdrhistogram::Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid bounds");
        Self {
            latency,
            sent: 0,
            answered: 0,
            in_time: 0,
            complete: 0,
            shards: 0,
            covered: 0,
            lost: 0,
            refused: collections::BTreeMap::new(),
            missing: collections::BTreeMap::new(),
            violations: Vec::new(),
        }
    }
}

impl Tally {
    /// Checks and counts one search.
    pub fn add(
        &mut self,
        layout: &layout::Layout,
        query: &serde_json::Value,
        sample: &load::Sample,
    ) {
        self.sent += 1;
        self.violations.extend(check::search(layout, query, sample));
        let Ok(reply) = &sample.reply else {
            self.lost += 1;
            return;
        };
        if reply.status != 200 {
            let code = reply.body["error"]["code"]
                .as_str()
                .unwrap_or("none")
                .to_owned();
            *self.refused.entry(code).or_default() += 1;
            return;
        }
        self.answered += 1;
        self.in_time += u64::from(sample.took <= sample.deadline);
        let coverage = &reply.body["coverage"];
        self.complete += u64::from(coverage["complete"] == true);
        self.shards += coverage["shards"].as_u64().unwrap_or(0);
        self.covered += coverage["covered"].as_u64().unwrap_or(0);
        for missing in coverage["missing"].as_array().into_iter().flatten() {
            let reason = missing["reason"].as_str().unwrap_or("none").to_owned();
            *self.missing.entry(reason).or_default() += 1;
        }
        let micros = u64::try_from(sample.took.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latency.saturating_record(micros);
    }

    /// Returns the number of searches sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of searches answered within their deadlines.
    pub fn in_time(&self) -> u64 {
        self.in_time
    }

    /// Returns the figures and violations. `calls_arrived` is the number of shard calls
    /// that reached the upstreams during these searches.
    pub fn outcome(self, calls_arrived: u64) -> outcome::Outcome {
        let mut out = outcome::Outcome::default();
        let share = |part: u64, total: u64| part as f64 / total.max(1) as f64;
        for (name, quantile) in [("p50_ms", 0.5), ("p99_ms", 0.99), ("p999_ms", 0.999)] {
            out.set_figure(name, self.latency.value_at_quantile(quantile) as f64 / 1e3);
        }
        out.set_figure("sent", self.sent as f64);
        out.set_figure("answered_share", share(self.answered, self.sent));
        out.set_figure("in_time_share", share(self.in_time, self.sent));
        out.set_figure("complete_share", share(self.complete, self.answered));
        out.set_figure("coverage_share", share(self.covered, self.shards));
        out.set_figure("lost", self.lost as f64);
        out.set_figure(
            "extra_load_share",
            calls_arrived as f64 / self.shards.max(1) as f64 - 1.0,
        );
        for (code, count) in &self.refused {
            out.set_figure(format!("refused_{code}"), *count as f64);
        }
        for (reason, count) in &self.missing {
            out.set_figure(format!("missing_{reason}"), *count as f64);
        }
        out.violations = self.violations;
        out
    }
}
