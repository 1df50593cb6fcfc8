//! What the fleet knows of the platform's store, and of itself, at a cost that
//! doesn't grow with the fleet.
//!
//! A few VMs read the store and tell the others ([`State`] decides who); a VM
//! that starts takes all from a VM beside it. What is spread is safe by
//! construction: it carries revisions and is only taken upwards, sets are
//! compared by digest, and a VM that can't tell how old its news is asks the
//! store itself. [`Service`] carries the decisions out.

mod content;
mod count;
mod member;
pub(crate) mod sending;
mod service;
mod state;
mod store;
mod update;
pub(crate) mod wire;

pub use member::Member;
pub use member::Members;
pub use sending::Elsewhere;
pub use sending::Ticket;
pub use service::Hear;
pub use service::Service;
pub use service::Slot;
pub use state::Action;
pub use state::Directory;
pub use state::State;
pub use state::View;
pub use store::Pages;
pub use store::Store;
pub use update::Answer;
pub use update::Changes;
pub use update::Fetch;
pub use update::Holds;
pub use update::Look;
pub use update::Pass;
pub use update::Summary;
pub use update::Update;
pub use wire::Datagram;

use std::time;

use crate::follow;
use crate::registry;

/// A VM's record, and how long ago it was refreshed.
pub type Record = (Member, time::Duration);

/// Registrations as they are told.
pub type Registrations = follow::Delta<registry::Entry>;

#[cfg(test)]
pub(crate) mod tests;
