//! HTTP/1.1 as frames: callers' requests in, upstreams' replies back.
//!
//! Heads are read by `httparse`; this module adds what a gateway must decide
//! itself: where a body ends, which headers concern one connection only, and
//! what makes a message unsafe to pass on. Messages are held whole, so an
//! upstream's reply that breaks off never looks complete to a caller.

mod body;
mod exchange;
mod head;
mod reply;
mod request;

pub use body::Body;
pub use exchange::Exchange;
pub use exchange::Failure;
pub use reply::Reply;
pub use reply::ReplyCodec;
pub use request::Request;
pub use request::RequestCodec;

use crate::rate;

/// Headers that a message may have. More than any client sends; a head with
/// more is refused as too large.
pub const MAX_HEADERS: usize = 64;

/// Which header carries what. All in lower case.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// The caller's id of a request, echoed by upstreams.
    pub request_id: &'static str,
    /// How long the sender of a request waits, in milliseconds.
    pub time_left: &'static str,
    /// The id of the only upstream that may run a call.
    pub only_upstream: &'static str,
    /// An upstream's signature of its reply.
    pub signature: &'static str,
    /// Signatures of the parts that an answer was merged from.
    pub signatures: &'static str,
    /// How many shards an answer lacks.
    pub missing: &'static str,
    /// Present where an upstream states that it didn't run a call.
    pub not_run: &'static str,
}

/// Why bytes are no message that may be used.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The head is larger than allowed, or has too many headers.
    #[display("the head is larger than {_0}")]
    #[error(ignore)]
    HeadTooLarge(rate::Bytes),
    /// The body is larger than allowed.
    #[display("the body is larger than {_0}")]
    #[error(ignore)]
    BodyTooLarge(rate::Bytes),
    /// Not HTTP/1.1, or a message whose end two readers could see differently.
    #[display("malformed message: {_0}")]
    #[error(ignore)]
    Malformed(&'static str),
    /// A transfer coding other than chunked.
    #[display("transfer coding isn't supported")]
    Coding,
    /// The connection failed.
    #[display("connection: {_0}")]
    Io(std::io::Error),
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

#[cfg(test)]
mod tests;
