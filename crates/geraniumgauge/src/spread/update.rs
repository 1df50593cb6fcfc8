//! What VMs tell each other of the store and of the fleet.

use std::time;

use crate::follow;
use crate::ids;
use crate::registry;
use crate::spread;

/// How far a VM knows the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holds {
    /// The store's revision up to which it has the registrations; `None` before
    /// it has any.
    pub revision: Option<ids::Revision>,
    /// Which registrations it has.
    pub digest: follow::Digest,
    /// The configuration's last change that it has.
    pub config: Option<ids::Revision>,
}

/// A linearizable read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Look {
    /// Who made it.
    pub vm: ids::Vm,
    /// Which one of that VM's; a later one has a higher number, also after the
    /// VM started again.
    pub number: u64,
    /// How long ago it was made.
    pub age: time::Duration,
}

/// What a VM knows, in short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// How far it knows the store.
    pub holds: Holds,
    /// Whether its registrations are just those that a look showed.
    pub sure: bool,
    /// The latest look that what it knows includes.
    pub look: Option<Look>,
    /// How many VMs there are; `None` where it isn't sure of that.
    pub vms: Option<usize>,
    /// Which VMs it knows.
    pub members: u64,
}

/// Who passes an update on to its own data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pass {
    /// Nobody: it went to all.
    None,
    /// Who gets it, once it has what the update tells of.
    First,
    /// Who gets it, if nothing has come from the first one after a while. It
    /// doesn't ask the other data centre for what the first one gets anyway.
    Second,
}

/// Changes of the registrations, small enough to be told with an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The digest of what they are applied to.
    pub before: follow::Digest,
    /// The changes.
    pub changes: Vec<follow::Change<registry::Entry>>,
}

/// A short message: what its sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Who tells it. What it tells of is asked for where that VM takes messages,
    /// which needn't be where the datagram came from.
    pub vm: ids::Vm,
    /// What it knows.
    pub summary: Summary,
    /// Whether the store couldn't be read just now.
    pub away: bool,
    /// Whether it is passed on.
    pub pass: Pass,
    /// What changed, where that is little.
    pub changes: Option<Changes>,
}

/// A question for what another VM knows.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetch {
    /// Who asks.
    pub member: spread::Member,
    /// What it has already.
    pub holds: Holds,
    /// Which VMs it knows.
    pub members: u64,
    /// Whether it wants to know of the VMs alone.
    pub brief: bool,
    /// Whether it wants all registrations, not the changes alone.
    pub whole: bool,
    /// Whether it knows no other VM yet.
    pub alone: bool,
}

/// What a VM answers to a [`Fetch`].
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// What it knows.
    pub summary: Summary,
    /// Their records and ages, unless the asker has the same.
    pub records: Vec<spread::Record>,
    /// The configuration's text, where the asker has none or an older one.
    pub config: Option<String>,
    /// Registrations, as far as the asker lacks them.
    pub registrations: Option<spread::Registrations>,
    /// Where to ask for what this answer leaves out, since the link is full.
    pub elsewhere: Option<spread::Elsewhere>,
}

impl Changes {
    /// Bytes that the changes take in an update.
    pub fn size(&self) -> usize {
        spread::wire::size(&self.changes)
    }
}
