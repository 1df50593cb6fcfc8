//! Some replies of upstreams carry the id of another request or a wrong index version,
//! and some calls run 30 times as long.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "crossed",
    about: "1 in 50 replies with a wrong id, 1 in 50 with a wrong version; 1 in 100 calls is slow",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.15;
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
    service.set_faults(|faults| {
        faults.crossed_share = 0.02;
        faults.wrong_version_share = 0.02;
        faults.straggler_share = 0.01;
    });
    let results = warm_site.send().await?;
    warm_site.summarize(&results).await
}
