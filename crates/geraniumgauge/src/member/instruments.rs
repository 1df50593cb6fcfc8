//! Instruments of the membership, observed when metrics are collected.

use std::sync;

use opentelemetry::metrics;

use crate::member::state;

/// The newest statistics, shared with the instruments' callbacks.
pub(super) type Shared = sync::Arc<sync::Mutex<state::Stats>>;

type Read = fn(&state::Stats) -> u64;

const GAUGES: [(&str, &str, Read); 6] = [
    ("member_live", "Members held to be there", |stats| {
        stats.live
    }),
    ("member_suspect", "Suspects among them", |stats| {
        stats.suspect
    }),
    ("member_leaving", "Leaving ones among them", |stats| {
        stats.leaving
    }),
    ("member_dead", "Dead ones that are remembered", |stats| {
        stats.dead
    }),
    ("member_news_queued", "News waiting to be told", |stats| {
        stats.queued
    }),
    ("member_rumours", "Rumours held", |stats| stats.updates),
];

const COUNTERS: [(&str, &str, Read); 8] = [
    ("member_probes", "Probes sent", |stats| stats.probes),
    ("member_probes_failed", "Probes nobody answered", |stats| {
        stats.probes_failed
    }),
    (
        "member_refutations",
        "Suspicions of this VM that it refuted",
        |stats| stats.refutations,
    ),
    ("member_deaths", "VMs taken as dead by this one", |stats| {
        stats.deaths
    }),
    ("member_datagrams_sent", "Datagrams sent", |stats| {
        stats.datagrams
    }),
    (
        "member_bytes_sent",
        "Bytes sent in datagrams, headers included",
        |stats| stats.bytes,
    ),
    (
        "member_differences",
        "Comparisons with a member that found a difference",
        |stats| stats.differences,
    ),
    (
        "member_pauses",
        "Times this VM found it was paused",
        |stats| stats.pauses,
    ),
];

/// Registers the instruments and returns the statistics that they show.
pub(super) fn register(meter: &metrics::Meter) -> Shared {
    let stats = Shared::default();
    for (name, text, value) in GAUGES {
        let callback = observe(&stats, value);
        let gauge = meter.u64_observable_gauge(name).with_description(text);
        gauge.with_callback(callback).build();
    }
    for (name, text, value) in COUNTERS {
        let callback = observe(&stats, value);
        let counter = meter.u64_observable_counter(name).with_description(text);
        counter.with_callback(callback).build();
    }
    stats
}

fn observe(
    stats: &Shared,
    value: Read,
) -> impl Fn(&dyn metrics::AsyncInstrument<u64>) + Send + Sync + 'static {
    let stats = sync::Arc::clone(stats);
    move |to| {
        let held = stats.lock();
        let held = held.unwrap_or_else(sync::PoisonError::into_inner);
        to.observe(value(&held), &[]);
    }
}
