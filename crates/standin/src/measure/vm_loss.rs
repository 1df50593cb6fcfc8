//! VMs die without a word under load: one, then two at once.

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

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "vm-loss",
    about: "one of 8 VMs dies under load, then two at once; searches touch 20 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// A dead VM is taken out of every view in the end.
pub(super) const REMOVED: &str = "dead VMs are removed";
/// What a dead VM held is taken over.
const TAKEN_OVER: &str = "duties are taken over";

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.2;
const WARM_UP: time::Duration = time::Duration::from_secs(2);
/// Searches are sent so long around each loss, and again after it.
const SPAN: time::Duration = time::Duration::from_secs(8);
/// From the start of a span to its loss.
const BEFORE: time::Duration = time::Duration::from_secs(2);
/// Longest wait for the views; only a view that never changes is a violation.
const PATIENCE: time::Duration = time::Duration::from_secs(60);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let rate = site.service(SERVICE).capacity() * LOAD;
    let caller = load::Caller::new(&site)?;
    let service = site.service(SERVICE).id().clone();
    send(&caller, &service, rate, WARM_UP, context.seed).await;
    let mut out = outcome::Outcome::default();
    for (name, count) in [("one_", 1), ("two_", 2)] {
        let part = lose(&mut site, &caller, rate, count, context.seed + count as u64).await;
        out.absorb(name, part);
    }
    let samples = send(&caller, &service, rate, SPAN, context.seed + 9).await;
    let after = summed(&site, &samples, &collections::BTreeSet::new()).outcome(0);
    if after
        .figures
        .get("complete_share")
        .is_none_or(|share| *share == 0.0)
    {
        out.violate(TAKEN_OVER, "-", "no answer was complete after the losses");
    }
    out.absorb("after_", after);
    out.figures
        .retain(|name, _| !name.ends_with("extra_load_share"));
    Ok(out)
}

type Sent = (serde_json::Value, load::Sample);

async fn send(
    caller: &load::Caller,
    service: &ids::Service,
    rate: f64,
    span: time::Duration,
    seed: u64,
) -> Vec<Sent> {
    let searches = load::Searches {
        text: "query",
        rate,
        span,
        seed,
        deadline: DEADLINE,
    };
    searches.send(caller.clone(), service.clone()).await
}

/// Sums up; a request that was at a VM when it died is lost with it, and that
/// breaks no promise.
fn summed(
    site: &site::Site,
    samples: &[Sent],
    dead: &collections::BTreeSet<ids::Vm>,
) -> tally::Tally {
    let service = site.service(SERVICE);
    let mut tally = tally::Tally::default();
    for (query, sample) in samples {
        let at_dead = sample.vm.as_ref().is_some_and(|vm| dead.contains(vm));
        if sample.reply.is_ok() || !at_dead {
            tally.add(&service.layout, query, sample);
        }
    }
    tally
}

async fn lose(
    site: &mut site::Site,
    caller: &load::Caller,
    rate: f64,
    count: usize,
    seed: u64,
) -> outcome::Outcome {
    let service = site.service(SERVICE).id().clone();
    let sending = send(caller, &service, rate, SPAN, seed);
    let losing = async {
        tokio::time::sleep(BEFORE).await;
        let dead = (0..count).map(|_| site.kill(0)).collect();
        (dead, removed(site).await)
    };
    let (samples, (dead, removed)) = future::join(sending, losing).await;
    let mut out = summed(site, &samples, &dead).outcome(0);
    let at_dead = |(_, sample): &&Sent| {
        sample.reply.is_err() && sample.vm.as_ref().is_some_and(|vm| dead.contains(vm))
    };
    out.figure(
        "lost_with_vm",
        samples.iter().filter(at_dead).count() as f64,
    );
    match removed {
        Some(took) => out.figure("removed_ms", took.as_secs_f64() * 1e3),
        None => out.violate(REMOVED, "-", format!("{dead:?} after {PATIENCE:?}")),
    }
    out
}

/// How long until every VM's view holds just the VMs that run.
pub(super) async fn removed(site: &site::Site) -> Option<time::Duration> {
    let start = tokio::time::Instant::now();
    let wanted = site.nodes.len() as f64;
    while start.elapsed() < PATIENCE {
        let all = future::join_all(site.nodes.iter().map(usage::metrics)).await;
        let live = |figures: &collections::BTreeMap<String, f64>| {
            figures.get("member_live").copied() == Some(wanted)
        };
        if all.iter().all(live) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    None
}
