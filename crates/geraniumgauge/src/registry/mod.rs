//! The upstreams that are registered in the platform's store.
//!
//! The registry changes only with lists and changes read from the store; while
//! the store is unreachable it stays as it is. Latencies and failures observed
//! in calls are kept by [`crate::forward`].

use std::collections;
use std::net;
use std::time;

use crate::ids;
use crate::time as clock;

/// How long an upstream whose registration vanished without a drain may still be used
/// if its service has no other. Registrations that lapsed during a store outage
/// reappear within about two seconds of its end; until then a missing one doesn't
/// mean that the upstream is gone. Must be well below the time within which requests to
/// an upstream that has left must stop.
pub const VANISHED_GRACE: time::Duration = time::Duration::from_millis(2000);

/// Why an upstream can't be called on behalf of another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Error {
    /// It isn't registered here, and the request doesn't describe it.
    #[display("the upstream isn't known")]
    Unknown,
    /// It is draining or gone and gets no more requests.
    #[display("the upstream is leaving")]
    Leaving,
}

/// What a request of another VM says of an upstream that may not be registered here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Foreign {
    /// The store's revision of the registration's last change; 0 if it isn't said.
    pub revision: ids::Revision,
    /// The address at which it accepts calls.
    pub address: net::SocketAddr,
    /// The service that it belongs to.
    pub service: ids::Service,
}

/// An upstream's index in the registry; never reused while the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub struct Handle(pub u32);

impl Handle {
    /// The index into tables that hold one row for each handle.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The state that an upstream registers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes its running requests and takes no new ones.
    Draining,
}

/// An upstream's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The upstream's id.
    pub id: ids::Upstream,
    /// The service that it belongs to.
    pub service: ids::Service,
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: ids::DataCentre,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: State,
    /// Time left until the upstream is warmed up.
    pub warm_up: time::Duration,
    /// The store's revision of the registration's last change.
    pub revision: ids::Revision,
    /// Number of heartbeats that the upstream had sent at that change.
    pub heartbeats: u64,
    /// Start time by the upstream's own clock. The same id with another start
    /// time is another process, which knows nothing of the earlier one's requests.
    pub started_at: clock::Wall,
}

/// Whether an upstream may be given requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eligibility {
    /// Without restriction.
    Full,
    /// Only if its service has no other: its registration vanished recently.
    LastResort,
    /// Not at all: it is draining or gone, or its registration vanished too long ago.
    Never,
}

/// An upstream in the registry.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its latest registration.
    pub entry: Entry,
    /// When its warm-up ends.
    pub warm_at: clock::Moment,
    /// When its registration vanished without a drain.
    vanished: Option<clock::Moment>,
    /// Set once it gets no more requests for good.
    gone: bool,
    /// Set once another process has its id or its address.
    ended: bool,
}

/// Number of heartbeats up to which an upstream has just started.
const MAX_NEW_HEARTBEATS: u64 = 3;

impl Entry {
    /// Whether the upstream's process was new when it wrote this registration.
    pub fn is_new(&self) -> bool {
        self.heartbeats <= MAX_NEW_HEARTBEATS || !self.warm_up.is_zero()
    }
}

impl Upstream {
    /// Whether its process is known to have ended. One that is only gone may be paused and
    /// read later what was sent to it.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether it may be given requests at `now`.
    pub fn eligibility(&self, now: clock::Moment) -> Eligibility {
        if self.gone || self.entry.state == State::Draining {
            return Eligibility::Never;
        }
        match self.vanished {
            None => Eligibility::Full,
            Some(since) if now.since(since) < VANISHED_GRACE => Eligibility::LastResort,
            Some(_) => Eligibility::Never,
        }
    }
}

/// A change in the registry, for code that keeps connections or statistics of
/// upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A new upstream process registered.
    Registered(Handle),
    /// The upstream began to drain.
    Draining(Handle),
    /// The registration vanished without a drain.
    Vanished(Handle),
    /// The registration is back after it vanished.
    Returned(Handle),
    /// The upstream gets no more requests: it drained and left, its registration
    /// vanished too long ago, its id was registered again with another start time,
    /// address or service, or its address was registered later by another upstream.
    Gone(Handle),
}

