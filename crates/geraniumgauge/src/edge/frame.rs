//! Messages between a VM and the relay that makes calls for it.
//!
//! The requester sends a [`Batch`] of calls, each with the upstream it has
//! chosen, and the relay sends back [`Report`]s of how they ended. Replies that
//! arrive before the batch's merge time are merged into one report; each later
//! one gets a report of its own. The requester alone chooses upstreams, and
//! decides when to hedge and when to give up.
//!
//! VMs also fetch each other's replicated state with [`Kind::Fetch`].

use std::collections;
use std::net;

use prost::Message as _;

use crate::edge::link;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::spread::wire;

/// Largest frame in bytes: the largest reply, and what a report has beside it. The merged
/// replies of a search hold only its top records, so they fit.
pub(super) const MAX_FRAME_LEN: usize = 2 * link::MAX_REPLY.0 as usize + (1 << 20);
/// Size in bytes of the length prefix of a frame.
const LENGTH_PREFIX: usize = 4;

/// One message between VMs.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Frame {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub(super) kind: Option<Kind>,
}

/// The content of a message.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub(super) enum Kind {
    #[prost(message, tag = "1")]
    Batch(Batch),
    #[prost(message, tag = "2")]
    Abandon(Abandon),
    #[prost(message, tag = "3")]
    Report(Report),
    #[prost(message, tag = "4")]
    GoAway(GoAway),
    #[prost(message, tag = "5")]
    Fetch(wire::Fetch),
    #[prost(message, tag = "6")]
    Answer(wire::Answer),
    #[prost(message, tag = "7")]
    Spending(Spending),
    #[prost(message, tag = "8")]
    TakeSpending(TakeSpending),
}

/// Says what a VM that ends has spent of the allowance for extra calls: to the VM that
/// keeps it, and from that one to the VM's successor.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Spending {
    /// The VM's address for messages of other VMs, which its successor has, too.
    #[prost(string, tag = "1")]
    pub(super) vm: String,
    /// Its fixed share for its own calls.
    #[prost(double, tag = "2")]
    pub(super) own: f64,
    /// Its fixed share for its own and other VMs' calls, if it has one.
    #[prost(double, optional, tag = "3")]
    pub(super) lent: Option<f64>,
    /// What it has spent, by service.
    #[prost(message, repeated, tag = "4")]
    pub(super) services: Vec<ServiceSpending>,
}

/// The extra calls to a service within a VM's last window.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct ServiceSpending {
    /// The service.
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// Number of calls charged to the budget for its own calls.
    #[prost(uint32, tag = "2")]
    pub(super) own: u32,
    /// Number of calls charged to the budget that it lends from.
    #[prost(uint32, tag = "3")]
    pub(super) shared: u32,
    /// Whether some of them may not have arrived.
    #[prost(bool, tag = "4")]
    pub(super) in_transit: bool,
}

/// Asks a VM for the [`Spending`] of the sender's predecessor, once.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct TakeSpending {
    /// The sender's address for messages of other VMs.
    #[prost(string, tag = "1")]
    pub(super) vm: String,
}

impl Spending {
    /// Encodes what the VM at `vm` has spent.
    pub(super) fn new(vm: net::SocketAddr, spent: &forward::Spending) -> Self {
        let (own, lent) = spent.shares.fixed();
        let services = spent.services.iter();
        let services = services.map(|(service, spent)| ServiceSpending {
            service: service.to_string(),
            own: spent.own,
            shared: spent.shared,
            in_transit: spent.in_transit,
        });
        Self {
            vm: vm.to_string(),
            own,
            lent,
            services: services.collect(),
        }
    }

    /// Decodes what was spent; `None` if a service's name is invalid.
    pub(super) fn read(&self) -> Option<forward::Spending> {
        let mut services = collections::BTreeMap::new();
        for spent in &self.services {
            let on = forward::ServiceSpending {
                own: spent.own,
                shared: spent.shared,
                in_transit: spent.in_transit,
            };
            services.insert(spent.service.parse().ok()?, on);
        }
        Some(forward::Spending {
            shares: forward::Shares::with_fixed(self.own, self.lent),
            services,
        })
    }
}

/// Announces that the sender is stopping and accepts no more batches of calls.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub(super) struct GoAway {}

