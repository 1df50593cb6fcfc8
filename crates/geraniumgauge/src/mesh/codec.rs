//! Framing on a byte stream: a length of four bytes, then the prost message.

use std::io;

use bytes::BufMut as _;
use prost::Message as _;
use tokio_util::codec;

use crate::mesh::message;

/// Size of the length prefix of a frame.
pub(super) const LENGTH_BYTES: usize = 4;

/// Error of reading or writing a frame. Nothing more can be read from the link.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The stream failed, or a frame exceeds the size limit.
    #[display("{_0}")]
    Io(io::Error),
    /// The bytes are not a valid message.
    #[display("undecodable frame: {_0}")]
    Decode(prost::DecodeError),
}

/// Encodes and decodes frames of a bounded size.
#[derive(Debug)]
pub struct Codec {
    lengths: codec::LengthDelimitedCodec,
    limit: usize,
}

impl Codec {
    /// Creates a codec for frames of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let mut builder = codec::LengthDelimitedCodec::builder();
        let lengths = builder
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(limit);
        Self {
            lengths: lengths.new_codec(),
            limit,
        }
    }
}

impl codec::Decoder for Codec {
    /// The message; `None` for a kind of a newer version, which the caller skips.
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
        encode_frame(body, body.encoded_len(), self.limit, into)
    }
}

/// Appends a frame with `body`, whose encoded size is `size` bytes, to `into`.
///
/// # Errors
/// If `size` exceeds `limit`; nothing is appended then.
pub(super) fn encode_frame(
    body: &message::Body,
    size: usize,
    limit: usize,
    into: &mut bytes::BytesMut,
) -> Result<(), Error> {
    let length = u32::try_from(size).ok().filter(|_| size <= limit);
    let Some(length) = length else {
        let text = format!("a frame of {size} bytes exceeds the limit of {limit} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text).into());
    };
    into.reserve(LENGTH_BYTES + size);
    into.put_u32(length);
    body.encode(into);
    Ok(())
}
