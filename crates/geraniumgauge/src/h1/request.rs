//! Decoding of callers' requests.

use std::time;

use tokio_util::codec;

use crate::h1;
use crate::h1::head;
use crate::h1::scan;
use crate::memory;
use crate::rate;

/// A caller's complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path and query as received.
    pub path: String,
    /// The `Host` header; empty if absent.
    pub host: String,
    /// The request id as received; empty if absent.
    pub id: String,
    /// How long the caller waits for the answer, if stated.
    pub time_left: Option<time::Duration>,
    /// The request line and the headers that are passed on, each with its line ending,
    /// without the empty line at the end.
    pub head: Vec<u8>,
    /// The request body.
    pub body: bytes::Bytes,
    /// Whether the request has a body, which may be empty.
    pub has_body: bool,
    /// Whether the connection is to be closed after the answer.
    pub close: bool,
}

/// Decodes the requests of a caller's connection.
#[derive(Debug)]
pub struct RequestCodec {
    names: h1::Names,
    head_limit: rate::Bytes,
    body_limit: rate::Bytes,
    /// What bodies take up memory from.
    budget: memory::Budget,
    /// The head that is being read.
    scan: scan::Scan,
    reading: Option<Reading>,
}

/// A request whose body is being read.
#[derive(Debug)]
struct Reading {
    request: Request,
    body: h1::Body,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool,
}

impl RequestCodec {
    /// Creates a codec with limits for heads and bodies.
    pub fn new(names: h1::Names, head_limit: rate::Bytes, body_limit: rate::Bytes) -> Self {
        Self {
            names,
            head_limit,
            body_limit,
            budget: memory::Budget::unlimited(),
            scan: scan::Scan::new(scan::Kind::Head),
            reading: None,
        }
    }

    /// Sets the budget that bodies take up memory from.
    pub fn with_budget(self, budget: memory::Budget) -> Self {
        Self { budget, ..self }
    }

    /// Sets the limits for requests whose head hasn't been read yet.
    pub fn limit(&mut self, head: rate::Bytes, body: rate::Bytes) {
        self.head_limit = head;
        self.body_limit = body;
    }

    /// Drops the request that is being read.
    pub fn discard(&mut self) {
        self.reading = None;
    }

    /// Returns whether a head was read and its body isn't complete.
    pub fn in_body(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns the request whose body is being read.
    pub fn reading(&self) -> Option<(&Request, &h1::Body)> {
        let reading = self.reading.as_ref();
        reading.map(|reading| (&reading.request, &reading.body))
    }

    /// Returns whether the caller waits for `100 Continue`. True at most once per
    /// request.
    pub fn expects_continue(&mut self) -> bool {
        let reading = self.reading.as_mut();
        reading.is_some_and(|reading| std::mem::take(&mut reading.expects_continue))
    }

    /// Consumes a head from `source`; `None` if it isn't complete yet.
    fn read_head(&mut self, source: &mut bytes::BytesMut) -> Result<Option<Reading>, h1::Error> {
        let Some(attempt) = self.scan.next(source, self.head_limit)? else {
            return Ok(None);
        };
        let mut headers = attempt.headers();
        let mut parsed = httparse::Request::new(&mut headers);
        let used = match parsed.parse(source) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if !attempt.complete => return Ok(None),
            _ => return Err(h1::Error::Malformed("invalid request head")),
        };
        let reading = self.build(&parsed)?;
        bytes::Buf::advance(source, used);
        self.scan = scan::Scan::new(scan::Kind::Head);
        Ok(Some(reading))
    }

    /// Creates a request from its parsed head.
    fn build(&self, parsed: &httparse::Request<'_, '_>) -> Result<Reading, h1::Error> {
        let framing = head::Framing::parse(parsed.headers)?;
        let method = parsed.method.unwrap_or_default();
        let path = parsed.path.unwrap_or_default();
        let mut request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            host: String::new(),
            id: String::new(),
            time_left: None,
            head: Vec::with_capacity(256),
            body: bytes::Bytes::new(),
            has_body: framing.chunked || framing.length.is_some(),
            close: framing.close || (parsed.version == Some(0) && !framing.keep_alive),
        };
        request.head.extend_from_slice(method.as_bytes());
        request.head.push(b' ');
        request.head.extend_from_slice(path.as_bytes());
        request.head.extend_from_slice(b" HTTP/1.1\r\n");
        let mut expects_continue = false;
        for header in parsed.headers.iter() {
            expects_continue |= self.add_header(&mut request, header, &framing)?;
        }
        let body = match framing.length {
            Some(length) => h1::Body::sized(length, self.body_limit, &self.budget)?,
            None if framing.chunked => {
                h1::Body::chunked(self.body_limit, self.head_limit, &self.budget)
            }
            None => h1::Body::sized(0, self.body_limit, &self.budget)?,
        };
        Ok(Reading {
            request,
            body,
            expects_continue,
        })
    }

    /// Adds one header to a request. Returns whether it says that the caller waits for
    /// `100 Continue`.
    fn add_header(
        &self,
        request: &mut Request,
        header: &httparse::Header<'_>,
        framing: &head::Framing,
    ) -> Result<bool, h1::Error> {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("expect") {
            return Ok(header.value.eq_ignore_ascii_case(b"100-continue"));
        }
        if is(self.names.time_left) {
            let timeout_ms = head::text(header.value)?.trim().parse().ok();
            request.time_left = timeout_ms.map(time::Duration::from_millis);
            return Ok(false);
        }
        if is(self.names.only_upstream) || !framing.is_forwarded(header.name) {
            return Ok(false);
        }
        if is("host") {
            if !request.host.is_empty() {
                return Err(h1::Error::Malformed("more than one host"));
            }
            request.host = head::text(header.value)?.trim().to_owned();
        } else if is(self.names.request_id) {
            if !request.id.is_empty() {
                return Err(h1::Error::Malformed("more than one request id"));
            }
            request.id = head::text(header.value)?.to_owned();
        }
        head::write_header(&mut request.head, header.name, header.value);
        Ok(false)
    }
}

impl codec::Decoder for RequestCodec {
    type Item = Request;
    type Error = h1::Error;

    fn decode(&mut self, source: &mut bytes::BytesMut) -> Result<Option<Request>, h1::Error> {
        if self.reading.is_none() {
            self.reading = self.read_head(source)?;
        }
        let Some(reading) = self.reading.as_mut() else {
            return Ok(None);
        };
        let Some(body) = reading.body.read(source)? else {
            return Ok(None);
        };
        let whole = self.reading.take().map(|reading| Request {
            body,
            ..reading.request
        });
        Ok(whole)
    }
}
