//! The store is down and then slow: searches continue; registrations are refused while
//! it is down.

use std::time;

use crate::measure;
use crate::measure::load;
use crate::measure::registration_load;
use crate::measure::searches;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "store-outage",
    about: "the store is down, then slow, then back; registrations are refused while it is down",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "landing-intake";
const SHARDS: usize = 8;
const PHASE_DURATION: time::Duration = time::Duration::from_secs(6);
const SEARCHES_PER_S: f64 = 60.0;
const REGISTRATIONS_PER_S: f64 = 40.0;
const DEADLINE: time::Duration = time::Duration::from_millis(1000);
/// Delay added to each call to the store while it is slow.
const STORE_DELAY_MS: u64 = 2500;
/// Promise that registrations which aren't answered while the store is down are refused with
/// `ran` set to `no`. How soon they are refused is reported by figures, without a limit.
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
                STORE_DELAY_MS
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
    let load = registration_load::Load {
        prefix: phase.to_string(),
        rate: REGISTRATIONS_PER_S,
        duration: PHASE_DURATION,
        deadline: DEADLINE,
        duplicate_share: 0.0,
        max_attempts: 1,
    };
    let store_counts_before = site.platform.state().counts();
    let arrived_before = site.service(SERVICE).counts().arrived();
    let searches = searches::send_and_tally(
        site,
        SERVICE,
        SEARCHES_PER_S,
        PHASE_DURATION,
        seed,
        DEADLINE,
    );
    let registrations = registration_load::send(site, SERVICE, &load, seed + 1);
    let (searches, registrations) = tokio::join!(searches, registrations);
    let (searches, registrations) = (searches?, registrations?);
    let store_counts_after = site.platform.state().counts();
    let calls_arrived = site.service(SERVICE).counts().arrived() - arrived_before;
    let mut out = measure::outcome::Outcome::default();
    out.absorb("search_", searches.outcome(calls_arrived));
    let mut registrations_out = registrations.outcome(site.service(SERVICE));
    check_refusals(&registrations, phase, &mut registrations_out);
    out.absorb("record_", registrations_out);
    let refused = store_counts_after.refused - store_counts_before.refused;
    out.set_figure(
        "store_calls_refused_per_s",
        refused as f64 / PHASE_DURATION.as_secs_f64(),
    );
    Ok(out)
}

/// Adds the durations of refusals as figures. Checks that every registration that isn't
/// answered while the store is down is refused with `ran` set to `no`.
fn check_refusals(
    registrations: &registration_load::Registrations,
    phase: Phase,
    out: &mut measure::outcome::Outcome,
) {
    let refused = registrations
        .samples()
        .filter(|sample| sample.ran() == Some("no"));
    let mut took: Vec<_> = refused.map(|sample| sample.took).collect();
    took.sort_unstable();
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        out.set_figure(
            format!("refused_{name}_ms"),
            registration_load::quantile_ms(&took, share),
        );
    }
    // A registration may only run under a claim, and there are no claims without the
    // store.
    for sample in registrations.samples().filter(|sample| sample.answered()) {
        if phase == Phase::Down {
            out.add_violation(
                registration_load::AT_MOST_ONCE,
                sample.request_id(),
                "done without a claim",
            );
        }
    }
    let not_refused = |sample: &&load::Sample| !sample.answered() && sample.ran() != Some("no");
    for sample in registrations
        .samples()
        .filter(not_refused)
        .filter(|_| phase == Phase::Down)
    {
        out.add_violation(REFUSED, sample.request_id(), reply_text(sample));
    }
}

fn reply_text(sample: &load::Sample) -> String {
    format!("{:?}", sample.reply)
}
