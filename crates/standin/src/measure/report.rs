//! Report of a scenario's figures next to its baseline's, as a table or as JSON.

use std::collections;
use std::fmt;

use geraniumgauge::query;

use crate::measure;
use crate::measure::outcome;

/// Maximum number of violations printed below the table; the total is always printed.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// Results of one run of a scenario and of its baseline.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Policy that was measured.
    pub policy: String,
    /// Figures of the baseline; `None` if the scenario has none.
    pub baseline: Option<outcome::Figures>,
    /// Figures of the measured policy.
    pub figures: outcome::Figures,
    /// Each figure divided by the baseline's, unless that is missing or zero.
    pub ratios: outcome::Figures,
    /// Promises that the measured policy broke; the baseline's aren't included.
    pub violations: Vec<outcome::Violation>,
}

impl Report {
    /// Combines the outcomes of a run and of its baseline.
    pub fn new(
        scenario: &str,
        context: measure::Context,
        baseline: Option<(query::Policy, outcome::Outcome)>,
        outcome: outcome::Outcome,
    ) -> Self {
        let baseline = baseline.map(|(_, outcome)| outcome.figures);
        let ratios = baseline
            .as_ref()
            .map(|baseline| ratios(&outcome.figures, baseline));
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
    let nonzero = pairs.filter(|(_, _, baseline_value)| **baseline_value != 0.0);
    nonzero
        .map(|(name, value, baseline_value)| (name.clone(), value / baseline_value))
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
        let format_figure =
            |value: Option<&f64>| value.map_or("-".to_owned(), |v| format!("{v:.3}"));
        writeln!(
            out,
            "  {:<36}{:>14}{:>14}{:>10}",
            "figure", "here", "baseline", "ratio"
        )?;
        for name in names {
            let (measured, baseline_value) = (
                format_figure(self.figures.get(name)),
                format_figure(baseline.get(name)),
            );
            let ratio = format_figure(self.ratios.get(name));
            writeln!(
                out,
                "  {name:<36}{measured:>14}{baseline_value:>14}{ratio:>10}"
            )?;
        }
        writeln!(out, "  violations: {}", self.violations.len())?;
        for violation in self.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(out, "    {violation}")?;
        }
        Ok(())
    }
}
