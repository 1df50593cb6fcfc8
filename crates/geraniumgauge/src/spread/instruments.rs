//! OpenTelemetry instruments.

use std::time;

use opentelemetry::metrics;

use crate::spread;
use crate::timer;

/// Age that is recorded before the first poll result is received.
const UNKNOWN_AGE: f64 = -1.0;

/// The gauges of the service.
#[derive(Debug)]
pub(super) struct Instruments {
    age: metrics::Gauge<f64>,
    vms: metrics::Gauge<u64>,
}

impl Instruments {
    /// Creates the gauges on `meter`.
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        let age = meter.f64_gauge("spread_age").with_unit("s");
        let vms = meter.u64_gauge("spread_vms");
        Self {
            age: age
                .with_description("Age of the look at the store that is known, -1 before the first")
                .build(),
            vms: vms
                .with_description("VMs there are, 0 until that is known")
                .build(),
        }
    }

    /// Records the gauges at intervals of `period`, until `timer` stops.
    pub(super) async fn run<H: spread::Listener>(
        self,
        service: spread::Service<H>,
        interval: time::Duration,
        timer: timer::Service,
    ) {
        while timer.sleep(interval).await {
            let age = service.age().map_or(UNKNOWN_AGE, |age| age.as_secs_f64());
            self.age.record(age, &[]);
            let vms = service.vms().unwrap_or_default();
            self.vms.record(vms as u64, &[]);
        }
    }
}
