//! The messages of the mesh. Prost derives the encoding; no generator is used.
//!
//! Times on the wire are always time left, in microseconds, never clock times.

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

/// Shard calls of one query to upstreams of one home.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Batch {
    /// The caller's request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The service asked.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The upstream request's body, the same for each shard.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// [`crate::ids::Fingerprint`] of the query.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
    /// Time left until the answer is due, in microseconds.
    #[prost(uint64, tag = "5")]
    pub time_left_us: u64,
    /// The pinned index version; none where the upstream is to pick its newest.
    #[prost(uint64, optional, tag = "6")]
    pub index_version: Option<u64>,
    /// The pinned layout's version.
    #[prost(uint64, tag = "7")]
    pub layout: u64,
    /// The calls.
    #[prost(message, repeated, tag = "8")]
    pub calls: Vec<Call>,
}

/// One shard call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Call {
    /// The entry's [`crate::ids::Attempt`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The upstream to call.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The shard to search there.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// Why the call is made.
    #[prost(enumeration = "Kind", tag = "4")]
    pub kind: i32,
}

/// Why a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
pub enum Kind {
    /// The first for its shard and pin.
    First = 0,
    /// A second one beside a slow one, paid from the hedge budget.
    Hedge = 1,
    /// One after a failed one, paid from the retry budget.
    Retry = 2,
    /// The first shard of a wide fan-out, ahead of the rest.
    Canary = 3,
    /// A suspect request's lone trial: it runs alone on its upstream.
    Trial = 4,
}

/// What became of shard calls.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Replies {
    /// One for each call; calls of a batch may be answered in several frames.
    #[prost(message, repeated, tag = "1")]
    pub replies: Vec<Reply>,
}

/// What became of one shard call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Reply {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The upstream that was called.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The shard, as the upstream echoed it.
    #[prost(string, tag = "3")]
    pub shard: String,
    /// What happened.
    #[prost(enumeration = "Outcome", tag = "4")]
    pub outcome: i32,
    /// Index version of the hits, as the upstream echoed it.
    #[prost(uint64, tag = "5")]
    pub index_version: u64,
    /// Layout of the hits, as the upstream echoed it.
    #[prost(uint64, tag = "6")]
    pub layout: u64,
    /// Oldest index version the upstream still offers; 0 where not known.
    #[prost(uint64, tag = "7")]
    pub oldest: u64,
    /// Newest index version the upstream offers; 0 where not known.
    #[prost(uint64, tag = "8")]
    pub newest: u64,
    /// The upstream's reply body, JSON `{"hits": […]}`, where the outcome is [`Outcome::Hits`].
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// Time the call waited at the home, in microseconds.
    #[prost(uint64, tag = "10")]
    pub queued_us: u64,
    /// Time the upstream took, in microseconds.
    #[prost(uint64, tag = "11")]
    pub upstream_us: u64,
    /// How long until another try may fit, in microseconds; 0 where not known.
    #[prost(uint64, tag = "12")]
    pub retry_after_us: u64,
}

/// What became of a call at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
pub enum Outcome {
    /// Unset or of a newer kind: treated as [`Outcome::Lost`].
    Unknown = 0,
    /// It ran, and the hits are here.
    Hits = 1,
    /// Not run: the home's queue would not reach it in time.
    Late = 2,
    /// Not run: the upstream sheds load.
    Shed = 3,
    /// Not run: the upstream is leaving.
    Draining = 4,
    /// Not run: no connection could be had.
    Unreachable = 5,
    /// Not run: the upstream doesn't offer this index version or layout.
    Version = 6,
    /// Not run: this VM is no home of the upstream; look at the view again.
    NotHome = 7,
    /// The connection was lost while the call ran: it may have crashed the upstream.
    Lost = 8,
    /// The connection stayed silent; whether the call ran isn't known.
    Silent = 9,
    /// A reply that answers something else; it was dropped and its connection closed.
    Crossed = 10,
    /// The upstream answered with an error of its own.
    Failed = 11,
    /// The deadline passed while the call ran; it was cancelled.
    Deadline = 12,
    /// It was cancelled on request.
    Cancelled = 13,
    /// Not run: this VM is stopping.
    Stopping = 14,
}

impl Outcome {
    /// Whether no upstream has run any of the call.
    pub fn not_run(self) -> bool {
        use Outcome::{Draining, Late, NotHome, Shed, Stopping, Unreachable, Version};
        matches!(
            self,
            Late | Shed | Draining | Unreachable | Version | NotHome | Stopping
        )
    }
}

