//! The burn report of a service, which is made from store objects only.

use std::time;

use crate::document;
use crate::document::keeper;
use crate::ids;
use crate::query;
use crate::rate;
use crate::slo;
use crate::slo::object;
use crate::store;
use crate::time as clock;

/// The windows of the report, shortest first.
pub const WINDOWS: [(&str, time::Duration); 4] = [
    ("5 min", time::Duration::from_secs(300)),
    ("1 h", time::Duration::from_secs(3600)),
    ("6 h", time::Duration::from_secs(6 * 3600)),
    ("3 days", time::Duration::from_secs(72 * 3600)),
];

/// Burn rate that needs immediate attention if the two shortest windows, 5 min and 1 h,
/// both reach it: at this rate the budget of three days is spent in five hours.
pub const FAST_BURN_RATE: f64 = 14.4;

/// Burn rates of a service's objectives.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The service.
    pub service: ids::Service,
    /// Time at which the report was made, by the reader's clock.
    pub made: clock::Wall,
    /// Generation of the document that sets the objectives; 0 for defaults.
    pub generation: ids::Generation,
    /// One indicator for each objective.
    pub indicators: Vec<Indicator>,
    /// Missing shards by reason over the longest window, most frequent first.
    pub missing: Vec<Missing>,
    /// Counts over time, for plots.
    #[serde(skip)]
    pub series: slo::Series,
}

/// One objective with its burn rates.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Indicator {
    /// Name of the objective in the document.
    pub name: &'static str,
    /// Description of the good events.
    pub meaning: &'static str,
    /// Required share of good events.
    pub objective: rate::Share,
    /// Burn rate in each of [`WINDOWS`].
    pub windows: Vec<Window>,
    /// Remaining part of the longest window's budget; negative if overspent.
    pub budget_left: f64,
    /// Set if the two shortest windows both have a burn rate of at least
    /// [`FAST_BURN_RATE`].
    pub fast: bool,
    /// Returns the number of bad and of all events in counts.
    #[serde(skip)]
    bad_and_total: BadAndTotal,
}

impl Indicator {
    /// Returns the burn rate that `counts` have under this objective.
    pub fn burn(&self, counts: &slo::Counts) -> f64 {
        let (bad, total) = (self.bad_and_total)(counts);
        burn(bad, total, self.objective)
    }
}

type BadAndTotal = fn(&slo::Counts) -> (u64, u64);

/// One objective over one window.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize)]
pub struct Window {
    /// Name of the window.
    pub window: &'static str,
    /// Number of bad events.
    pub bad: u64,
    /// Number of all events.
    pub total: u64,
    /// Share of bad events divided by the share that the objective allows; 1
    /// spends exactly the budget.
    pub burn: f64,
}

/// Shards that were missing for one reason.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize)]
pub struct Missing {
    /// Reason for which the shards were missing.
    pub reason: query::Reason,
    /// Number of shards.
    pub shards: u64,
    /// Fraction of all missing shards.
    pub part: f64,
}

/// Makes the report of `service`.
///
/// # Errors
/// Fails if an object can't be read from the store or parsed.
pub async fn report(
    store: &dyn store::Api,
    service: &ids::Service,
    now: clock::Wall,
) -> Result<Report, store::Error> {
    let accepted = get::<keeper::Accepted>(store, &document::accepted_key(service)).await?;
    // The inboxes are read first. A batch that is folded between the two reads is
    // recognised by its number and counted once.
    let mut inboxes = Vec::new();
    for index in 0..object::INBOXES {
        let inbox = get::<object::Inbox>(store, &object::inbox_key(index)).await?;
        inboxes.push((index, inbox.unwrap_or_default()));
    }
    let burn = get::<object::Burn>(store, &object::burn_key(service)).await?;
    let burn = burn.unwrap_or_default();
    let mut series = burn.series.clone();
    for (index, inbox) in &inboxes {
        series.add(&inbox.unfolded(*index, service, &burn));
    }
    series.compact(now);
    let (generation, objectives) = accepted.map_or_else(Default::default, |record| {
        (record.generation, record.document.slo)
    });
    Ok(Report::new(
        service.clone(),
        now,
        generation,
        &objectives,
        series,
    ))
}

