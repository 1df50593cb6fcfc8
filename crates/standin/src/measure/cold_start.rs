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
    let mut config = site::Config::new(vec![spec]);
    config.policy = context.policy;
    config.seed = context.seed;
    config.vms = 8;
    let site = site::Site::start(config).await?;
    let service = site.service(SERVICE);
    let rate = service.capacity() * LOAD;
    let load = searches::Load {
        rate,
        span: searches::WARM_UP,
        seed: context.seed,
    };
    searches::send(&site, SERVICE, load).await?;
    let (before, sent) = (
        service.counts().arrived(),
        searches::Sent::read(&site).await?,
    );
    let load = searches::Load {
        span: SPAN,
        seed: context.seed + 1,
        ..load
    };
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
    let (found, ()) = tokio::join!(searches::send(&site, SERVICE, load), restart);
    let found = found?;
    let sent = searches::Sent::read(&site).await?.since(sent);
    let mut out = searches::sum(service, &found, service.counts().arrived() - before, sent);
    let after = found.iter().filter(|search| search.at > RESTART);
    out.figure("whole_after_restart_share", searches::whole(after));
    Ok(out)
}
