//! Encoding of registrations and their changes.

use std::time;

use crate::follow;
use crate::ids;
use crate::registry;
use crate::spread;
use crate::time as clock;

/// Changes of registrations.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Changes {
    #[prost(message, repeated, tag = "1")]
    put: Vec<Registration>,
    #[prost(string, repeated, tag = "2")]
    gone: Vec<String>,
}

impl From<&[follow::Change<registry::Entry>]> for Changes {
    fn from(changes: &[follow::Change<registry::Entry>]) -> Self {
        let mut encoded = Self::default();
        for change in changes {
            match change {
                follow::Change::Put(item) => encoded.put.push(item.into()),
                follow::Change::Deleted(name) => encoded.gone.push(name.clone()),
            }
        }
        encoded
    }
}

impl From<Changes> for Vec<follow::Change<registry::Entry>> {
    /// Deletions come first, so that an object that was deleted and written again
    /// exists.
    fn from(encoded: Changes) -> Self {
        let gone = encoded.gone.into_iter().map(follow::Change::Deleted);
        let put = encoded.put.into_iter();
        let put = put.map(|encoded| follow::Change::Put(encoded.into()));
        gone.chain(put).collect()
    }
}

/// Encoding of [`spread::Registrations`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct Registrations {
    /// Set if these are all registrations instead of changes.
    #[prost(bool, tag = "1")]
    all: bool,
    #[prost(message, optional, tag = "2")]
    changes: Option<Changes>,
}

impl From<&spread::Registrations> for Registrations {
    fn from(registrations: &spread::Registrations) -> Self {
        let (all, changes) = match registrations {
            follow::Delta::Changes(changes) => (false, changes.as_slice().into()),
            follow::Delta::All(items) => {
                let put = items.iter().map(Registration::from).collect();
                let gone = Vec::new();
                (true, Changes { put, gone })
            }
        };
        Self {
            all,
            changes: Some(changes),
        }
    }
}

impl From<Registrations> for spread::Registrations {
    fn from(registrations: Registrations) -> Self {
        let changes = registrations.changes.unwrap_or_default();
        if registrations.all {
            Self::All(changes.put.into_iter().map(follow::Item::from).collect())
        } else {
            Self::Changes(changes.into())
        }
    }
}

/// Encoding of one object; an empty service means that it names no upstream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct Registration {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, tag = "3")]
    service: String,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(string, tag = "5")]
    data_centre: String,
    #[prost(uint32, tag = "6")]
    slots: u32,
    #[prost(bool, tag = "7")]
    draining: bool,
    #[prost(uint64, tag = "8")]
    warm_up_ms: u64,
    /// Start of the upstream, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "9")]
    born: u64,
    #[prost(uint64, tag = "10")]
    heartbeats: u64,
}

impl From<&follow::Item<registry::Entry>> for Registration {
    fn from(item: &follow::Item<registry::Entry>) -> Self {
        let encoded = Self {
            name: item.name.clone(),
            revision: item.revision.0,
            ..Self::default()
        };
        let Some(entry) = &item.value else {
            return encoded;
        };
        Self {
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            data_centre: entry.data_centre.to_string(),
            slots: entry.slots,
            draining: entry.state == registry::State::Draining,
            warm_up_ms: clock::millis(entry.warm_up),
            born: entry.started_at.0,
            heartbeats: entry.heartbeats,
            ..encoded
        }
    }
}

impl From<Registration> for follow::Item<registry::Entry> {
    fn from(encoded: Registration) -> Self {
        Self {
            revision: ids::Revision(encoded.revision),
            value: encoded.entry(),
            name: encoded.name,
        }
    }
}

impl Registration {
    fn entry(&self) -> Option<registry::Entry> {
        Some(registry::Entry {
            id: self.name.parse().ok()?,
            service: self.service.parse().ok()?,
            address: self.address.parse().ok()?,
            data_centre: self.data_centre.parse().ok()?,
            slots: self.slots,
            state: if self.draining {
                registry::State::Draining
            } else {
                registry::State::Ready
            },
            warm_up: time::Duration::from_millis(self.warm_up_ms),
            revision: ids::Revision(self.revision),
            heartbeats: self.heartbeats,
            started_at: clock::Wall(self.born),
        })
    }
}
