//! Twice as many searches as the upstreams can run.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "overload",
    about: "twice the searches that the upstreams can run; each asks 8 shards",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "assessor-desk";
const SHARDS: usize = 8;
/// Slow enough for the machine to serve twice the capacity of all upstreams.
const WORK_MS: f64 = 40.0;
const OVERLOAD: f64 = 2.0;
const SPAN: time::Duration = time::Duration::from_secs(12);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let spec = site::Spec {
        work_ms: WORK_MS,
        ..site::Spec::small(SERVICE, SHARDS)
    };
    let bench = searches::Bench::start(context, spec, OVERLOAD, SPAN).await?;
    let service = bench.service();
    let found = bench.send().await?;
    let mut out = bench.sum(&found).await?;
    let whole = found.iter().filter(|search| search.is_whole()).count() as f64;
    let goodput = whole / SPAN.as_secs_f64() / service.capacity();
    out.figure("goodput_of_capacity_share", goodput);
    Ok(out)
}
