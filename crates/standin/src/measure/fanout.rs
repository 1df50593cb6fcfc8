//! One in a hundred shard calls runs thirty times as long; each query asks 240 shards.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "fanout",
    about: "1 in 100 shard calls runs 30 times as long; each query asks 240 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "wide";
const SHARDS: usize = 240;
const SEARCHES_PER_S: f64 = 10.0;
/// Median running time of a call at an upstream. It must be much longer than the stand-ins'
/// own processing of a call, which would distort the latencies otherwise.
const MEDIAN_RUNNING_TIME_MS: f64 = 10.0;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(15);
const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(3);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<measure::outcome::Outcome, measure::Error> {
    let mut spec = site::Spec::small(SERVICE, SHARDS);
    spec.median_running_time_ms = MEDIAN_RUNNING_TIME_MS;
    let site = context.site(spec).await?;
    let service = site.service(SERVICE);
    service.set_faults(|faults| faults.straggler_share = 0.01);
    searches::send_and_tally(
        &site,
        SERVICE,
        SEARCHES_PER_S,
        WARM_UP_DURATION,
        context.seed,
        DEADLINE,
    )
    .await?;
    let arrived_before = service.counts().arrived();
    let seed = context.seed + 1;
    let tally = searches::send_and_tally(
        &site,
        SERVICE,
        SEARCHES_PER_S,
        LOAD_DURATION,
        seed,
        DEADLINE,
    )
    .await?;
    Ok(tally.outcome(service.counts().arrived() - arrived_before))
}
