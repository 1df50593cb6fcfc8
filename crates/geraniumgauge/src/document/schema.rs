//! The settings in a service document, and their defaults.

use std::time;

use crate::ids;
use crate::rate;

/// A team's settings for its service. In an accepted document, all values are
/// within their ranges.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Document {
    /// The team that owns the service.
    pub team: ids::Team,
    /// Whether coverage or latency has priority when time runs short.
    pub objective: Objective,
    /// Deadline of a request that doesn't set one.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: time::Duration,
    /// Longest deadline a caller may ask for.
    #[serde(rename = "max_deadline_ms", with = "millis")]
    pub max_deadline: time::Duration,
    /// Time after which [`Objective::Latency`] answers with the shards received so far.
    #[serde(rename = "latency_target_ms", with = "millis")]
    pub latency_target: time::Duration,
    /// Minimum share of covered shards for an answer at the latency target.
    pub min_coverage: rate::Share,
    /// Limits on hedges and retries.
    pub budgets: Budgets,
    /// Limits on concurrent requests and on fan-outs without a canary.
    pub limits: Limits,
    /// Objectives of the burn report.
    pub slo: Slo,
    /// How long a registration's claim and outcome are kept.
    #[serde(rename = "ledger_window_s", with = "seconds")]
    pub ledger_window: time::Duration,
    /// Set to end the service: its requests are refused with 404.
    pub retired: bool,
}

/// The property of an answer that has priority when time runs short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::FromStr
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Objective {
    /// Wait for missing shards until the deadline.
    #[default]
    Coverage,
    /// Answer at the latency target once `min_coverage` holds.
    Latency,
}

/// Limits on extra attempts, as shares of the first attempts.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Budgets {
    /// Maximum hedges per first attempt.
    pub hedge: rate::Share,
    /// Maximum retries per first attempt.
    pub retry: rate::Share,
    /// Quantile of shard call times after which a call is hedged.
    pub hedge_quantile: rate::Share,
}

/// Limits that each VM applies.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum concurrent searches of the service at one coordinator.
    pub searches: u32,
    /// Maximum concurrent registrations of the service at one coordinator.
    pub registrations: u32,
    /// Fan-outs of at least this many shards start with a canary.
    pub canary_width: u32,
}

/// Service-level objectives, as shares of requests. `geraniumgauge burn` reports how
/// fast their error budgets are spent.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Slo {
    /// Share of requests answered within the deadline.
    pub in_time: rate::Share,
    /// Share of requests answered with every shard covered.
    pub complete: rate::Share,
    /// Share of requests that aren't refused.
    pub accepted: rate::Share,
    /// Share of shard calls that are first attempts.
    pub first_attempts: rate::Share,
}

impl Default for Document {
    fn default() -> Self {
        Self {
            team: DEFAULT_TEAM.clone(),
            objective: Objective::default(),
            deadline: time::Duration::from_millis(1000),
            max_deadline: time::Duration::from_secs(10),
            latency_target: time::Duration::from_millis(240),
            min_coverage: rate::Share::percent(95),
            budgets: Budgets::default(),
            limits: Limits::default(),
            slo: Slo::default(),
            ledger_window: time::Duration::from_secs(24 * 3600),
            retired: false,
        }
    }
}

static DEFAULT_TEAM: std::sync::LazyLock<ids::Team> = std::sync::LazyLock::new(|| {
    #[expect(
        clippy::expect_used,
        reason = "the text is a constant and covered by a test"
    )]
    "unnamed".parse().expect("a valid team name")
});

impl Default for Budgets {
    fn default() -> Self {
        Self {
            hedge: rate::Share::percent(5),
            retry: rate::Share::percent(5),
            hedge_quantile: rate::Share::percent(95),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            searches: 256,
            registrations: 128,
            canary_width: 8,
        }
    }
}

impl Default for Slo {
    fn default() -> Self {
        Self {
            in_time: rate::Share::percent(99),
            complete: rate::Share::percent(99),
            accepted: rate::Share::percent(99),
            first_attempts: rate::Share::percent(90),
        }
    }
}

mod millis {
    use std::time;

    pub(super) fn serialize<S: serde::Serializer>(
        duration: &time::Duration,
        out: S,
    ) -> Result<S::Ok, S::Error> {
        out.serialize_u64(crate::time::millis(*duration))
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        input: D,
    ) -> Result<time::Duration, D::Error> {
        <u64 as serde::Deserialize>::deserialize(input).map(time::Duration::from_millis)
    }
}

mod seconds {
    use std::time;

    pub(super) fn serialize<S: serde::Serializer>(
        duration: &time::Duration,
        out: S,
    ) -> Result<S::Ok, S::Error> {
        out.serialize_u64(duration.as_secs())
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        input: D,
    ) -> Result<time::Duration, D::Error> {
        <u64 as serde::Deserialize>::deserialize(input).map(time::Duration::from_secs)
    }
}
