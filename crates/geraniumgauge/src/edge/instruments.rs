//! The edge's metrics.

use std::time;

use opentelemetry::KeyValue;
use opentelemetry::metrics;

use crate::edge::overload;
use crate::forward;
use crate::ids;

/// The edge's OpenTelemetry instruments.
#[derive(Debug, Clone)]
pub struct Instruments {
    requests: metrics::Counter<u64>,
    request_seconds: metrics::Histogram<f64>,
    calls: metrics::Counter<u64>,
    ended: metrics::Counter<u64>,
    call_seconds: metrics::Histogram<f64>,
    connections: metrics::Counter<u64>,
    identity_checks: metrics::Counter<u64>,
    missing_shards: metrics::Counter<u64>,
    extra_sent: metrics::Counter<u64>,
    extra_used: metrics::Gauge<f64>,
    extra_arrived: metrics::Counter<u64>,
    extra_not_made: metrics::Counter<u64>,
    frame_late: metrics::Histogram<f64>,
    overload: metrics::Counter<u64>,
}

impl Instruments {
    /// Creates the instruments with `meter`.
    pub fn new(meter: &metrics::Meter) -> Self {
        let bounds = vec![
            0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.08, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0,
        ];
        let seconds = |name, about| {
            let histogram = meter.f64_histogram(name).with_description(about);
            histogram
                .with_unit("s")
                .with_boundaries(bounds.clone())
                .build()
        };
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        Self {
            requests: counter(
                "edge_requests",
                "Callers' requests answered, by route and outcome",
            ),
            request_seconds: seconds(
                "edge_request",
                "Time from a request to its answer, by route",
            ),
            calls: counter("edge_calls", "Calls to upstreams begun, by why"),
            ended: counter("edge_calls_ended", "Calls to upstreams ended, by how"),
            call_seconds: seconds("edge_call", "Time from a call to its reply"),
            connections: counter(
                "edge_connections",
                "Connections to upstreams opened, by outcome",
            ),
            frame_late: seconds(
                "edge_frame_late",
                "How late frames of VMs that make calls for this one came",
            ),
            extra_sent: counter(
                "edge_extra_calls_sent",
                "Extra calls charged to this VM, by service",
            ),
            extra_used: meter
                .f64_gauge("edge_extra_budget_used")
                .with_description("Extra calls charged to a budget of this VM in the last window, as a share of those it may spend, by service")
                .build(),
            extra_arrived: counter(
                "edge_extra_calls_arrived",
                "Extra calls charged to this VM that are known to have arrived, by service",
            ),
            extra_not_made: counter(
                "edge_extra_calls_not_made",
                "Extra calls charged to this VM that weren't made after all, by service",
            ),
            identity_checks: counter(
                "edge_identity_checks",
                "Checks which upstream a new connection leads to, by outcome",
            ),
            overload: counter(
                "edge_overload",
                "Requests refused and connections ended for lack of room, by cause",
            ),
            missing_shards: counter("edge_missing_shards", "Shards left out of merged answers"),
        }
    }

    /// Records an answered request.
    pub fn request(&self, route: &str, outcome: &'static str, took: time::Duration) {
        let route = KeyValue::new("route", route.to_owned());
        self.request_seconds
            .record(took.as_secs_f64(), std::slice::from_ref(&route));
        self.requests
            .add(1, &[route, KeyValue::new("outcome", outcome)]);
    }

    /// Counts shards that are missing from a merged answer.
    pub fn missing_shards(&self, shards: usize) {
        self.missing_shards.add(shards as u64, &[]);
    }

    /// Counts an extra call that is charged to this VM, and records how full its budget is.
    pub fn extra_call_sent(&self, service: &ids::Service, usage: Option<forward::Usage>) {
        let service = [KeyValue::new("service", service.to_string())];
        self.extra_sent.add(1, &service);
        if let Some(usage) = usage {
            self.extra_used.record(usage.window.used(), &service);
        }
    }

    /// Counts an extra call charged to this VM that is known to have arrived.
    pub fn extra_call_arrived(&self, service: &ids::Service) {
        self.extra_arrived
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts an extra call charged to this VM that wasn't made after all.
    pub fn extra_call_not_made(&self, service: &ids::Service) {
        self.extra_not_made
            .add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts a request refused, or a connection ended, for lack of room.
    pub(super) fn refused(&self, cause: overload::Cause) {
        self.overload
            .add(1, &[KeyValue::new("cause", cause.to_string())]);
    }

    /// Records how late a relay's report arrived.
    pub fn frame_late(&self, late: time::Duration) {
        self.frame_late.record(late.as_secs_f64(), &[]);
    }

    /// Counts a call that begins.
    pub fn call(&self, reason: forward::CallReason) {
        self.calls.add(1, &[KeyValue::new("why", reason.name())]);
    }

    /// Records a call that ended.
    pub fn ended(&self, how: &'static str, took: time::Duration) {
        self.ended.add(1, &[KeyValue::new("how", how)]);
        self.call_seconds.record(took.as_secs_f64(), &[]);
    }

    /// Counts a check which upstream a new connection leads to.
    pub fn identity_check(&self, outcome: &'static str) {
        self.identity_checks
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an attempt to connect to an upstream.
    pub fn connection(&self, outcome: &'static str) {
        self.connections
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
