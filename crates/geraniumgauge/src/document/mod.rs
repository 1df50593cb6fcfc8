//! Service documents: a team's settings for its service, and their distribution.
//!
//! A team writes its text to the store as `documents/{service}`. A keeper checks
//! it and writes `accepted/{service}` with the next generation. VMs apply only
//! accepted documents, and never a lower generation than before.
//! `status/{service}` shows operators whether the text was accepted and on how
//! many VMs it is in force.

mod catalog;
mod fields;
mod frames;
mod held;
mod instruments;
mod join;
pub mod keeper;
mod keeper_task;
mod layout_text;
mod load;
mod missing;
mod report;
mod roles;
mod schema;
mod service;
mod spread;
mod status;
mod tally;

pub use catalog::Catalog;
pub use catalog::InForce;
pub use fields::Difference;
pub use fields::differences;
pub use fields::help;
pub use fields::parse;
pub use layout_text::parse_layout;
use layout_text::stale_layout;
pub use schema::Budgets;
pub use schema::Document;
pub use schema::Limits;
pub use schema::Objective;
pub use schema::Slo;
pub use service::Config;
pub use service::Dependencies;
pub use service::Gossip;
pub use service::Service;
pub use status::MAX_BEHIND_LISTED;
pub use status::REPORTED_KEY;
pub use status::Report;
pub use status::Reported;
pub use status::Status;
pub use status::Verdict;

use crate::ids;

/// Store key prefix of the documents as the teams wrote them.
pub const DOCUMENT_PREFIX: &str = "documents/";
/// Store key prefix of the documents in force, as [`Accepted`] stores them.
pub const ACCEPTED_PREFIX: &str = "accepted/";
/// Store key prefix of the status objects.
pub const STATUS_PREFIX: &str = "status/";
/// Store key prefix of the layouts.
pub const LAYOUT_PREFIX: &str = "layouts/";

/// Returns the store key of a service's document as its team wrote it.
pub fn text_key(service: &ids::Service) -> String {
    format!("{DOCUMENT_PREFIX}{service}")
}

/// Returns the store key of a service's accepted record.
pub fn accepted_key(service: &ids::Service) -> String {
    format!("{ACCEPTED_PREFIX}{service}")
}

/// Returns the store key of a service's status.
pub fn status_key(service: &ids::Service) -> String {
    format!("{STATUS_PREFIX}{service}")
}

#[cfg(test)]
#[path = "tests/fields.rs"]
mod tests;
