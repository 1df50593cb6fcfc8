//! Frames on a byte stream: a length of four bytes, then the prost message.

use std::io;

use bytes::BufMut as _;
use prost::Message as _;
use tokio_util::codec;

use crate::mesh::message;

/// Bytes of the length before each frame.
pub(super) const HEAD: usize = 4;

/// Why bytes are no frame. The link they came over can't be read any further.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The stream failed, or a frame exceeds the size limit.
    #[display("{_0}")]
    Io(io::Error),
    /// The bytes are no message.
    #[display("undecodable frame: {_0}")]
    Garbled(prost::DecodeError),
}

/// Encodes and decodes frames of a bounded size.
#[derive(Debug)]
pub struct Codec {
    lengths: codec::LengthDelimitedCodec,
    limit: usize,
}

impl Codec {
    /// A codec that takes frames of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let mut builder = codec::LengthDelimitedCodec::builder();
        let lengths = builder.length_field_length(HEAD).max_frame_length(limit);
        Self {
            lengths: lengths.new_codec(),
            limit,
        }
    }
}

impl codec::Decoder for Codec {
    /// `None` for a frame of a newer kind, which the caller skips.
    type Item = Option<message::Body>;
    type Error = Error;

    fn decode(&mut self, from: &mut bytes::BytesMut) -> Result<Option<Self::Item>, Error> {
        let Some(bytes) = self.lengths.decode(from)? else {
            return Ok(None);
        };
        let frame = message::Frame::decode(bytes.freeze())?;
        Ok(Some(frame.body))
    }
}

impl codec::Encoder<&message::Body> for Codec {
    type Error = Error;

    fn encode(&mut self, body: &message::Body, into: &mut bytes::BytesMut) -> Result<(), Error> {
        put(body, body.encoded_len(), self.limit, into)
    }
}

/// Appends `body`, whose encoded size is `size`, to `into`.
///
/// # Errors
/// Where `size` exceeds `limit`; nothing is appended then.
pub(super) fn put(
    body: &message::Body,
    size: usize,
    limit: usize,
    into: &mut bytes::BytesMut,
) -> Result<(), Error> {
    let length = u32::try_from(size).ok().filter(|_| size <= limit);
    let Some(length) = length else {
        let text = format!("a frame of {size} bytes exceeds the limit of {limit}");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text).into());
    };
    into.reserve(HEAD + size);
    into.put_u32(length);
    body.encode(into);
    Ok(())
}
