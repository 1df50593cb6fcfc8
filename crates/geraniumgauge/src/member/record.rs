//! What VMs say of one another, and which saying wins.

use std::net;

use crate::ids;
use crate::member;

/// How well a VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It answers.
    Alive,
    /// It has missed probes.
    Suspect,
    /// It has not refuted the suspicion in time.
    Dead,
}

/// One saying about one VM.
///
/// Sayings form a lattice, so VMs that have heard the same ones hold the same
/// record whatever the order, the doubles and the losses: a later start wins;
/// within a start, leaving is never undone, and of the rest the higher pair of
/// refutation and health wins. Only the VM itself raises its refutation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The VM.
    pub vm: ids::Vm,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
    /// How often this start has refuted a suspicion.
    pub refutation: u32,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// It has announced its stop.
    pub leaving: bool,
    /// How well it is.
    pub health: Health,
}

impl Record {
    /// What holds once `other` is heard as well; `None` where that's no news.
    pub fn merge(&self, other: &Self) -> Option<Self> {
        if other.incarnation > self.incarnation {
            return Some(other.clone());
        }
        if other.incarnation < self.incarnation {
            return None;
        }
        let leaving = self.leaving || other.leaving;
        let newer = (other.refutation, other.health) > (self.refutation, self.health);
        if !newer && leaving == self.leaving {
            return None;
        }
        let base = if newer { other } else { self };
        let mut merged = base.clone();
        merged.leaving = leaving;
        Some(merged)
    }

    /// Whether it's held to be there.
    pub fn is_live(&self) -> bool {
        self.health != Health::Dead
    }

    /// As a member of the view; `flagged` where the platform lists it as leaving.
    pub(super) fn member(&self, flagged: bool) -> member::Member {
        let state = match (self.leaving || flagged, self.health) {
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

    /// Equal for equal sayings; 0 for the dead, whom VMs forget at different times.
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
