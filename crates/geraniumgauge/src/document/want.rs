//! Versions that this VM has heard of and doesn't hold, and whom to ask.

use std::collections;
use std::time;

use crate::document::held;
use crate::ids;
use crate::time as clock;

/// Time to answer before another one is asked.
const RETRY: time::Duration = time::Duration::from_millis(250);
/// Questions to random peers before the watchers are asked, who read the store:
/// else the whole fleet would ask these few at once.
const TRIES_AT_PEERS: u32 = 5;
/// Every so many questions, the store is asked instead.
const STORE_EACH: u32 = 8;
/// Questions after which a version that nobody has is given up: the VMs that
/// had it may all be gone. A rumour or a comparison brings it back.
const MOST_TRIES: u32 = 40;

/// What is wanted.
#[derive(Debug, Default)]
pub(super) struct Wanted {
    services: collections::BTreeMap<ids::Service, Want>,
}

#[derive(Debug)]
struct Want {
    document: u64,
    layout: u64,
    tries: u32,
    next: clock::Moment,
}

/// Services to ask for now.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) services: Vec<ids::Service>,
    pub(super) whom: Whom,
}

/// Whom to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Whom {
    /// A peer of the same data centre.
    Near,
    /// Any peer.
    Anyone,
    /// A VM that watches the store.
    Watchers,
    /// The store itself.
    Store,
}

impl Wanted {
    /// Wants `version` or a newer one.
    pub(super) fn add(
        &mut self,
        service: &ids::Service,
        kind: held::Kind,
        version: u64,
        now: clock::Moment,
    ) {
        let want = self.services.entry(service.clone()).or_insert(Want {
            document: 0,
            layout: 0,
            tries: 0,
            next: now,
        });
        let part = match kind {
            held::Kind::Document => &mut want.document,
            held::Kind::Layout => &mut want.layout,
        };
        *part = version.max(*part);
    }

    /// Forgets what is held by now.
    pub(super) fn settle(&mut self, held: &held::Held) {
        self.services.retain(|service, want| {
            want.document > held.version(service, held::Kind::Document)
                || want.layout > held.version(service, held::Kind::Layout)
        });
    }

    /// Whether nothing is wanted.
    pub(super) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Whether `service` is wanted; then it counts as just asked for.
    pub(super) fn asked(&mut self, service: &ids::Service, now: clock::Moment) -> bool {
        let want = self.services.get_mut(service);
        want.map(|want| want.next = now + RETRY).is_some()
    }

    /// Everything that is to be asked for now, and whom.
    pub(super) fn due(&mut self, now: clock::Moment) -> Option<Due> {
        self.services.retain(|_, want| want.tries < MOST_TRIES);
        let mut services = Vec::new();
        let mut tries = 0;
        for (service, want) in &mut self.services {
            if want.next > now {
                continue;
            }
            tries = tries.max(want.tries);
            want.tries += 1;
            want.next = now + RETRY;
            services.push(service.clone());
        }
        let whom = match tries {
            0 => Whom::Near,
            tries if tries < TRIES_AT_PEERS => Whom::Anyone,
            tries if tries % STORE_EACH == STORE_EACH - 1 => Whom::Store,
            _ => Whom::Watchers,
        };
        (!services.is_empty()).then_some(Due { services, whom })
    }
}
