//! Frames between VMs.

pub mod message;

use crate::ids;

/// Why a frame was not taken for sending. Nothing of it has left this VM.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
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

    /// The link to `vm` went down or silent: frames sent over it may or may
    /// not have arrived, and no reply to them will come.
    fn lost(&self, vm: &ids::Vm);
}
