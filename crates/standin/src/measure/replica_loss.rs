//! Loss of a rack: one replica of every other shard crashes at the same moment.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "replica-loss",
    about: "one replica of every other shard of 20 crashes; back after 3 s",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.15;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(10);
/// Time of the crashes, from the start of the load.
const LOSS_AT: time::Duration = time::Duration::from_secs(2);
const RESTART_MS: u64 = 3000;
/// Time after the loss from which searches are expected to be complete again.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(1);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let warm_site = searches::WarmSite::start(
        context,
        site::Spec::small(SERVICE, SHARDS),
        LOAD_SHARE,
        LOAD_DURATION,
    )
    .await?;
    let service = warm_site.service();
    let loss = async {
        tokio::time::sleep(LOSS_AT).await;
        for shard in (0..SHARDS).step_by(2) {
            let upstream = service.replica(shard, 0).state();
            upstream.set_faults(|faults| faults.restart_ms = RESTART_MS);
            upstream.crash();
        }
    };
    let (results, ()) = tokio::join!(warm_site.send(), loss);
    let results = results?;
    let mut out = warm_site.summarize(&results).await?;
    let first_second = results
        .iter()
        .filter(|s| s.at >= LOSS_AT && s.at < LOSS_AT + RECOVERY_TIME);
    out.set_figure(
        "whole_in_first_second_share",
        searches::complete_in_time_share(first_second),
    );
    let later = results.iter().filter(|s| s.at >= LOSS_AT + RECOVERY_TIME);
    out.set_figure(
        "whole_afterwards_share",
        searches::complete_in_time_share(later),
    );
    Ok(out)
}
