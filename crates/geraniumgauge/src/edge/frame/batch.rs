//! What a requester asks of a relay.

use std::net;

use crate::ids;
use crate::registry;

/// Asks a relay to make calls for one request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct Batch {
    /// The request id that the caller set.
    #[prost(string, tag = "1")]
    pub(in crate::edge) request_id: String,
    /// The request line and headers, each with its line ending.
    #[prost(bytes = "bytes", tag = "2")]
    pub(in crate::edge) head: bytes::Bytes,
    /// The request body.
    #[prost(bytes = "bytes", tag = "3")]
    pub(in crate::edge) body: bytes::Bytes,
    /// Whether the request has a body, which may be empty.
    #[prost(bool, tag = "4")]
    pub(in crate::edge) has_body: bool,
    /// Time left until the request's deadline, in microseconds.
    #[prost(uint64, tag = "5")]
    pub(in crate::edge) timeout_us: u64,
    /// Delay after which the relay merges and reports the replies it has, in
    /// microseconds. With 0 it reports each reply at once.
    #[prost(uint64, tag = "6")]
    pub(in crate::edge) merge_after_us: u64,
    /// Maximum number of records in the merged replies.
    #[prost(uint32, tag = "7")]
    pub(in crate::edge) top_k: u32,
    /// The calls to make.
    #[prost(message, repeated, tag = "8")]
    pub(in crate::edge) calls: Vec<Call>,
    /// Whether each call is the first one for its part. The relay's allowance of
    /// extra calls grows with the number of first calls that it makes.
    #[prost(bool, tag = "9")]
    pub(in crate::edge) first: bool,
    /// Whether the relay pays for the calls from its own allowance.
    #[prost(bool, tag = "10")]
    pub(in crate::edge) charge_relay: bool,
    /// Typical duration of such calls, in microseconds.
    #[prost(uint64, tag = "11")]
    pub(in crate::edge) typical_us: u64,
    /// Whether the relay makes the calls even to upstreams it advises against.
    #[prost(bool, tag = "12")]
    pub(in crate::edge) mandatory: bool,
    /// Whether the relay reports replies whole in place of merging their records.
    #[prost(bool, tag = "13")]
    pub(in crate::edge) whole_replies: bool,
}

/// One call to make.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct Call {
    /// The requester's id of the call.
    #[prost(uint64, tag = "1")]
    pub(in crate::edge) id: u64,
    /// The id of the upstream to call.
    #[prost(string, tag = "2")]
    pub(in crate::edge) upstream: String,
    /// The upstream's address, sent only to a relay that recently lacked one: the
    /// octets of the IP address, then the port in big-endian order. Empty
    /// otherwise, to keep frames within the small TCP windows between VMs.
    #[prost(bytes = "vec", tag = "3")]
    pub(in crate::edge) address: Vec<u8>,
    /// The ids of the upstreams that have another call for the same part and haven't
    /// answered it. Set only if the relay pays for the call.
    #[prost(string, repeated, tag = "4")]
    pub(in crate::edge) earlier: Vec<String>,
    /// The upstream's service, sent with the address.
    #[prost(string, tag = "5")]
    pub(in crate::edge) service: String,
    /// The store's revision of the upstream's registration, sent with the address.
    #[prost(uint64, tag = "6")]
    pub(in crate::edge) revision: u64,
}

impl Call {
    /// Creates a call to the upstream of `entry`, optionally with its description for
    /// a relay that doesn't know it.
    pub(in crate::edge) fn new(id: ids::Attempt, entry: &registry::Entry, described: bool) -> Self {
        let mut address = Vec::new();
        let mut service = String::new();
        let mut revision = 0;
        if described {
            service = entry.service.to_string();
            revision = entry.revision.0;
            match entry.address.ip() {
                net::IpAddr::V4(ip) => address.extend_from_slice(&ip.octets()),
                net::IpAddr::V6(ip) => address.extend_from_slice(&ip.octets()),
            }
            address.extend_from_slice(&entry.address.port().to_be_bytes());
        }
        Self {
            id: id.0,
            upstream: entry.id.to_string(),
            address,
            earlier: Vec::new(),
            service,
            revision,
        }
    }

    /// Returns the upstream's description; `None` if absent or malformed.
    pub(in crate::edge) fn described(&self) -> Option<registry::Foreign> {
        let (ip, port) = self.address.split_last_chunk::<2>()?;
        let ip = match ip.len() {
            4 => net::IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
            _ => net::IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        };
        Some(registry::Foreign {
            address: net::SocketAddr::new(ip, u16::from_be_bytes(*port)),
            service: self.service.parse().ok()?,
            revision: ids::Revision(self.revision),
        })
    }
}

/// Notifies a relay that the results of calls are no longer wanted.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct Abandon {
    /// The requester's ids of the calls.
    #[prost(uint64, repeated, tag = "1")]
    pub(in crate::edge) calls: Vec<u64>,
    /// Those of them for which the requester's budget is charged until the relay reports
    /// that they have arrived or weren't made.
    #[prost(uint64, repeated, tag = "2")]
    pub(in crate::edge) charged: Vec<u64>,
}
