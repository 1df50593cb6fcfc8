//! Encoding of updates, requests and answers. Prost derives it.

mod fetch;
mod member;
mod registration;
mod summary;

pub(crate) use fetch::Answer;
pub(crate) use fetch::Fetch;

use prost::Message as _;

use crate::follow;
use crate::ids;
use crate::registry;
use crate::spread;

/// One datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Frame {
    #[prost(oneof = "Kind", tags = "1, 2, 3")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Update(Update),
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// A request that is suspected of crashing upstreams.
    #[prost(fixed64, tag = "3")]
    CrashSuspect(u64),
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// What the sender knows.
    Update(spread::Update),
    /// VMs that the receiver may not know, and how long ago their records were
    /// refreshed.
    Hello(Vec<spread::Record>),
    /// A request that is suspected of crashing upstreams.
    CrashSuspect(ids::Fingerprint),
}

impl Datagram {
    /// Returns the encoded datagram.
    pub fn encode(&self) -> Vec<u8> {
        let kind = match self {
            Self::Update(update) => Kind::Update(update.into()),
            Self::Hello(members) => Kind::Hello(Hello {
                members: members.iter().map(member::Member::from).collect(),
            }),
            Self::CrashSuspect(request) => Kind::CrashSuspect(request.0),
        };
        Frame { kind: Some(kind) }.encode_to_vec()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes aren't a valid frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let frame = Frame::decode(bytes)?;
        Ok(match frame.kind {
            Some(Kind::Update(update)) => update.read().map_or_else(empty, Self::Update),
            Some(Kind::Hello(hello)) => Self::Hello(
                hello
                    .members
                    .iter()
                    .filter_map(member::Member::read)
                    .collect(),
            ),
            Some(Kind::CrashSuspect(request)) => Self::CrashSuspect(ids::Fingerprint(request)),
            None => empty(),
        })
    }
}

/// Returns a datagram without content, for one that contains an invalid identifier.
fn empty() -> Datagram {
    Datagram::Hello(Vec::new())
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Hello {
    #[prost(message, repeated, tag = "1")]
    members: Vec<member::Member>,
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Update {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(message, required, tag = "2")]
    summary: summary::Summary,
    #[prost(bool, tag = "3")]
    unavailable: bool,
    /// 0 for none, 1 for the primary VM, 2 for the backup.
    #[prost(uint32, tag = "4")]
    forwarding: u32,
    /// Digest of the registrations that the changes apply to.
    #[prost(fixed64, tag = "5")]
    before: u64,
    #[prost(message, optional, tag = "6")]
    changes: Option<registration::Changes>,
}

impl From<&spread::Update> for Update {
    fn from(update: &spread::Update) -> Self {
        let changes = update.changes.as_ref();
        Self {
            vm: update.vm.to_string(),
            summary: (&update.summary).into(),
            unavailable: update.unavailable,
            forwarding: match update.forwarding {
                spread::Forwarding::None => 0,
                spread::Forwarding::Primary => 1,
                spread::Forwarding::Backup => 2,
            },
            before: changes.map_or(0, |changes| changes.before.0),
            changes: changes.map(|changes| changes.changes.as_slice().into()),
        }
    }
}

impl Update {
    /// Converts to an update; `None` if the sender's name is invalid.
    fn read(self) -> Option<spread::Update> {
        let before = follow::Digest(self.before);
        let changes = self.changes.map(|changes| spread::Changes {
            before,
            changes: changes.into(),
        });
        Some(spread::Update {
            vm: self.vm.parse().ok()?,
            summary: self.summary.into(),
            unavailable: self.unavailable,
            forwarding: match self.forwarding {
                1 => spread::Forwarding::Primary,
                2 => spread::Forwarding::Backup,
                _ => spread::Forwarding::None,
            },
            changes,
        })
    }
}

/// Returns the size of registrations in an answer, in bytes.
pub(super) fn size_of(registrations: &spread::Registrations) -> usize {
    registration::Registrations::from(registrations).encoded_len()
}

/// Returns the size of changes in an update, in bytes.
pub(super) fn size(changes: &[follow::Change<registry::Entry>]) -> usize {
    registration::Changes::from(changes).encoded_len()
}
