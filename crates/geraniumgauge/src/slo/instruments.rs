//! OpenTelemetry instruments for callers' requests.

use opentelemetry::metrics;

use crate::slo;

/// Counters with the label `service`; only services that have a document are
/// counted.
#[derive(Debug)]
pub(super) struct Instruments {
    requests: metrics::Counter<u64>,
    refused: metrics::Counter<u64>,
    late: metrics::Counter<u64>,
    incomplete: metrics::Counter<u64>,
    attempts: metrics::Counter<u64>,
    missing: metrics::Counter<u64>,
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
            requests: counter("slo_requests", "requests of callers"),
            refused: counter("slo_refused", "requests refused"),
            late: counter("slo_late", "requests taken and not answered in time"),
            incomplete: counter("slo_incomplete", "requests taken and not answered whole"),
            attempts: counter("slo_attempts", "shard calls by kind, first or extra"),
            missing: counter("slo_missing_shards", "missing shards by reason"),
        }
    }

    pub(super) fn count(&self, event: &slo::Event) {
        let service = opentelemetry::KeyValue::new("service", event.service.to_string());
        let labels_with = |key: &'static str, value: String| {
            [service.clone(), opentelemetry::KeyValue::new(key, value)]
        };
        let labels = std::slice::from_ref(&service);
        let accepted = !event.refused;
        self.requests.add(1, labels);
        self.refused.add(u64::from(event.refused), labels);
        self.late.add(u64::from(accepted && !event.in_time), labels);
        self.incomplete
            .add(u64::from(accepted && !event.complete), labels);
        let kind = |kind: &str| labels_with("kind", kind.to_owned());
        self.attempts.add(event.first_attempts, &kind("first"));
        self.attempts.add(event.extra_attempts, &kind("extra"));
        for (reason, shards) in &event.missing {
            self.missing
                .add(*shards, &labels_with("reason", reason.to_string()));
        }
    }
}
