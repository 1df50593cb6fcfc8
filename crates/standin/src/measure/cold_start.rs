//! One replica of each shard restarts and is slow at first.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "cold-start",
    about: "one replica of each of 8 shards restarts, ten times slower for 4 s",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "assessor-desk";
const SHARDS: usize = 8;
const WORK_MS: f64 = 10.0;
const LOAD: f64 = 0.35;
const SPAN: time::Duration = time::Duration::from_secs(9);
const RESTART: time::Duration = time::Duration::from_secs(2);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let spec = site::Spec {
        work_ms: WORK_MS,
        ..site::Spec::small(SERVICE, SHARDS)
    };
    let bench = searches::Bench::start(context, spec, LOAD, SPAN).await?;
    let service = bench.service();
    let restart = async {
        tokio::time::sleep(RESTART).await;
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
    let (found, ()) = tokio::join!(bench.send(), restart);
    let found = found?;
    let mut out = bench.sum(&found).await?;
    let after = found.iter().filter(|search| search.at > RESTART);
    out.figure("whole_after_restart_share", searches::whole(after));
    Ok(out)
}
