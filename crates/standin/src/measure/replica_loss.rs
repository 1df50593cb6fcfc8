//! A rack goes: one replica of every other shard crashes at the same moment.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "replica-loss",
    about: "one replica of every other shard of 20 crashes; back after 3 s",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.15;
const SPAN: time::Duration = time::Duration::from_secs(10);
const LOSS: time::Duration = time::Duration::from_secs(2);
const RESTART_MS: u64 = 3000;
/// When searches are whole again at the latest, after the loss.
const SETTLED: time::Duration = time::Duration::from_secs(1);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let bench =
        searches::Bench::start(context, site::Spec::small(SERVICE, SHARDS), LOAD, SPAN).await?;
    let service = bench.service();
    let loss = async {
        tokio::time::sleep(LOSS).await;
        for shard in (0..SHARDS).step_by(2) {
            let upstream = service.replica(shard, 0).state();
            upstream.set_faults(|faults| faults.restart_ms = RESTART_MS);
            upstream.crash();
        }
    };
    let (found, ()) = tokio::join!(bench.send(), loss);
    let found = found?;
    let mut out = bench.sum(&found).await?;
    let first = found
        .iter()
        .filter(|s| s.at >= LOSS && s.at < LOSS + SETTLED);
    out.figure("whole_in_first_second_share", searches::whole(first));
    let later = found.iter().filter(|s| s.at >= LOSS + SETTLED);
    out.figure("whole_afterwards_share", searches::whole(later));
    Ok(out)
}
