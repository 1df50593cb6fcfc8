//! Metrics of searches.

use opentelemetry::KeyValue;
use opentelemetry::metrics;

use crate::ids;
use crate::query;
use crate::query::gather;

/// OpenTelemetry instruments of searches.
#[derive(Debug)]
pub(super) struct Instruments {
    answers: metrics::Counter<u64>,
    refusals: metrics::Counter<u64>,
    missing: metrics::Counter<u64>,
    calls: metrics::Counter<u64>,
    unpaid: metrics::Counter<u64>,
    overloads: metrics::Counter<u64>,
    cancels: metrics::Counter<u64>,
    restarts: metrics::Counter<u64>,
}

impl Instruments {
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            answers: counter("query.answers", "Answers, by whether they are complete"),
            refusals: counter("query.refusals", "Refused searches, by code"),
            missing: counter("query.missing", "Missing shards, by reason"),
            calls: counter("query.calls", "Shard calls, by why they were made"),
            unpaid: counter("query.unpaid", "Hedges and retries that the budget refused"),
            overloads: counter("query.overloads", "Calls shed or refused as late"),
            cancels: counter("query.cancels", "Calls cancelled"),
            restarts: counter("query.restarts", "Pins given up for a better one"),
        }
    }

    pub(super) fn refused(&self, service: &ids::Service, code: query::Code) {
        let code = KeyValue::new("code", code.to_string());
        self.refusals.add(1, &[label(service), code]);
    }

    pub(super) fn answered(
        &self,
        service: &ids::Service,
        coverage: &query::Coverage,
        missing: &[(query::Reason, u64)],
    ) {
        let complete = KeyValue::new("complete", coverage.complete);
        self.answers.add(1, &[label(service), complete]);
        for (reason, count) in missing {
            let reason = KeyValue::new("reason", reason.to_string());
            self.missing.add(*count, &[label(service), reason]);
        }
    }

    pub(super) fn record_counts(&self, service: &ids::Service, counts: &gather::Counts) {
        let calls = [
            ("first", counts.first),
            ("hedge", counts.hedges),
            ("retry", counts.retries),
            ("moved", counts.moved),
            ("again", counts.repeated),
            ("trial", counts.trials),
        ];
        add(&self.calls, service, &calls);
        let unpaid = [
            ("hedge", counts.hedges_refused),
            ("retry", counts.retries_refused),
        ];
        add(&self.unpaid, service, &unpaid);
        let plain = [
            (&self.overloads, counts.overloads),
            (&self.cancels, counts.cancels),
            (&self.restarts, counts.restarts),
        ];
        for (counter, count) in plain.into_iter().filter(|(_, count)| *count > 0) {
            counter.add(count, &[label(service)]);
        }
    }
}

fn add(counter: &metrics::Counter<u64>, service: &ids::Service, counts: &[(&'static str, u64)]) {
    for (kind, count) in counts.iter().filter(|(_, count)| *count > 0) {
        counter.add(*count, &[label(service), KeyValue::new("kind", *kind)]);
    }
}

fn label(service: &ids::Service) -> KeyValue {
    KeyValue::new("service", service.as_str().to_owned())
}
