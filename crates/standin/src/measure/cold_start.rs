//! One replica of each shard crashes and restarts, and runs calls slowly at first.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "cold-start",
    about: "one replica of each of 8 shards restarts; calls 10 times as long, normal after 4 s",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "assessor-desk";
const SHARDS: usize = 8;
/// Median running time of a call at an upstream.
const MEDIAN_RUNNING_TIME_MS: f64 = 10.0;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.35;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(9);
/// Time from the start of the load at which the replicas crash; they listen again 300 ms
/// later.
const CRASH_AT: time::Duration = time::Duration::from_secs(2);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let spec = site::Spec {
        median_running_time_ms: MEDIAN_RUNNING_TIME_MS,
        ..site::Spec::small(SERVICE, SHARDS)
    };
    let warm_site = searches::WarmSite::start(context, spec, LOAD_SHARE, LOAD_DURATION).await?;
    let service = warm_site.service();
    let crash = async {
        tokio::time::sleep(CRASH_AT).await;
        for shard in 0..SHARDS {
            let upstream = service.replica(shard, 0).state();
            upstream.set_faults(|faults| {
                faults.restart_ms = 300;
                faults.cold_factor = 10.0;
                faults.cold_ms = 4000;
            });
            upstream.crash();
        }
    };
    let (results, ()) = tokio::join!(warm_site.send(), crash);
    let results = results?;
    let mut out = warm_site.summarize(&results).await?;
    let after_crash = results.iter().filter(|search| search.at > CRASH_AT);
    out.set_figure(
        "whole_after_restart_share",
        searches::complete_in_time_share(after_crash),
    );
    Ok(out)
}
