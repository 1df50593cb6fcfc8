//! Parsing and writing of headers that requests and replies have in common.

use std::collections;

use crate::h1;

/// Hop-by-hop headers, which concern one connection and are never passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The body framing and connection options that a head states.
#[derive(Debug, Default)]
pub(super) struct Framing {
    /// The content length.
    pub(super) length: Option<usize>,
    /// Whether the body is in chunks.
    pub(super) chunked: bool,
    /// Whether `Connection` contains `close`.
    pub(super) close: bool,
    /// Whether `Connection` contains `keep-alive`.
    pub(super) keep_alive: bool,
    /// Headers named in `Connection`, which are hop-by-hop as well, in lower case.
    connection_headers: collections::HashSet<String>,
}

impl Framing {
    /// Parses the headers that concern the framing and the connection.
    ///
    /// # Errors
    /// If the message's end is ambiguous: two different lengths, both a length and a
    /// transfer coding, or a coding other than chunked. Passed on, such a message
    /// could smuggle a second one.
    pub(super) fn parse(headers: &[httparse::Header<'_>]) -> Result<Self, h1::Error> {
        let mut framing = Self::default();
        for header in headers {
            if header.name.eq_ignore_ascii_case("content-length") {
                framing.add_length(header.value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.add_coding(header.value)?;
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.add_connection(header.value)?;
            }
        }
        if framing.chunked && framing.length.is_some() {
            return Err(h1::Error::Malformed("content length and transfer coding"));
        }
        Ok(framing)
    }

    /// Returns whether a header is passed on. `Content-Length` isn't, as it is written
    /// anew.
    pub(super) fn is_forwarded(&self, name: &str) -> bool {
        let same = |other: &&str| name.eq_ignore_ascii_case(other);
        !HOP_BY_HOP.iter().any(same)
            && !name.eq_ignore_ascii_case("content-length")
            && !self.is_connection_header(name)
    }

    fn is_connection_header(&self, name: &str) -> bool {
        !self.connection_headers.is_empty()
            && self.connection_headers.contains(&name.to_ascii_lowercase())
    }

    fn add_length(&mut self, value: &[u8]) -> Result<(), h1::Error> {
        let digits = text(value)?.trim();
        let all_digits = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        let length = digits.parse().ok().filter(|_| all_digits);
        let length = length.ok_or(h1::Error::Malformed("invalid content length"))?;
        if self.length.is_some_and(|before| before != length) {
            return Err(h1::Error::Malformed("different content lengths"));
        }
        self.length = Some(length);
        Ok(())
    }

    fn add_coding(&mut self, value: &[u8]) -> Result<(), h1::Error> {
        if self.chunked || !text(value)?.trim().eq_ignore_ascii_case("chunked") {
            return Err(h1::Error::UnsupportedTransferCoding);
        }
        self.chunked = true;
        Ok(())
    }

    fn add_connection(&mut self, value: &[u8]) -> Result<(), h1::Error> {
        for token in text(value)?.split(',').map(str::trim) {
            if token.eq_ignore_ascii_case("close") {
                self.close = true;
            } else if token.eq_ignore_ascii_case("keep-alive") {
                self.keep_alive = true;
            } else if !token.is_empty() {
                self.connection_headers.insert(token.to_ascii_lowercase());
            }
        }
        Ok(())
    }
}

/// Returns a header's value as text.
///
/// # Errors
/// If it isn't UTF-8.
pub(super) fn text(value: &[u8]) -> Result<&str, h1::Error> {
    str::from_utf8(value).map_err(|_| h1::Error::Malformed("header value isn't UTF-8"))
}

/// Appends a header line.
pub(super) fn write_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
