//! Decoding of replies from upstreams and from the platform's store.

use std::time;

use tokio_util::codec;

use crate::h1;
use crate::h1::head;
use crate::h1::scan;
use crate::memory;
use crate::rate;

/// A complete reply.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The echoed request id.
    pub id: Option<String>,
    /// The id that the upstream says it has, as in answers to health checks.
    pub upstream_id: Option<String>,
    /// The upstream's signature.
    pub signature: Option<String>,
    /// Whether the upstream states that it didn't run the call.
    pub not_run: bool,
    /// The headers that are passed on, each with its line ending.
    pub headers: Vec<u8>,
    /// The reply body.
    pub body: bytes::Bytes,
    /// Whether the body has a content encoding, which no caller asks for.
    pub has_content_encoding: bool,
    /// Whether the connection is closed after the reply.
    pub close: bool,
    /// How long the upstream keeps the idle connection open, if stated.
    pub keep_alive: Option<time::Duration>,
}

impl Reply {
    /// Creates a good reply as merged by a relay, with a signature and a body.
    pub fn merged(signature: String, body: bytes::Bytes) -> Self {
        Self {
            signature: Some(signature),
            ..Self::whole(200, Vec::new(), body)
        }
    }

    /// Creates a reply as passed on by a relay: what a caller gets of it.
    pub fn whole(status: u16, headers: Vec<u8>, body: bytes::Bytes) -> Self {
        Self {
            status,
            id: None,
            upstream_id: None,
            signature: None,
            not_run: false,
            headers,
            body,
            has_content_encoding: false,
            close: false,
            keep_alive: None,
        }
    }
}

/// Decodes the replies of a connection that carries one call at a time.
#[derive(Debug)]
pub struct ReplyCodec {
    names: h1::Names,
    limit: rate::Bytes,
    /// What bodies take up memory from.
    budget: memory::Budget,
    /// Whether the call's method was HEAD, so that the reply has no body.
    head_only: bool,
    /// The head that is being read.
    scan: scan::Scan,
    reading: Option<(Reply, h1::Body)>,
}

impl ReplyCodec {
    /// Creates a codec for replies with heads and bodies of at most `limit` each.
    pub fn new(names: h1::Names, limit: rate::Bytes) -> Self {
        Self {
            names,
            limit,
            budget: memory::Budget::unlimited(),
            head_only: false,
            scan: scan::Scan::new(scan::Kind::Head),
            reading: None,
        }
    }

    /// Sets the budget that bodies take up memory from.
    pub fn with_budget(self, budget: memory::Budget) -> Self {
        Self { budget, ..self }
    }

    /// Returns how many bytes of the body that is being read are known to be missing.
    pub fn missing(&self) -> usize {
        let reading = self.reading.as_ref();
        reading.map_or(0, |(_, body)| body.missing())
    }

    /// Sets whether the next reply answers a HEAD request.
    pub fn expect(&mut self, head_only: bool) {
        self.head_only = head_only;
    }

    /// Consumes a head from `source`; `None` if it isn't complete yet.
    fn read_head(
        &mut self,
        source: &mut bytes::BytesMut,
    ) -> Result<Option<(Reply, h1::Body)>, h1::Error> {
        let Some(attempt) = self.scan.next(source, self.limit)? else {
            return Ok(None);
        };
        let mut headers = attempt.headers();
        let mut parsed = httparse::Response::new(&mut headers);
        let used = match parsed.parse(source) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if !attempt.complete => return Ok(None),
            _ => return Err(h1::Error::Malformed("invalid reply head")),
        };
        let framing = head::Framing::parse(parsed.headers)?;
        let mut reply = Reply {
            status: parsed.code.unwrap_or_default(),
            id: None,
            upstream_id: None,
            signature: None,
            not_run: false,
            headers: Vec::new(),
            body: bytes::Bytes::new(),
            has_content_encoding: false,
            close: framing.close || (parsed.version == Some(0) && !framing.keep_alive),
            keep_alive: None,
        };
        for header in parsed.headers.iter() {
            self.add_header(&mut reply, header, &framing)?;
        }
        let body = self.body(&mut reply, &framing)?;
        bytes::Buf::advance(source, used);
        self.scan = scan::Scan::new(scan::Kind::Head);
        Ok(Some((reply, body)))
    }

    /// Adds one header to a reply.
    fn add_header(
        &self,
        reply: &mut Reply,
        header: &httparse::Header<'_>,
        framing: &head::Framing,
    ) -> Result<(), h1::Error> {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is(self.names.request_id) {
            reply.id = Some(head::text(header.value)?.to_owned());
        } else if is(self.names.upstream_id) {
            reply.upstream_id = Some(head::text(header.value)?.to_owned());
        } else if is(self.names.signature) {
            reply.signature = Some(head::text(header.value)?.to_owned());
        } else if is(self.names.not_run) {
            reply.not_run = true;
        } else if is("content-encoding") {
            reply.has_content_encoding = !header.value.eq_ignore_ascii_case(b"identity");
        } else if is("keep-alive") {
            reply.keep_alive = keep_alive_timeout(head::text(header.value)?);
        }
        if framing.is_forwarded(header.name) {
            head::write_header(&mut reply.headers, header.name, header.value);
        }
        Ok(())
    }

    /// Creates the decoder of the reply's body.
    fn body(&self, reply: &mut Reply, framing: &head::Framing) -> Result<h1::Body, h1::Error> {
        let bodiless = self.head_only || reply.status < 200 || matches!(reply.status, 204 | 304);
        if bodiless {
            return h1::Body::sized(0, self.limit, &self.budget);
        }
        if framing.chunked {
            return Ok(h1::Body::chunked(self.limit, self.limit, &self.budget));
        }
        if let Some(length) = framing.length {
            return h1::Body::sized(length, self.limit, &self.budget);
        }
        reply.close = true;
        Ok(h1::Body::until_close(self.limit, &self.budget))
    }
}

/// Returns the `timeout` of a `Keep-Alive` header's value.
fn keep_alive_timeout(value: &str) -> Option<time::Duration> {
    let seconds = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    seconds.map(time::Duration::from_secs)
}

impl codec::Decoder for ReplyCodec {
    type Item = Reply;
    type Error = h1::Error;

    fn decode(&mut self, source: &mut bytes::BytesMut) -> Result<Option<Reply>, h1::Error> {
        loop {
            if self.reading.is_none() {
                self.reading = self.read_head(source)?;
            }
            let Some((_, body)) = self.reading.as_mut() else {
                return Ok(None);
            };
            let Some(body) = body.read(source)? else {
                return Ok(None);
            };
            let whole = self
                .reading
                .take()
                .map(|(reply, _)| Reply { body, ..reply });
            // Skips interim (1xx) replies, which precede the final one.
            if whole.as_ref().is_some_and(|reply| reply.status >= 200) {
                return Ok(whole);
            }
        }
    }

    fn decode_eof(&mut self, source: &mut bytes::BytesMut) -> Result<Option<Reply>, h1::Error> {
        if let Some(reply) = self.decode(source)? {
            return Ok(Some(reply));
        }
        let Some((reply, body)) = self.reading.take() else {
            return Ok(None);
        };
        let Some(body) = body.close() else {
            return Err(h1::Error::Malformed("truncated reply"));
        };
        Ok(Some(Reply { body, ..reply }))
    }
}
