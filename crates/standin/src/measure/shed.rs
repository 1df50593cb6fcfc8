//! One replica of each shard sheds half of what it is sent, whatever its load.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "shed",
    about: "one replica of each of 20 shards sheds half of its calls",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.1;
const SHED: f64 = 0.5;
const SPAN: time::Duration = time::Duration::from_secs(8);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut config = site::Config::new(vec![site::Spec::small(SERVICE, SHARDS)]);
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
    for shard in 0..SHARDS {
        let upstream = service.replica(shard, 0).state();
        upstream.set_faults(|faults| faults.shed_share = SHED);
    }
    let (before, sent) = (
        service.counts().arrived(),
        searches::Sent::read(&site).await?,
    );
    let load = searches::Load {
        span: SPAN,
        seed: context.seed + 1,
        ..load
    };
    let found = searches::send(&site, SERVICE, load).await?;
    let sent = searches::Sent::read(&site).await?.since(sent);
    Ok(searches::sum(
        service,
        &found,
        service.counts().arrived() - before,
        sent,
    ))
}
