//! Where a body ends.

use bytes::Buf as _;

use crate::h1;
use crate::rate;

/// Longest line of a chunk's size, with its extensions.
const MAX_SIZE_LINE: usize = 256;
/// Largest set of trailers; they are dropped.
const MAX_TRAILERS: usize = 4096;

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    ends: Ends,
    held: bytes::BytesMut,
    limit: rate::Bytes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ends {
    /// After this many bytes more.
    After(usize),
    /// With a chunk of no size; the state within the chunks.
    Chunks(Chunk),
    /// With the connection.
    WithConnection,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(usize),
    DataEnd,
    Trailers,
}

impl Body {
    /// A body of `len` bytes.
    ///
    /// # Errors
    /// Where it is larger than `limit`.
    pub fn sized(len: usize, limit: rate::Bytes) -> Result<Self, h1::Error> {
        if len as u64 > limit.0 {
            return Err(h1::Error::BodyTooLarge(limit));
        }
        Ok(Self::new(Ends::After(len), limit))
    }

    /// A body in chunks.
    pub fn chunked(limit: rate::Bytes) -> Self {
        Self::new(Ends::Chunks(Chunk::Size), limit)
    }

    /// A body that ends with its connection.
    pub fn until_close(limit: rate::Bytes) -> Self {
        Self::new(Ends::WithConnection, limit)
    }

    fn new(ends: Ends, limit: rate::Bytes) -> Self {
        Self {
            ends,
            held: bytes::BytesMut::new(),
            limit,
        }
    }

    /// Takes from `source`; the whole body once it is complete.
    ///
    /// # Errors
    /// Where the chunks are malformed or the body is too large.
    pub fn read(
        &mut self,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, h1::Error> {
        match self.ends {
            Ends::After(len) => Ok(Self::sized_part(len, source)),
            Ends::Chunks(_) => self.chunks(source),
            Ends::WithConnection => {
                self.keep(source.len(), source)?;
                Ok(None)
            }
        }
    }

    /// The body, where the end of the connection completes it.
    pub fn close(self) -> Option<bytes::Bytes> {
        (self.ends == Ends::WithConnection).then(|| self.held.freeze())
    }

    fn sized_part(len: usize, source: &mut bytes::BytesMut) -> Option<bytes::Bytes> {
        if source.len() < len {
            source.reserve(len - source.len());
            return None;
        }
        Some(source.split_to(len).freeze())
    }

    fn keep(&mut self, len: usize, source: &mut bytes::BytesMut) -> Result<(), h1::Error> {
        if (self.held.len() + len) as u64 > self.limit.0 {
            return Err(h1::Error::BodyTooLarge(self.limit));
        }
        self.held.extend_from_slice(&source[..len]);
        source.advance(len);
        Ok(())
    }

    fn chunks(&mut self, source: &mut bytes::BytesMut) -> Result<Option<bytes::Bytes>, h1::Error> {
        while let Ends::Chunks(state) = self.ends {
            let next = match state {
                Chunk::Size => size(source)?,
                Chunk::Data(left) => self.data(left, source)?,
                Chunk::DataEnd => data_end(source)?,
                Chunk::Trailers => {
                    if !trailers(source)? {
                        return Ok(None);
                    }
                    return Ok(Some(std::mem::take(&mut self.held).freeze()));
                }
            };
            let Some(next) = next else {
                return Ok(None);
            };
            self.ends = Ends::Chunks(next);
        }
        Ok(None)
    }

    fn data(
        &mut self,
        left: usize,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<Chunk>, h1::Error> {
        let len = left.min(source.len());
        self.keep(len, source)?;
        if len == left {
            return Ok(Some(Chunk::DataEnd));
        }
        self.ends = Ends::Chunks(Chunk::Data(left - len));
        Ok(None)
    }
}

fn size(source: &mut bytes::BytesMut) -> Result<Option<Chunk>, h1::Error> {
    match httparse::parse_chunk_size(source) {
        Ok(httparse::Status::Complete((used, size))) => {
            source.advance(used);
            let size = usize::try_from(size).map_err(|_| h1::Error::Malformed("chunk size"))?;
            Ok(Some(if size == 0 {
                Chunk::Trailers
            } else {
                Chunk::Data(size)
            }))
        }
        Ok(httparse::Status::Partial) if source.len() <= MAX_SIZE_LINE => Ok(None),
        _ => Err(h1::Error::Malformed("chunk size")),
    }
}

fn data_end(source: &mut bytes::BytesMut) -> Result<Option<Chunk>, h1::Error> {
    if source.len() < 2 {
        return Ok(None);
    }
    if &source[..2] != b"\r\n" {
        return Err(h1::Error::Malformed("chunk end"));
    }
    source.advance(2);
    Ok(Some(Chunk::Size))
}

/// Drops trailers; whether their end was found.
fn trailers(source: &mut bytes::BytesMut) -> Result<bool, h1::Error> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    match httparse::parse_headers(source, &mut headers) {
        Ok(httparse::Status::Complete((used, _))) => {
            source.advance(used);
            Ok(true)
        }
        Ok(httparse::Status::Partial) if source.len() <= MAX_TRAILERS => Ok(false),
        _ => Err(h1::Error::Malformed("trailers")),
    }
}