async fn get<O: serde::de::DeserializeOwned>(
    store: &dyn store::Api,
    key: &str,
) -> Result<Option<O>, store::Error> {
    match store.get(key).await {
        Ok(object) => {
            let parsed = serde_json::from_slice(&object.body);
            parsed.map(Some).map_err(|error| store::Error::Refused {
                key: key.to_owned(),
                reason: format!("the object can't be parsed: {error}"),
            })
        }
        Err(store::Error::Missing { .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Name, meaning, objective, and number of bad and of all events.
type Definition = (
    &'static str,
    &'static str,
    fn(&document::Slo) -> rate::Share,
    BadAndTotal,
);

const INDICATORS: [Definition; 4] = [
    (
        "in_time",
        "requests taken, answered before their deadline",
        |slo| slo.in_time,
        |counts| (counts.late, counts.requests - counts.refused),
    ),
    (
        "complete",
        "requests taken, answered with every shard covered",
        |slo| slo.complete,
        |counts| (counts.incomplete, counts.requests - counts.refused),
    ),
    (
        "accepted",
        "requests not refused",
        |slo| slo.accepted,
        |counts| (counts.refused, counts.requests),
    ),
    (
        "first_attempts",
        "shard calls that were no hedge, retry or restart",
        |slo| slo.first_attempts,
        |counts| {
            let all = counts.first_attempts + counts.extra_attempts;
            (counts.extra_attempts, all)
        },
    ),
];

impl Report {
    /// Makes a report of `series` under `objectives`.
    pub fn new(
        service: ids::Service,
        now: clock::Wall,
        generation: ids::Generation,
        objectives: &document::Slo,
        series: slo::Series,
    ) -> Self {
        let sums = WINDOWS.map(|(name, span)| (name, series.window(now, span)));
        let indicators = INDICATORS
            .iter()
            .map(|definition| indicator(definition, objectives, &sums));
        Self {
            service,
            made: now,
            generation,
            indicators: indicators.collect(),
            missing: missing(&sums[WINDOWS.len() - 1].1),
            series,
        }
    }

    /// Returns the reason for which most shards were missing.
    pub fn worst(&self) -> Option<&Missing> {
        self.missing.first()
    }
}

fn indicator(
    (name, meaning, objective, bad_and_total): &Definition,
    objectives: &document::Slo,
    sums: &[(&'static str, slo::Counts)],
) -> Indicator {
    let objective = objective(objectives);
    let windows: Vec<_> = sums
        .iter()
        .map(|(window, counts)| {
            let (bad, total) = bad_and_total(counts);
            Window {
                window,
                bad,
                total,
                burn: burn(bad, total, objective),
            }
        })
        .collect();
    let spent = windows.last().map_or(0.0, |window| window.burn);
    Indicator {
        name,
        meaning,
        objective,
        budget_left: 1.0 - spent,
        fast: windows
            .iter()
            .take(2)
            .all(|window| window.burn >= FAST_BURN_RATE),
        windows,
        bad_and_total: *bad_and_total,
    }
}

/// Returns the share of bad events divided by the allowed share; 0 without events.
pub fn burn(bad: u64, total: u64, objective: rate::Share) -> f64 {
    let allowed = 1.0 - objective.get();
    if total == 0 || allowed <= 0.0 {
        return 0.0;
    }
    bad as f64 / total as f64 / allowed
}

fn missing(counts: &slo::Counts) -> Vec<Missing> {
    let all: u64 = counts.missing.values().sum();
    let by_reason = counts.missing.iter().filter(|(_, shards)| **shards > 0);
    let mut missing: Vec<_> = by_reason
        .map(|(reason, shards)| Missing {
            reason: *reason,
            shards: *shards,
            part: *shards as f64 / all as f64,
        })
        .collect();
    missing.sort_by_key(|missing| std::cmp::Reverse(missing.shards));
    missing
}
