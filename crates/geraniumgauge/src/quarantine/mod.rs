//! Quarantine for requests that crash upstreams.
//!
//! If a connection is lost while a request runs on it, the request's fingerprint
//! becomes suspect. A suspect request runs again only as an isolated trial, and a
//! second crash quarantines it. [`tracker::Tracker`] makes these decisions; [`Service`]
//! sends the resulting marks to the other VMs and writes them to the store.

pub mod tracker;
pub mod trial;

mod broadcast;
mod claim;
mod mark;
mod persist;
mod service;

#[cfg(test)]
mod tests;

pub use broadcast::Broadcast;
pub use claim::Delay;
pub use claim::Denied;
pub use claim::Trial;
pub use mark::Mark;
pub use mark::State;
pub use service::Config;
pub use service::Publisher;
pub use service::Service;

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Verdict {
    /// The request may run without restrictions.
    #[default]
    Clear,
    /// The request may run only as an isolated trial.
    Suspect,
    /// The request must not run.
    Quarantined,
}
