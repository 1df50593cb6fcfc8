//! The burn report of a service, read from the store alone.

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

/// Burn rate of the two short windows from which someone should look at once:
/// at this rate the budget of three days is gone in five hours.
pub const FAST: f64 = 14.4;

/// What a service's objectives have cost.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The service.
    pub service: ids::Service,
    /// When the report was made, by the reader's clock.
    pub made: clock::Wall,
    /// Generation of the document whose objectives these are; 0 for defaults.
    pub generation: ids::Generation,
    /// One for each objective.
    pub indicators: Vec<Indicator>,
    /// Missing shards by reason over the longest window, most first.
    pub missing: Vec<Missing>,
    /// The counts, for plots.
    #[serde(skip)]
    pub series: slo::Series,
}

/// One objective and how far it is kept.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Indicator {
    /// Its name in the document.
    pub name: &'static str,
    /// What is counted.
    pub meaning: &'static str,
    /// Share of good events asked for.
    pub objective: rate::Share,
    /// One for each of [`WINDOWS`].
    pub windows: Vec<Window>,
    /// Part of the longest window's budget that is left; below 0 where overspent.
    pub budget_left: f64,
    /// Both short windows burn at [`FAST`] or more.
    pub fast: bool,
    /// Bad and all events of counts.
    #[serde(skip)]
    count: Count,
}

impl Indicator {
    /// The burn rate of other counts under this objective.
    pub fn burn(&self, counts: &slo::Counts) -> f64 {
        let (bad, total) = (self.count)(counts);
        burn(bad, total, self.objective)
    }
}

type Count = fn(&slo::Counts) -> (u64, u64);

/// One objective over one window.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize)]
pub struct Window {
    /// Its name.
    pub window: &'static str,
    /// Events that count against the objective.
    pub bad: u64,
    /// All events.
    pub total: u64,
    /// Share of bad events over the share that the objective allows; 1 spends
    /// exactly the budget.
    pub burn: f64,
}

/// Missing shards of one reason.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize)]
pub struct Missing {
    /// The reason.
    pub reason: query::Reason,
    /// Shards missing for it.
    pub shards: u64,
    /// Its part of all missing shards.
    pub part: f64,
}

/// Reads the report of `service`.
///
/// # Errors
/// Where the store can't be read.
pub async fn report(
    store: &dyn store::Api,
    service: &ids::Service,
    now: clock::Wall,
) -> Result<Report, store::Error> {
    let accepted = get::<keeper::Accepted>(store, &document::accepted_key(service)).await?;
    // Inboxes first: a batch that is folded between the two reads is known by
    // its number, and counts once.
    let mut inboxes = Vec::new();
    for group in 0..object::GROUPS {
        let inbox = get::<object::Inbox>(store, &object::inbox_key(group)).await?;
        inboxes.push((group, inbox.unwrap_or_default()));
    }
    let burn = get::<object::Burn>(store, &object::burn_key(service)).await?;
    let burn = burn.unwrap_or_default();
    let mut series = burn.series.clone();
    for (group, inbox) in &inboxes {
        series.add(&inbox.beyond(*group, service, &burn));
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
            let read = serde_json::from_slice(&object.body);
            read.map(Some).map_err(|error| store::Error::Refused {
                key: key.to_owned(),
                reason: format!("it can't be read: {error}"),
            })
        }
        Err(store::Error::Missing { .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Name, meaning, objective, and bad and all events of counts.
type Definition = (
    &'static str,
    &'static str,
    fn(&document::Slo) -> rate::Share,
    Count,
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
    /// The report of counts under objectives.
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

    /// The reason that costs most coverage.
    pub fn worst(&self) -> Option<&Missing> {
        self.missing.first()
    }
}

fn indicator(
    (name, meaning, objective, count): &Definition,
    objectives: &document::Slo,
    sums: &[(&'static str, slo::Counts)],
) -> Indicator {
    let objective = objective(objectives);
    let windows: Vec<_> = sums
        .iter()
        .map(|(window, counts)| {
            let (bad, total) = count(counts);
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
        fast: windows.iter().take(2).all(|window| window.burn >= FAST),
        windows,
        count: *count,
    }
}

/// Share of bad events over the share allowed. Nothing counted burns nothing.
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
