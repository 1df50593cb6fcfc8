//! Many faults at once and one upon another, with searches and registrations
//! going on. What breaks only where two guards meet shows here.

use std::collections;
use std::time;

use geraniumgauge::ids;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::records;
use crate::measure::searches;
use crate::site;
use crate::upstream;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "together",
    about: "VMs lost, paused, stopped; store down; upstreams crash, drain, cross replies: at once",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 12;
const SPAN: time::Duration = time::Duration::from_secs(30);
const SEARCHES: f64 = 50.0;
const REGISTRATIONS: f64 = 25.0;
/// Between two faults, on average.
const EVERY: time::Duration = time::Duration::from_millis(600);
/// How long a fault lasts that ends by itself.
const LASTS: time::Duration = time::Duration::from_millis(1800);
/// Given to the site after the last fault.
const SETTLE: time::Duration = time::Duration::from_secs(12);
const AFTERWARDS: time::Duration = time::Duration::from_secs(3);
const AFTERWARDS_RATE: f64 = 20.0;
const DEADLINE: time::Duration = time::Duration::from_millis(1500);
/// VMs that stay whatever happens; a fault that would leave fewer is skipped.
const FEWEST_VMS: usize = 6;

/// Once the faults are over, every search is whole again.
const RECOVERS: &str = "recovers by itself";

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let caller = load::Caller::new(&site)?;
    let service = site.service(SERVICE);
    let (id, layout) = (service.id().clone(), service.layout.clone());
    let searching = tokio::spawn(search(
        caller.clone(),
        id.clone(),
        SEARCHES,
        SPAN,
        context.seed,
    ));
    let registering = tokio::spawn(records::send_by(
        caller.clone(),
        id.clone(),
        plan(),
        context.seed,
    ));
    let gone = faults(&mut site, context.seed).await?;
    let found = searching.await.map_err(ended)?;
    let registered = registering.await.map_err(ended)?;
    tokio::time::sleep(SETTLE).await;
    let mut out = outcome::Outcome::default();
    let mut tally = measure::tally::Tally::default();
    for (query, sample) in found.iter().filter(|(_, sample)| !cut(sample, &gone)) {
        tally.add(&layout, query, sample);
    }
    out.absorb("searches_", tally.outcome(0));
    out.figures.remove("searches_extra_load_share");
    out.absorb("registrations_", registered.outcome(site.service(SERVICE)));
    out.figure("vms_killed", gone.len() as f64);
    afterwards(&site, &caller, context.seed, &mut out).await?;
    Ok(out)
}

fn plan() -> records::Plan {
    records::Plan {
        prefix: "together".to_owned(),
        rate: REGISTRATIONS,
        span: SPAN,
        deadline: DEADLINE,
        doubles: 0.1,
        tries: 3,
    }
}

fn ended(error: tokio::task::JoinError) -> measure::Error {
    measure::Error::Other {
        what: format!("a caller's task ended: {error}"),
    }
}

async fn search(
    caller: load::Caller,
    service: ids::Service,
    rate: f64,
    span: time::Duration,
    seed: u64,
) -> Vec<(serde_json::Value, load::Sample)> {
    let deadline = searches::DEADLINE;
    let searches = load::Searches {
        text: "together",
        rate,
        span,
        seed,
        deadline,
    };
    searches.send(caller, service).await
}

/// A killed VM breaks its callers' connections; nothing can be promised there.
fn cut(sample: &load::Sample, gone: &collections::BTreeSet<ids::Vm>) -> bool {
    sample.reply.is_err() && sample.vm.as_ref().is_some_and(|vm| gone.contains(vm))
}

