//! Figures of the membership, which the meter reads when asked.

use std::sync;

use opentelemetry::metrics;

use crate::member::state;

/// The newest figures.
pub(super) type Shared = sync::Arc<sync::Mutex<state::Figures>>;

type Pick = fn(&state::Figures) -> u64;

const GAUGES: [(&str, &str, Pick); 6] = [
    ("member_live", "Members held to be there", |f| f.live),
    ("member_suspect", "Suspects among them", |f| f.suspect),
    ("member_leaving", "Leaving ones among them", |f| f.leaving),
    ("member_dead", "Dead ones that are remembered", |f| f.dead),
    ("member_news_queued", "News waiting to be told", |f| {
        f.queued
    }),
    ("member_rumours", "Rumours held", |f| f.rumours),
];

const COUNTERS: [(&str, &str, Pick); 8] = [
    ("member_probes", "Probes sent", |f| f.probes),
    ("member_probes_failed", "Probes nobody answered", |f| {
        f.failed
    }),
    (
        "member_refutations",
        "Suspicions of this VM that it refuted",
        |f| f.refutations,
    ),
    ("member_deaths", "VMs taken as dead by this one", |f| {
        f.deaths
    }),
    ("member_datagrams_sent", "Datagrams sent", |f| f.datagrams),
    (
        "member_bytes_sent",
        "Bytes sent in datagrams, headers included",
        |f| f.bytes,
    ),
    (
        "member_differences",
        "Comparisons with a member that found a difference",
        |f| f.differences,
    ),
    ("member_pauses", "Times this VM found it was paused", |f| {
        f.pauses
    }),
];

/// Figures that `meter` shows.
pub(super) fn shown(meter: &metrics::Meter) -> Shared {
    let figures = Shared::default();
    for (name, text, pick) in GAUGES {
        let read = reader(&figures, pick);
        let gauge = meter.u64_observable_gauge(name).with_description(text);
        gauge.with_callback(read).build();
    }
    for (name, text, pick) in COUNTERS {
        let read = reader(&figures, pick);
        let counter = meter.u64_observable_counter(name).with_description(text);
        counter.with_callback(read).build();
    }
    figures
}

fn reader(
    figures: &Shared,
    pick: Pick,
) -> impl Fn(&dyn metrics::AsyncInstrument<u64>) + Send + Sync + 'static {
    let figures = sync::Arc::clone(figures);
    move |to| {
        let held = figures.lock();
        let held = held.unwrap_or_else(sync::PoisonError::into_inner);
        to.observe(pick(&held), &[]);
    }
}
