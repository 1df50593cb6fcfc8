//! Encoding of VMs' records.

use std::time;

use crate::ids;
use crate::spread;
use crate::time as clock;

/// Encoding of [`spread::Record`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Member {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    beat: u32,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(string, tag = "5")]
    data_centre: String,
    #[prost(double, tag = "6")]
    cores: f64,
    #[prost(uint64, tag = "7")]
    age_ms: u64,
}

impl From<&spread::Record> for Member {
    fn from((member, age): &spread::Record) -> Self {
        Self {
            age_ms: clock::millis(*age),
            ..member.into()
        }
    }
}

impl From<&spread::Member> for Member {
    fn from(member: &spread::Member) -> Self {
        Self {
            vm: member.vm.to_string(),
            incarnation: member.incarnation.0,
            beat: member.beat,
            address: member.address.to_string(),
            data_centre: member.data_centre.to_string(),
            cores: member.cores,
            age_ms: 0,
        }
    }
}

impl Member {
    /// Converts to a record; `None` if a field is invalid.
    pub(super) fn read(&self) -> Option<spread::Record> {
        let age = time::Duration::from_millis(self.age_ms);
        Some((self.member()?, age))
    }

    /// Converts to a record without its age; `None` if a field is invalid.
    pub(super) fn member(&self) -> Option<spread::Member> {
        Some(spread::Member {
            vm: self.vm.parse().ok()?,
            incarnation: ids::Incarnation(self.incarnation),
            beat: self.beat,
            address: self.address.parse().ok()?,
            data_centre: self.data_centre.parse().ok()?,
            cores: Some(self.cores).filter(|cores| cores.is_finite() && *cores > 0.0)?,
        })
    }
}
