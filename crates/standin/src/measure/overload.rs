//! Searches arrive at twice the rate that the upstreams can serve.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "overload",
    about: "twice the searches that the upstreams can run; each asks 8 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "assessor-desk";
const SHARDS: usize = 8;
/// Median running time of a call at an upstream. It is long, so that the upstreams' capacity
/// is small enough for one machine to send twice as many searches.
const MEDIAN_RUNNING_TIME_MS: f64 = 40.0;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 2.0;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(12);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let spec = site::Spec {
        median_running_time_ms: MEDIAN_RUNNING_TIME_MS,
        ..site::Spec::small(SERVICE, SHARDS)
    };
    let warm_site = searches::WarmSite::start(context, spec, LOAD_SHARE, LOAD_DURATION).await?;
    let service = warm_site.service();
    let results = warm_site.send().await?;
    let mut out = warm_site.summarize(&results).await?;
    let complete_in_time = results
        .iter()
        .filter(|search| search.is_complete_in_time())
        .count() as f64;
    let goodput = complete_in_time / LOAD_DURATION.as_secs_f64() / service.capacity();
    out.set_figure("goodput_of_capacity_share", goodput);
    Ok(out)
}
