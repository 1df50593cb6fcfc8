//! The messages of the mesh. Prost derives the encoding from the structs; there are
//! no `.proto` files.
//!
//! Deadlines are sent as the time left in microseconds, never as clock times.

mod document;
mod health;
mod record;
mod search;

pub use document::AppliedVersions;
pub use document::Entry;
pub use document::Pull;
pub use document::Pulled;
pub use health::Answered;
pub use health::Inquiry;
pub use health::Report;
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

/// A frame on a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Frame {
    /// The message. `None` for a kind of a newer version, which is skipped.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    pub body: Option<Body>,
}

/// The kinds of message.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Body {
    /// First frame on a link, in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Heartbeat: asks for a [`Body::HeartbeatReply`] on a link that has carried frames.
    #[prost(uint64, tag = "2")]
    Heartbeat(u64),
    /// Echoes the number of a [`Body::Heartbeat`].
    #[prost(uint64, tag = "3")]
    HeartbeatReply(u64),
    /// Coordinator to home: shard calls of one query.
    #[prost(message, tag = "4")]
    Batch(Batch),
    /// Home to coordinator: outcomes of shard calls.
    #[prost(message, tag = "5")]
    Replies(Replies),
    /// Coordinator to home: cancels attempts.
    #[prost(message, tag = "6")]
    Cancel(Cancel),
    /// Claimant to home: a record to send to its upstream once.
    #[prost(message, tag = "7")]
    Record(Record),
    /// Home to claimant: outcome of a record.
    #[prost(message, tag = "8")]
    RecordReply(RecordReply),
    /// Coordinator to the claimant of the key: a registration to run.
    #[prost(message, tag = "9")]
    Register(Register),
    /// Claimant to coordinator: the answer to the caller.
    #[prost(message, tag = "10")]
    Registered(Registered),
    /// Asks a peer for documents and layouts.
    #[prost(message, tag = "11")]
    Pull(Pull),
    /// Answers a [`Body::Pull`] with documents and layouts.
    #[prost(message, tag = "12")]
    Pulled(Pulled),
    /// Last frame on a link that its opener closes. Distinguishes a close from the
    /// death of the process, which look the same to a socket.
    #[prost(message, tag = "13")]
    Bye(Bye),
    /// To every VM: a request that is suspected of crashing upstreams.
    #[prost(message, tag = "14")]
    Mark(Mark),
    /// Coordinator to home: asks when upstreams last answered.
    #[prost(message, tag = "15")]
    Inquiry(Inquiry),
    /// Home to coordinator: answers a [`Body::Inquiry`].
    #[prost(message, tag = "16")]
    Report(Report),
}

/// Identifies the sender at the start of a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Hello {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Protocol version of the sender; see [`crate::mesh::PROTOCOL`].
    #[prost(uint32, tag = "3")]
    pub protocol: u32,
    /// Address of the sender's mesh, as `ip:port`, for replies while the receiver's
    /// view doesn't contain the sender yet.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// Announces the close of a link, after all frames have been sent.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Bye {}

/// A request that is suspected of crashing upstreams. Carries the same content as
/// its gossip update, but is sent directly.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Mark {
    /// See [`crate::member::Update::key`].
    #[prost(string, tag = "1")]
    pub key: String,
    /// See [`crate::member::Update::version`].
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// See [`crate::member::Update::body`].
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Size of the group of consecutive members in the view, starting with the
    /// receiver, to which the receiver forwards the mark; 0 if it doesn't forward.
    #[prost(uint32, tag = "4")]
    pub relay_group_size: u32,
}
