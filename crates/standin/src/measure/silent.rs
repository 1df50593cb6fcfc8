//! All open connections to the upstreams stop carrying data at once, twice; new
//! connections work.

use std::time;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "silent",
    about: "all open connections to upstreams go silent at once, new ones work",
    baseline: Some(query::Policy::Direct),
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "foreman-search";
const SHARDS: usize = 20;
/// Load as a share of the upstreams' capacity.
const LOAD_SHARE: f64 = 0.1;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(9);
/// Times at which the open connections become silent, from the start of the load.
const SILENCES_AT: [time::Duration; 2] =
    [time::Duration::from_secs(3), time::Duration::from_secs(6)];
/// A search sent less than this before a silence counts as affected.
const AFFECTED_BEFORE: time::Duration = time::Duration::from_millis(100);
/// A search sent less than this after a silence counts as affected.
const AFFECTED_AFTER: time::Duration = time::Duration::from_millis(1000);

async fn run(context: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let warm_site = searches::WarmSite::start(
        context,
        site::Spec::small(SERVICE, SHARDS),
        LOAD_SHARE,
        LOAD_DURATION,
    )
    .await?;
    let service = warm_site.service();
    let silence = async {
        let start = tokio::time::Instant::now();
        for at in SILENCES_AT {
            tokio::time::sleep_until(start + at).await;
            service.set_faults(|faults| faults.silence_open = true);
        }
    };
    let (results, ()) = tokio::join!(warm_site.send(), silence);
    let results = results?;
    let mut out = warm_site.summarize(&results).await?;
    set_affected_figures(&results, &mut out);
    Ok(out)
}

/// Sets the figures of the searches that a silence may have affected and of the others.
fn set_affected_figures(results: &[searches::Search], out: &mut outcome::Outcome) {
    let is_affected = |search: &&searches::Search| {
        SILENCES_AT
            .iter()
            .any(|at| (*at - AFFECTED_BEFORE..*at + AFFECTED_AFTER).contains(&search.at))
    };
    let (affected, others): (Vec<_>, Vec<_>) = results.iter().partition(is_affected);
    out.set_figure(
        "met_whole_share",
        searches::complete_in_time_share(affected.iter().copied()),
    );
    for (name, searches) in [("met", affected), ("others", others)] {
        let mut took: Vec<_> = searches.iter().map(|search| search.sample.took).collect();
        took.sort();
        let quantile_ms = |share: f64| {
            let index = (took.len() as f64 * share) as usize;
            let duration = took.get(index.min(took.len().saturating_sub(1)));
            duration.copied().unwrap_or_default().as_secs_f64() * 1e3
        };
        out.set_figure(format!("{name}_p99_ms"), quantile_ms(0.99));
        out.set_figure(format!("{name}_worst_ms"), quantile_ms(1.0));
    }
}