/// Asks a relay to make calls for one request.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Batch {
    /// The request id that the caller set.
    #[prost(string, tag = "1")]
    pub(super) request_id: String,
    /// The request line and headers, each with its line ending.
    #[prost(bytes = "bytes", tag = "2")]
    pub(super) head: bytes::Bytes,
    /// The request body.
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) body: bytes::Bytes,
    /// Whether the request has a body, which may be empty.
    #[prost(bool, tag = "4")]
    pub(super) has_body: bool,
    /// Time left until the request's deadline, in microseconds.
    #[prost(uint64, tag = "5")]
    pub(super) timeout_us: u64,
    /// Delay after which the relay merges and reports the replies it has, in
    /// microseconds. With 0 it reports each reply at once.
    #[prost(uint64, tag = "6")]
    pub(super) merge_after_us: u64,
    /// Maximum number of records in the merged replies.
    #[prost(uint32, tag = "7")]
    pub(super) top_k: u32,
    /// The calls to make.
    #[prost(message, repeated, tag = "8")]
    pub(super) calls: Vec<Call>,
    /// Whether each call is the first one for its part. The relay's allowance of
    /// extra calls grows with the number of first calls that it makes.
    #[prost(bool, tag = "9")]
    pub(super) first: bool,
    /// Whether the relay pays for the calls from its own allowance.
    #[prost(bool, tag = "10")]
    pub(super) charge_relay: bool,
    /// Typical duration of such calls, in microseconds.
    #[prost(uint64, tag = "11")]
    pub(super) typical_us: u64,
    /// Whether the relay makes the calls even to upstreams it advises against.
    #[prost(bool, tag = "12")]
    pub(super) mandatory: bool,
    /// Whether the relay reports replies whole in place of merging their records.
    #[prost(bool, tag = "13")]
    pub(super) whole_replies: bool,
}

/// One call to make.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Call {
    /// The requester's id of the call.
    #[prost(uint64, tag = "1")]
    pub(super) id: u64,
    /// The id of the upstream to call.
    #[prost(string, tag = "2")]
    pub(super) upstream: String,
    /// The upstream's address, sent only to a relay that recently lacked one: the
    /// octets of the IP address, then the port in big-endian order. Empty
    /// otherwise, to keep frames within the small TCP windows between VMs: with
    /// all addresses, searches of 90 shards took 20 ms longer.
    #[prost(bytes = "vec", tag = "3")]
    pub(super) address: Vec<u8>,
    /// The ids of the upstreams that have another call for the same part and haven't
    /// answered it. Set only if the relay pays for the call.
    #[prost(string, repeated, tag = "4")]
    pub(super) earlier: Vec<String>,
    /// The upstream's service, sent with the address.
    #[prost(string, tag = "5")]
    pub(super) service: String,
    /// The store's revision of the upstream's registration, sent with the address.
    #[prost(uint64, tag = "6")]
    pub(super) revision: u64,
}

impl Call {
    /// Creates a call to the upstream of `entry`, optionally with its description for
    /// a relay that doesn't know it.
    pub(super) fn new(id: ids::Attempt, entry: &registry::Entry, described: bool) -> Self {
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
    pub(super) fn described(&self) -> Option<registry::Foreign> {
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
pub(super) struct Abandon {
    /// The requester's ids of the calls.
    #[prost(uint64, repeated, tag = "1")]
    pub(super) calls: Vec<u64>,
    /// Those of them for which the requester's budget is charged until the relay reports
    /// that they have arrived or weren't made.
    #[prost(uint64, repeated, tag = "2")]
    pub(super) charged: Vec<u64>,
}

/// Reports how calls of a batch ended.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Report {
    /// The calls that ended.
    #[prost(message, repeated, tag = "1")]
    pub(super) ends: Vec<End>,
    /// The top records of the good replies to the calls in `ends`, in descending order.
    #[prost(bytes = "bytes", tag = "2")]
    pub(super) records: bytes::Bytes,
    /// The requester's ids of the batch's calls that have no reply yet. Set only
    /// in the report sent at the merge time.
    #[prost(uint64, repeated, tag = "3")]
    pub(super) pending: Vec<u64>,
    /// Time from receiving the batch until this report was due, in microseconds;
    /// 0 in reports of failed calls and of calls that end after the merge time.
    #[prost(uint64, tag = "4")]
    pub(super) due_us: u64,
    /// The replies to calls in `ends`, if the batch asked for whole ones.
    #[prost(message, repeated, tag = "5")]
    pub(super) replies: Vec<Reply>,
}

/// An upstream's whole reply.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Reply {
    /// The requester's id of the call.
    #[prost(uint64, tag = "1")]
    pub(super) call: u64,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub(super) status: u32,
    /// The headers that are passed on, each with its line ending.
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) headers: bytes::Bytes,
    /// The body.
    #[prost(bytes = "bytes", tag = "4")]
    pub(super) body: bytes::Bytes,
}

