//! Random faults of VMs, upstreams and the store overlap while searches and
//! registrations are sent. Finds failures that only a combination of faults causes.

use std::collections;
use std::time;

use geraniumgauge::ids;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::registration_load;
use crate::measure::searches;
use crate::site;
use crate::upstream;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "together",
    about: "at once: VMs lost, paused, stopped; store down; upstreams crash, drain, mix up replies",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 12;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(30);
const SEARCHES_PER_S: f64 = 50.0;
const REGISTRATIONS_PER_S: f64 = 25.0;
/// Mean time between two faults.
const MEAN_FAULT_INTERVAL: time::Duration = time::Duration::from_millis(600);
/// Duration of store faults, and the longest pause of a VM.
const FAULT_DURATION: time::Duration = time::Duration::from_millis(1800);
/// Time that the site has to recover after the last fault.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(12);
/// Time for which searches are sent after the recovery.
const CHECK_DURATION: time::Duration = time::Duration::from_secs(3);
const CHECK_SEARCHES_PER_S: f64 = 20.0;
const DEADLINE: time::Duration = time::Duration::from_millis(1500);
/// A VM is only killed or stopped while there are more VMs than this.
const MIN_VMS: usize = 6;

/// Promise that every search is answered completely once the faults are over.
const RECOVERS: &str = "recovers by itself";

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let caller = load::Caller::new(&site)?;
    let service = site.service(SERVICE);
    let (id, layout) = (service.id().clone(), service.layout.clone());
    let searching = tokio::spawn(search(
        caller.clone(),
        id.clone(),
        SEARCHES_PER_S,
        LOAD_DURATION,
        context.seed,
    ));
    let registering = tokio::spawn(registration_load::send_through(
        caller.clone(),
        id.clone(),
        registration_load(),
        context.seed,
    ));
    let killed = cause_faults(&mut site, context.seed).await?;
    let samples = searching.await.map_err(task_failed)?;
    let registered = registering.await.map_err(task_failed)?;
    tokio::time::sleep(RECOVERY_TIME).await;
    let mut out = outcome::Outcome::default();
    let mut tally = measure::tally::Tally::default();
    for (query, sample) in samples
        .iter()
        .filter(|(_, sample)| !lost_with_vm(sample, &killed))
    {
        tally.add(&layout, query, sample);
    }
    // The upstreams' calls aren't counted here. `extra_load_share`, which is derived from
    // their number, has no meaning and is removed.
    out.absorb("searches_", tally.outcome(0));
    out.figures.remove("searches_extra_load_share");
    out.absorb("registrations_", registered.outcome(site.service(SERVICE)));
    out.set_figure("vms_killed", killed.len() as f64);
    check_recovery(&site, &caller, context.seed, &mut out).await?;
    Ok(out)
}

fn registration_load() -> registration_load::Load {
    registration_load::Load {
        prefix: "together".to_owned(),
        rate: REGISTRATIONS_PER_S,
        duration: LOAD_DURATION,
        deadline: DEADLINE,
        duplicate_share: 0.1,
        max_attempts: 3,
    }
}

fn task_failed(error: tokio::task::JoinError) -> measure::Error {
    measure::Error::Other {
        what: format!("a load task failed: {error}"),
    }
}

async fn search(
    caller: load::Caller,
    service: ids::Service,
    rate: f64,
    duration: time::Duration,
    seed: u64,
) -> Vec<(serde_json::Value, load::Sample)> {
    let deadline = searches::DEADLINE;
    let searches = load::SearchLoad {
        text: "together",
        rate,
        duration,
        seed,
        deadline,
    };
    searches.send(caller, service).await
}

/// Returns whether the request got no reply because its VM was killed, which breaks no
/// promise.
fn lost_with_vm(sample: &load::Sample, killed: &collections::BTreeSet<ids::Vm>) -> bool {
    sample.reply.is_err() && sample.vm.as_ref().is_some_and(|vm| killed.contains(vm))
}

