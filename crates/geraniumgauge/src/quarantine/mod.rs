//! Requests that crash upstreams.
//!
//! A connection lost while a request ran makes its fingerprint suspect. A
//! suspect runs again only as a lone trial, and a second crash quarantines it.
//! [`book::Book`] decides; [`Service`] carries marks to the other VMs and to
//! the store.

pub mod book;
pub mod trial;

mod claim;
mod direct;
mod keep;
mod mark;
mod service;

#[cfg(test)]
mod tests;

pub use claim::Denied;
pub use claim::Trial;
pub use direct::Direct;
pub use mark::Mark;
pub use mark::State;
pub use service::Config;
pub use service::Service;
pub use service::Spread;

/// What holds for a request before it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Verdict {
    /// It may run freely.
    #[default]
    Clear,
    /// It may run only as a lone trial.
    Suspect,
    /// It may not run.
    Quarantined,
}
