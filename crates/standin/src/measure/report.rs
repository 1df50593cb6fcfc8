//! A scenario's figures beside its baseline's, for people and for programs.

use std::collections;
use std::fmt;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;

/// Violations shown to a person; the rest are counted.
const SHOWN: usize = 10;

/// What one run of a scenario and its baseline brought.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The policy measured.
    pub policy: String,
    /// The baseline's figures, where the scenario has one.
    pub baseline: Option<outcome::Figures>,
    /// The figures.
    pub figures: outcome::Figures,
    /// Figures divided by the baseline's, where that isn't zero.
    pub ratios: outcome::Figures,
    /// Broken promises under the policy measured. The baseline's don't count.
    pub violations: Vec<outcome::Violation>,
}

impl Report {
    /// Puts a run beside its baseline.
    pub fn new(
        scenario: &str,
        context: measure::Context,
        baseline: Option<(query::Policy, outcome::Outcome)>,
        outcome: outcome::Outcome,
    ) -> Self {
        let baseline = baseline.map(|(_, outcome)| outcome.figures);
        let ratios = baseline.as_ref().map(|base| ratios(&outcome.figures, base));
        Self {
            scenario: scenario.to_owned(),
            seed: context.seed,
            policy: context.policy.to_string(),
            baseline,
            figures: outcome.figures,
            ratios: ratios.unwrap_or_default(),
            violations: outcome.violations,
        }
    }
}

fn ratios(figures: &outcome::Figures, baseline: &outcome::Figures) -> outcome::Figures {
    let pairs = figures
        .iter()
        .filter_map(|(name, value)| Some((name, value, baseline.get(name)?)));
    let nonzero = pairs.filter(|(_, _, base)| **base != 0.0);
    nonzero
        .map(|(name, value, base)| (name.clone(), value / base))
        .collect()
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} (seed {}, policy {})",
            self.scenario, self.seed, self.policy
        )?;
        let empty = outcome::Figures::new();
        let baseline = self.baseline.as_ref().unwrap_or(&empty);
        let names: collections::BTreeSet<_> = self.figures.keys().chain(baseline.keys()).collect();
        let number = |value: Option<&f64>| value.map_or("-".to_owned(), |v| format!("{v:.3}"));
        writeln!(
            out,
            "  {:<36}{:>14}{:>14}{:>10}",
            "figure", "here", "baseline", "ratio"
        )?;
        for name in names {
            let (here, base) = (number(self.figures.get(name)), number(baseline.get(name)));
            let ratio = number(self.ratios.get(name));
            writeln!(out, "  {name:<36}{here:>14}{base:>14}{ratio:>10}")?;
        }
        writeln!(out, "  violations: {}", self.violations.len())?;
        for violation in self.violations.iter().take(SHOWN) {
            writeln!(out, "    {violation}")?;
        }
        Ok(())
    }
}
