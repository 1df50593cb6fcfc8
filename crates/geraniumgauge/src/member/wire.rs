//! Datagrams between members. Prost derives the encoding.
//!
//! Each datagram carries its sender's own record, so it always shows that the
//! sender is alive and whether it is leaving.

use std::net;

use bytes::Bytes;
use prost::Message as _;
use tokio_util::codec;

use crate::ids;
use crate::member;
use crate::member::record;

/// Largest datagram, in bytes. With headers it fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Bytes of the IP and UDP headers, which count towards the gossip budget.
pub const HEADER_BYTES: usize = 28;

/// Error of reading or writing a datagram.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The socket failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The bytes are not a valid datagram.
    #[display("undecodable datagram: {_0}")]
    Decode(prost::DecodeError),
}

/// A datagram between members.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Datagram {
    /// Record of the sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Record>,
    /// The request or answer; absent in a datagram of gossip only.
    #[prost(oneof = "Kind", tags = "2, 3, 4, 5")]
    pub kind: Option<Kind>,
    /// Records of other VMs.
    #[prost(message, repeated, tag = "6")]
    pub records: Vec<Record>,
    /// Gossip updates.
    #[prost(message, repeated, tag = "7")]
    pub updates: Vec<Update>,
}

/// Requests and answers between members.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum Kind {
    /// Asks a VM for a [`Kind::Ack`].
    #[prost(message, tag = "2")]
    Ping(Probe),
    /// Answers a ping, or forwards another VM's answer.
    #[prost(message, tag = "3")]
    Ack(Probe),
    /// Asks the receiver to ping another VM on the sender's behalf.
    #[prost(message, tag = "4")]
    Relay(Relay),
    /// Hashes of everything the sender holds.
    #[prost(message, tag = "5")]
    Digest(Digest),
}

/// A probe, or the answer to one.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Probe {
    /// Number chosen by the prober and echoed in the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Name of the probed VM. A VM of another name doesn't answer. If empty, any VM
    /// answers.
    #[prost(string, tag = "2")]
    pub vm: String,
}

/// A request to probe another VM.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Relay {
    /// The probe to make.
    #[prost(message, optional, tag = "1")]
    pub probe: Option<Probe>,
    /// Address of the probed VM.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Hashes of everything a VM holds, by bucket.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Digest {
    /// One hash per bucket, four bytes each, big-endian.
    #[prost(bytes = "bytes", tag = "1")]
    pub hashes: Bytes,
    /// Set if this answers a digest; it must not be answered with another.
    #[prost(bool, tag = "2")]
    pub answer: bool,
}

/// Wire form of [`record::Record`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Record {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the VM.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of suspicions refuted in this incarnation.
    #[prost(uint32, tag = "3")]
    pub refutation: u32,
    /// Data centre of the VM.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Address of its mesh and probes, as `ip:port`.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Set once the VM has announced that it is leaving.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Health: 0 alive, 1 suspect, 2 dead.
    #[prost(uint32, tag = "7")]
    pub health: u32,
}

/// Wire form of [`member::Update`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Update {
    /// Topic: 1 catalog, 2 applied, 3 mark.
    #[prost(uint32, tag = "1")]
    pub topic: u32,
    /// Identifies what the update is about within its topic.
    #[prost(string, tag = "2")]
    pub key: String,
    /// A higher version replaces a lower one.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The fact, in the subsystem's own encoding.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

impl From<&record::Record> for Record {
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

impl Record {
    /// Decodes the record. Returns `None` if a field is invalid, as it may be from a
    /// newer version.
    pub fn to_record(&self) -> Option<record::Record> {
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

impl From<&member::Update> for Update {
    fn from(update: &member::Update) -> Self {
        let topic = match update.topic {
            member::Topic::Catalog => 1,
            member::Topic::Applied => 2,
            member::Topic::Mark => 3,
        };
        Self {
            topic,
            key: update.key.clone(),
            version: update.version,
            body: update.body.clone(),
        }
    }
}

impl Update {
    /// Decodes the update. Returns `None` for the topic of a newer version.
    pub fn into_update(self) -> Option<member::Update> {
        let topic = match self.topic {
            1 => member::Topic::Catalog,
            2 => member::Topic::Applied,
            3 => member::Topic::Mark,
            _ => return None,
        };
        Some(member::Update {
            topic,
            key: self.key,
            version: self.version,
            body: self.body,
        })
    }
}

/// Decodes and encodes one message per datagram.
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
