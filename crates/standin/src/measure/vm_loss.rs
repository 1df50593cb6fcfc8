//! VMs are killed under load without notice: one, then two at once.

use std::collections;
use std::time;

use futures_util::future;
use geraniumgauge::ids;
use geraniumgauge::query;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::tally;
use crate::measure::usage;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "vm-loss",
    about: "one of 8 VMs dies under load, then two at once; searches ask 20 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// Promise that a dead VM is eventually removed from every view.
pub(super) const REMOVED: &str = "dead VMs are removed";
/// Promise that some searches get complete answers once the dead VMs are removed.
const COMPLETE_AFTER_LOSS: &str = "duties are taken over";

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.2;
const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(2);
/// Duration of each load: one for each loss, which happens during it, and one after the last
/// loss.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(8);
/// Time of the loss, from the start of the load.
const LOSS_AT: time::Duration = time::Duration::from_secs(2);
/// Time limit for dead VMs to be removed from all views; exceeding it is a violation. It is
/// so long that only a view that never changes exceeds it.
const REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(60);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let rate = site.service(SERVICE).capacity() * LOAD_SHARE;
    let caller = load::Caller::new(&site)?;
    let service = site.service(SERVICE).id().clone();
    send(&caller, &service, rate, WARM_UP_DURATION, context.seed).await;
    let mut out = outcome::Outcome::default();
    for (name, count) in [("one_", 1), ("two_", 2)] {
        let losses = kill_vms(&mut site, &caller, rate, count, context.seed + count as u64).await;
        out.absorb(name, losses);
    }
    let samples = send(&caller, &service, rate, LOAD_DURATION, context.seed + 9).await;
    // The upstreams' calls aren't counted here. `extra_load_share`, which is derived from
    // their number, has no meaning and is removed below.
    let after = tally_samples(&site, &samples, &collections::BTreeSet::new()).outcome(0);
    if after
        .figures
        .get("complete_share")
        .is_none_or(|share| *share == 0.0)
    {
        out.add_violation(
            COMPLETE_AFTER_LOSS,
            "-",
            "no answer was complete after the losses",
        );
    }
    out.absorb("after_", after);
    out.figures
        .retain(|name, _| !name.ends_with("extra_load_share"));
    Ok(out)
}

type SearchSample = (serde_json::Value, load::Sample);

async fn send(
    caller: &load::Caller,
    service: &ids::Service,
    rate: f64,
    duration: time::Duration,
    seed: u64,
) -> Vec<SearchSample> {
    let searches = load::SearchLoad {
        text: "query",
        rate,
        duration,
        seed,
        deadline: DEADLINE,
    };
    searches.send(caller.clone(), service.clone()).await
}

/// Tallies the samples. Unanswered requests to dead VMs are left out: no promise covers
/// them.
fn tally_samples(
    site: &site::Site,
    samples: &[SearchSample],
    dead: &collections::BTreeSet<ids::Vm>,
) -> tally::Tally {
    let service = site.service(SERVICE);
    let mut tally = tally::Tally::default();
    for (query, sample) in samples {
        let was_sent_to_dead = sample.vm.as_ref().is_some_and(|vm| dead.contains(vm));
        if sample.reply.is_ok() || !was_sent_to_dead {
            tally.add(&service.layout, query, sample);
        }
    }
    tally
}

async fn kill_vms(
    site: &mut site::Site,
    caller: &load::Caller,
    rate: f64,
    count: usize,
    seed: u64,
) -> outcome::Outcome {
    let service = site.service(SERVICE).id().clone();
    let sending = send(caller, &service, rate, LOAD_DURATION, seed);
    let losing = async {
        tokio::time::sleep(LOSS_AT).await;
        let dead = (0..count).map(|_| site.kill(0)).collect();
        (dead, wait_until_removed(site).await)
    };
    let (samples, (dead, removed_after)) = future::join(sending, losing).await;
    // The upstreams' calls aren't counted; `run` removes the figure derived from them.
    let mut out = tally_samples(site, &samples, &dead).outcome(0);
    let was_lost_with_vm = |(_, sample): &&SearchSample| {
        sample.reply.is_err() && sample.vm.as_ref().is_some_and(|vm| dead.contains(vm))
    };
    out.set_figure(
        "lost_with_vm",
        samples.iter().filter(was_lost_with_vm).count() as f64,
    );
    match removed_after {
        Some(took) => out.set_figure("removed_ms", took.as_secs_f64() * 1e3),
        None => out.add_violation(REMOVED, "-", format!("{dead:?} after {REMOVAL_TIMEOUT:?}")),
    }
    out
}

/// Waits until the view of every VM counts exactly the VMs that still run; returns how long
/// that took, or `None` after `REMOVAL_TIMEOUT`.
pub(super) async fn wait_until_removed(site: &site::Site) -> Option<time::Duration> {
    let start = tokio::time::Instant::now();
    let expected = site.vms.len() as f64;
    while start.elapsed() < REMOVAL_TIMEOUT {
        let metrics = future::join_all(site.vms.iter().map(usage::metrics)).await;
        let has_expected_count = |figures: &collections::BTreeMap<String, f64>| {
            figures.get("member_live").copied() == Some(expected)
        };
        if metrics.iter().all(has_expected_count) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    None
}
