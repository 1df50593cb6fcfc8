//! One query crashes each upstream that runs it, and its caller sends it again
//! at every VM, while others search.

use std::collections;
use std::time;

use futures_util::future;
use geraniumgauge::query;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "crash-query",
    about: "a query that crashes upstreams, sent again at every VM; 2 and 4 replicas, 8 and 240 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// At most two upstreams are lost to one request.
const TWO_LOST: &str = "at most two upstreams lost to one request";
/// No shard loses all its replicas to it.
const NONE_BARE: &str = "no shard without a replica";

const SERVICE: &str = "port-inspection";
/// Searches a second beside the one that crashes.
const RATE: f64 = 20.0;
const RATE_WIDE: f64 = 4.0;
const SPAN: time::Duration = time::Duration::from_secs(8);
/// When the crashing query is first sent.
const BEGIN: time::Duration = time::Duration::from_secs(2);
/// How often its caller sends it again, at every VM.
const RESENDS: u32 = 16;
const BETWEEN: time::Duration = time::Duration::from_millis(100);
/// Searches of each kind that the canary's cost is taken from.
const COST_SENDS: usize = 60;
const RESTART_MS: u64 = 1500;
/// When the lost upstreams are back and known to be.
const BACK: time::Duration = time::Duration::from_millis(6500);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    for (shards, replicas) in [(8, 2), (8, 4), (240, 2), (240, 4)] {
        let one = case(context, shards, replicas).await?;
        out.absorb(&format!("s{shards}_r{replicas}_"), one);
    }
    Ok(out)
}

async fn case(
    context: measure::Context,
    shards: usize,
    replicas: usize,
) -> Result<outcome::Outcome, measure::Error> {
    let spec = site::Spec {
        replicas,
        ..site::Spec::small(SERVICE, shards)
    };
    let site = context.site(spec).await?;
    let service = site.service(SERVICE);
    service.set_faults(|faults| faults.restart_ms = RESTART_MS);
    let rate = if shards > 100 { RATE_WIDE } else { RATE };
    let load = searches::Load {
        rate,
        span: searches::WARM_UP,
        seed: context.seed,
    };
    searches::send(&site, SERVICE, load).await?;
    let mut out = outcome::Outcome::default();
    canary_cost(&site, &mut out).await?;
    let load = searches::Load {
        span: SPAN,
        seed: context.seed + 1,
        ..load
    };
    let crashing = crash(&site);
    let (found, answered) = tokio::join!(searches::send(&site, SERVICE, load), crashing);
    let (found, answered) = (found?, answered?);
    lost(service, &mut out);
    out.figure("crash_query_answers", answered as f64);
    out.figure("others_whole_share", searches::whole(&found));
    let back = found.iter().filter(|search| search.at >= BACK);
    out.figure("others_whole_once_back_share", searches::whole(back));
    Ok(out)
}

/// What a canary costs: searches that are new to their VM beside ones that
/// every VM knows, one after another on a quiet site.
async fn canary_cost(site: &site::Site, out: &mut outcome::Outcome) -> Result<(), measure::Error> {
    let service = site.service(SERVICE);
    let caller = load::Caller::new(site)?;
    let before = service.counts().arrived();
    let mut new = Vec::new();
    for number in 0..COST_SENDS {
        let query = serde_json::json!({ "text": format!("new {number}") });
        new.push(
            caller
                .search(service.id(), &query, searches::DEADLINE)
                .await
                .took,
        );
    }
    let calls = (service.counts().arrived() - before) as f64;
    let due = (COST_SENDS * service.layout.shards.len()) as f64;
    out.figure("canary_extra_load_share", calls / due - 1.0);
    let mut known = Vec::new();
    let query = serde_json::json!({ "text": "known" });
    for _ in 0..COST_SENDS * 2 {
        known.push(
            caller
                .search(service.id(), &query, searches::DEADLINE)
                .await
                .took,
        );
    }
    out.figure("new_p50_ms", median(&mut new));
    out.figure("known_p50_ms", median(&mut known.split_off(COST_SENDS)));
    Ok(())
}

fn median(spans: &mut [time::Duration]) -> f64 {
    spans.sort_unstable();
    let middle = spans.get(spans.len() / 2).copied();
    middle.unwrap_or_default().as_secs_f64() * 1e3
}

/// Sends the query to every VM at once, time after time; how many answers came.
async fn crash(site: &site::Site) -> Result<usize, measure::Error> {
    tokio::time::sleep(BEGIN).await;
    let caller = load::Caller::new(site)?;
    let id = site.service(SERVICE).id().clone();
    let query = serde_json::json!({ "text": "crash-the-upstream" });
    let mut answered = 0;
    for _ in 0..RESENDS {
        let sends = (0..site::VM_COUNT).map(|_| caller.search(&id, &query, searches::DEADLINE));
        let round = future::join_all(sends);
        let samples = tokio::join!(round, tokio::time::sleep(BETWEEN)).0;
        answered += samples.iter().filter(|sample| sample.answered()).count();
    }
    Ok(answered)
}

fn lost(service: &site::Service, out: &mut outcome::Outcome) {
    let mut lives = 0;
    let mut names = Vec::new();
    let mut by_shard = collections::BTreeMap::<usize, usize>::new();
    let replicas = service.spec().replicas;
    for (number, upstream) in service.upstreams.iter().enumerate() {
        let crashes = upstream.state().counts().crashes;
        if crashes > 0 {
            lives += crashes;
            names.push(upstream.state().config().id.to_string());
            *by_shard.entry(number / replicas).or_default() += 1;
        }
    }
    out.figure("crashes", lives as f64);
    out.figure("upstreams_lost", names.len() as f64);
    if lives > 2 {
        out.violate(TWO_LOST, "-", format!("{lives} crashes of {names:?}"));
    }
    if by_shard.values().any(|lost| *lost == replicas) {
        out.violate(NONE_BARE, "-", format!("{names:?}"));
    }
}
