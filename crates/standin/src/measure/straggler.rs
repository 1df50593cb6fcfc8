//! One in a hundred shard calls runs thirty times as long; each query asks 20 shards.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "straggler",
    about: "1 in 100 shard calls runs 30 times as long; each query asks 20 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.2;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(10);
const WARM_UP_DURATION: time::Duration = time::Duration::from_secs(2);
const DEADLINE: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<measure::outcome::Outcome, measure::Error> {
    let site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let service = site.service(SERVICE);
    service.set_faults(|faults| {
        faults.straggler_share = 0.01;
        faults.straggler_factor = 30.0;
    });
    let rate = service.capacity() * LOAD_SHARE;
    searches::send_and_tally(
        &site,
        SERVICE,
        rate,
        WARM_UP_DURATION,
        context.seed,
        DEADLINE,
    )
    .await?;
    let arrived_before = service.counts().arrived();
    let tally = searches::send_and_tally(
        &site,
        SERVICE,
        rate,
        LOAD_DURATION,
        context.seed + 1,
        DEADLINE,
    )
    .await?;
    Ok(tally.outcome(service.counts().arrived() - arrived_before))
}