impl Reply {
    /// Encodes the reply to `call`.
    pub(super) fn new(call: u64, reply: h1::Reply) -> Self {
        Self {
            call,
            status: reply.status.into(),
            headers: reply.headers.into(),
            body: reply.body,
        }
    }

    /// Decodes the reply; `None` if its status is invalid.
    pub(super) fn read(&self) -> Option<h1::Reply> {
        let status = u16::try_from(self.status).ok()?;
        Some(h1::Reply::whole(
            status,
            self.headers.to_vec(),
            self.body.clone(),
        ))
    }
}

/// How one call ended.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct End {
    /// The requester's id of the call.
    #[prost(uint64, tag = "1")]
    pub(super) id: u64,
    /// How the call ended.
    #[prost(enumeration = "How", tag = "2")]
    pub(super) how: i32,
    /// The signature that the upstream put on a good reply.
    #[prost(string, tag = "3")]
    pub(super) signature: String,
    /// Duration of the call, in microseconds.
    #[prost(uint64, tag = "4")]
    pub(super) took_us: u64,
    /// Latency of the upstream relative to the typical one, in percent. Set with
    /// [`How::Advised`].
    #[prost(uint32, tag = "5")]
    pub(super) slowness: u32,
    /// Share of its calls that the upstream declines, in percent. Set with
    /// [`How::Advised`].
    #[prost(uint32, tag = "6")]
    pub(super) declined: u32,
}

impl End {
    /// Creates the end of call `id`, without a reply.
    pub(super) fn new(id: u64, how: How) -> Self {
        Self {
            id,
            how: how.into(),
            ..Self::default()
        }
    }

    /// Creates the end of call `id`, which the relay didn't make because of
    /// `advice`.
    pub(super) fn advised(id: u64, advice: forward::Advice) -> Self {
        // Both values have two digits at most, so their percents fit in a u32.
        let percent = |value: f64| (value * 100.0) as u32;
        Self {
            slowness: percent(advice.slowness),
            declined: percent(advice.declined),
            ..Self::new(id, How::Advised)
        }
    }

    /// Returns the relay's advice against the upstream.
    pub(super) fn advice(&self) -> forward::Advice {
        forward::Advice {
            slowness: f64::from(self.slowness) / 100.0,
            declined: f64::from(self.declined) / 100.0,
        }
    }
}

/// How a call made by a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
pub(super) enum How {
    /// The connection ended or the reply was unusable; the call may have run.
    Lost = 0,
    /// The upstream sent a good reply, merged into the report's records.
    Good = 1,
    /// The upstream replied with a failure; the call may have run.
    Failure = 2,
    /// The upstream stated that it didn't run the call.
    NotRun = 3,
    /// A different upstream answered at the address and didn't run the call.
    Misdirected = 4,
    /// No byte of the call was sent.
    NotSent = 5,
    /// Not sent: the relay doesn't know the upstream.
    Unknown = 6,
    /// Not sent: the relay's allowance of extra calls is used up.
    NoBudget = 7,
    /// Not sent: the relay advises against the upstream, see [`End::advice`].
    Advised = 8,
    /// An upstream of another service has the address, or another one answered the check.
    AddressLost = 9,
}

impl How {
    /// Returns whether the call has arrived at its service or may still do so.
    pub(super) fn may_have_arrived(self) -> bool {
        match self {
            Self::Good | Self::Failure | Self::NotRun | Self::Misdirected | Self::Lost => true,
            Self::AddressLost | Self::NotSent | Self::Unknown | Self::NoBudget | Self::Advised => {
                false
            }
        }
    }
}

impl Frame {
    /// Returns whether encoded bytes are more than the other VM reads.
    pub(super) fn is_too_large(bytes: &[u8]) -> bool {
        bytes.len() - LENGTH_PREFIX > MAX_FRAME_LEN
    }

    /// Encodes a message with its length prefix.
    pub(super) fn bytes(kind: Kind) -> bytes::Bytes {
        let frame = Self { kind: Some(kind) };
        let len = frame.encoded_len();
        let mut bytes = bytes::BytesMut::with_capacity(LENGTH_PREFIX + len);
        bytes::BufMut::put_u32(&mut bytes, u32::try_from(len).unwrap_or(u32::MAX));
        // Encoding into a buffer with enough capacity can't fail.
        let _ = frame.encode(&mut bytes);
        bytes.freeze()
    }
}