/// The known upstreams, indexed by id and service.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: Vec<Upstream>,
    by_id: collections::HashMap<ids::Upstream, Handle>,
    by_service: collections::HashMap<ids::Service, Vec<Handle>>,
    by_address: collections::HashMap<net::SocketAddr, Handle>,
    /// Upstreams that are known only from other VMs' calls.
    foreign: collections::HashMap<ids::Upstream, Handle>,
}

impl Registry {
    /// Replaces the registrations by a complete list. Upstreams missing from it
    /// have vanished, up to `lag` ago.
    pub fn replace_all(
        &mut self,
        entries: Vec<Entry>,
        lag: time::Duration,
        now: clock::Moment,
    ) -> Vec<Change> {
        let listed: collections::HashSet<ids::Upstream> =
            entries.iter().map(|entry| entry.id.clone()).collect();
        let mut missing: Vec<ids::Upstream> = self
            .by_id
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        missing.sort();
        let mut changes: Vec<Change> = missing
            .iter()
            .filter_map(|id| self.remove(id, lag, now))
            .collect();
        for entry in entries {
            changes.extend(self.put(entry, now));
        }
        changes
    }

    /// Adds or updates one registration.
    pub fn put(&mut self, entry: Entry, now: clock::Moment) -> Vec<Change> {
        let Some(handle) = self.by_id.get(&entry.id).copied() else {
            return self.add(entry, now);
        };
        let known = &mut self.upstreams[handle.index()];
        let moved = known.entry.address != entry.address || known.entry.service != entry.service;
        if known.entry.started_at != entry.started_at || moved {
            let mut changes = vec![self.end(handle)];
            changes.extend(self.add(entry, now));
            return changes;
        }
        let mut changes = Vec::new();
        if known.vanished.take().is_some() {
            changes.push(Change::Returned(handle));
        }
        if known.entry.state != entry.state && entry.state == State::Draining {
            changes.push(Change::Draining(handle));
        }
        known.warm_at = now + entry.warm_up;
        known.entry = entry;
        changes
    }

    /// Removes one registration. The removal may have been up to `lag` ago, so the
    /// time for which the upstream may still be used counts from then.
    pub fn remove(
        &mut self,
        id: &ids::Upstream,
        lag: time::Duration,
        now: clock::Moment,
    ) -> Option<Change> {
        let handle = *self.by_id.get(id)?;
        let known = &mut self.upstreams[handle.index()];
        if known.entry.state == State::Draining {
            self.drop(handle);
            return Some(Change::Gone(handle));
        }
        if known.vanished.is_some() {
            return None;
        }
        known.vanished = Some(now.before(lag));
        Some(Change::Vanished(handle))
    }

    /// Removes upstreams that vanished at least [`VANISHED_GRACE`] ago.
    pub fn expire(&mut self, now: clock::Moment) -> Vec<Change> {
        let expired = |known: &Upstream| {
            let since = known.vanished.filter(|_| !known.gone);
            since.is_some_and(|since| now.since(since) >= VANISHED_GRACE)
        };
        let expired: Vec<Handle> = self
            .by_id
            .values()
            .copied()
            .filter(|handle| expired(&self.upstreams[handle.index()]))
            .collect();
        expired
            .into_iter()
            .map(|handle| {
                self.drop(handle);
                Change::Gone(handle)
            })
            .collect()
    }

    /// Returns the upstream of a handle, also after the upstream is gone.
    ///
    /// # Panics
    /// If another registry issued the handle and this one has fewer upstreams.
    pub fn get(&self, handle: Handle) -> &Upstream {
        &self.upstreams[handle.index()]
    }

    /// Returns the latest registration of upstream `id`, if it is registered.
    pub fn registration(&self, id: &ids::Upstream) -> Option<&Entry> {
        let handle = self.by_id.get(id)?;
        Some(&self.get(*handle).entry)
    }

    /// Returns the upstream that is registered with id `id`.
    pub fn handle(&self, id: &ids::Upstream) -> Option<Handle> {
        self.by_id.get(id).copied()
    }

    /// Returns the upstream that is registered at `address`.
    pub fn at(&self, address: net::SocketAddr) -> Option<Handle> {
        self.by_address.get(&address).copied()
    }

