//! Findings: everything wrong with a text, each with its place and a remedy.
//!
//! Checks collect findings instead of stopping at the first, so that an editor
//! mends a file once.

use std::fmt;

/// Where in a text something stands; line and column count from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[display("{file}:{line}:{column}")]
pub struct Place {
    /// The file's name as it was given, or the store key.
    pub file: String,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Place {
    /// The place of byte `offset` in `text`.
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

/// One thing wrong, and what to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Finding {
    /// Where it stands.
    pub place: Place,
    /// The path of keys to the value, such as `budgets.hedge`; empty for the whole text.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
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
