//! Messages about documents and layouts, between VMs and to the keeper.

use bytes::Bytes;

/// Asks a peer for the documents and layouts of some services, or compares what the
/// two VMs apply.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Pull {
    /// Services to send; if empty, `digest` is compared instead.
    #[prost(string, repeated, tag = "1")]
    pub services: Vec<String>,
    /// Digest of what the sender applies; 0 if not given.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Generations and layouts that the sender applies: of the requested services,
    /// or, in its report to the keeper, all or the changed ones.
    #[prost(message, repeated, tag = "3")]
    pub have: Vec<AppliedVersions>,
    /// Set if the sender started while the store was unavailable: what it applies
    /// came from other members and is not confirmed by the store yet.
    #[prost(bool, tag = "4")]
    pub unconfirmed: bool,
}

/// The generation and layout of a service that a VM applies.
#[derive(Clone, PartialEq, Eq)]
#[derive(prost::Message)]
pub struct AppliedVersions {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Generation of the document; 0 if there is none.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Version of the layout; 0 if there is none.
    #[prost(uint64, tag = "3")]
    pub layout: u64,
}

/// Answer to a [`Pull`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Pulled {
    /// One entry for each requested service.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    /// Digest of what the sender applies; 0 if nothing was compared.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Generations and layouts that the sender applies, if the digests differ.
    #[prost(message, repeated, tag = "3")]
    pub have: Vec<AppliedVersions>,
    /// Set if the sender is the keeper and requests a full report.
    #[prost(bool, tag = "4")]
    pub report_requested: bool,
    /// Set if the sender is ready, so that a joining VM may rely on this answer.
    #[prost(bool, tag = "5")]
    pub ready: bool,
}

/// The accepted document and the layout of a service.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Entry {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Generation of the document; 0 if there is none.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The accepted document, as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub document: Bytes,
    /// The layout, as JSON; empty if there is none.
    #[prost(bytes = "bytes", tag = "4")]
    pub layout: Bytes,
    /// Version of the store object that held the document; 0 if unknown.
    #[prost(uint64, tag = "5")]
    pub document_object: u64,
    /// Version of the layout; 0 if there is none.
    #[prost(uint64, tag = "6")]
    pub layout_version: u64,
    /// Version of the store object that held the layout; 0 if unknown.
    #[prost(uint64, tag = "7")]
    pub layout_object: u64,
}
