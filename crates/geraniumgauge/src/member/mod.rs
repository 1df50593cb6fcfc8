//! Cluster membership as this VM sees it, and the gossip updates that members
//! pass on with their probes.

mod digest;
mod instruments;
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
pub use view::SharedView;
pub use view::State;
pub use view::View;

/// A gossip update: a small versioned fact that members pass on with their
/// probes. For a given topic and key the highest version wins; an equal version
/// is a duplicate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The subsystem that the update belongs to.
    pub topic: Topic,
    /// Identifies what the update is about within its topic.
    pub key: String,
    /// A higher version replaces a lower one.
    pub version: u64,
    /// The fact, in the subsystem's own encoding; at most a few hundred bytes.
    pub body: bytes::Bytes,
}

/// Subsystems that publish gossip updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// A newer accepted document or layout exists. The key is the service.
    Catalog,
    /// The documents and layouts that a VM applies. The key is the VM.
    Applied,
    /// A request that is suspected of crashing upstreams. The key is its fingerprint.
    Mark,
}
