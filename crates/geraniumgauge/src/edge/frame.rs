//! Messages between a VM and the relay that makes calls for it.
//!
//! The requester sends a [`Batch`] of calls, each with the upstream it has
//! chosen, and the relay sends back [`Report`]s of how they ended. Replies that
//! arrive before the batch's merge time are merged into one report; each later
//! one gets a report of its own. The requester alone chooses upstreams, and
//! decides when to hedge and when to give up.
//!
//! VMs also fetch each other's replicated state with [`Kind::Fetch`].

mod batch;
mod codec;
mod report;
mod spending;

pub(super) use batch::Abandon;
pub(super) use batch::Batch;
pub(super) use batch::Call;
pub(super) use codec::Codec;
pub(super) use codec::Error;
pub(super) use report::End;
pub(super) use report::How;
pub(super) use report::Reply;
pub(super) use report::Report;
#[cfg(test)]
pub(super) use spending::ServiceSpending;
pub(super) use spending::Spending;
pub(super) use spending::TakeSpending;

use prost::Message as _;

use crate::edge::link;
use crate::spread::wire;

/// Largest frame in bytes: the largest reply, and what a report has beside it. The merged
/// replies of a search hold only its top records, so they fit.
pub(super) const MAX_FRAME_LEN: usize = 2 * link::MAX_REPLY.0 as usize + (1 << 20);
/// Size in bytes of the length prefix of a frame.
const LENGTH_PREFIX: usize = 4;

/// One message between VMs.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Frame {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub(super) kind: Option<Kind>,
}

/// The content of a message.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub(super) enum Kind {
    #[prost(message, tag = "1")]
    Batch(Batch),
    #[prost(message, tag = "2")]
    Abandon(Abandon),
    #[prost(message, tag = "3")]
    Report(Report),
    #[prost(message, tag = "4")]
    GoAway(GoAway),
    #[prost(message, tag = "5")]
    Fetch(wire::Fetch),
    #[prost(message, tag = "6")]
    Answer(wire::Answer),
    #[prost(message, tag = "7")]
    Spending(Spending),
    #[prost(message, tag = "8")]
    TakeSpending(TakeSpending),
}

/// Announces that the sender is stopping and accepts no more batches of calls.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub(super) struct GoAway {}

impl Frame {
    /// Returns whether encoded bytes are more than the other VM reads.
    pub(super) fn is_too_large(bytes: &[u8]) -> bool {
        bytes.len() - LENGTH_PREFIX > MAX_FRAME_LEN
    }

    /// Encodes a message with its length prefix.
    pub(super) fn bytes(kind: Kind) -> bytes::Bytes {
        let frame = Self { kind: Some(kind) };
        let len = frame.encoded_len();
        let mut bytes = bytes::BytesMut::with_capacity(LENGTH_PREFIX + len);
        bytes::BufMut::put_u32(&mut bytes, u32::try_from(len).unwrap_or(u32::MAX));
        // Encoding into a buffer with enough capacity can't fail.
        let _ = frame.encode(&mut bytes);
        bytes.freeze()
    }
}
