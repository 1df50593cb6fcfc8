//! Decides when a section of lines, such as a head, is parsed while its bytes still arrive.
//!
//! Each attempt to parse starts at the beginning. Were it made for all bytes that arrive, a
//! section that comes in small pieces would take time in proportion to the square of its length.

use crate::h1;
use crate::rate;

/// What is known of a section of which bytes are still arriving.
#[derive(Debug)]
pub(super) struct Scan {
    kind: Kind,
    /// Number of bytes that have been searched for line endings.
    searched: usize,
    /// Where the line begins that isn't complete yet.
    line_start: usize,
    /// Number of complete lines that aren't empty.
    lines: usize,
    /// Number of bytes at the last attempt to parse.
    attempted: usize,
}

/// A kind of section.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// A first line and headers, then an empty line. Empty lines before it are ignored.
    Head,
    /// Headers, if any, then an empty line.
    Trailers,
    /// One line.
    Line,
}

/// A section that should be parsed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Attempt {
    /// Whether the section is complete. Otherwise parsing shows only whether it can be valid.
    pub(super) complete: bool,
    /// Maximum number of headers in the bytes that are there.
    pub(super) max_headers: usize,
}

impl Attempt {
    /// Returns room for the headers.
    pub(super) fn headers<'h>(self) -> Vec<httparse::Header<'h>> {
        vec![httparse::EMPTY_HEADER; self.max_headers]
    }
}

impl Scan {
    /// Starts at the beginning of a section.
    pub(super) fn new(kind: Kind) -> Self {
        Self {
            kind,
            searched: 0,
            line_start: 0,
            lines: 0,
            attempted: 0,
        }
    }

    /// Searches the bytes of `source` that have arrived since the last call. Returns an attempt
    /// if the section is complete, or has at least twice as many bytes as at the last attempt.
    ///
    /// # Errors
    /// If the section is larger than `limit`.
    pub(super) fn next(
        &mut self,
        source: &[u8],
        limit: rate::Bytes,
    ) -> Result<Option<Attempt>, h1::Error> {
        let end = self.find_end(source);
        let len = end.unwrap_or(source.len());
        if len as u64 > limit.0 {
            return Err(h1::Error::HeadTooLarge(limit));
        }
        let complete = end.is_some();
        if len == 0 || !complete && len < 2 * self.attempted {
            return Ok(None);
        }
        self.attempted = len;
        Ok(Some(Attempt {
            complete,
            // The last line may be incomplete.
            max_headers: self.lines + 1,
        }))
    }

    /// Returns the length of the section; `None` if it isn't complete.
    fn find_end(&mut self, source: &[u8]) -> Option<usize> {
        while let Some(len) = source[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.searched + len;
            let is_empty = matches!(&source[self.line_start..line_end], b"" | b"\r");
            self.searched = line_end + 1;
            self.line_start = self.searched;
            self.lines += usize::from(!is_empty);
            let ends = match self.kind {
                Kind::Head => is_empty && self.lines > 0,
                Kind::Trailers => is_empty,
                Kind::Line => true,
            };
            if ends {
                return Some(self.searched);
            }
        }
        self.searched = source.len();
        None
    }
}
