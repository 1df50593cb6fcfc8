//! HTTP/1.1 messages: decodes callers' requests and upstreams' replies.
//!
//! `httparse` parses the heads. This module adds what a gateway must decide itself:
//! where a body ends, which headers are hop-by-hop, and which messages are unsafe to
//! pass on. Messages are buffered whole, so that an upstream's truncated reply never
//! looks complete to a caller.

mod body;
mod client;
mod head;
mod reply;
mod request;
mod scan;

pub use body::Body;
pub use client::Client;
pub use client::Failure;
pub use reply::Reply;
pub use reply::ReplyCodec;
pub use request::Request;
pub use request::RequestCodec;

use crate::memory;
use crate::rate;

/// Names of the headers with a meaning to the gateway, in lower case.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// The request id that the caller sets and upstreams echo.
    pub request_id: &'static str,
    /// How long the sender of a request waits for the reply, in milliseconds.
    pub time_left: &'static str,
    /// The id of the only upstream that may run the call.
    pub only_upstream: &'static str,
    /// The id of the upstream that answers a health check.
    pub upstream_id: &'static str,
    /// The signature that an upstream puts on a reply.
    pub signature: &'static str,
    /// The signatures of the replies from which an answer was merged.
    pub signatures: &'static str,
    /// The number of shards missing from an answer.
    pub missing: &'static str,
    /// Present in a reply if the upstream states that it didn't run the call.
    pub not_run: &'static str,
}

/// An error in reading a message.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The head, the trailers or the line of a chunk's size are larger than allowed.
    #[display("the head is larger than {_0}")]
    #[error(ignore)]
    HeadTooLarge(rate::Bytes),
    /// The body is larger than allowed.
    #[display("the body is larger than {_0}")]
    #[error(ignore)]
    BodyTooLarge(rate::Bytes),
    /// The message isn't valid HTTP/1.1, or its end is ambiguous.
    #[display("malformed message: {_0}")]
    #[error(ignore)]
    Malformed(&'static str),
    /// The message has a transfer coding other than chunked.
    #[display("unsupported transfer coding")]
    UnsupportedTransferCoding,
    /// There is no memory left for the message. Decoding may be tried again.
    #[display("{_0}")]
    NoMemory(memory::Exhausted),
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(std::io::Error),
}

impl From<memory::Exhausted> for Error {
    fn from(exhausted: memory::Exhausted) -> Self {
        Self::NoMemory(exhausted)
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

#[cfg(test)]
mod tests;
