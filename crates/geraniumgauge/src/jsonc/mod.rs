//! JSON with comments, read into typed fields by a table.
//!
//! A table of [`Field`]s is the one place that holds a field's name, range,
//! unit and meaning; reading, `--check` and the help texts all go by it.
//! Reading collects findings and never stops at the first, so that an editor
//! mends a file once.

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
