//! One query crashes every upstream that runs it and is sent again and again to every
//! VM, while other searches run.

use std::collections;
use std::time;

use futures_util::future;
use geraniumgauge::query;

use crate::measure;
use crate::measure::load;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "crash-query",
    about: "a query that crashes upstreams, sent again at every VM; 2 and 4 replicas, 8 and 240 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

/// Promise that one request crashes at most two upstreams.
const MAX_TWO_LOST: &str = "at most two upstreams lost to one request";
/// Promise that no shard loses all its replicas to one request.
const NO_SHARD_LOST: &str = "no shard without a replica";

const SERVICE: &str = "port-inspection";
/// Mean rate of the other searches, for up to 100 shards.
const SEARCHES_PER_S: f64 = 20.0;
/// Mean rate of the other searches, for more than 100 shards.
const SEARCHES_PER_S_WIDE: f64 = 4.0;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(8);
/// Time of the first crashing query, from the start of the load.
const FIRST_SEND_AT: time::Duration = time::Duration::from_secs(2);
/// Number of times that the query is sent to every VM.
const SEND_ROUNDS: u32 = 16;
/// Shortest time between two such rounds.
const SEND_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Searches of each kind from which the cost of a canary is computed.
const COST_SEARCHES: usize = 60;
/// Connections that an upstream accepts in the baseline, in which every VM opens as many
/// to every upstream as its share allows: here one. With more, the largest site would
/// need more open files than a process may have.
const BASELINE_CONNECTIONS: u32 = 2 * site::VM_COUNT as u32;
const RESTART_MS: u64 = 1500;
/// Time by which the crashed upstreams are in use again, from the start of the load.
const RECOVERED_AT: time::Duration = time::Duration::from_millis(6500);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    for (shards, replicas) in [(8, 2), (8, 4), (240, 2), (240, 4)] {
        let outcome = run_case(context, shards, replicas).await?;
        out.absorb(&format!("s{shards}_r{replicas}_"), outcome);
    }
    Ok(out)
}

async fn run_case(
    context: measure::Context,
    shards: usize,
    replicas: usize,
) -> Result<outcome::Outcome, measure::Error> {
    let mut spec = site::Spec {
        replicas,
        ..site::Spec::small(SERVICE, shards)
    };
    if context.policy == query::Policy::Direct {
        spec.connections = BASELINE_CONNECTIONS;
    }
    let site = context.site(spec).await?;
    let service = site.service(SERVICE);
    service.set_faults(|faults| faults.restart_ms = RESTART_MS);
    let rate = if shards > 100 {
        SEARCHES_PER_S_WIDE
    } else {
        SEARCHES_PER_S
    };
    let load = searches::Load {
        rate,
        duration: searches::WARM_UP_DURATION,
        seed: context.seed,
    };
    searches::send(&site, SERVICE, load).await?;
    let mut out = outcome::Outcome::default();
    measure_canary_cost(&site, &mut out).await?;
    let load = searches::Load {
        duration: LOAD_DURATION,
        seed: context.seed + 1,
        ..load
    };
    let crashing = send_crashing_query(&site);
    let (results, answered) = tokio::join!(searches::send(&site, SERVICE, load), crashing);
    let (results, answered) = (results?, answered?);
    check_losses(service, &mut out);
    out.set_figure("crash_query_answers", answered as f64);
    out.set_figure(
        "others_whole_share",
        searches::complete_in_time_share(&results),
    );
    let recovered = results.iter().filter(|search| search.at >= RECOVERED_AT);
    out.set_figure(
        "others_whole_once_back_share",
        searches::complete_in_time_share(recovered),
    );
    Ok(out)
}

/// Adds the cost of canaries: compares searches that are new to their VM with a search
/// that every VM knows, sent one after another on an idle site.
async fn measure_canary_cost(
    site: &site::Site,
    out: &mut outcome::Outcome,
) -> Result<(), measure::Error> {
    let service = site.service(SERVICE);
    let caller = load::Caller::new(site)?;
    let arrived_before = service.counts().arrived();
    let mut new = Vec::new();
    for number in 0..COST_SEARCHES {
        let query = serde_json::json!({ "text": format!("new {number}") });
        new.push(
            caller
                .search(service.id(), &query, searches::DEADLINE)
                .await
                .took,
        );
    }
    let calls = (service.counts().arrived() - arrived_before) as f64;
    let expected = (COST_SEARCHES * service.layout.shards.len()) as f64;
    out.set_figure("canary_extra_load_share", calls / expected - 1.0);
    let mut known = Vec::new();
    let query = serde_json::json!({ "text": "known" });
    for _ in 0..COST_SEARCHES * 2 {
        known.push(
            caller
                .search(service.id(), &query, searches::DEADLINE)
                .await
                .took,
        );
    }
    out.set_figure("new_p50_ms", median_ms(&mut new));
    out.set_figure(
        "known_p50_ms",
        median_ms(&mut known.split_off(COST_SEARCHES)),
    );
    Ok(())
}

fn median_ms(durations: &mut [time::Duration]) -> f64 {
    durations.sort_unstable();
    let middle = durations.get(durations.len() / 2).copied();
    middle.unwrap_or_default().as_secs_f64() * 1e3
}

/// Sends the crashing query to every VM at once, repeatedly; returns the number of
/// answers.
async fn send_crashing_query(site: &site::Site) -> Result<usize, measure::Error> {
    tokio::time::sleep(FIRST_SEND_AT).await;
    let caller = load::Caller::new(site)?;
    let id = site.service(SERVICE).id().clone();
    let query = serde_json::json!({ "text": "crash-the-upstream" });
    let mut answered = 0;
    for _ in 0..SEND_ROUNDS {
        let sends = (0..site::VM_COUNT).map(|_| caller.search(&id, &query, searches::DEADLINE));
        let round = future::join_all(sends);
        let samples = tokio::join!(round, tokio::time::sleep(SEND_INTERVAL)).0;
        answered += samples.iter().filter(|sample| sample.answered()).count();
    }
    Ok(answered)
}

fn check_losses(service: &site::Service, out: &mut outcome::Outcome) {
    let mut crashes = 0;
    let mut names = Vec::new();
    let mut by_shard = collections::BTreeMap::<usize, usize>::new();
    let replicas = service.spec().replicas;
    for (number, upstream) in service.upstreams.iter().enumerate() {
        let count = upstream.state().counts().crashes;
        if count > 0 {
            crashes += count;
            names.push(upstream.state().config().id.to_string());
            *by_shard.entry(number / replicas).or_default() += 1;
        }
    }
    out.set_figure("crashes", crashes as f64);
    out.set_figure("upstreams_lost", names.len() as f64);
    if crashes > 2 {
        out.add_violation(MAX_TWO_LOST, "-", format!("{crashes} crashes of {names:?}"));
    }
    if by_shard.values().any(|lost| *lost == replicas) {
        out.add_violation(NO_SHARD_LOST, "-", format!("{names:?}"));
    }
}
