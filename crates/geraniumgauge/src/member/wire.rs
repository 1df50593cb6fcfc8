//! Datagrams between members. Prost derives the encoding.
//!
//! Each carries its sender's own record first: whatever else it says, it is a
//! sign of life and tells a leaving VM from one that stays.

use std::net;

use bytes::Bytes;
use prost::Message as _;
use tokio_util::codec;

use crate::ids;
use crate::member;
use crate::member::record;

/// Largest datagram, in bytes: it fits one Ethernet packet with its headers.
pub const MAX: usize = 1400;

/// Bytes of IP and UDP headers, which count into what gossip spends.
pub const HEADERS: usize = 28;

/// Why a datagram couldn't be read or written.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The socket failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The bytes are no datagram of ours.
    #[display("undecodable datagram: {_0}")]
    Garbled(prost::DecodeError),
}

/// One datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Datagram {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Saying>,
    /// What it asks or answers; plain gossip where none.
    #[prost(oneof = "Kind", tags = "2, 3, 4, 5")]
    pub kind: Option<Kind>,
    /// What the sender has heard of VMs.
    #[prost(message, repeated, tag = "6")]
    pub sayings: Vec<Saying>,
    /// What the sender has heard of duties.
    #[prost(message, repeated, tag = "7")]
    pub rumours: Vec<Rumour>,
}

/// The kinds of datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Kind {
    /// Asks a VM for an [`Kind::Ack`].
    #[prost(message, tag = "2")]
    Ping(Probe),
    /// Answers a ping, or passes the answer of another VM on.
    #[prost(message, tag = "3")]
    Ack(Probe),
    /// Asks for a ping of another VM on the sender's behalf.
    #[prost(message, tag = "4")]
    Relay(Relay),
    /// What the sender holds, as hashes.
    #[prost(message, tag = "5")]
    Digest(Digest),
}

/// One probe.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Probe {
    /// Chosen by who asks.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The VM that is asked; another one at its address stays mute.
    #[prost(string, tag = "2")]
    pub vm: String,
}

/// A probe through another member.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Relay {
    /// The probe.
    #[prost(message, optional, tag = "1")]
    pub probe: Option<Probe>,
    /// Where the probed VM listens.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Hashes of what a VM holds, by bucket.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Digest {
    /// Four bytes each, big-endian.
    #[prost(bytes = "bytes", tag = "1")]
    pub hashes: Bytes,
    /// It answers a digest, and must not be answered by another.
    #[prost(bool, tag = "2")]
    pub answer: bool,
}

/// [`record::Record`] on the wire.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Saying {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Which start of it.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// How often it has refuted.
    #[prost(uint32, tag = "3")]
    pub refutation: u32,
    /// Where it runs.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Where it listens.
    #[prost(string, tag = "5")]
    pub address: String,
    /// It has announced its stop.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "7")]
    pub health: u32,
}

/// [`member::Rumour`] on the wire.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Rumour {
    /// 1 catalog, 2 applied, 3 mark.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// What it is about.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Higher replaces lower.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The fact.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

impl From<&record::Record> for Saying {
    fn from(record: &record::Record) -> Self {
        Self {
            vm: record.vm.to_string(),
            incarnation: record.incarnation.0,
            refutation: record.refutation,
            data_centre: record.data_centre.to_string(),
            address: record.address.to_string(),
            leaving: record.leaving,
            health: record.health as u32,
        }
    }
}

impl Saying {
    /// The record; `None` where a field makes no sense, as from a newer version.
    pub fn record(&self) -> Option<record::Record> {
        let health = match self.health {
            0 => record::Health::Alive,
            1 => record::Health::Suspect,
            2 => record::Health::Dead,
            _ => return None,
        };
        Some(record::Record {
            vm: self.vm.parse().ok()?,
            incarnation: ids::Incarnation(self.incarnation),
            refutation: self.refutation,
            data_centre: self.data_centre.parse().ok()?,
            address: self.address.parse::<net::SocketAddr>().ok()?,
            leaving: self.leaving,
            health,
        })
    }
}

impl From<&member::Rumour> for Rumour {
    fn from(rumour: &member::Rumour) -> Self {
        let topic = match rumour.topic {
            member::Topic::Catalog => 1,
            member::Topic::Applied => 2,
            member::Topic::Mark => 3,
        };
        Self {
            topic,
            key: rumour.key.clone(),
            version: rumour.version,
            body: rumour.body.clone(),
        }
    }
}

impl Rumour {
    /// The rumour; `None` for a topic of a newer version.
    pub fn rumour(self) -> Option<member::Rumour> {
        let topic = match self.topic {
            1 => member::Topic::Catalog,
            2 => member::Topic::Applied,
            3 => member::Topic::Mark,
            _ => return None,
        };
        Some(member::Rumour {
            topic,
            key: self.key,
            version: self.version,
            body: self.body,
        })
    }
}

/// One datagram, one message.
#[derive(Debug, Default)]
pub struct Codec;

impl codec::Decoder for Codec {
    type Item = Datagram;
    type Error = Error;

    fn decode(&mut self, from: &mut bytes::BytesMut) -> Result<Option<Datagram>, Error> {
        if from.is_empty() {
            return Ok(None);
        }
        let bytes = from.split().freeze();
        Ok(Some(Datagram::decode(bytes)?))
    }
}

impl codec::Encoder<Datagram> for Codec {
    type Error = Error;

    fn encode(&mut self, datagram: Datagram, into: &mut bytes::BytesMut) -> Result<(), Error> {
        into.reserve(datagram.encoded_len());
        let encoded = datagram.encode(into);
        encoded.map_err(|error| std::io::Error::other(error).into())
    }
}
