//! Frames between VMs: one TCP link for each pair and direction.
//!
//! A VM sends over links that it opened and receives over links that it
//! accepted, so two VMs that call each other at once need no rule about whose
//! link survives, and a link that fails in one direction says nothing of the
//! other. The acceptor writes only its greeting and replies to heartbeats.

mod codec;
mod count;
mod inbound;
mod link;
pub mod message;
mod outbox;
mod pulse;
mod service;

pub use codec::Codec;
pub use service::Config;
pub use service::Mesh;

use crate::ids;

/// Version of the frames; a peer of another version is refused on its greeting.
pub const PROTOCOL: u32 = 1;

/// Why a frame was not taken for sending. Nothing of it has left this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No live member has this name.
    #[display("{vm} is no live member")]
    Unknown {
        /// The name.
        vm: ids::Vm,
    },
    /// The link's queue is full.
    #[display("the queue to {vm} is full")]
    Full {
        /// The peer.
        vm: ids::Vm,
    },
    /// The frame exceeds the size limit.
    #[display("a frame of {size} bytes to {vm} exceeds the limit of {limit}")]
    Large {
        /// The peer.
        vm: ids::Vm,
        /// Encoded size, in bytes.
        size: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// This VM's mesh is closed: the VM is stopping.
    #[display("the mesh is closed; nothing was sent to {vm}")]
    Closed {
        /// The peer.
        vm: ids::Vm,
    },
}

/// Sends frames to other VMs. Sending to this VM itself delivers locally, in
/// order, without a socket. Never blocks; a frame taken may still be lost, and
/// then [`Receive::lost`] is called for its link.
pub trait Post: Send + Sync {
    /// Takes one frame for sending.
    ///
    /// # Errors
    /// Where nothing was taken and nothing will be sent.
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), Error>;
}

/// Takes frames from other VMs. Called from the links' tasks: it must hand on
/// quickly and never block.
pub trait Receive: Send + Sync {
    /// One frame from `from`.
    fn receive(&self, from: &ids::Vm, body: message::Body);

    /// A link from or to `vm` went down or silent: frames sent over it may or
    /// may not have arrived, and replies to earlier frames may never come.
    /// Replies that do come late must be dropped by their attempt.
    fn lost(&self, vm: &ids::Vm);
}
