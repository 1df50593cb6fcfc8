//! Metrics of this VM's homes.

use opentelemetry::KeyValue;
use opentelemetry::metrics;

use super::state;
use crate::mesh::message;

/// OpenTelemetry instruments; label values come from small fixed sets.
#[derive(Debug, Clone)]
pub(super) struct Instruments {
    answers: metrics::Counter<u64>,
    sent: metrics::Counter<u64>,
    cancels: metrics::Counter<u64>,
    closed: metrics::Counter<u64>,
    opened: metrics::Counter<u64>,
    queued: metrics::Histogram<f64>,
    ran: metrics::Histogram<f64>,
    running: metrics::Gauge<u64>,
    waiting: metrics::Gauge<u64>,
    connections: metrics::Gauge<u64>,
    upstreams: metrics::Gauge<u64>,
}

/// Totals over all upstreams that this VM has workers for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Sums {
    pub(super) upstreams: u64,
    pub(super) running: u64,
    pub(super) waiting: u64,
    pub(super) connections: u64,
}

impl Instruments {
    pub(super) fn new(meter: &metrics::Meter) -> Self {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        let seconds = |name, text| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram.with_unit("s").build()
        };
        Self {
            answers: counter(
                "home_answers",
                "Shard calls answered by this home, by outcome",
            ),
            sent: counter("home_sent", "Shard calls sent to upstreams, by kind"),
            cancels: counter("home_cancels", "Running calls stopped at upstreams"),
            closed: counter("home_connections_closed", "Connections closed, by reason"),
            opened: counter("home_connections_opened", "Connections opened for calls"),
            queued: seconds("home_queued", "Time calls waited at this home"),
            ran: seconds("home_ran", "Time calls that were sent took"),
            running: gauge("home_running", "Calls that run at upstreams now"),
            waiting: gauge("home_waiting", "Calls that wait at this home now"),
            connections: gauge("home_connections", "Connections held for calls now"),
            upstreams: gauge("home_upstreams", "Upstreams that this VM is a home of"),
        }
    }

    pub(super) fn answered(&self, answer: &state::Answer) {
        let outcome = KeyValue::new("outcome", format!("{:?}", answer.outcome));
        self.answers.add(1, &[outcome]);
        self.queued.record(answer.queued.as_secs_f64(), &[]);
        if !answer.ran.is_zero() {
            self.ran.record(answer.ran.as_secs_f64(), &[]);
        }
    }

    pub(super) fn sent(&self, kind: message::Kind) {
        self.sent
            .add(1, &[KeyValue::new("kind", format!("{kind:?}"))]);
    }

    pub(super) fn cancelled(&self) {
        self.cancels.add(1, &[]);
    }

    pub(super) fn opened(&self) {
        self.opened.add(1, &[]);
    }

    pub(super) fn closed(&self, reason: state::CloseReason) {
        self.closed
            .add(1, &[KeyValue::new("why", reason.to_string())]);
    }

    pub(super) fn sums(&self, sums: Sums) {
        self.upstreams.record(sums.upstreams, &[]);
        self.running.record(sums.running, &[]);
        self.waiting.record(sums.waiting, &[]);
        self.connections.record(sums.connections, &[]);
    }
}
