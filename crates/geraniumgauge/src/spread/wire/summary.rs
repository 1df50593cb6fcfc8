//! Encoding of summaries.

use std::time;

use crate::follow;
use crate::ids;
use crate::spread;
use crate::time as clock;

/// Encoding of [`spread::Summary`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Summary {
    #[prost(message, optional, tag = "1")]
    position: Option<Position>,
    #[prost(bool, tag = "2")]
    verified: bool,
    #[prost(message, optional, tag = "3")]
    poll: Option<Poll>,
    /// Number of VMs; 0 if the VM doesn't know it.
    #[prost(uint64, tag = "4")]
    vms: u64,
    #[prost(fixed64, tag = "5")]
    members: u64,
}

impl From<&spread::Summary> for Summary {
    fn from(summary: &spread::Summary) -> Self {
        Self {
            position: Some(summary.position.into()),
            verified: summary.verified,
            poll: summary.poll.as_ref().map(Poll::from),
            vms: summary.vms.map_or(0, |vms| vms as u64),
            members: summary.members,
        }
    }
}

impl From<Summary> for spread::Summary {
    fn from(summary: Summary) -> Self {
        let vms = usize::try_from(summary.vms).ok();
        Self {
            position: summary.position.unwrap_or_default().into(),
            verified: summary.verified,
            poll: summary.poll.and_then(Poll::read),
            vms: vms.filter(|vms| *vms > 0),
            members: summary.members,
        }
    }
}

/// Encoding of [`spread::Position`]; a revision of 0 means none.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Position {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    #[prost(uint64, tag = "3")]
    config: u64,
}

impl From<spread::Position> for Position {
    fn from(position: spread::Position) -> Self {
        let number = |revision: Option<ids::Revision>| revision.map_or(0, |revision| revision.0);
        Self {
            revision: number(position.revision),
            digest: position.digest.0,
            config: number(position.config),
        }
    }
}

impl From<Position> for spread::Position {
    fn from(position: Position) -> Self {
        let revision = |number: u64| Some(ids::Revision(number)).filter(|_| number > 0);
        Self {
            revision: revision(position.revision),
            digest: follow::Digest(position.digest),
            config: revision(position.config),
        }
    }
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Poll {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    age_us: u64,
}

impl From<&spread::Poll> for Poll {
    fn from(poll: &spread::Poll) -> Self {
        Self {
            vm: poll.vm.to_string(),
            number: poll.number,
            age_us: clock::micros(poll.age),
        }
    }
}

impl Poll {
    fn read(self) -> Option<spread::Poll> {
        Some(spread::Poll {
            vm: self.vm.parse().ok()?,
            number: self.number,
            age: time::Duration::from_micros(self.age_us),
        })
    }
}
