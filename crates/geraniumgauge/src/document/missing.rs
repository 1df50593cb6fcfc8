//! Tracks versions that are known but not held, and decides where to request them.

use std::collections;
use std::time;

use crate::document::held;
use crate::ids;
use crate::time as clock;

/// Time that a peer has to answer before the next one is asked.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Requests to peers before the watchers are asked. Without it the whole fleet
/// would ask the few VMs that watch the store at the same time.
const MAX_PEER_REQUESTS: u32 = 5;
/// After the requests to peers, one of this many reads the store instead of
/// asking a watcher.
const STORE_READ_EVERY: u32 = 8;
/// Requests after which a version is given up, because all VMs that held it may
/// have left. A gossip update or a digest comparison adds it again.
const MAX_REQUESTS: u32 = 40;

/// The missing versions by service.
#[derive(Debug, Default)]
pub(super) struct Versions {
    services: collections::BTreeMap<ids::Service, Entry>,
}

#[derive(Debug)]
struct Entry {
    document: u64,
    layout: u64,
    requests: u32,
    next: clock::Moment,
}

/// Services to request now.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) services: Vec<ids::Service>,
    pub(super) target: Target,
}

/// Where to request missing versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    /// A peer in the same data centre.
    SameDataCentre,
    /// Any peer.
    AnyPeer,
    /// A VM that watches the store.
    Watchers,
    /// The store itself.
    Store,
}

impl Versions {
    /// Adds `version` as missing; a newer one satisfies it as well.
    pub(super) fn add(
        &mut self,
        service: &ids::Service,
        kind: held::Kind,
        version: u64,
        now: clock::Moment,
    ) {
        let entry = self.services.entry(service.clone()).or_insert(Entry {
            document: 0,
            layout: 0,
            requests: 0,
            next: now,
        });
        let wanted = match kind {
            held::Kind::Document => &mut entry.document,
            held::Kind::Layout => &mut entry.layout,
        };
        *wanted = version.max(*wanted);
    }

    /// Removes the versions that are held by now.
    pub(super) fn remove_held(&mut self, held: &held::Held) {
        self.services.retain(|service, entry| {
            entry.document > held.version(service, held::Kind::Document)
                || entry.layout > held.version(service, held::Kind::Layout)
        });
    }

    /// Returns whether no version is missing.
    pub(super) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Marks `service` as just requested; returns whether a version of it is missing.
    pub(super) fn mark_requested(&mut self, service: &ids::Service, now: clock::Moment) -> bool {
        let entry = self.services.get_mut(service);
        entry
            .map(|entry| entry.next = now + RETRY_INTERVAL)
            .is_some()
    }

    /// Returns the services whose next request is due, and where to send it.
    pub(super) fn due(&mut self, now: clock::Moment) -> Option<Due> {
        self.services
            .retain(|_, entry| entry.requests < MAX_REQUESTS);
        let mut services = Vec::new();
        let mut requests = 0;
        for (service, entry) in &mut self.services {
            if entry.next > now {
                continue;
            }
            requests = requests.max(entry.requests);
            entry.requests += 1;
            entry.next = now + RETRY_INTERVAL;
            services.push(service.clone());
        }
        let target = match requests {
            0 => Target::SameDataCentre,
            requests if requests < MAX_PEER_REQUESTS => Target::AnyPeer,
            requests if requests % STORE_READ_EVERY == STORE_READ_EVERY - 1 => Target::Store,
            _ => Target::Watchers,
        };
        (!services.is_empty()).then_some(Due { services, target })
    }
}
