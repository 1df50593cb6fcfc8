//! Metrics of the document service.

use std::sync;
use std::sync::atomic;

use opentelemetry::metrics;

use crate::document;
use crate::document::held;
use crate::time;

/// OpenTelemetry instruments. The label `service` takes only names of services in
/// the catalog.
#[derive(Debug)]
pub(super) struct Instruments {
    applied: metrics::Counter<u64>,
    checks: metrics::Counter<u64>,
    /// Wall clock time of the store's last answer, in ms since the epoch.
    answered: sync::Arc<atomic::AtomicU64>,
}

impl Instruments {
    pub(super) fn new(meter: &metrics::Meter, catalog: &document::Catalog) -> Self {
        let catalog = catalog.clone();
        let generations = meter.u64_observable_gauge("document_generation");
        generations
            .with_description("generation in force of each service")
            .with_callback(move |observer| {
                for (service, in_force) in catalog.all() {
                    let label = opentelemetry::KeyValue::new("service", service.to_string());
                    observer.observe(in_force.generation.0, &[label]);
                }
            })
            .build();
        let answered = sync::Arc::new(atomic::AtomicU64::new(0));
        let last_answered = answered.clone();
        let last = meter.u64_observable_gauge("document_store_answered_ms");
        last.with_description("wall clock of the store's last listing, ms since the epoch")
            .with_callback(move |observer| {
                observer.observe(last_answered.load(atomic::Ordering::Relaxed), &[])
            })
            .build();
        let applied = meter.u64_counter("document_applied");
        let checks = meter.u64_counter("document_keeper_looks");
        Self {
            applied: applied
                .with_description("documents and layouts put in force")
                .build(),
            checks: checks
                .with_description("services that the keeper looked at")
                .build(),
            answered,
        }
    }

    pub(super) fn applied(&self, kind: held::Kind) {
        let label = opentelemetry::KeyValue::new("kind", kind.to_string());
        self.applied.add(1, &[label]);
    }

    pub(super) fn checked(&self) {
        self.checks.add(1, &[]);
    }

    pub(super) fn store_answered(&self, clock: time::Clock) {
        self.answered
            .store(clock.wall().0, atomic::Ordering::Relaxed);
    }
}
