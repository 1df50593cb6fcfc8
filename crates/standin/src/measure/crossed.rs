//! Replies that are for another request or shard, or of another index version.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "crossed",
    about: "1 in 50 replies is another request's, 1 in 50 of another version, 1 in 100 late",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.15;
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
    service.set_faults(|faults| {
        faults.crossed_share = 0.02;
        faults.wrong_version_share = 0.02;
        faults.straggler_share = 0.01;
    });
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
    let arrived = service.counts().arrived() - before;
    Ok(searches::sum(service, &found, arrived, sent))
}
