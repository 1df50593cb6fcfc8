//! Decoding of message bodies.

use bytes::Buf as _;

use crate::h1;
use crate::h1::scan;
use crate::memory;
use crate::rate;

/// A decoder of one body.
#[derive(Debug)]
pub struct Body {
    end: End,
    buffer: memory::Buffer,
    limit: rate::Bytes,
    /// Maximum size of the trailers, which are dropped, and of the line of a chunk's size with
    /// its extensions.
    lines_limit: rate::Bytes,
    /// The line or the trailers that are being read.
    scan: scan::Scan,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The body has this length in bytes.
    Length(usize),
    /// The body ends with an empty chunk; holds the decoder's state.
    Chunked(Chunk),
    /// The body ends when the connection is closed.
    UntilClose,
}

/// What is read next of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    /// The line with a chunk's size.
    Size,
    /// The remaining bytes of a chunk's data.
    Data(usize),
    /// The line ending after a chunk's data.
    DataEnd,
    /// The trailers after the last chunk.
    Trailers,
}

impl Body {
    /// Creates a decoder of a body of `len` bytes.
    ///
    /// # Errors
    /// If `len` is larger than `limit`.
    pub fn sized(
        len: usize,
        limit: rate::Bytes,
        budget: &memory::Budget,
    ) -> Result<Self, h1::Error> {
        if len as u64 > limit.0 {
            return Err(h1::Error::BodyTooLarge(limit));
        }
        Ok(Self::new(End::Length(len), limit, rate::Bytes(0), budget))
    }

    /// Creates a decoder of a chunked body. `lines_limit` limits the trailers, and the line
    /// before each chunk.
    pub fn chunked(limit: rate::Bytes, lines_limit: rate::Bytes, budget: &memory::Budget) -> Self {
        Self::new(End::Chunked(Chunk::Size), limit, lines_limit, budget)
    }

    /// Creates a decoder of a body that ends when the connection is closed.
    pub fn until_close(limit: rate::Bytes, budget: &memory::Budget) -> Self {
        Self::new(End::UntilClose, limit, rate::Bytes(0), budget)
    }

    fn new(
        end: End,
        limit: rate::Bytes,
        lines_limit: rate::Bytes,
        budget: &memory::Budget,
    ) -> Self {
        Self {
            end,
            buffer: memory::Buffer::new(budget),
            limit,
            lines_limit,
            scan: scan::Scan::new(scan::Kind::Line),
        }
    }

    /// Returns how many bytes of the body have come.
    pub fn received(&self) -> usize {
        self.buffer.len()
    }

    /// Returns how many bytes of the body are known to be missing.
    pub fn missing(&self) -> usize {
        match self.end {
            End::Length(len) => len - self.buffer.len(),
            End::Chunked(Chunk::Data(remaining)) => remaining,
            End::Chunked(_) | End::UntilClose => 0,
        }
    }

    /// Returns how much of the budget it holds.
    pub fn held(&self) -> rate::Bytes {
        self.buffer.held()
    }

    /// Consumes bytes from `source` and returns the body once it is complete.
    ///
    /// # Errors
    /// If the chunks are malformed or the body is too large. After [`h1::Error::NoMemory`], no
    /// byte is lost and the call may be repeated.
    pub fn read(
        &mut self,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, h1::Error> {
        match self.end {
            End::Length(len) => self.read_sized(len, source),
            End::Chunked(_) => self.read_chunks(source),
            End::UntilClose => {
                self.append(source.len(), source)?;
                Ok(None)
            }
        }
    }

    /// Returns the body if the end of the connection completes it.
    pub fn close(self) -> Option<bytes::Bytes> {
        (self.end == End::UntilClose).then(|| self.buffer.freeze())
    }

    fn read_sized(
        &mut self,
        len: usize,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, h1::Error> {
        let taken = source.len().min(len - self.buffer.len());
        let size = memory::Size::Known(len);
        self.buffer.append(&source[..taken], size)?;
        source.advance(taken);
        Ok((self.buffer.len() == len).then(|| self.take()))
    }

    /// Returns the bytes that have come.
    fn take(&mut self) -> bytes::Bytes {
        self.buffer.take().freeze()
    }

    fn append(&mut self, len: usize, source: &mut bytes::BytesMut) -> Result<(), h1::Error> {
        if (self.buffer.len() + len) as u64 > self.limit.0 {
            return Err(h1::Error::BodyTooLarge(self.limit));
        }
        let max_len = usize::try_from(self.limit.0).unwrap_or(usize::MAX);
        let size = memory::Size::AtMost(max_len);
        self.buffer.append(&source[..len], size)?;
        source.advance(len);
        Ok(())
    }

    fn read_chunks(
        &mut self,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, h1::Error> {
        while let End::Chunked(state) = self.end {
            let next = match state {
                Chunk::Size => self.read_size(source)?,
                Chunk::Data(remaining) => self.read_data(remaining, source)?,
                Chunk::DataEnd => read_data_end(source)?,
                Chunk::Trailers => {
                    if !self.skip_trailers(source)? {
                        return Ok(None);
                    }
                    return Ok(Some(self.take()));
                }
            };
            let Some(next) = next else {
                return Ok(None);
            };
            self.end = End::Chunked(next);
        }
        Ok(None)
    }

    fn read_data(
        &mut self,
        remaining: usize,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<Chunk>, h1::Error> {
        let len = remaining.min(source.len());
        self.append(len, source)?;
        if len == remaining {
            return Ok(Some(Chunk::DataEnd));
        }
        self.end = End::Chunked(Chunk::Data(remaining - len));
        Ok(None)
    }

    fn read_size(&mut self, source: &mut bytes::BytesMut) -> Result<Option<Chunk>, h1::Error> {
        let Some(attempt) = self.scan.next(source, self.lines_limit)? else {
            return Ok(None);
        };
        let (used, size) = match httparse::parse_chunk_size(source) {
            Ok(httparse::Status::Complete(read)) => read,
            Ok(httparse::Status::Partial) if !attempt.complete => return Ok(None),
            _ => return Err(h1::Error::Malformed("invalid chunk size")),
        };
        source.advance(used);
        let size = usize::try_from(size);
        let size = size.map_err(|_| h1::Error::Malformed("invalid chunk size"))?;
        let (next, kind) = match size {
            0 => (Chunk::Trailers, scan::Kind::Trailers),
            _ => (Chunk::Data(size), scan::Kind::Line),
        };
        self.scan = scan::Scan::new(kind);
        Ok(Some(next))
    }

    /// Skips the trailers. Returns whether they are complete.
    fn skip_trailers(&mut self, source: &mut bytes::BytesMut) -> Result<bool, h1::Error> {
        let Some(attempt) = self.scan.next(source, self.lines_limit)? else {
            return Ok(false);
        };
        let mut headers = attempt.headers();
        match httparse::parse_headers(source, &mut headers) {
            Ok(httparse::Status::Complete((used, _))) => {
                source.advance(used);
                Ok(true)
            }
            Ok(httparse::Status::Partial) if !attempt.complete => Ok(false),
            _ => Err(h1::Error::Malformed("trailers")),
        }
    }
}

fn read_data_end(source: &mut bytes::BytesMut) -> Result<Option<Chunk>, h1::Error> {
    if source.len() < 2 {
        return Ok(None);
    }
    if &source[..2] != b"\r\n" {
        return Err(h1::Error::Malformed("no line ending after chunk data"));
    }
    source.advance(2);
    Ok(Some(Chunk::Size))
}
