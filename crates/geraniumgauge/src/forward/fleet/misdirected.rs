//! Calls that arrived at another upstream than the one that was meant.
//!
//! After an upstream has ended, its address may go to one of another service. A call to
//! the earlier one then arrives at the other service as an extra call, which no budget was
//! charged for.

use std::net;
use std::time;

use crate::forward;
use crate::registry;
use crate::time as clock;

/// Misdirected calls whose service isn't known yet.
#[derive(Debug, Default)]
pub(super) struct Misdirected(Vec<(clock::Moment, net::SocketAddr)>);

impl Misdirected {
    fn add(&mut self, address: net::SocketAddr, window: time::Duration, now: clock::Moment) {
        self.0.retain(|(at, _)| now.since(*at) < window);
        self.0.push((now, address));
    }

    /// Removes the calls to an address, and returns how many of them arrived within the last
    /// `window`.
    fn take(
        &mut self,
        address: net::SocketAddr,
        window: time::Duration,
        now: clock::Moment,
    ) -> usize {
        let taken = self.0.extract_if(.., |(_, other)| *other == address);
        taken.filter(|(at, _)| now.since(*at) < window).count()
    }
}

impl forward::Fleet {
    /// Handles a reply that shows that a call of this VM to `upstream` has arrived at another
    /// upstream: counts it for the service that has the address, now or once it is known.
    pub fn call_misdirected(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let meant = self.registry.get(upstream).entry.clone();
        let holder = self.registry.at(meant.address);
        let holder = holder.filter(|holder| *holder != upstream);
        let service = holder.map(|holder| self.registry.get(holder).entry.service.clone());
        self.count_arrived_elsewhere(&meant, service.as_ref(), now);
        match holder {
            Some(holder) => self.count_misdirected(holder, 1, now),
            None => {
                let window = self.policy.extra_window;
                self.misdirected.add(meant.address, window, now);
            }
        }
    }

    /// Handles the registration of an upstream: counts the calls that arrived at it but were
    /// meant for another one.
    pub fn upstream_registered(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let address = self.registry.get(upstream).entry.address;
        let window = self.policy.extra_window;
        let calls = self.misdirected.take(address, window, now);
        self.count_misdirected(upstream, calls, now);
    }

    fn count_misdirected(&mut self, at: registry::Handle, calls: usize, now: clock::Moment) {
        let service = &self.registry.get(at).entry.service;
        for _ in 0..calls {
            self.allowance.add_misdirected(service, &self.policy, now);
        }
    }
}
