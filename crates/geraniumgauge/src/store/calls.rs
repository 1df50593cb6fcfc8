//! Metric of store calls by kind and result.

use opentelemetry::metrics;

use crate::store;

/// The kinds of calls in [`store::Api`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display(rename_all = "lowercase")]
pub(super) enum Kind {
    Get,
    Put,
    Delete,
    List,
    Watch,
    Vms,
}

#[derive(Debug, Clone)]
pub(super) struct Calls {
    counter: metrics::Counter<u64>,
}

impl Calls {
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        let counter = meter
            .u64_counter("geraniumgauge_store_calls")
            .with_description("Calls to the platform's store by kind and result.");
        Self {
            counter: counter.build(),
        }
    }

    pub(super) fn count(&self, kind: Kind, error: Option<&store::Error>) {
        let result = match error {
            None => "done",
            Some(store::Error::Conflict { .. }) => "conflict",
            Some(store::Error::Missing { .. }) => "missing",
            Some(store::Error::Unavailable { .. }) => "unavailable",
            Some(store::Error::Unconfirmed { .. }) => "unsure",
            Some(store::Error::Refused { .. }) => "refused",
        };
        let labels = [
            opentelemetry::KeyValue::new("kind", kind.to_string()),
            opentelemetry::KeyValue::new("result", result),
        ];
        self.counter.add(1, &labels);
    }
}
