//! Findings: the errors of a text, each with its position and a remedy.
//!
//! Checks don't stop at the first finding, so that all errors of a file can be
//! corrected at once.

use std::fmt;

/// Position in a text. Lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{file}:{line}:{column}")]
pub struct Place {
    /// Name of the file as it was given, or the store key.
    pub file: String,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Place {
    /// Returns the position of byte `offset` in `text`.
    pub fn of(file: &str, text: &str, offset: usize) -> Self {
        let offset = text.floor_char_boundary(offset);
        let before = &text[..offset];
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let line = count(before.matches('\n').count() + 1);
        let column = count(before[start..].chars().count() + 1);
        Self {
            file: file.to_owned(),
            line,
            column,
        }
    }
}

/// One error in a text and its remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Finding {
    /// Position of the error.
    pub place: Place,
    /// Keys from the root to the value, joined by dots, such as `budgets.hedge`; empty if
    /// the finding concerns the whole text.
    pub path: String,
    /// Description of the error.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: ", self.place)?;
        if !self.path.is_empty() {
            write!(out, "{}: ", self.path)?;
        }
        write!(out, "{}; {}", self.problem, self.remedy)
    }
}
