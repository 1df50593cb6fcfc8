//! What a VM knows of the store, as VMs tell it to each other.
//!
//! A VM that is cut off from the store, but not from the others, would keep an
//! old configuration: after a re-sharding its searches fail, since the others
//! rightly make no calls to shards that are leaving. It asks one of them.

use std::time;

use crate::edge::frame;
use crate::follow;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// The configuration and the registrations at one revision of the store.
#[derive(Debug, Clone)]
pub struct Knowledge {
    /// The store's revision that this shows.
    pub revision: ids::Revision,
    /// The configuration as the store holds it.
    pub config: String,
    /// The configuration's last change.
    pub config_revision: ids::Revision,
    /// The registrations.
    pub entries: Vec<follow::Item<registry::Entry>>,
}

/// Tells what this VM knows; `None` while it knows nothing.
pub type Teller = Box<dyn Fn(&registry::Registry) -> Option<Knowledge>>;

impl From<Knowledge> for frame::Known {
    fn from(known: Knowledge) -> Self {
        let entries = known.entries.into_iter();
        Self {
            revision: known.revision.0,
            config: known.config,
            config_revision: known.config_revision.0,
            entries: entries.map(|item| registration(&item)).collect(),
        }
    }
}

fn registration(item: &follow::Item<registry::Entry>) -> frame::Registration {
    let mut told = frame::Registration {
        name: item.name.clone(),
        revision: item.revision.0,
        ..frame::Registration::default()
    };
    if let Some(entry) = &item.value {
        told.service = entry.service.to_string();
        told.address = entry.address.to_string();
        told.data_centre = entry.data_centre.to_string();
        told.slots = entry.slots;
        told.draining = entry.state == registry::State::Draining;
        told.warm_up_ms = clock::millis(entry.warm_up);
        told.born = entry.born.0;
    }
    told
}

impl From<frame::Known> for Knowledge {
    fn from(known: frame::Known) -> Self {
        let entries = known.entries.into_iter();
        Self {
            revision: ids::Revision(known.revision),
            config: known.config,
            config_revision: ids::Revision(known.config_revision),
            entries: entries.map(item).collect(),
        }
    }
}

fn item(told: frame::Registration) -> follow::Item<registry::Entry> {
    follow::Item {
        revision: ids::Revision(told.revision),
        // Without a value it is an object that names no upstream.
        value: entry(&told),
        name: told.name,
    }
}

fn entry(told: &frame::Registration) -> Option<registry::Entry> {
    Some(registry::Entry {
        id: told.name.parse().ok()?,
        service: told.service.parse().ok()?,
        address: told.address.parse().ok()?,
        data_centre: told.data_centre.parse().ok()?,
        slots: told.slots,
        state: if told.draining {
            registry::State::Draining
        } else {
            registry::State::Ready
        },
        warm_up: time::Duration::from_millis(told.warm_up_ms),
        born: clock::Wall(told.born),
    })
}
