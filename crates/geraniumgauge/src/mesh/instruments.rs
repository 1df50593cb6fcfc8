//! Instruments of the mesh. Calling an instrument for each frame would cost too
//! much, so events are counted in atomics that are observed when metrics are
//! collected.

use std::sync;
use std::sync::atomic;

use opentelemetry::metrics;

/// Counters of one VM's mesh since its start.
#[derive(Debug, Default)]
pub(super) struct Instruments {
    pub(super) frames_sent: atomic::AtomicU64,
    pub(super) frames_received: atomic::AtomicU64,
    pub(super) bytes_sent: atomic::AtomicU64,
    pub(super) writes: atomic::AtomicU64,
    pub(super) opened: atomic::AtomicU64,
    pub(super) accepted: atomic::AtomicU64,
    pub(super) refused: atomic::AtomicU64,
    pub(super) lost: atomic::AtomicU64,
    pub(super) silent: atomic::AtomicU64,
    /// Links currently open, in both directions.
    pub(super) open: atomic::AtomicI64,
}

/// Adds one to a counter.
pub(super) fn increment(counter: &atomic::AtomicU64) {
    add(counter, 1);
}

/// Adds `amount` to a counter.
pub(super) fn add(counter: &atomic::AtomicU64, amount: u64) {
    counter.fetch_add(amount, atomic::Ordering::Relaxed);
}

type Counter = fn(&Instruments) -> &atomic::AtomicU64;

const COUNTERS: [(&str, &str, Counter); 9] = [
    (
        "mesh_frames_sent",
        "Frames written to links",
        |instruments| &instruments.frames_sent,
    ),
    (
        "mesh_frames_received",
        "Frames read from links",
        |instruments| &instruments.frames_received,
    ),
    ("mesh_bytes_sent", "Bytes written to links", |instruments| {
        &instruments.bytes_sent
    }),
    (
        "mesh_writes",
        "System calls that wrote frames",
        |instruments| &instruments.writes,
    ),
    (
        "mesh_links_opened",
        "Links opened to other VMs",
        |instruments| &instruments.opened,
    ),
    (
        "mesh_links_accepted",
        "Links accepted from other VMs",
        |instruments| &instruments.accepted,
    ),
    (
        "mesh_frames_refused",
        "Frames not taken for sending",
        |instruments| &instruments.refused,
    ),
    (
        "mesh_links_lost",
        "Links that ended out of order",
        |instruments| &instruments.lost,
    ),
    (
        "mesh_links_silent",
        "Links closed because the peer fell silent",
        |instruments| &instruments.silent,
    ),
];

impl Instruments {
    /// Creates the counters and registers them with `meter`.
    pub(super) fn register(meter: &metrics::Meter) -> sync::Arc<Self> {
        let instruments = sync::Arc::new(Self::default());
        for (name, text, value) in COUNTERS {
            let observed = sync::Arc::clone(&instruments);
            let read = move |to: &dyn metrics::AsyncInstrument<u64>| {
                to.observe(value(&observed).load(atomic::Ordering::Relaxed), &[]);
            };
            let counter = meter.u64_observable_counter(name).with_description(text);
            counter.with_callback(read).build();
        }
        let observed = sync::Arc::clone(&instruments);
        let gauge = meter.i64_observable_gauge("mesh_links_open");
        let gauge = gauge.with_description("Links open now, of both directions");
        let read = move |to: &dyn metrics::AsyncInstrument<i64>| {
            to.observe(observed.open.load(atomic::Ordering::Relaxed), &[]);
        };
        gauge.with_callback(read).build();
        instruments
    }
}
