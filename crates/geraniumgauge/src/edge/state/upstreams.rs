//! Changes of the upstreams' registrations.

use crate::edge::pool;
use crate::edge::state;
use crate::edge::state::links;
use crate::registry;
use crate::route;
use crate::time as clock;

/// Maximum number of upstreams named in one log line.
const MAX_LOGGED_UPSTREAMS: usize = 4;

impl state::State {
    /// Handles changes of the upstreams' registrations.
    pub(in crate::edge) fn upstreams_changed(
        &mut self,
        changes: &[registry::Change],
        now: clock::Moment,
    ) {
        self.log_changes(changes);
        for change in changes {
            match *change {
                registry::Change::Registered(upstream) => {
                    self.fleet.upstream_registered(upstream, now);
                    if self.registrations_listed {
                        self.fleet.upstream_returned(upstream, now);
                    }
                    self.preconnect(upstream);
                }
                registry::Change::Draining(upstream) => self.stop_using(upstream, now),
                registry::Change::Gone(upstream) => {
                    self.stop_using(upstream, now);
                    // One that is only paused reads later what was sent to it.
                    if self.fleet.registry.get(upstream).has_ended() {
                        self.fleet.upstream_gone(upstream, "another process", now);
                    }
                }
                registry::Change::Returned(upstream) => {
                    self.fleet.upstream_returned(upstream, now);
                }
                registry::Change::Vanished(_) => {}
            }
        }
        self.deliver_ended(now);
    }

    /// Logs changes of registrations in one line. The VMs that read the store log each
    /// one in detail.
    fn log_changes(&self, changes: &[registry::Change]) {
        if changes.is_empty() {
            return;
        }
        let (mut came, mut draining, mut vanished, mut returned, mut gone) = (0, 0, 0, 0, 0);
        let mut ids = Vec::new();
        for change in changes {
            let (upstream, count) = match *change {
                registry::Change::Registered(upstream) => (upstream, &mut came),
                registry::Change::Draining(upstream) => (upstream, &mut draining),
                registry::Change::Vanished(upstream) => (upstream, &mut vanished),
                registry::Change::Returned(upstream) => (upstream, &mut returned),
                registry::Change::Gone(upstream) => (upstream, &mut gone),
            };
            *count += 1;
            if ids.len() < MAX_LOGGED_UPSTREAMS {
                ids.push(self.fleet.registry.get(upstream).entry.id.as_str());
            }
        }
        log::info!(
            came = came, draining = draining, vanished = vanished, returned = returned,
            gone = gone, first = ids.join(" ");
            "upstreams changed"
        );
    }

    /// Opens a connection to a new upstream in advance, so that the first request
    /// doesn't wait for one. Only done for upstreams that this VM itself calls first:
    /// if every VM connected to every upstream, a fleet of about sixty would exceed
    /// the upstreams' connection limits, VMs that start at the same time would take
    /// slots from calls, and most connections would be closed unused.
    ///
    /// Needs the configuration, by which a new connection is checked.
    fn preconnect(&mut self, upstream: registry::Handle) {
        let service = &self.fleet.registry.get(upstream).entry.service;
        let Some(table) = self
            .table
            .as_ref()
            .filter(|table| table.service(service).is_some())
        else {
            return;
        };
        let makes_calls = match self.relays.makes_own_calls() {
            // `preconnect_all` does this once the other VMs are known.
            None => false,
            Some(true) => true,
            Some(false) => table.is_single(service),
        };
        if makes_calls && self.fleet.is_first_choice(upstream) {
            self.open(upstream);
        }
    }

    /// Opens connections in advance to upstreams of services that the configuration didn't
    /// name before.
    pub(in crate::edge) fn preconnect_new_services(&mut self, before: Option<&route::Table>) {
        let is_new = |upstream: &registry::Handle| {
            let service = &self.fleet.registry.get(*upstream).entry.service;
            before.is_none_or(|before| before.service(service).is_none())
        };
        let new: Vec<registry::Handle> = self.fleet.registry.registered().filter(is_new).collect();
        self.preconnect_each(&new);
    }

    /// Opens connections in advance to upstreams that became known before the other
    /// VMs did.
    pub(in crate::edge) fn preconnect_all(&mut self) {
        let upstreams: Vec<registry::Handle> = self.fleet.registry.registered().collect();
        self.preconnect_each(&upstreams);
    }

    fn preconnect_each(&mut self, upstreams: &[registry::Handle]) {
        for upstream in upstreams {
            if self.pool(*upstream).links == 0 {
                self.preconnect(*upstream);
            }
        }
    }

    /// Stops sending calls to an upstream. Calls in progress continue.
    fn stop_using(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let idle = std::mem::take(&mut self.pool(upstream).idle);
        for (link, _) in idle {
            self.close(link);
        }
        let is_checked = |link: &links::Link| link.upstream == upstream && link.check.is_some();
        let checked = self.links.iter().filter(|(_, link)| is_checked(link));
        let checked: Vec<pool::Link> = checked.map(|(id, _)| *id).collect();
        for link in checked {
            self.close(link);
        }
        self.end_waiting(upstream, now);
    }
}
