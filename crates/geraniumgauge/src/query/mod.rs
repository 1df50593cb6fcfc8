//! Runs searches over many index shards. Every answer is taken from one snapshot,
//! states its coverage correctly and meets its deadline.

pub mod gather;
pub mod merge;
pub mod plan;
pub mod replica;
pub mod times;
pub mod upstreams;
pub mod version;

pub mod admission;
mod admit;
mod answer;
mod instruments;
mod links;
mod router;
mod service;
mod state;
mod task;

pub use answer::Answer;
pub use answer::Code;
pub use answer::Coverage;
pub use answer::Hit;
pub use answer::Missing;
pub use answer::Ran;
pub use answer::Reason;
pub use answer::Refusal;
pub use answer::Search;
pub use answer::Snapshot;
pub use service::Config;
pub use service::Policy;
pub use service::Service;

/// The verdict on a request that isn't suspect.
pub(crate) const CLEAR: crate::quarantine::Verdict = crate::quarantine::Verdict::Clear;

#[cfg(test)]
#[path = "tests/admission.rs"]
mod admission_tests;
#[cfg(test)]
#[path = "tests/replica.rs"]
mod replica_tests;
#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