    /// Returns the upstream that this VM shall call on behalf of another VM.
    ///
    /// A VM that is cut off from the store doesn't know upstreams that registered
    /// meanwhile; refusing to call them would fail searches of all other VMs. If
    /// it is described, such an upstream is added, for calls on behalf of other
    /// VMs only.
    ///
    /// # Errors
    /// [`Error`] if the upstream is unknown and not described, or leaving.
    pub fn resolve(
        &mut self,
        id: &ids::Upstream,
        foreign: Option<Foreign>,
        data_centre: &ids::DataCentre,
        now: clock::Moment,
    ) -> Result<Handle, Error> {
        if let Some(known) = self.by_id.get(id).copied() {
            let upstream = self.get(known);
            let is_same = |foreign: &Foreign| upstream.entry.address == foreign.address;
            if foreign.as_ref().is_none_or(is_same) {
                let usable = upstream.eligibility(now) != Eligibility::Never;
                return if usable {
                    Ok(known)
                } else {
                    Err(Error::Leaving)
                };
            }
        }
        let Foreign {
            address,
            service,
            revision,
        } = foreign.ok_or(Error::Unknown)?;
        if self.at(address).is_some_and(|holder| {
            let holder = &self.get(holder).entry;
            holder.id != *id && holder.revision > revision
        }) {
            return Err(Error::Leaving);
        }
        if let Some(known) = self.foreign.get(id).copied()
            && self.get(known).entry.address == address
        {
            return Ok(known);
        }
        let entry = Entry {
            id: id.clone(),
            service,
            address,
            data_centre: data_centre.clone(),
            slots: 1,
            state: State::Ready,
            warm_up: time::Duration::ZERO,
            revision,
            heartbeats: 0,
            started_at: clock::Wall(0),
        };
        let handle = self.push(entry, now);
        self.foreign.insert(id.clone(), handle);
        Ok(handle)
    }

    /// Returns the upstreams of a service that aren't gone.
    pub fn of(&self, service: &ids::Service) -> &[Handle] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the registered upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.registered().map(|handle| self.get(handle))
    }

    /// Iterates over the handles of the registered upstreams.
    pub fn registered(&self) -> impl Iterator<Item = Handle> {
        self.by_id.values().copied()
    }

    /// Returns the number of registered upstreams.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns true if no upstream is registered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the number of handles issued so far.
    pub fn handles(&self) -> usize {
        self.upstreams.len()
    }

    /// Adds the registration of an unknown upstream, unless its address was registered
    /// later by another one.
    fn add(&mut self, entry: Entry, now: clock::Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(holder) = self.by_address.get(&entry.address).copied() {
            let held = self.get(holder).entry.revision;
            if held > entry.revision {
                return changes;
            }
            if held < entry.revision {
                changes.push(self.end(holder));
            }
        }
        let (id, service, address) = (entry.id.clone(), entry.service.clone(), entry.address);
        self.foreign.remove(&id);
        let handle = self.push(entry, now);
        self.by_id.insert(id, handle);
        self.by_address.insert(address, handle);
        self.by_service.entry(service).or_default().push(handle);
        changes.push(Change::Registered(handle));
        changes
    }

    /// Removes an upstream whose process has ended.
    fn end(&mut self, handle: Handle) -> Change {
        self.upstreams[handle.index()].ended = true;
        self.drop(handle);
        Change::Gone(handle)
    }

    fn push(&mut self, entry: Entry, now: clock::Moment) -> Handle {
        let handle = Handle(u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX));
        self.upstreams.push(Upstream {
            warm_at: now + entry.warm_up,
            entry,
            vanished: None,
            gone: false,
            ended: false,
        });
        handle
    }

    fn drop(&mut self, handle: Handle) {
        let known = &mut self.upstreams[handle.index()];
        known.gone = true;
        let (id, address) = (known.entry.id.clone(), known.entry.address);
        if self.by_id.get(&id) == Some(&handle) {
            self.by_id.remove(&id);
        }
        if self.by_address.get(&address) == Some(&handle) {
            self.by_address.remove(&address);
        }
        self.unlist(handle);
    }

    fn unlist(&mut self, handle: Handle) {
        let service = &self.upstreams[handle.index()].entry.service;
        if let Some(listed) = self.by_service.get_mut(service) {
            listed.retain(|other| *other != handle);
        }
    }
}

#[cfg(test)]
mod tests;
