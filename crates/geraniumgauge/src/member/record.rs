//! Membership records and how two of the same VM are merged.

use std::net;

use crate::ids;
use crate::member;

/// Health of a VM as found by probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// The VM answers probes.
    Alive,
    /// The VM has not answered a probe.
    Suspect,
    /// The VM has not refuted the suspicion in time.
    Dead,
}

/// The membership record of one VM.
///
/// Records form a join-semilattice: VMs that have received the same records hold
/// the same result, whatever the order and the duplicates. A later incarnation
/// wins. Within an incarnation `leaving` is never reset, and of the other fields
/// those with the higher pair of `refutation` and `health` win. Only the VM itself
/// raises its refutation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Incarnation of the VM: a number that rises with each start.
    pub incarnation: ids::Incarnation,
    /// Number of suspicions refuted in this incarnation.
    pub refutation: u32,
    /// Data centre of the VM.
    pub data_centre: ids::DataCentre,
    /// Address of its mesh and probes.
    pub address: net::SocketAddr,
    /// Set once the VM has announced that it is leaving.
    pub leaving: bool,
    /// Health of the VM.
    pub health: Health,
}

impl Record {
    /// Merges another record of the same VM. Returns `None` if that changes nothing.
    pub fn merge(&self, other: &Self) -> Option<Self> {
        if other.incarnation > self.incarnation {
            return Some(other.clone());
        }
        if other.incarnation < self.incarnation {
            return None;
        }
        let leaving = self.leaving || other.leaving;
        let supersedes = (other.refutation, other.health) > (self.refutation, self.health);
        if !supersedes && leaving == self.leaving {
            return None;
        }
        let base = if supersedes { other } else { self };
        let mut merged = base.clone();
        merged.leaving = leaving;
        Some(merged)
    }

    /// Whether the VM is not dead.
    pub fn is_live(&self) -> bool {
        self.health != Health::Dead
    }

    /// Converts to a member of the view. `listed_leaving` is set if the platform's
    /// list marks the VM as leaving.
    pub(super) fn to_member(&self, listed_leaving: bool) -> member::Member {
        let state = match (self.leaving || listed_leaving, self.health) {
            (true, _) => member::State::Leaving,
            (false, Health::Alive) => member::State::Alive,
            (false, _) => member::State::Suspect,
        };
        member::Member {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            address: self.address,
            state,
        }
    }

    /// Returns a hash for digests. It is 0 for dead VMs, since members forget them at
    /// different times.
    pub(super) fn fingerprint(&self) -> u64 {
        if !self.is_live() {
            return 0;
        }
        let mut bytes = self.vm.as_str().as_bytes().to_vec();
        bytes.extend(self.incarnation.0.to_be_bytes());
        bytes.extend(self.refutation.to_be_bytes());
        bytes.extend([u8::from(self.leaving), self.health as u8]);
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

#[cfg(test)]
#[path = "tests/record.rs"]
mod tests;
