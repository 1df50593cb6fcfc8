//! Parser for JSON with comments that fills typed fields described by a table.
//!
//! The table of [`Field`]s is the single source of each field's name, range, unit and
//! description; parsing, `--check` and the help texts all use it. Parsing doesn't stop
//! at the first finding, so that all faults of a file can be corrected at once.

mod field;
mod read;

pub use field::Field;
pub use field::Kind;
pub use field::help;
pub use field::parse_into;
pub use read::Reading;
pub use read::Unknown;
pub use read::read;
pub use read::read_with;
pub use read::split;

#[cfg(test)]
mod tests;
