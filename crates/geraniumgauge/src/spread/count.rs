//! Gauges of what this VM believes.

use std::time;

use opentelemetry::metrics;

use crate::spread;
use crate::timer;

/// Shown before the first look that this VM has heard of.
const NO_LOOK: f64 = -1.0;

/// The gauges.
#[derive(Debug)]
pub(super) struct Count {
    age: metrics::Gauge<f64>,
    vms: metrics::Gauge<u64>,
}

impl Count {
    /// The gauges of `meter`.
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

    /// Sets them each `period`, until `timer` stops.
    pub(super) async fn run<H: spread::Hear>(
        self,
        service: spread::Service<H>,
        period: time::Duration,
        timer: timer::Service,
    ) {
        while timer.sleep(period).await {
            let age = service.age().map_or(NO_LOOK, |age| age.as_secs_f64());
            self.age.record(age, &[]);
            let vms = service.vms().unwrap_or_default();
            self.vms.record(vms as u64, &[]);
        }
    }
}
