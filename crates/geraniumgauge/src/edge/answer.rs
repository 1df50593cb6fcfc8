//! Answers to callers, as bytes.

use std::io::Write as _;
use std::time;

use crate::forward;
use crate::h1;

/// Pause told to callers while this VM knows no configuration yet. Another VM
/// may know one.
pub(super) const STARTING_PAUSE: time::Duration = time::Duration::from_millis(100);

/// An answer, ready to be written.
#[derive(Debug)]
pub(super) struct Answer {
    /// Its bytes.
    pub(super) bytes: Vec<u8>,
    /// Whether the connection ends after it.
    pub(super) close: bool,
    /// How the request ended, for logs and metrics.
    pub(super) outcome: &'static str,
    /// Its status.
    pub(super) status: u16,
}

/// What an answer says beside its outcome.
#[derive(Debug, Clone, Copy)]
pub(super) struct Frame<'r> {
    pub(super) names: &'r h1::Names,
    pub(super) request: &'r str,
    pub(super) head_only: bool,
    pub(super) close: bool,
}

impl Frame<'_> {
    /// The answer that tells `outcome`.
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

    /// An upstream's own reply, unchanged.
    fn reply(self, reply: &h1::Reply) -> Answer {
        let mut bytes = start(reply.status, reply.headers.len() + reply.body.len());
        bytes.extend_from_slice(&reply.headers);
        self.end(bytes, reply.status, &reply.body, "reply")
    }

    fn merged(self, merged: &forward::Merged) -> Answer {
        let signatures = merged.signatures.join(", ");
        let mut bytes = start(200, signatures.len() + merged.records.len());
        self.id(&mut bytes);
        // Writing to memory can't fail.
        let _ = write!(
            bytes,
            "{}: {signatures}\r\n{}: {}\r\n",
            self.names.signatures, self.names.missing, merged.missing
        );
        let outcome = if merged.missing == 0 {
            "complete"
        } else {
            "partial"
        };
        self.end(bytes, 200, &merged.records, outcome)
    }

    /// A refusal of something that wasn't run and never will be.
    pub(super) fn not_run(self, status: u16, retry_after: time::Duration) -> Answer {
        let mut bytes = start(status, 0);
        self.id(&mut bytes);
        let _ = write!(bytes, "Retry-After: {:.3}\r\n", retry_after.as_secs_f64());
        self.end(bytes, status, b"", "not_run")
    }

    /// An answer that is a status alone.
    pub(super) fn plain(self, status: u16, outcome: &'static str) -> Answer {
        let mut bytes = start(status, 0);
        self.id(&mut bytes);
        self.end(bytes, status, b"", outcome)
    }

    fn id(self, bytes: &mut Vec<u8>) {
        if !self.request.is_empty() {
            let _ = write!(bytes, "{}: {}\r\n", self.names.request_id, self.request);
        }
    }

    fn end(self, mut bytes: Vec<u8>, status: u16, body: &[u8], outcome: &'static str) -> Answer {
        let bodiless = status < 200 || matches!(status, 204 | 304);
        if !bodiless {
            let _ = write!(bytes, "Content-Length: {}\r\n", body.len());
        }
        if self.close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if !bodiless && !self.head_only {
            bytes.extend_from_slice(body);
        }
        Answer {
            bytes,
            close: self.close,
            outcome,
            status,
        }
    }
}

fn start(status: u16, more: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(160 + more);
    let _ = write!(bytes, "HTTP/1.1 {status} {}\r\n", phrase(status));
    bytes
}

fn phrase(status: u16) -> &'static str {
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
