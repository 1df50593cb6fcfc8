//! Encodes answers to callers.

use std::io::Write as _;
use std::time;

use crate::forward;
use crate::h1;

/// `Retry-After` sent to callers while this VM has no configuration. Another VM may
/// have one.
pub(super) const STARTING_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Size up to which a body is written together with the head.
const SMALL_BODY: usize = 16 << 10;

/// An encoded answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// The encoded status line and headers, and a small body.
    pub(super) head: Vec<u8>,
    /// A large body, which isn't copied behind the head.
    pub(super) body: bytes::Bytes,
    /// Whether the connection is closed after the answer.
    pub(super) close: bool,
    /// The outcome as named in logs and metrics.
    pub(super) outcome: &'static str,
    /// The HTTP status.
    pub(super) status: u16,
}

/// Builds the answer to one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Builder<'r> {
    pub(super) names: &'r h1::Names,
    pub(super) request_id: &'r str,
    pub(super) head_only: bool,
    pub(super) close: bool,
}

impl Builder<'_> {
    /// Encodes the outcome of a request.
    pub(super) fn outcome(self, outcome: &forward::Outcome) -> Answer {
        match outcome {
            forward::Outcome::Reply(reply) => self.reply(reply),
            forward::Outcome::Merged(merged) => self.merged(merged),
            forward::Outcome::NotRun { retry_after, .. } => self.not_run(503, *retry_after),
            forward::Outcome::Unknown {
                reason: forward::Reason::Timeout,
            } => self.plain(504, "timeout"),
            forward::Outcome::Unknown { .. } => self.plain(502, "failed"),
        }
    }

    /// Encodes an upstream's reply unchanged.
    fn reply(self, reply: &h1::Reply) -> Answer {
        let mut head = status_line(
            reply.status,
            reply.headers.len() + reply.body.len().min(SMALL_BODY),
        );
        head.extend_from_slice(&reply.headers);
        self.finish(head, reply.status, reply.body.clone(), "reply")
    }

    /// Encodes an answer merged from the replies of shards.
    fn merged(self, merged: &forward::Merged) -> Answer {
        let signatures = merged.signatures.join(", ");
        let mut head = status_line(200, signatures.len() + merged.records.len());
        self.add_request_id(&mut head);
        // Writing to memory can't fail.
        let _ = write!(
            head,
            "{}: {signatures}\r\n{}: {}\r\n",
            self.names.signatures, self.names.missing, merged.missing
        );
        let outcome = if merged.missing == 0 {
            "complete"
        } else {
            "partial"
        };
        let records = bytes::Bytes::copy_from_slice(&merged.records);
        self.finish(head, 200, records, outcome)
    }

    /// Encodes the refusal of a request that wasn't run and never will be.
    pub(super) fn not_run(self, status: u16, retry_after: time::Duration) -> Answer {
        let mut head = status_line(status, 0);
        self.add_request_id(&mut head);
        let _ = write!(head, "Retry-After: {:.3}\r\n", retry_after.as_secs_f64());
        self.finish(head, status, bytes::Bytes::new(), "not_run")
    }

    /// Encodes an answer with only a status.
    pub(super) fn plain(self, status: u16, outcome: &'static str) -> Answer {
        let mut head = status_line(status, 0);
        self.add_request_id(&mut head);
        self.finish(head, status, bytes::Bytes::new(), outcome)
    }

    fn add_request_id(self, bytes: &mut Vec<u8>) {
        if !self.request_id.is_empty() {
            let _ = write!(bytes, "{}: {}\r\n", self.names.request_id, self.request_id);
        }
    }

    /// Adds the remaining headers and the body.
    fn finish(
        self,
        mut head: Vec<u8>,
        status: u16,
        mut body: bytes::Bytes,
        outcome: &'static str,
    ) -> Answer {
        let bodiless = status < 200 || matches!(status, 204 | 304);
        if !bodiless {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        if self.close {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        if bodiless || self.head_only {
            body.clear();
        }
        if body.len() <= SMALL_BODY {
            head.extend_from_slice(&body);
            body.clear();
        }
        Answer {
            head,
            body,
            close: self.close,
            outcome,
            status,
        }
    }
}

/// Starts an answer with its status line and reserves `extra_capacity` bytes.
fn status_line(status: u16, extra_capacity: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(160 + extra_capacity);
    let _ = write!(bytes, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    bytes
}

/// Returns the reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
