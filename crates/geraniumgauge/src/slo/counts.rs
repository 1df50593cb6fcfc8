//! Counts of requests and shard calls.

use std::collections;

use crate::query;
use crate::slo;

/// Counts of one service over a period.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Number of requests of callers.
    #[serde(rename = "n", skip_serializing_if = "zero")]
    pub requests: u64,
    /// Number of refused requests.
    #[serde(rename = "r", skip_serializing_if = "zero")]
    pub refused: u64,
    /// Number of accepted requests that weren't answered before their deadline.
    #[serde(rename = "l", skip_serializing_if = "zero")]
    pub late: u64,
    /// Number of accepted requests that weren't answered with every shard covered.
    #[serde(rename = "i", skip_serializing_if = "zero")]
    pub incomplete: u64,
    /// Number of shard calls that were first attempts.
    #[serde(rename = "f", skip_serializing_if = "zero")]
    pub first_attempts: u64,
    /// Number of other shard calls: hedges, retries, restarts and repeated canaries.
    #[serde(rename = "x", skip_serializing_if = "zero")]
    pub extra_attempts: u64,
    /// Number of missing shards by reason.
    #[serde(rename = "m", skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub missing: collections::BTreeMap<query::Reason, u64>,
}

fn zero(count: &u64) -> bool {
    *count == 0
}

impl Counts {
    /// Counts one request. A refused request is neither late nor incomplete: it
    /// counts against the objective for accepted requests only.
    pub fn count(&mut self, event: &slo::Event) {
        let accepted = !event.refused;
        self.requests += 1;
        self.refused += u64::from(event.refused);
        self.late += u64::from(accepted && !event.in_time);
        self.incomplete += u64::from(accepted && !event.complete);
        self.first_attempts += event.first_attempts;
        self.extra_attempts += event.extra_attempts;
        for (reason, shards) in &event.missing {
            *self.missing.entry(*reason).or_default() += shards;
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.late += other.late;
        self.incomplete += other.incomplete;
        self.first_attempts += other.first_attempts;
        self.extra_attempts += other.extra_attempts;
        for (reason, shards) in &other.missing {
            *self.missing.entry(*reason).or_default() += shards;
        }
    }
}
