//! Which upstreams are known to have their addresses.
//!
//! A registration says where an upstream was when it was written. The upstream may have ended
//! since, and another one of another service may have its address; a call sent there arrives
//! as an extra call of that service. Only an answer of the upstream shows that it had the
//! address, and for a time afterwards no other upstream gets it.

use std::time;

use crate::forward;
use crate::registry;
use crate::time as clock;

/// When each upstream was last known to have its address, by the index of its handle.
#[derive(Debug, Default)]
pub(super) struct Addresses(Vec<Option<clock::Moment>>);

impl Addresses {
    fn held_at(&self, upstream: registry::Handle) -> Option<clock::Moment> {
        self.0.get(upstream.index()).copied().flatten()
    }

    fn set_held_at(&mut self, upstream: registry::Handle, at: clock::Moment) {
        if self.0.len() <= upstream.index() {
            self.0.resize(upstream.index() + 1, None);
        }
        let known = &mut self.0[upstream.index()];
        *known = (*known).max(Some(at));
    }
}

impl forward::Fleet {
    /// Handles an answer that only this upstream gives, to something that was sent at
    /// `asked_at`.
    pub fn upstream_identified(&mut self, upstream: registry::Handle, asked_at: clock::Moment) {
        self.addresses.set_held_at(upstream, asked_at);
    }

    /// Returns whether a connection that exists at `now` leads to this upstream, or to a
    /// process that has ended.
    pub fn has_address(&self, upstream: registry::Handle, now: clock::Moment) -> bool {
        let age = self.unheard_for(upstream, now);
        age.is_some_and(|age| age < self.policy.address_reuse_delay)
    }

    /// Returns the time since the upstream was last known to have its address.
    pub fn unheard_for(
        &self,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> Option<time::Duration> {
        self.addresses.held_at(upstream).map(|at| now.since(at))
    }

    /// Handles an answer which shows that another upstream has this one's address. No call
    /// was sent to it.
    pub fn address_lost(&mut self, upstream: registry::Handle, now: clock::Moment) {
        self.health(upstream).mark_misdirected();
        self.upstream_gone(upstream, "another upstream at its address", now);
    }
}
