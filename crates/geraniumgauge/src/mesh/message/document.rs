//! Documents and layouts, between VMs and to the keeper.

use bytes::Bytes;

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
