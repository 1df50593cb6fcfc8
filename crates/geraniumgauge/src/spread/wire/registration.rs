//! Registrations, and their changes.

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
        let mut told = Self::default();
        for change in changes {
            match change {
                follow::Change::Put(item) => told.put.push(item.into()),
                follow::Change::Deleted(name) => told.gone.push(name.clone()),
            }
        }
        told
    }
}

impl From<Changes> for Vec<follow::Change<registry::Entry>> {
    /// Deletions come first: an object that was deleted and written again is
    /// there.
    fn from(told: Changes) -> Self {
        let gone = told.gone.into_iter().map(follow::Change::Deleted);
        let put = told.put.into_iter();
        let put = put.map(|told| follow::Change::Put(told.into()));
        gone.chain(put).collect()
    }
}

/// What is told of the registrations.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub(super) struct News {
    /// Whether these are all of them.
    #[prost(bool, tag = "1")]
    all: bool,
    #[prost(message, optional, tag = "2")]
    told: Option<Changes>,
}

impl From<&spread::Registrations> for News {
    fn from(news: &spread::Registrations) -> Self {
        let (all, told) = match news {
            follow::Delta::Changes(changes) => (false, changes.as_slice().into()),
            follow::Delta::All(items) => {
                let put = items.iter().map(Registration::from).collect();
                let gone = Vec::new();
                (true, Changes { put, gone })
            }
        };
        Self {
            all,
            told: Some(told),
        }
    }
}

impl From<News> for spread::Registrations {
    fn from(news: News) -> Self {
        let told = news.told.unwrap_or_default();
        if news.all {
            Self::All(told.put.into_iter().map(follow::Item::from).collect())
        } else {
            Self::Changes(told.into())
        }
    }
}

/// One object of the registrations; without a service it names no upstream.
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
    /// Milliseconds since the Unix epoch at its start.
    #[prost(uint64, tag = "9")]
    born: u64,
}

impl From<&follow::Item<registry::Entry>> for Registration {
    fn from(item: &follow::Item<registry::Entry>) -> Self {
        let told = Self {
            name: item.name.clone(),
            revision: item.revision.0,
            ..Self::default()
        };
        let Some(entry) = &item.value else {
            return told;
        };
        Self {
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            data_centre: entry.data_centre.to_string(),
            slots: entry.slots,
            draining: entry.state == registry::State::Draining,
            warm_up_ms: clock::millis(entry.warm_up),
            born: entry.born.0,
            ..told
        }
    }
}

impl From<Registration> for follow::Item<registry::Entry> {
    fn from(told: Registration) -> Self {
        Self {
            revision: ids::Revision(told.revision),
            value: told.entry(),
            name: told.name,
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
            born: clock::Wall(self.born),
        })
    }
}
