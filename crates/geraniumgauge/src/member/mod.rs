//! Membership: which VMs are there, as this VM sees it, and the rumours that
//! members pass on with their probes.

mod count;
mod digest;
mod queue;
pub mod record;
mod service;
pub mod settings;
pub mod state;
mod view;
pub mod wire;

pub use service::Config;
pub use service::Service;
pub use view::Member;
pub use view::Shared;
pub use view::State;
pub use view::View;

/// A small versioned fact that members pass on with their probes. For one
/// topic and key a higher version replaces a lower one; equal ones are doubles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rumour {
    /// Which duty it belongs to.
    pub topic: Topic,
    /// What it is about, within its topic.
    pub key: String,
    /// Higher replaces lower.
    pub version: u64,
    /// The fact, in the duty's own encoding; at most a few hundred bytes.
    pub body: bytes::Bytes,
}

/// Duties that spread rumours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// A newer accepted document or layout exists; key is the service.
    Catalog,
    /// What a VM applies; key is the VM.
    Applied,
    /// A request that may crash upstreams; key is its fingerprint.
    Mark,
}
