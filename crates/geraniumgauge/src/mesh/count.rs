//! Figures of the mesh. Frames are too many for an instrument call each: they
//! are counted in atomics that the meter reads when asked.

use std::sync;
use std::sync::atomic;

use opentelemetry::metrics;

/// Counters of one VM's mesh, all since its start.
#[derive(Debug, Default)]
pub(super) struct Count {
    pub(super) frames_sent: atomic::AtomicU64,
    pub(super) frames_received: atomic::AtomicU64,
    pub(super) bytes_sent: atomic::AtomicU64,
    pub(super) writes: atomic::AtomicU64,
    pub(super) opened: atomic::AtomicU64,
    pub(super) accepted: atomic::AtomicU64,
    pub(super) refused: atomic::AtomicU64,
    pub(super) lost: atomic::AtomicU64,
    pub(super) silent: atomic::AtomicU64,
    /// Links open now, of both directions.
    pub(super) open: atomic::AtomicI64,
}

/// Adds one.
pub(super) fn up(counter: &atomic::AtomicU64) {
    add(counter, 1);
}

/// Adds `amount`.
pub(super) fn add(counter: &atomic::AtomicU64, amount: u64) {
    counter.fetch_add(amount, atomic::Ordering::Relaxed);
}

type Pick = fn(&Count) -> &atomic::AtomicU64;

const COUNTERS: [(&str, &str, Pick); 9] = [
    ("mesh_frames_sent", "Frames written to links", |count| {
        &count.frames_sent
    }),
    ("mesh_frames_received", "Frames read from links", |count| {
        &count.frames_received
    }),
    ("mesh_bytes_sent", "Bytes written to links", |count| {
        &count.bytes_sent
    }),
    ("mesh_writes", "System calls that wrote frames", |count| {
        &count.writes
    }),
    ("mesh_links_opened", "Links opened to other VMs", |count| {
        &count.opened
    }),
    (
        "mesh_links_accepted",
        "Links accepted from other VMs",
        |count| &count.accepted,
    ),
    (
        "mesh_frames_refused",
        "Frames not taken for sending",
        |count| &count.refused,
    ),
    (
        "mesh_links_lost",
        "Links that ended out of order",
        |count| &count.lost,
    ),
    (
        "mesh_links_silent",
        "Links closed because the peer fell silent",
        |count| &count.silent,
    ),
];

impl Count {
    /// Counters that `meter` shows.
    pub(super) fn shown(meter: &metrics::Meter) -> sync::Arc<Self> {
        let count = sync::Arc::new(Self::default());
        for (name, text, pick) in COUNTERS {
            let counted = sync::Arc::clone(&count);
            let read = move |to: &dyn metrics::AsyncInstrument<u64>| {
                to.observe(pick(&counted).load(atomic::Ordering::Relaxed), &[]);
            };
            let counter = meter.u64_observable_counter(name).with_description(text);
            counter.with_callback(read).build();
        }
        let counted = sync::Arc::clone(&count);
        let gauge = meter.i64_observable_gauge("mesh_links_open");
        let gauge = gauge.with_description("Links open now, of both directions");
        let read = move |to: &dyn metrics::AsyncInstrument<i64>| {
            to.observe(counted.open.load(atomic::Ordering::Relaxed), &[]);
        };
        gauge.with_callback(read).build();
        count
    }
}
