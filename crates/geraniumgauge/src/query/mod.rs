//! Searches: one snapshot, true coverage, on time.

mod answer;
mod service;

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
