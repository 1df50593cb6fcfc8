//! Index versions change while searches run, and the index is repartitioned.
//!
//! Every 200 ms the upstreams, one after another, start to offer a new version and
//! drop the oldest of three. Half-way through the load two shards are added.

use std::time;

use geraniumgauge::ids;
use geraniumgauge::layout;
use geraniumgauge::query;
use geraniumgauge::store;

use crate::measure;
use crate::measure::check;
use crate::measure::outcome;
use crate::measure::searches;
use crate::measure::tally;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "versions",
    about: "a new index version every 200 ms, upstream by upstream; a repartition half-way",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Shards of the layout before the repartition.
const SHARDS_BEFORE: usize = 18;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.1;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(8);
/// Delay between the rollouts of two versions.
const VERSION_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Delay between two upstreams in the rollout of a version.
const UPSTREAM_INTERVAL: time::Duration = time::Duration::from_millis(4);
/// Number of versions that an upstream offers at a time.
const VERSIONS_KEPT: u64 = 3;

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let new_layout = layout::Layout {
        version: ids::LayoutVersion(3),
        ..site.service(SERVICE).layout.clone()
    };
    let mut old_layout = layout::Layout {
        version: ids::LayoutVersion(2),
        ..new_layout.clone()
    };
    old_layout.shards.truncate(SHARDS_BEFORE);
    put_layout(&site, &old_layout);
    site.services[0].layout = old_layout.clone();
    let rate = site.service(SERVICE).capacity() * LOAD_SHARE;
    let load = searches::Load {
        rate,
        duration: searches::WARM_UP_DURATION * 2,
        seed: context.seed,
    };
    searches::send(&site, SERVICE, load).await?;
    let service = site.service(SERVICE);
    let (arrived_before, sent_before) = (
        service.counts().arrived(),
        searches::Attempts::read(&site).await?,
    );
    let load = searches::Load {
        duration: LOAD_DURATION,
        seed: context.seed + 1,
        ..load
    };
    let repartition = async {
        tokio::time::sleep(LOAD_DURATION / 2).await;
        put_layout(&site, &new_layout);
    };
    let results = tokio::select! {
        (results, ()) = async { tokio::join!(searches::send(&site, SERVICE, load), repartition) } => results?,
        () = roll_out_versions(service) => Vec::new(),
    };
    let sent = searches::Attempts::read(&site).await?.since(sent_before);
    let calls_arrived = service.counts().arrived() - arrived_before;
    let mut out = summarize(&results, &old_layout, &new_layout, calls_arrived);
    sent.set_figures(&mut out);
    Ok(out)
}

/// Summarizes the searches, checking each answer against the layout that it names.
/// `calls_arrived` is the number of calls that reached the upstreams during these searches.
fn summarize(
    results: &[searches::Search],
    old_layout: &layout::Layout,
    new_layout: &layout::Layout,
    calls_arrived: u64,
) -> outcome::Outcome {
    let mut tally = tally::Tally::default();
    let (mut at_old, mut at_new) = (0.0, 0.0);
    for search in results {
        let body = search.sample.reply.as_ref().map(|reply| &reply.body);
        let body = body.ok();
        let version = body.and_then(|body| body["snapshot"]["layout"].as_u64());
        let is_old = version == Some(old_layout.version.0);
        at_old += f64::from(u8::from(is_old));
        at_new += f64::from(u8::from(version == Some(new_layout.version.0)));
        let layout = if is_old { old_layout } else { new_layout };
        tally.add(layout, &search.query, &search.sample);
    }
    let mut out = tally.outcome(calls_arrived);
    out.set_figure("whole_share", searches::complete_in_time_share(results));
    out.set_figure("at_old_layout", at_old);
    out.set_figure("at_new_layout", at_new);
    if at_new == 0.0 {
        out.add_violation(check::ONE_SNAPSHOT, "-", "no search used the new layout");
    }
    out
}

fn put_layout(site: &site::Site, layout: &layout::Layout) {
    let key = layout::key(site.service(SERVICE).id());
    let body = serde_json::to_vec(layout).unwrap_or_default();
    site.platform.state().objects(|objects| {
        let _ = objects.put(&key, body.into(), store::Condition::Any);
    });
}

/// Rolls out one version after another, without end.
async fn roll_out_versions(service: &site::Service) {
    for newest in VERSIONS_KEPT + 1.. {
        for upstream in &service.upstreams {
            upstream.state().set_faults(|faults| {
                faults.newest = newest;
                faults.oldest = newest + 1 - VERSIONS_KEPT;
            });
            tokio::time::sleep(UPSTREAM_INTERVAL).await;
        }
        tokio::time::sleep(VERSION_INTERVAL).await;
    }
}
