//! Registrations are sent without faults at several rates, then with faults: repeats
//! at other VMs, lost replies of the store and the upstreams, paused VMs.

use std::collections;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::ledger;

use crate::measure;
use crate::measure::registration_load;
use crate::site;

pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "registrations",
    about: "repeats at other VMs, lost store replies, paused claimants; store writes per claim",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "landing-intake";
const SHARDS: usize = 8;
const DEADLINE: time::Duration = time::Duration::from_millis(1500);
const LOAD_DURATION: time::Duration = time::Duration::from_secs(5);
/// Registrations a second of the runs without faults.
const REGISTRATIONS_PER_S: [f64; 5] = [25.0, 50.0, 100.0, 200.0, 400.0];
/// Registrations a second while faults are on.
const FAULTY_REGISTRATIONS_PER_S: f64 = 60.0;
const FAULTY_DURATION: time::Duration = time::Duration::from_secs(12);
/// Time between two pauses of VMs.
const PAUSE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time for which a VM is paused.
const PAUSE_DURATION: time::Duration = time::Duration::from_millis(1200);
/// Store writes per claim if each request had an object of its own, written once for
/// the claim and once for the outcome.
const PLAIN_WRITES_PER_CLAIM: f64 = 2.0;

/// Names of figures, each with the prefix of the metric lines that it sums.
const COUNTERS: [(&str, &str); 4] = [
    ("repeats", "geraniumgauge_ledger_repeats"),
    (
        "store_replies_lost",
        "geraniumgauge_ledger_commits_total{result=\"unsure\"",
    ),
    (
        "store_replies_settled",
        "geraniumgauge_ledger_unsure_settled",
    ),
    (
        "store_conflicts",
        "geraniumgauge_ledger_commits_total{result=\"conflict\"",
    ),
];

async fn run(context: measure::Context) -> Result<measure::outcome::Outcome, measure::Error> {
    let site = context.site(site::Spec::small(SERVICE, SHARDS)).await?;
    let mut out = measure::outcome::Outcome::default();
    measure_rates(&site, context, &mut out).await?;
    measure_with_faults(&site, context, &mut out).await?;
    Ok(out)
}

/// Measures store writes and claims at several rates, and the slope of writes over
/// claims.
async fn measure_rates(
    site: &site::Site,
    context: measure::Context,
    out: &mut measure::outcome::Outcome,
) -> Result<(), measure::Error> {
    let mut points = Vec::new();
    for (number, rate) in REGISTRATIONS_PER_S.into_iter().enumerate() {
        let writes_before = store_writes(site);
        let start = tokio::time::Instant::now();
        let load = registration_load::Load {
            prefix: format!("step-{number}"),
            rate,
            duration: LOAD_DURATION,
            deadline: DEADLINE,
            duplicate_share: 0.0,
            max_attempts: 1,
        };
        let registrations =
            registration_load::send(site, SERVICE, &load, context.seed + number as u64).await?;
        let took = start.elapsed().as_secs_f64();
        let (claims, writes) = (
            registrations.answered_count() as f64 / took,
            store_writes(site) - writes_before,
        );
        let writes = writes as f64 / took;
        points.push((claims, writes));
        let mut outcome = registrations.outcome(site.service(SERVICE));
        outcome.set_figure("claims_per_s", claims);
        outcome.set_figure("store_writes_per_s", writes);
        outcome.set_figure("store_writes_a_claim", writes / claims.max(1e-9));
        outcome.set_figure("plain_writes_a_claim", PLAIN_WRITES_PER_CLAIM);
        out.absorb(&format!("at_{rate:03}_"), outcome);
    }
    out.set_figure("slope_store_writes_a_claim", slope(&points));
    Ok(())
}

/// Returns the slope of the least-squares line of `y` over `x`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let sum_of_products: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    let sum_of_squares: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    sum_of_products / sum_of_squares.max(1e-9)
}

/// Returns the number of writes that the store has received, of every kind.
fn store_writes(site: &site::Site) -> u64 {
    site.platform.state().counts().put
}

async fn measure_with_faults(
    site: &site::Site,
    context: measure::Context,
    out: &mut measure::outcome::Outcome,
) -> Result<(), measure::Error> {
    site.platform
        .state()
        .set_faults(|faults| faults.lose_replies = 0.1);
    site.service(SERVICE).set_faults(|faults| {
        faults.lose_replies = 0.02;
        faults.shed_share = 0.05;
    });
    let load = registration_load::Load {
        prefix: "faulty".to_owned(),
        rate: FAULTY_REGISTRATIONS_PER_S,
        duration: FAULTY_DURATION,
        deadline: DEADLINE,
        duplicate_share: 0.3,
        max_attempts: 4,
    };
    let counters_before = read_counters(site).await?;
    let pausing = pause_vms(site);
    let sending = registration_load::send(site, SERVICE, &load, context.seed + 100);
    let (pauses, registrations) = tokio::join!(pausing, sending);
    let registrations = registrations?;
    site.platform
        .state()
        .set_faults(|faults| faults.lose_replies = 0.0);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let unsettled = read_unsettled_keys(site).await?;
    let mut outcome = registrations.outcome(site.service(SERVICE));
    outcome.set_figure("freezes", pauses as f64);
    outcome.set_figure("unsettled", unsettled.len() as f64);
    for ((name, _), (before, after)) in COUNTERS
        .iter()
        .zip(counters_before.iter().zip(read_counters(site).await?))
    {
        outcome.set_figure(*name, after - before);
    }
    registrations
        .check_ledger(site, SERVICE, &unsettled, &mut outcome)
        .await?;
    out.absorb("faulty_", outcome);
    Ok(())
}

/// Returns the sums of [`COUNTERS`] over all VMs.
async fn read_counters(site: &site::Site) -> Result<Vec<f64>, measure::Error> {
    let client = reqwest::Client::new();
    let mut text = String::new();
    for vm in &site.vms {
        let url = format!("http://{}/metrics", vm.operators_address());
        text.push_str(&client.get(url).send().await?.text().await?);
    }
    let sum = |prefix: &str| {
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    };
    Ok(COUNTERS.iter().map(|(_, prefix)| sum(prefix)).collect())
}

/// Pauses one VM after another while registrations are sent; returns the number of
/// pauses.
async fn pause_vms(site: &site::Site) -> u64 {
    let rounds = FAULTY_DURATION.as_millis() / PAUSE_INTERVAL.as_millis();
    let rounds = usize::try_from(rounds).unwrap_or(0);
    for round in 0..rounds {
        tokio::time::sleep(PAUSE_INTERVAL).await;
        site.vms[round % site.vms.len()].freeze(PAUSE_DURATION);
    }
    rounds as u64
}

/// Returns the keys of all claims that the ledger lists as unsettled.
async fn read_unsettled_keys(
    site: &site::Site,
) -> Result<collections::BTreeSet<String>, measure::Error> {
    let other = |error: geraniumgauge::store::Error| measure::Error::Other {
        what: error.to_string(),
    };
    let store = site.store().map_err(other)?;
    let service: &ids::Service = site.service(SERVICE).id();
    let open = ledger::unsettled(&store, service).await.map_err(other)?;
    Ok(open
        .into_iter()
        .map(|claim| claim.key.to_string())
        .collect())
}
