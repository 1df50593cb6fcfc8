//! OpenTelemetry instruments of the ledger.

use opentelemetry::metrics;

use crate::query;
use crate::store;

/// The ledger's counters.
#[derive(Debug, Clone)]
pub(super) struct Instruments {
    claims: metrics::Counter<u64>,
    commits: metrics::Counter<u64>,
    settled: metrics::Counter<u64>,
    repeats: metrics::Counter<u64>,
    unsettled: metrics::Counter<u64>,
    refusals: metrics::Counter<u64>,
    retries: metrics::Counter<u64>,
}

impl Instruments {
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            claims: counter("geraniumgauge_ledger_claims", "Claims granted."),
            commits: counter(
                "geraniumgauge_ledger_commits",
                "Updates of a bucket, by result.",
            ),
            settled: counter(
                "geraniumgauge_ledger_unsure_settled",
                "Updates with a lost reply that were settled afterwards.",
            ),
            repeats: counter(
                "geraniumgauge_ledger_repeats",
                "Requests whose key had a claim, by its state.",
            ),
            unsettled: counter(
                "geraniumgauge_ledger_unsettled",
                "Records sent whose end isn't known.",
            ),
            refusals: counter(
                "geraniumgauge_ledger_refusals",
                "Refusals, by code and whether the request may have run.",
            ),
            retries: counter(
                "geraniumgauge_ledger_retries",
                "Records sent to another replica after one that did not run.",
            ),
        }
    }

    pub(super) fn claim(&self) {
        self.claims.add(1, &[]);
    }

    pub(super) fn commit(&self, error: Option<&store::Error>) {
        let result = match error {
            None => "done",
            Some(store::Error::Conflict { .. }) => "conflict",
            Some(store::Error::Unconfirmed { .. }) => "unsure",
            Some(_) => "failed",
        };
        let label = opentelemetry::KeyValue::new("result", result);
        self.commits.add(1, &[label]);
    }

    pub(super) fn unconfirmed_resolved(&self, count: u64) {
        self.settled.add(count, &[]);
    }

    pub(super) fn repeat(&self, state: &'static str) {
        let label = opentelemetry::KeyValue::new("state", state);
        self.repeats.add(1, &[label]);
    }

    pub(super) fn unsettled(&self) {
        self.unsettled.add(1, &[]);
    }

    pub(super) fn refusal(&self, refusal: &query::Refusal) {
        let labels = [
            opentelemetry::KeyValue::new("code", refusal.code.to_string()),
            opentelemetry::KeyValue::new("ran", refusal.ran.to_string()),
        ];
        self.refusals.add(1, &labels);
    }

    pub(super) fn retry(&self) {
        self.retries.add(1, &[]);
    }
}
