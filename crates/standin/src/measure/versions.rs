//! Index versions that move under running searches, and a repartition.
//!
//! Every 200 ms a new version comes up, at each upstream a little later than at
//! the one before, and the oldest of three goes. Half-way two shards are added.

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

/// The scenario.
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
const LOAD: f64 = 0.1;
const SPAN: time::Duration = time::Duration::from_secs(8);
const ROUND: time::Duration = time::Duration::from_millis(200);
/// Between two upstreams that come to a new version.
const STEP: time::Duration = time::Duration::from_millis(4);
/// Versions offered at once.
const KEPT: u64 = 3;

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let whole = layout::Layout {
        version: ids::LayoutVersion(3),
        ..site.service(SERVICE).layout.clone()
    };
    let mut part = layout::Layout {
        version: ids::LayoutVersion(2),
        ..whole.clone()
    };
    part.shards.truncate(SHARDS_BEFORE);
    put(&site, &part);
    site.services[0].layout = part.clone();
    let rate = site.service(SERVICE).capacity() * LOAD;
    let load = searches::Load {
        rate,
        span: searches::WARM_UP * 2,
        seed: context.seed,
    };
    searches::send(&site, SERVICE, load).await?;
    let service = site.service(SERVICE);
    let (before, sent) = (
        service.counts().arrived(),
        searches::Sent::read(&site).await?,
    );
    let load = searches::Load {
        span: SPAN,
        seed: context.seed + 1,
        ..load
    };
    let repartition = async {
        tokio::time::sleep(SPAN / 2).await;
        put(&site, &whole);
    };
    let found = tokio::select! {
        (found, ()) = async { tokio::join!(searches::send(&site, SERVICE, load), repartition) } => found?,
        () = versions(service) => Vec::new(),
    };
    let sent = searches::Sent::read(&site).await?.since(sent);
    let arrived = service.counts().arrived() - before;
    let mut out = sum(&found, &part, &whole, arrived);
    sent.figures(&mut out);
    Ok(out)
}

/// Checks each answer by the layout that it names.
fn sum(
    found: &[searches::Search],
    part: &layout::Layout,
    whole: &layout::Layout,
    arrived: u64,
) -> outcome::Outcome {
    let mut tally = tally::Tally::default();
    let (mut old, mut new) = (0.0, 0.0);
    for search in found {
        let body = search.sample.reply.as_ref().map(|reply| &reply.body);
        let body = body.ok();
        let named = body.and_then(|body| body["snapshot"]["layout"].as_u64());
        let is_old = named == Some(part.version.0);
        old += f64::from(u8::from(is_old));
        new += f64::from(u8::from(named == Some(whole.version.0)));
        let layout = if is_old { part } else { whole };
        tally.add(layout, &search.query, &search.sample);
    }
    let mut out = tally.outcome(arrived);
    out.figure("whole_share", searches::whole(found));
    out.figure("at_old_layout", old);
    out.figure("at_new_layout", new);
    if new == 0.0 {
        out.violate(check::ONE_SNAPSHOT, "-", "no search came to the new layout");
    }
    out
}

fn put(site: &site::Site, layout: &layout::Layout) {
    let key = layout::key(site.service(SERVICE).id());
    let body = serde_json::to_vec(layout).unwrap_or_default();
    site.platform.state().objects(|objects| {
        let _ = objects.put(&key, body.into(), store::Condition::Any);
    });
}

/// Moves versions on for ever.
async fn versions(service: &site::Service) {
    for newest in KEPT + 1.. {
        for upstream in &service.upstreams {
            upstream.state().set_faults(|faults| {
                faults.newest = newest;
                faults.oldest = newest + 1 - KEPT;
            });
            tokio::time::sleep(STEP).await;
        }
        tokio::time::sleep(ROUND).await;
    }
}
