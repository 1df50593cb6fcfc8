//! Decoding of frames from the bytes of a connection.

use bytes::Buf as _;
use tokio_util::codec;

use crate::edge::frame;
use crate::memory;

/// Largest frame that isn't copied out of the read buffer, in bytes.
const SMALL_FRAME: usize = 4 << 10;

/// Why a frame can't be decoded.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub(in crate::edge) enum Error {
    /// The frame is larger than [`frame::MAX_FRAME_LEN`].
    #[display("a frame of {_0} bytes is too large")]
    #[error(ignore)]
    #[from(ignore)]
    TooLarge(usize),
    /// There is no memory left for the frame. Decoding may be tried again.
    #[display("{_0}")]
    NoMemory(memory::Exhausted),
    /// The connection failed.
    #[display("{_0}")]
    Io(std::io::Error),
}

/// Decodes frames, and takes memory for them from a budget as their bytes come.
#[derive(Debug)]
pub(in crate::edge) struct Codec {
    budget: memory::Budget,
    /// The length of the frame that is being read, and what has come of it.
    reading: Option<(usize, memory::Buffer)>,
}

impl Codec {
    pub(in crate::edge) fn new(budget: memory::Budget) -> Self {
        Self {
            budget,
            reading: None,
        }
    }

    /// Returns whether a part of a frame was read.
    pub(in crate::edge) fn is_reading(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns the whole frame of this length, once it is there.
    fn read(
        &mut self,
        len: usize,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, Error> {
        let Some((_, buffer)) = &mut self.reading else {
            return Ok(None);
        };
        let taken = source.len().min(len - buffer.len());
        buffer.append(&source[..taken], memory::Size::Known(len))?;
        source.advance(taken);
        if buffer.len() < len {
            return Ok(None);
        }
        Ok(self.reading.take().map(|(_, buffer)| buffer.freeze()))
    }
}

impl codec::Decoder for Codec {
    type Item = bytes::Bytes;
    type Error = Error;

    fn decode(&mut self, source: &mut bytes::BytesMut) -> Result<Option<bytes::Bytes>, Error> {
        if let Some((len, _)) = self.reading {
            return self.read(len, source);
        }
        let Some(prefix) = source.first_chunk::<{ frame::LENGTH_PREFIX }>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*prefix) as usize;
        if len > frame::MAX_FRAME_LEN {
            return Err(Error::TooLarge(len));
        }
        source.advance(frame::LENGTH_PREFIX);
        if len <= SMALL_FRAME && source.len() >= len {
            return Ok(Some(source.split_to(len).freeze()));
        }
        self.reading = Some((len, memory::Buffer::new(&self.budget)));
        self.read(len, source)
    }
}

impl From<Error> for std::io::Error {
    fn from(error: Error) -> Self {
        match error {
            Error::Io(error) => error,
            Error::TooLarge(_) => Self::new(std::io::ErrorKind::InvalidData, error),
            Error::NoMemory(_) => Self::new(std::io::ErrorKind::OutOfMemory, error),
        }
    }
}
