//! The messages of the mesh. Prost derives the encoding; no generator is used.
//!
//! Times on the wire are always time left, in microseconds, never clock times.

mod document;
mod record;
mod search;

pub use document::Entry;
pub use document::Have;
pub use document::Pull;
pub use document::Pulled;
pub use record::Record;
pub use record::RecordReply;
pub use record::Register;
pub use record::Registered;
pub use search::Batch;
pub use search::Call;
pub use search::Cancel;
pub use search::Kind;
pub use search::Outcome;
pub use search::Replies;
pub use search::Reply;

use bytes::Bytes;

/// One frame on a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Frame {
    /// What it carries; a frame of a newer kind decodes as none and is skipped.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

/// The kinds of frame.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Body {
    /// First frame on a link, in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Asks for [`Body::BeatReply`]; sent where a link has been quiet.
    #[prost(uint64, tag = "2")]
    Beat(u64),
    /// Echoes the number of a [`Body::Beat`].
    #[prost(uint64, tag = "3")]
    BeatReply(u64),
    /// Entry to home: shard calls of one query.
    #[prost(message, tag = "4")]
    Batch(Batch),
    /// Home to entry: what became of shard calls.
    #[prost(message, tag = "5")]
    Replies(Replies),
    /// Entry to home: these attempts are no longer wanted.
    #[prost(message, tag = "6")]
    Cancel(Cancel),
    /// Claimant to home: send this record to the upstream, once.
    #[prost(message, tag = "7")]
    Record(Record),
    /// Home to claimant: what became of the record.
    #[prost(message, tag = "8")]
    RecordReply(RecordReply),
    /// Entry to the key's claimant: run this registration.
    #[prost(message, tag = "9")]
    Register(Register),
    /// Claimant to entry: what to tell the caller.
    #[prost(message, tag = "10")]
    Registered(Registered),
    /// Asks a peer for documents and layouts.
    #[prost(message, tag = "11")]
    Pull(Pull),
    /// Documents and layouts.
    #[prost(message, tag = "12")]
    Pulled(Pulled),
    /// Last frame on a link whose opener closes it in order; tells an orderly
    /// close from a process that died, which looks the same to a socket.
    #[prost(message, tag = "13")]
    Bye(Bye),
    /// To every VM: a request that may crash upstreams.
    #[prost(message, tag = "14")]
    Mark(Mark),
}

/// Who opens a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Hello {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Which start of it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of this protocol.
    #[prost(uint32, tag = "3")]
    pub protocol: u32,
    /// Where the sender's mesh listens, as `ip:port`; for replies to a VM that
    /// the receiver's view doesn't hold yet.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// Ends a link in order: every frame before it has been sent.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Bye {}

/// A request that may crash upstreams, told directly; the same as its rumour.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Mark {
    /// As [`crate::member::Rumour::key`].
    #[prost(string, tag = "1")]
    pub key: String,
    /// As [`crate::member::Rumour::version`].
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// As [`crate::member::Rumour::body`].
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// The receiver passes it on to this many members from itself on, by the
    /// view's order; 0 where it keeps it.
    #[prost(uint32, tag = "4")]
    pub relay: u32,
}
