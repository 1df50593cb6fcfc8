//! One replica of each shard sheds half of its calls, whatever its load.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "shed",
    about: "one replica of each of 20 shards sheds half of its calls",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.1;
const SHED_SHARE: f64 = 0.5;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(8);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let warm_site = searches::WarmSite::start(
        context,
        site::Spec::small(SERVICE, SHARDS),
        LOAD_SHARE,
        LOAD_DURATION,
    )
    .await?;
    let service = warm_site.service();
    for shard in 0..SHARDS {
        let upstream = service.replica(shard, 0).state();
        upstream.set_faults(|faults| faults.shed_share = SHED_SHARE);
    }
    let results = warm_site.send().await?;
    warm_site.summarize(&results).await
}
