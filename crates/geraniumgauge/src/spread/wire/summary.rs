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
    holds: Option<Holds>,
    #[prost(bool, tag = "2")]
    sure: bool,
    #[prost(message, optional, tag = "3")]
    look: Option<Look>,
    /// Number of VMs; 0 if the VM doesn't know it.
    #[prost(uint64, tag = "4")]
    vms: u64,
    #[prost(fixed64, tag = "5")]
    members: u64,
}

impl From<&spread::Summary> for Summary {
    fn from(summary: &spread::Summary) -> Self {
        Self {
            holds: Some(summary.holds.into()),
            sure: summary.sure,
            look: summary.look.as_ref().map(Look::from),
            vms: summary.vms.map_or(0, |vms| vms as u64),
            members: summary.members,
        }
    }
}

impl From<Summary> for spread::Summary {
    fn from(summary: Summary) -> Self {
        let vms = usize::try_from(summary.vms).ok();
        Self {
            holds: summary.holds.unwrap_or_default().into(),
            sure: summary.sure,
            look: summary.look.and_then(Look::read),
            vms: vms.filter(|vms| *vms > 0),
            members: summary.members,
        }
    }
}

/// Encoding of [`spread::Position`]; a revision of 0 means none.
#[derive(Clone, Copy, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Holds {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    #[prost(uint64, tag = "3")]
    config: u64,
}

impl From<spread::Holds> for Holds {
    fn from(holds: spread::Holds) -> Self {
        let number = |revision: Option<ids::Revision>| revision.map_or(0, |revision| revision.0);
        Self {
            revision: number(holds.revision),
            digest: holds.digest.0,
            config: number(holds.config),
        }
    }
}

impl From<Holds> for spread::Holds {
    fn from(holds: Holds) -> Self {
        let revision = |number: u64| Some(ids::Revision(number)).filter(|_| number > 0);
        Self {
            revision: revision(holds.revision),
            digest: follow::Digest(holds.digest),
            config: revision(holds.config),
        }
    }
}

#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Look {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    age_us: u64,
}

impl From<&spread::Look> for Look {
    fn from(look: &spread::Look) -> Self {
        Self {
            vm: look.vm.to_string(),
            number: look.number,
            age_us: clock::micros(look.age),
        }
    }
}

impl Look {
    fn read(self) -> Option<spread::Look> {
        Some(spread::Look {
            vm: self.vm.parse().ok()?,
            number: self.number,
            age: time::Duration::from_micros(self.age_us),
        })
    }
}