/// Causes random faults, then ends them all; returns the VMs that were killed.
async fn cause_faults(
    site: &mut site::Site,
    seed: u64,
) -> Result<collections::BTreeSet<ids::Vm>, measure::Error> {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let mut killed = collections::BTreeSet::new();
    let until = tokio::time::Instant::now() + LOAD_DURATION.saturating_sub(FAULT_DURATION);
    let mut platform_until = until;
    while tokio::time::Instant::now() < until {
        let delay = MEAN_FAULT_INTERVAL.mul_f64(2.0 * random.random::<f64>());
        tokio::time::sleep(delay).await;
        if tokio::time::Instant::now() > platform_until {
            set_platform_fault(site, |_| {});
        }
        match random.random_range(0..10) {
            0 if site.vms.len() > MIN_VMS => {
                let index = random.random_range(0..site.vms.len());
                log::info!("fault: {} is killed", site.vms[index].id());
                killed.insert(site.kill(index));
                site.add().await?;
            }
            1 if site.vms.len() > MIN_VMS => {
                let index = random.random_range(0..site.vms.len());
                log::info!("fault: {} is stopped", site.vms[index].id());
                drop(site.stop(index));
                site.add().await?;
            }
            2 | 3 => {
                let index = random.random_range(0..site.vms.len());
                let duration = FAULT_DURATION.mul_f64(random.random::<f64>());
                log::info!("fault: {} pauses for {duration:?}", site.vms[index].id());
                site.vms[index].freeze(duration);
            }
            4 => {
                platform_until = tokio::time::Instant::now() + FAULT_DURATION;
                set_platform_fault(site, |faults| faults.down = true);
            }
            5 => {
                platform_until = tokio::time::Instant::now() + FAULT_DURATION;
                set_platform_fault(site, |faults| faults.lose_replies = 0.5);
            }
            6 => {
                platform_until = tokio::time::Instant::now() + FAULT_DURATION;
                set_platform_fault(site, |faults| faults.slow_ms = 300);
            }
            _ => set_upstream_fault(site, &mut random),
        }
    }
    tokio::time::sleep(FAULT_DURATION).await;
    log::info!("all faults end");
    set_platform_fault(site, |_| {});
    for upstream in &site.service(SERVICE).upstreams {
        upstream.state().set_faults(clear_faults);
    }
    Ok(killed)
}

/// Clears the platform's faults, then applies `change`.
fn set_platform_fault(site: &site::Site, change: impl FnOnce(&mut crate::platform::Faults)) {
    site.platform.state().set_faults(|faults| {
        *faults = crate::platform::Faults::default();
        change(faults);
        log::info!("fault: the platform has {faults:?}");
    });
}

/// Clears an upstream's faults except its index versions.
fn clear_faults(faults: &mut upstream::Faults) {
    let (oldest, newest) = (faults.oldest, faults.newest);
    *faults = upstream::Faults {
        oldest,
        newest,
        ..upstream::Faults::default()
    };
}

fn set_upstream_fault(site: &site::Site, random: &mut rand::rngs::StdRng) {
    let service = site.service(SERVICE);
    let index = random.random_range(0..service.upstreams.len());
    let state = service.upstreams[index].state();
    let kind = random.random_range(0..7);
    log::info!("fault: upstream {} has fault {kind}", state.config().id);
    match kind {
        0 => state.crash(),
        1 => state.set_faults(|faults| faults.silence_open = true),
        2 => state.set_faults(|faults| faults.draining = !faults.draining),
        3 => state.set_faults(|faults| faults.crossed_share = 0.3),
        4 => state.set_faults(|faults| faults.straggler_share = 0.2),
        5 => state.set_faults(|faults| faults.lose_replies = 0.2),
        // All upstreams get a new index version and drop those older than the last three.
        _ => service.set_faults(|faults| {
            faults.newest += 1;
            faults.oldest = faults.newest.saturating_sub(2);
        }),
    }
}

async fn check_recovery(
    site: &site::Site,
    caller: &load::Caller,
    seed: u64,
    out: &mut outcome::Outcome,
) -> Result<(), measure::Error> {
    site.wait_until_ready().await?;
    let service = site.service(SERVICE);
    let id = service.id().clone();
    let samples = search(
        caller.clone(),
        id,
        CHECK_SEARCHES_PER_S,
        CHECK_DURATION,
        seed + 1,
    )
    .await;
    let mut complete = 0;
    for (_, sample) in &samples {
        let reply = sample.reply.as_ref().ok();
        if reply.is_some_and(|reply| reply.body["coverage"]["complete"] == true) {
            complete += 1;
        } else {
            let seen = reply.map_or("no answer".to_owned(), |reply| reply.body.to_string());
            out.add_violation(RECOVERS, sample.request_id(), seen);
        }
    }
    out.set_figure(
        "afterwards_whole_share",
        f64::from(complete) / samples.len().max(1) as f64,
    );
    Ok(())
}
