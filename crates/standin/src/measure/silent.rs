//! Every open connection to the upstreams goes silent at once, while new ones
//! work; twice.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "silent",
    about: "all open connections to upstreams go silent at once, new ones work",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
const LOAD: f64 = 0.1;
const SPAN: time::Duration = time::Duration::from_secs(9);
const SILENCES: [time::Duration; 2] = [time::Duration::from_secs(3), time::Duration::from_secs(6)];
/// Searches sent this long before a silence or after it may meet it.
const BEFORE: time::Duration = time::Duration::from_millis(100);
const AFTER: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let bench =
        searches::Bench::start(context, site::Spec::small(SERVICE, SHARDS), LOAD, SPAN).await?;
    let service = bench.service();
    let silence = async {
        let start = tokio::time::Instant::now();
        for at in SILENCES {
            tokio::time::sleep_until(start + at).await;
            service.set_faults(|faults| faults.silence_open = true);
        }
    };
    let (found, ()) = tokio::join!(bench.send(), silence);
    let found = found?;
    let mut out = bench.sum(&found).await?;
    met(&found, &mut out);
    Ok(out)
}

/// Figures of the searches that may have met a silence, and of the others.
fn met(found: &[searches::Search], out: &mut outcome::Outcome) {
    let meets = |search: &&searches::Search| {
        SILENCES
            .iter()
            .any(|at| (*at - BEFORE..*at + AFTER).contains(&search.at))
    };
    let (met, others): (Vec<_>, Vec<_>) = found.iter().partition(meets);
    out.figure("met_whole_share", searches::whole(met.iter().copied()));
    for (name, searches) in [("met", met), ("others", others)] {
        let mut took: Vec<_> = searches.iter().map(|search| search.sample.took).collect();
        took.sort();
        let at = |share: f64| {
            let place = (took.len() as f64 * share) as usize;
            let span = took.get(place.min(took.len().saturating_sub(1)));
            span.copied().unwrap_or_default().as_secs_f64() * 1e3
        };
        out.figure(format!("{name}_p99_ms"), at(0.99));
        out.figure(format!("{name}_worst_ms"), at(1.0));
    }
}
