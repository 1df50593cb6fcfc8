//! What a scenario brings back: figures, and every promise it saw broken.

use std::collections;
use std::fmt;

/// A promise that was broken for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Violation {
    /// Which promise.
    pub promise: &'static str,
    /// The request, as its caller was told; `-` where none was told.
    pub request_id: String,
    /// What was seen.
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

/// Figures by name. The unit is the name's ending: `_ms`, `_share`, `_per_s`.
pub type Figures = collections::BTreeMap<String, f64>;

/// What one run of a scenario brought.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The figures.
    pub figures: Figures,
    /// Broken promises; empty where all held.
    pub violations: Vec<Violation>,
}

impl Outcome {
    /// Adds a figure.
    pub fn figure(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Adds a violation.
    pub fn violate(
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

    /// Takes another outcome's figures, under `prefix`, and its violations.
    pub fn absorb(&mut self, prefix: &str, other: Self) {
        let named = other
            .figures
            .into_iter()
            .map(|(name, value)| (format!("{prefix}{name}"), value));
        self.figures.extend(named);
        self.violations.extend(other.violations);
    }
}
