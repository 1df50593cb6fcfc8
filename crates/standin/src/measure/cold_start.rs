//! One replica of each shard restarts and runs calls slowly at first.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "cold-start",
    about: "one replica of each of 8 shards restarts, ten times slower for 4 s",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "assessor-desk";
const SHARDS: usize = 8;
const WORK_MS: f64 = 10.0;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.35;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(9);
/// Time of the restart, from the start of the load.
const RESTART_AT: time::Duration = time::Duration::from_secs(2);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let spec = site::Spec {
        work_ms: WORK_MS,
        ..site::Spec::small(SERVICE, SHARDS)
    };
    let bench = searches::Bench::start(context, spec, LOAD_SHARE, LOAD_DURATION).await?;
    let service = bench.service();
    let restart = async {
        tokio::time::sleep(RESTART_AT).await;
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
    let (results, ()) = tokio::join!(bench.send(), restart);
    let results = results?;
    let mut out = bench.summarize(&results).await?;
    let after = results.iter().filter(|search| search.at > RESTART_AT);
    out.figure(
        "whole_after_restart_share",
        searches::complete_in_time_share(after),
    );
    Ok(out)
}
