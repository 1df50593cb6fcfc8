//! Messages that VMs exchange about the store and the fleet.

use std::time;

use crate::follow;
use crate::ids;
use crate::registry;
use crate::spread;

/// How far a VM has read the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Revision of the store up to which the VM has the registrations; `None` if it
    /// has none.
    pub revision: Option<ids::Revision>,
    /// Digest of the VM's registrations.
    pub digest: follow::Digest,
    /// Revision at which the VM's configuration was last changed.
    pub config: Option<ids::Revision>,
}

/// A linearizable read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Poll {
    /// The VM that polled.
    pub vm: ids::Vm,
    /// Sequence number among that VM's polls. It also increases across restarts of
    /// the VM.
    pub number: u64,
    /// Time since the poll was made.
    pub age: time::Duration,
}

/// Summary of what a VM knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// How far the VM has read the store.
    pub position: Position,
    /// Set if the VM's registrations are equal to what a poll showed.
    pub verified: bool,
    /// The latest poll whose result the VM holds.
    pub poll: Option<Poll>,
    /// Number of VMs in the fleet; `None` if the sender doesn't know it.
    pub vms: Option<usize>,
    /// Digest of the VMs that the sender knows.
    pub members: u64,
}

/// Whether the receiver of an update forwards it within its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forwarding {
    /// The receiver doesn't forward it. The other VMs receive it from the sender.
    None,
    /// The receiver forwards it once it has the content that the update mentions.
    Primary,
    /// The receiver forwards it if the primary VM hasn't done so after a while.
    /// Until then, it doesn't fetch content from the other data centre that the
    /// primary VM fetches anyway.
    Backup,
}

/// Changes of the registrations that are small enough to be sent with an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Digest of the registrations that the changes apply to.
    pub before: follow::Digest,
    /// The changes.
    pub changes: Vec<follow::Change<registry::Entry>>,
}

/// A short message with what its sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The VM that sent the update. Content is fetched from the address in its
    /// record, which may differ from the datagram's source address.
    pub vm: ids::Vm,
    /// What the sender knows.
    pub summary: Summary,
    /// Set if the sender couldn't read the store just now.
    pub unavailable: bool,
    /// Whether the receiver forwards the update.
    pub forwarding: Forwarding,
    /// Changes of the registrations, if they are small.
    pub changes: Option<Changes>,
}

/// A request for what another VM knows.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetch {
    /// The VM that asks.
    pub member: spread::Member,
    /// How far that VM has read the store.
    pub position: Position,
    /// Digest of the VMs that it knows.
    pub members: u64,
    /// Set if only records of VMs are requested.
    pub members_only: bool,
    /// Set if all registrations are requested instead of changes.
    pub full: bool,
    /// Set if the VM that asks knows no other VM yet.
    pub knows_no_other: bool,
}

/// The answer to a [`Fetch`].
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// What the sender knows.
    pub summary: Summary,
    /// Records of VMs and their ages; empty if the requester has the same.
    pub records: Vec<spread::Record>,
    /// The configuration, if the requester has none or an older one.
    pub config: Option<String>,
    /// Registrations that the requester lacks.
    pub registrations: Option<spread::Registrations>,
    /// Where to ask for content that this answer leaves out because the
    /// sender's bandwidth for answers is used up.
    pub redirect: Option<spread::Redirect>,
}

impl Changes {
    /// Returns the size of the changes in an update, in bytes.
    pub fn size(&self) -> usize {
        spread::wire::size(&self.changes)
    }
}