/// The faults, by chance; returns the VMs that were killed.
async fn faults(
    site: &mut site::Site,
    seed: u64,
) -> Result<collections::BTreeSet<ids::Vm>, measure::Error> {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let mut gone = collections::BTreeSet::new();
    let until = tokio::time::Instant::now() + SPAN.saturating_sub(LASTS);
    let mut platform_until = until;
    while tokio::time::Instant::now() < until {
        let pause = EVERY.mul_f64(2.0 * random.random::<f64>());
        tokio::time::sleep(pause).await;
        if tokio::time::Instant::now() > platform_until {
            platform(site, |_| {});
        }
        match random.random_range(0..10) {
            0 if site.nodes.len() > FEWEST_VMS => {
                let at = random.random_range(0..site.nodes.len());
                gone.insert(site.kill(at));
                site.add().await?;
            }
            1 if site.nodes.len() > FEWEST_VMS => {
                let at = random.random_range(0..site.nodes.len());
                drop(site.stop(at));
                site.add().await?;
            }
            2 | 3 => {
                let at = random.random_range(0..site.nodes.len());
                site.nodes[at].freeze(LASTS.mul_f64(random.random::<f64>()));
            }
            4 => {
                platform_until = tokio::time::Instant::now() + LASTS;
                platform(site, |faults| faults.down = true);
            }
            5 => {
                platform_until = tokio::time::Instant::now() + LASTS;
                platform(site, |faults| faults.lose_replies = 0.5);
            }
            6 => {
                platform_until = tokio::time::Instant::now() + LASTS;
                platform(site, |faults| faults.slow_ms = 300);
            }
            _ => upstream_fault(site, &mut random),
        }
    }
    tokio::time::sleep(LASTS).await;
    platform(site, |_| {});
    for upstream in &site.service(SERVICE).upstreams {
        upstream.state().set_faults(clear);
    }
    Ok(gone)
}

/// Sets one fault of the platform and ends the ones before.
fn platform(site: &site::Site, change: impl FnOnce(&mut crate::platform::Faults)) {
    site.platform.state().set_faults(|faults| {
        *faults = crate::platform::Faults::default();
        change(faults);
    });
}

/// Ends an upstream's faults; the index versions stay.
fn clear(faults: &mut upstream::Faults) {
    let (oldest, newest) = (faults.oldest, faults.newest);
    *faults = upstream::Faults {
        oldest,
        newest,
        ..upstream::Faults::default()
    };
}

fn upstream_fault(site: &site::Site, random: &mut rand::rngs::StdRng) {
    let service = site.service(SERVICE);
    let at = random.random_range(0..service.upstreams.len());
    let state = service.upstreams[at].state();
    match random.random_range(0..7) {
        0 => state.crash(),
        1 => state.set_faults(|faults| faults.silence_open = true),
        2 => state.set_faults(|faults| faults.draining = !faults.draining),
        3 => state.set_faults(|faults| faults.crossed_share = 0.3),
        4 => state.set_faults(|faults| faults.straggler_share = 0.2),
        5 => state.set_faults(|faults| faults.lose_replies = 0.2),
        // A new index version appears everywhere, and the oldest goes.
        _ => service.set_faults(|faults| {
            faults.newest += 1;
            faults.oldest = faults.newest.saturating_sub(2);
        }),
    }
}

async fn afterwards(
    site: &site::Site,
    caller: &load::Caller,
    seed: u64,
    out: &mut outcome::Outcome,
) -> Result<(), measure::Error> {
    site.wait_until_ready().await?;
    let service = site.service(SERVICE);
    let id = service.id().clone();
    let found = search(caller.clone(), id, AFTERWARDS_RATE, AFTERWARDS, seed + 1).await;
    let mut whole = 0;
    for (_, sample) in &found {
        let reply = sample.reply.as_ref().ok();
        if reply.is_some_and(|reply| reply.body["coverage"]["complete"] == true) {
            whole += 1;
        } else {
            let seen = reply.map_or("no answer".to_owned(), |reply| reply.body.to_string());
            out.violate(RECOVERS, sample.request_id(), seen);
        }
    }
    out.figure(
        "afterwards_whole_share",
        f64::from(whole) / found.len().max(1) as f64,
    );
    Ok(())
}
