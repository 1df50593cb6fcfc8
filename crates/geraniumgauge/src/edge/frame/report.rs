//! What a relay reports to a requester.

use crate::forward;
use crate::h1;

/// Reports how calls of a batch ended.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct Report {
    /// The calls that ended.
    #[prost(message, repeated, tag = "1")]
    pub(in crate::edge) ends: Vec<End>,
    /// The top records of the good replies to the calls in `ends`, in descending order.
    #[prost(bytes = "bytes", tag = "2")]
    pub(in crate::edge) records: bytes::Bytes,
    /// The requester's ids of the batch's calls that have no reply yet. Set only
    /// in the report sent at the merge time.
    #[prost(uint64, repeated, tag = "3")]
    pub(in crate::edge) pending: Vec<u64>,
    /// Time from receiving the batch until this report was due, in microseconds;
    /// 0 in reports of failed calls and of calls that end after the merge time.
    #[prost(uint64, tag = "4")]
    pub(in crate::edge) due_us: u64,
    /// The replies to calls in `ends`, if the batch asked for whole ones.
    #[prost(message, repeated, tag = "5")]
    pub(in crate::edge) replies: Vec<Reply>,
}

/// An upstream's whole reply.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(in crate::edge) struct Reply {
    /// The requester's id of the call.
    #[prost(uint64, tag = "1")]
    pub(in crate::edge) call: u64,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub(in crate::edge) status: u32,
    /// The headers that are passed on, each with its line ending.
    #[prost(bytes = "bytes", tag = "3")]
    pub(in crate::edge) headers: bytes::Bytes,
    /// The body.
    #[prost(bytes = "bytes", tag = "4")]
    pub(in crate::edge) body: bytes::Bytes,
}

impl Reply {
    /// Encodes the reply to `call`.
    pub(in crate::edge) fn new(call: u64, reply: h1::Reply) -> Self {
        Self {
            call,
            status: reply.status.into(),
            headers: reply.headers.into(),
            body: reply.body,
        }
    }

    /// Decodes the reply; `None` if its status is invalid.
    pub(in crate::edge) fn read(&self) -> Option<h1::Reply> {
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
pub(in crate::edge) struct End {
    /// The requester's id of the call.
    #[prost(uint64, tag = "1")]
    pub(in crate::edge) id: u64,
    /// How the call ended.
    #[prost(enumeration = "How", tag = "2")]
    pub(in crate::edge) how: i32,
    /// The signature that the upstream put on a good reply.
    #[prost(string, tag = "3")]
    pub(in crate::edge) signature: String,
    /// Duration of the call, in microseconds.
    #[prost(uint64, tag = "4")]
    pub(in crate::edge) took_us: u64,
    /// Latency of the upstream relative to the typical one, in percent. Set with
    /// [`How::Advised`].
    #[prost(uint32, tag = "5")]
    pub(in crate::edge) slowness: u32,
    /// Share of its calls that the upstream declines, in percent. Set with
    /// [`How::Advised`].
    #[prost(uint32, tag = "6")]
    pub(in crate::edge) declined: u32,
}

impl End {
    /// Creates the end of call `id`, without a reply.
    pub(in crate::edge) fn new(id: u64, how: How) -> Self {
        Self {
            id,
            how: how.into(),
            ..Self::default()
        }
    }

    /// Creates the end of call `id`, which the relay didn't make because of
    /// `advice`.
    pub(in crate::edge) fn advised(id: u64, advice: forward::Advice) -> Self {
        // Both values have two digits at most, so their percents fit in a u32.
        let percent = |value: f64| (value * 100.0) as u32;
        Self {
            slowness: percent(advice.slowness),
            declined: percent(advice.declined),
            ..Self::new(id, How::Advised)
        }
    }

    /// Returns the relay's advice against the upstream.
    pub(in crate::edge) fn advice(&self) -> forward::Advice {
        forward::Advice {
            slowness: f64::from(self.slowness) / 100.0,
            declined: f64::from(self.declined) / 100.0,
        }
    }
}

/// How a call made by a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
pub(in crate::edge) enum How {
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
    pub(in crate::edge) fn may_have_arrived(self) -> bool {
        match self {
            Self::Good | Self::Failure | Self::NotRun | Self::Misdirected | Self::Lost => true,
            Self::AddressLost | Self::NotSent | Self::Unknown | Self::NoBudget | Self::Advised => {
                false
            }
        }
    }
}
