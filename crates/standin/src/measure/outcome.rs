//! Result of a scenario: its figures and the promises that were broken.

use std::collections;
use std::fmt;

/// A promise that was broken for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Violation {
    /// Text of the promise.
    pub promise: &'static str,
    /// Request id that the caller received; `-` if there is none.
    pub request_id: String,
    /// What was observed instead.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}: request {}: {}",
            self.promise, self.request_id, self.seen
        )
    }
}

/// Figures by name. The unit is the suffix of the name: `_ms`, `_share`, `_per_s`.
pub type Figures = collections::BTreeMap<String, f64>;

/// Result of one run of a scenario.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Measured figures.
    pub figures: Figures,
    /// Broken promises; empty if all were kept.
    pub violations: Vec<Violation>,
}

impl Outcome {
    /// Sets a figure, replacing any earlier value of that name.
    pub fn set_figure(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Adds a violation.
    pub fn add_violation(
        &mut self,
        promise: &'static str,
        request: impl Into<String>,
        seen: impl Into<String>,
    ) {
        let violation = Violation {
            promise,
            request_id: request.into(),
            seen: seen.into(),
        };
        self.violations.push(violation);
    }

    /// Adds another outcome's violations, and its figures with `prefix` before their
    /// names.
    pub fn absorb(&mut self, prefix: &str, other: Self) {
        let prefixed = other
            .figures
            .into_iter()
            .map(|(name, value)| (format!("{prefix}{name}"), value));
        self.figures.extend(prefixed);
        self.violations.extend(other.violations);
    }
}
