//! The store is down and then slow: searches continue; registrations are refused while
//! it is down.

use std::time;

use crate::measure;
use crate::measure::load;
use crate::measure::records;
use crate::measure::straggler;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "store-outage",
    about: "the store is down, then slow, then back; searches and registrations go on",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "landing-intake";
const SHARDS: usize = 8;
const PHASE_DURATION: time::Duration = time::Duration::from_secs(6);
const SEARCHES_PER_S: f64 = 60.0;
const REGISTRATIONS_PER_S: f64 = 40.0;
const DEADLINE: time::Duration = time::Duration::from_millis(1000);
/// Extra time that each call to the slow store takes.
const SLOW_CALL_MS: u64 = 2500;
/// Promise that registrations are refused while the store is down, rather than held
/// until their deadlines.
const REFUSED: &str = "the store's outage refuses registrations as not run";

/// State of the store during a part of the scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display(rename_all = "lowercase")]
enum Phase {
    Before,
    Down,
    Slow,
    After,
}

async fn run(context: measure::Context) -> Result<measure::outcome::Outcome, measure::Error> {
    let site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let mut out = measure::outcome::Outcome::default();
    let phases = [Phase::Before, Phase::Down, Phase::Slow, Phase::After];
    for (number, phase) in phases.into_iter().enumerate() {
        site.platform.state().set_faults(|faults| {
            faults.down = phase == Phase::Down;
            faults.slow_ms = if phase == Phase::Slow {
                SLOW_CALL_MS
            } else {
                0
            };
        });
        let seed = context.seed + 10 * number as u64;
        out.absorb(&format!("{phase}_"), run_phase(&site, phase, seed).await?);
    }
    Ok(out)
}

async fn run_phase(
    site: &site::Site,
    phase: Phase,
    seed: u64,
) -> Result<measure::outcome::Outcome, measure::Error> {
    let plan = records::Plan {
        prefix: phase.to_string(),
        rate: REGISTRATIONS_PER_S,
        duration: PHASE_DURATION,
        deadline: DEADLINE,
        duplicate_share: 0.0,
        max_attempts: 1,
    };
    let before = site.platform.state().counts();
    let arrived = site.service(SERVICE).counts().arrived();
    let searches = straggler::tally_searches(
        site,
        SERVICE,
        SEARCHES_PER_S,
        PHASE_DURATION,
        seed,
        DEADLINE,
    );
    let records = records::send(site, SERVICE, &plan, seed + 1);
    let (searches, records) = tokio::join!(searches, records);
    let (searches, records) = (searches?, records?);
    let after = site.platform.state().counts();
    let arrived = site.service(SERVICE).counts().arrived() - arrived;
    let mut out = measure::outcome::Outcome::default();
    out.absorb("search_", searches.outcome(arrived));
    let mut records_out = records.outcome(site.service(SERVICE));
    refusals(&records, phase, &mut records_out);
    out.absorb("record_", records_out);
    let refused = after.refused - before.refused;
    out.figure(
        "store_calls_refused_per_s",
        refused as f64 / PHASE_DURATION.as_secs_f64(),
    );
    Ok(out)
}

/// Adds the durations of refusals. Checks that every registration is refused as not
/// run while the store is down.
fn refusals(records: &records::Tally, phase: Phase, out: &mut measure::outcome::Outcome) {
    let refused = records
        .samples()
        .filter(|sample| sample.ran() == Some("no"));
    let mut took: Vec<_> = refused.map(|sample| sample.took).collect();
    took.sort_unstable();
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        out.figure(
            format!("refused_{name}_ms"),
            records::quantile(&took, share),
        );
    }
    // A registration may only run under a claim, and there are no claims without the
    // store.
    for sample in records.samples().filter(|sample| sample.answered()) {
        if phase == Phase::Down {
            out.violate(
                records::AT_MOST_ONCE,
                sample.request_id(),
                "done without a claim",
            );
        }
    }
    let not_refused = |sample: &&load::Sample| !sample.answered() && sample.ran() != Some("no");
    for sample in records
        .samples()
        .filter(not_refused)
        .filter(|_| phase == Phase::Down)
    {
        out.violate(REFUSED, sample.request_id(), reply_text(sample));
    }
}

fn reply_text(sample: &load::Sample) -> String {
    format!("{:?}", sample.reply)
}
