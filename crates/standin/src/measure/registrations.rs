//! Registrations sent again at other VMs, lost store replies, paused claimants.

use std::collections;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::ledger;

use crate::measure;
use crate::measure::records;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "registrations",
    about: "resends at other VMs, lost store replies, paused claimants; store writes a claim",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

const SERVICE: &str = "landing-intake";
const SHARDS: usize = 8;
const DEADLINE: time::Duration = time::Duration::from_millis(1500);
const SPAN: time::Duration = time::Duration::from_secs(5);
/// Registrations a second of the steps without faults.
const RATES: [f64; 5] = [25.0, 50.0, 100.0, 200.0, 400.0];
/// Registrations a second while faults are on.
const FAULTY_RATE: f64 = 60.0;
const FAULTY_SPAN: time::Duration = time::Duration::from_secs(12);
/// A VM is paused this often, and for this long.
const FREEZE_EVERY: time::Duration = time::Duration::from_secs(2);
const FREEZE: time::Duration = time::Duration::from_millis(1200);
/// Writes a claim of the plain way: one object a request, claim and outcome.
const PLAIN_WRITES: f64 = 2.0;

/// Figures, and the counters of the VMs that they are sums of.
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
    steps(&site, context, &mut out).await?;
    faulty(&site, context, &mut out).await?;
    Ok(out)
}

/// Store writes against claims at several rates, as a slope.
async fn steps(
    site: &site::Site,
    context: measure::Context,
    out: &mut measure::outcome::Outcome,
) -> Result<(), measure::Error> {
    let mut points = Vec::new();
    for (number, rate) in RATES.into_iter().enumerate() {
        let before = ledger_writes(site);
        let start = tokio::time::Instant::now();
        let plan = records::Plan {
            prefix: format!("step-{number}"),
            rate,
            span: SPAN,
            deadline: DEADLINE,
            doubles: 0.0,
            tries: 1,
        };
        let tally = records::send(site, SERVICE, &plan, context.seed + number as u64).await?;
        let took = start.elapsed().as_secs_f64();
        let (claims, writes) = (tally.done() as f64 / took, ledger_writes(site) - before);
        let writes = writes as f64 / took;
        points.push((claims, writes));
        let mut step = tally.outcome(site.service(SERVICE));
        step.figure("claims_per_s", claims);
        step.figure("store_writes_per_s", writes);
        step.figure("store_writes_a_claim", writes / claims.max(1e-9));
        step.figure("plain_writes_a_claim", PLAIN_WRITES);
        out.absorb(&format!("at_{rate:03}_"), step);
    }
    out.figure("slope_store_writes_a_claim", slope(&points));
    Ok(())
}

/// Least squares of `y` over `x`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let over: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    let under: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    over / under.max(1e-9)
}

/// Writes that the store has taken, of every kind.
fn ledger_writes(site: &site::Site) -> u64 {
    site.platform.state().counts().put
}

async fn faulty(
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
    let plan = records::Plan {
        prefix: "faulty".to_owned(),
        rate: FAULTY_RATE,
        span: FAULTY_SPAN,
        deadline: DEADLINE,
        doubles: 0.3,
        tries: 4,
    };
    let before = counted(site).await?;
    let freezes = freeze(site);
    let sent = records::send(site, SERVICE, &plan, context.seed + 100);
    let (frozen, tally) = tokio::join!(freezes, sent);
    let tally = tally?;
    site.platform
        .state()
        .set_faults(|faults| faults.lose_replies = 0.0);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let unsettled = unsettled(site).await?;
    let mut faulty = tally.outcome(site.service(SERVICE));
    faulty.figure("freezes", frozen as f64);
    faulty.figure("unsettled", unsettled.len() as f64);
    for ((name, _), (then, now)) in COUNTERS.iter().zip(before.iter().zip(counted(site).await?)) {
        faulty.figure(*name, now - then);
    }
    tally
        .check_record(site, SERVICE, &unsettled, &mut faulty)
        .await?;
    out.absorb("faulty_", faulty);
    Ok(())
}

/// The sums of [`COUNTERS`] over all VMs.
async fn counted(site: &site::Site) -> Result<Vec<f64>, measure::Error> {
    let client = reqwest::Client::new();
    let mut text = String::new();
    for node in &site.nodes {
        let url = format!("http://{}/metrics", node.operators());
        text.push_str(&client.get(url).send().await?.text().await?);
    }
    let sum = |prefix: &str| {
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    };
    Ok(COUNTERS.iter().map(|(_, prefix)| sum(prefix)).collect())
}

/// Pauses one VM after another while registrations run.
async fn freeze(site: &site::Site) -> u64 {
    let rounds = FAULTY_SPAN.as_millis() / FREEZE_EVERY.as_millis();
    let rounds = usize::try_from(rounds).unwrap_or(0);
    for round in 0..rounds {
        tokio::time::sleep(FREEZE_EVERY).await;
        site.nodes[round % site.nodes.len()].freeze(FREEZE);
    }
    rounds as u64
}

async fn unsettled(site: &site::Site) -> Result<collections::BTreeSet<String>, measure::Error> {
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
