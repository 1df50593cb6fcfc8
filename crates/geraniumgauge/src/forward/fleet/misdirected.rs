//! Calls that arrived at another upstream than the one that was meant.
//!
//! After an upstream has ended, its address may go to one of another service. A call to
//! the earlier one then arrives at the other service as an extra call, which no budget was
//! charged for.

use std::net;
use std::time;

use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// A misdirected call whose service isn't known yet.
#[derive(Debug)]
struct Call {
    at: clock::Moment,
    address: net::SocketAddr,
    /// The service that was meant.
    meant: ids::Service,
}

/// Misdirected calls whose service isn't known yet.
#[derive(Debug, Default)]
pub(super) struct Misdirected(Vec<Call>);

impl Misdirected {
    fn add(&mut self, meant: &registry::Entry, window: time::Duration, now: clock::Moment) {
        self.0.retain(|call| now.since(call.at) < window);
        self.0.push(Call {
            at: now,
            address: meant.address,
            meant: meant.service.clone(),
        });
    }

    /// Removes the calls to the address of an upstream, and returns how many of them were
    /// meant for other services and arrived within the last `window`.
    fn take(
        &mut self,
        holder: &registry::Entry,
        window: time::Duration,
        now: clock::Moment,
    ) -> usize {
        let taken = self.0.extract_if(.., |call| call.address == holder.address);
        taken
            .filter(|call| call.meant != holder.service && now.since(call.at) < window)
            .count()
    }
}

impl forward::Fleet {
    /// Handles a reply that shows that a call of this VM to `upstream` has arrived at another
    /// upstream. If that is one of another service, the call is counted for that service, now
    /// or once it is known.
    pub fn call_misdirected(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let meant = self.registry.get(upstream).entry.clone();
        let holder = self.registry.at(meant.address);
        let holder = holder.filter(|holder| *holder != upstream);
        let service = holder.map(|holder| self.registry.get(holder).entry.service.clone());
        self.count_arrived_elsewhere(&meant, service.as_ref(), now);
        match service {
            Some(service) if service == meant.service => {}
            Some(service) => self.count_misdirected(&service, 1, now),
            None => {
                let window = self.policy.extra_window;
                self.misdirected.add(&meant, window, now);
            }
        }
    }

    /// Handles the registration of an upstream: counts the calls that arrived at it but were
    /// meant for another service.
    pub fn upstream_registered(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let entry = &self.registry.get(upstream).entry;
        let service = entry.service.clone();
        let window = self.policy.extra_window;
        let calls = self.misdirected.take(entry, window, now);
        self.count_misdirected(&service, calls, now);
    }

    /// Returns whether the upstream that calls itself `id` is known to be of another service
    /// than `upstream`.
    pub fn is_of_other_service(&self, id: &str, upstream: registry::Handle) -> bool {
        let known = id.parse().ok().and_then(|id| self.registry.handle(&id));
        let meant = &self.registry.get(upstream).entry.service;
        known.is_some_and(|known| self.registry.get(known).entry.service != *meant)
    }

    fn count_misdirected(&mut self, service: &ids::Service, calls: usize, now: clock::Moment) {
        for _ in 0..calls {
            self.allowance.add_misdirected(service, &self.policy, now);
        }
    }
}