/// Attempts that are no longer wanted.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Cancel {
    /// The attempts, as their entry numbered them.
    #[prost(uint64, repeated, tag = "1")]
    pub attempts: Vec<u64>,
}

/// A record to be sent to an upstream once, by the VM that created its claim.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Record {
    /// The claimant's [`crate::ids::Attempt`].
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The caller's request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The upstream to send to.
    #[prost(string, tag = "4")]
    pub upstream: String,
    /// The shard that takes the record.
    #[prost(string, tag = "5")]
    pub shard: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "6")]
    pub key: String,
    /// The record, as JSON.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
    /// [`crate::ids::Fingerprint`] of the record.
    #[prost(fixed64, tag = "8")]
    pub fingerprint: u64,
    /// Time left, in microseconds.
    #[prost(uint64, tag = "9")]
    pub time_left_us: u64,
    /// The layout by which the shard was chosen.
    #[prost(uint64, tag = "10")]
    pub layout: u64,
    /// A suspect request's lone trial: it runs alone on its upstream.
    #[prost(bool, tag = "11")]
    pub trial: bool,
}

/// What became of a record.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RecordReply {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// What happened; [`Outcome::Hits`] where it ran and `body` holds the result.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// The upstream's result, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A registration, handed to the VM that claims for its key.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Register {
    /// The entry's number for this registration.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The caller's request.
    #[prost(string, tag = "2")]
    pub request: String,
    /// The service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "4")]
    pub key: String,
    /// The caller's body, as JSON.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Time left, in microseconds.
    #[prost(uint64, tag = "6")]
    pub time_left_us: u64,
}

/// What to tell the caller of a registration.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Registered {
    /// The attempt that this answers.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Whether it is done and `body` holds its result.
    #[prost(bool, tag = "2")]
    pub done: bool,
    /// The result as JSON, where done.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// [`crate::query::Code`] of a refusal, as text.
    #[prost(string, tag = "4")]
    pub code: String,
    /// What the caller reads of a refusal.
    #[prost(string, tag = "5")]
    pub message: String,
    /// Whether a refused registration is known not to have run.
    #[prost(bool, tag = "6")]
    pub not_run: bool,
    /// When to come back, in milliseconds; 0 where that makes no sense.
    #[prost(uint64, tag = "7")]
    pub retry_after_ms: u64,
}

/// Asks a peer for what it holds of some services, or compares what both hold.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Pull {
    /// The services wanted; where empty, `digest` is compared.
    #[prost(string, repeated, tag = "1")]
    pub services: Vec<String>,
    /// Digest of what the sender applies; 0 where it doesn't say.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// What the sender applies: of the services wanted, or as its report to the
    /// keeper, all or what changed.
    #[prost(message, repeated, tag = "3")]
    pub have: Vec<Have>,
    /// The sender started while the store was out: what it applies was told by
    /// other members and isn't confirmed by the store yet.
    #[prost(bool, tag = "4")]
    pub unconfirmed: bool,
}

/// Which generation and layout of a service a VM applies.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct Have {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Generation of the document; 0 where there is none.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Version of the layout; 0 where there is none.
    #[prost(uint64, tag = "3")]
    pub layout: u64,
}

/// What a peer holds of some services.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Pulled {
    /// One for each service that was wanted.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Digest of what the sender applies; 0 where nothing was compared.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// What the sender applies, where the digests differ.
    #[prost(message, repeated, tag = "3")]
    pub have: Vec<Have>,
    /// The sender, as keeper, wants a full report.
    #[prost(bool, tag = "4")]
    pub tell: bool,
    /// The sender is ready: what it applies counts for VMs that join.
    #[prost(bool, tag = "5")]
    pub settled: bool,
}

/// An accepted document and a layout.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Entry {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Generation of the document; 0 where there is none.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The accepted document, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub document: Bytes,
    /// The layout, as JSON; empty where there is none.
    #[prost(bytes = "bytes", tag = "4")]
    pub layout: Bytes,
    /// Version of the store's object that held the document; 0 where not known.
    #[prost(uint64, tag = "5")]
    pub document_object: u64,
    /// Version of the layout; 0 where there is none.
    #[prost(uint64, tag = "6")]
    pub layout_version: u64,
    /// Version of the store's object that held the layout; 0 where not known.
    #[prost(uint64, tag = "7")]
    pub layout_object: u64,
}

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
