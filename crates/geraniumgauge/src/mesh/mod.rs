//! Frames between VMs over TCP: one link for each pair of VMs and direction.
//!
//! A VM sends over the links that it opened and receives over those that it
//! accepted. Two VMs that connect to each other at the same time therefore need no
//! tie-break, and a failure in one direction doesn't affect the other. The
//! accepting side writes only its hello and replies to heartbeats.

mod codec;
mod heartbeat;
mod inbound;
mod instruments;
mod link;
pub mod message;
mod outbox;
mod service;

pub use codec::Codec;
pub use service::Config;
pub use service::Mesh;

use crate::ids;

/// Protocol version. A peer whose hello has another version is refused.
pub const PROTOCOL: u32 = 1;

/// Error of queueing a frame. Nothing of the frame has left this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The receiver is not a live member.
    #[display("VM {vm} is not a live member")]
    Unknown {
        /// Name of the receiver.
        vm: ids::Vm,
    },
    /// The link's queue is full.
    #[display("the send queue to VM {vm} is full")]
    Full {
        /// Name of the receiver.
        vm: ids::Vm,
    },
    /// The frame exceeds the size limit.
    #[display("a frame of {size} bytes to VM {vm} exceeds the limit of {limit} bytes")]
    Large {
        /// Name of the receiver.
        vm: ids::Vm,
        /// Encoded size, in bytes.
        size: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The mesh is closed because this VM is stopping.
    #[display("the mesh is closed; nothing was sent to VM {vm}")]
    Closed {
        /// Name of the receiver.
        vm: ids::Vm,
    },
}

/// Sends frames to VMs. Frames to this VM itself are delivered locally, in order
/// and without a socket. Sending never blocks. A queued frame may still be lost, in
/// which case [`Receiver::link_lost`] or [`Receiver::link_not_opened`] is called for
/// its link.
pub trait Sender: Send + Sync {
    /// Queues one frame.
    ///
    /// # Errors
    /// If the frame was not queued and will not be sent.
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), Error>;
}

/// Receives frames from VMs. The methods are called from the links' tasks: they
/// must return quickly and never block.
pub trait Receiver: Send + Sync {
    /// Handles one frame from `from`.
    fn receive(&self, from: &ids::Vm, body: message::Body);

    /// Handles the loss of a link from or to `vm`. Frames sent over it may or may
    /// not have arrived, and replies to earlier frames may never come. Replies that
    /// still arrive must be dropped by their attempt number.
    fn link_lost(&self, vm: &ids::Vm);

    /// Handles a link to `vm` that couldn't be opened. None of the frames queued on
    /// it has left this VM.
    fn link_not_opened(&self, vm: &ids::Vm) {
        self.link_lost(vm);
    }
}
