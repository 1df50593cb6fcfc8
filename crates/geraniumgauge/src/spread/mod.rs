//! Distribution of the store's content among the VMs of a fleet, and the fleet's
//! membership, at a cost to the store that doesn't grow with the fleet.
//!
//! A few VMs read the store and update the others ([`State`] decides which); a VM
//! that starts fetches everything from a VM of its data centre. Stale or duplicate
//! messages do no harm: content carries revisions and is only replaced by newer
//! content, sets are compared by digest, and a VM that can't tell how old its
//! content is polls the store itself. [`Service`] carries out the decisions.

pub(crate) mod admission;
mod content;
mod instruments;
mod member;
mod service;
mod state;
mod store;
mod update;
pub(crate) mod wire;

pub use admission::Redirect;
pub use admission::ReservationId;
pub use member::Member;
pub use member::Members;
pub use service::Listener;
pub use service::Service;
pub use service::Slot;
pub use state::Action;
pub use state::Directory;
pub use state::State;
pub use state::View;
pub use store::DirectoryPages;
pub use store::Store;
pub use update::Answer;
pub use update::Changes;
pub use update::Fetch;
pub use update::Forwarding;
pub use update::Poll;
pub use update::Position;
pub use update::Summary;
pub use update::Update;
pub use wire::Datagram;

use std::time;

use crate::follow;
use crate::registry;

/// A VM's record, and how long ago it was refreshed.
pub type Record = (Member, time::Duration);

/// Registrations as one VM sends them to another.
pub type Registrations = follow::Delta<registry::Entry>;

#[cfg(test)]
pub(crate) mod tests;
