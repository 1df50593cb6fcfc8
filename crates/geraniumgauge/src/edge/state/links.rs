//! Connections to upstreams, and which call goes over which.

use std::cell;
use std::rc;
use std::time;

use tokio::net::tcp;
use tokio::task;

use crate::edge::pool;
use crate::edge::sender;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// Part of an upstream's own idle timeout after which a connection isn't used
/// again: it may be closed under the next call otherwise.
const IDLE_USED: f64 = 0.6;

/// Upstreams that a line of the log names at most.
const MOST_NAMED: usize = 4;

/// A connection to an upstream.
#[derive(Debug)]
pub(super) struct Link {
    upstream: registry::Handle,
    sender: Option<sender::Sender>,
    task: Option<task::AbortHandle>,
    call: Option<ids::Attempt>,
    keep_alive: Option<time::Duration>,
    head_only: rc::Rc<cell::Cell<bool>>,
}

impl state::State {
    pub(super) fn pool(&mut self, upstream: registry::Handle) -> &mut pool::Pool {
        if self.pools.len() <= upstream.index() {
            let handles = self.fleet.registry.handles().max(upstream.index() + 1);
            self.pools.resize_with(handles, Default::default);
        }
        &mut self.pools[upstream.index()]
    }

    /// Whether a call to an upstream could go out at once.
    pub(super) fn has_idle(&mut self, upstream: registry::Handle) -> bool {
        !self.pool(upstream).idle.is_empty()
    }

    /// Gives waiting calls to idle connections, and opens what is missing.
    pub(super) fn dispatch(&mut self, upstream: registry::Handle, now: clock::Moment) {
        while let Some(call) = self.pool(upstream).waiting.front().copied() {
            let Some(link) = self.idle_link(upstream, now) else {
                break;
            };
            self.pool(upstream).waiting.pop_front();
            self.write(call, link, now);
        }
        let allowed = self.allowed(upstream);
        while self.pool(upstream).wants_link(allowed) {
            self.open(upstream);
        }
    }

    fn allowed(&self, upstream: registry::Handle) -> u32 {
        let entry = &self.fleet.registry.get(upstream).entry;
        let known = self
            .table
            .as_ref()
            .and_then(|table| table.service(&entry.service));
        let limit = known.map_or(1, |service| service.max_connections);
        let vms = self.fleet.vms();
        pool::Pool::allowed(self.relays.max_connections(&entry.data_centre, limit, vms))
    }

    /// The idle connection used last, unless the upstream may be closing it.
    fn idle_link(&mut self, upstream: registry::Handle, now: clock::Moment) -> Option<pool::Link> {
        while let Some((link, since)) = self.pool(upstream).idle.pop() {
            let known = self.links.get(&link)?;
            let usable = known.keep_alive.map(|keep| keep.mul_f64(IDLE_USED));
            if usable.is_none_or(|usable| now.since(since) < usable) {
                return Some(link);
            }
            self.close(link);
        }
        None
    }

    fn open(&mut self, upstream: registry::Handle) {
        let link = pool::Link(self.next());
        let head_only = rc::Rc::new(cell::Cell::new(false));
        let pool = self.pool(upstream);
        pool.links += 1;
        pool.opening += 1;
        let known = Link {
            upstream,
            sender: None,
            task: None,
            call: None,
            keep_alive: None,
            head_only: head_only.clone(),
        };
        self.links.insert(link, known);
        self.orders.push(state::Order::Open {
            link,
            address: self.fleet.registry.get(upstream).entry.address,
            head_only,
        });
    }

    /// The task that serves a connection runs.
    pub(in crate::edge) fn started(&mut self, link: pool::Link, task: task::AbortHandle) {
        if let Some(known) = self.links.get_mut(&link) {
            known.task = Some(task);
        }
    }

    /// A connection is open.
    pub(in crate::edge) fn connected(
        &mut self,
        link: pool::Link,
        writer: tcp::OwnedWriteHalf,
        now: clock::Moment,
    ) {
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        self.count.connection("open");
        known.sender = Some(sender::Sender::new(writer));
        let upstream = known.upstream;
        self.pool(upstream).opening -= 1;
        self.rest(link, now);
        self.settle(now);
    }

    /// A connection couldn't be opened.
    pub(in crate::edge) fn unreachable(
        &mut self,
        link: pool::Link,
        error: &str,
        now: clock::Moment,
    ) {
        let Some(known) = self.links.remove(&link) else {
            return;
        };
        self.count.connection("failed");
        let entry = &self.fleet.registry.get(known.upstream).entry;
        log::info!(
            upstream = entry.id.as_str(), service = entry.service.as_str(), error = error;
            "upstream can't be connected to"
        );
        self.fleet.health(known.upstream).unreachable(now);
        self.blame(known.upstream, now);
        let pool = self.pool(known.upstream);
        pool.links -= 1;
        pool.opening -= 1;
        self.refuse_waiting(known.upstream, now);
        self.settle(now);
    }

    /// Blames the requests under which an upstream that is gone was lost.
    fn blame(&mut self, upstream: registry::Handle, now: clock::Moment) {
        for request in self.fleet.suspects.unreachable(upstream, now) {
            let id = &self.fleet.registry.get(upstream).entry.id;
            let refused = self.fleet.suspects.is_quarantined(request, now);
            log::warn!(
                fingerprint:% = request, upstream = id.as_str(), refused = refused;
                "upstream crashed under a request"
            );
            // Whoever took the receiver stops with the process.
            let _ = self.blamed.send(request);
        }
    }

    /// Ends the calls that wait for a connection to an upstream: nothing of
    /// them was sent.
    fn refuse_waiting(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let waiting = std::mem::take(&mut self.pool(upstream).waiting);
        for call in waiting {
            self.end(call, forward::Verdict::NotSent, now);
        }
    }

    fn write(&mut self, id: ids::Attempt, link: pool::Link, now: clock::Moment) {
        let (Some(call), Some(known)) = (self.calls.get_mut(&id), self.links.get_mut(&link)) else {
            return;
        };
        let Some(sender) = known.sender.clone() else {
            return;
        };
        known.call = Some(id);
        known.head_only.set(call.message.head_only);
        call.link = Some(link);
        let entry = &self.fleet.registry.get(call.upstream).entry;
        self.scratch.clear();
        call.message
            .write(&self.names, entry, now, &mut self.scratch);
        if sender.send(&self.scratch).is_err() {
            // Nothing of this call left the VM.
            self.end(id, forward::Verdict::NotSent, now);
            self.close(link);
        }
    }

    /// Whether a call waits for its reply on a connection.
    pub(in crate::edge) fn is_busy(&self, link: pool::Link) -> bool {
        self.links
            .get(&link)
            .is_some_and(|known| known.call.is_some())
    }

    /// A reply was read; `more` where bytes followed it. Returns whether the
    /// connection goes on.
    pub(in crate::edge) fn replied(
        &mut self,
        link: pool::Link,
        reply: h1::Reply,
        more: bool,
        now: clock::Moment,
    ) -> bool {
        let Some(known) = self.links.get_mut(&link) else {
            return false;
        };
        let call = known.call.and_then(|id| Some((id, self.calls.get(&id)?)));
        let Some((id, call)) = call else {
            self.close(link);
            return false;
        };
        if reply
            .id
            .as_deref()
            .is_some_and(|echoed| echoed != call.message.id)
        {
            // A second reply to an earlier call: ours is still to come.
            log::warn!(
                request = call.message.id.as_str(), echoed = reply.id.as_deref();
                "reply to another request dropped"
            );
            return true;
        }
        known.call = None;
        known.keep_alive = reply.keep_alive.or(known.keep_alive);
        // While a part of the call is unwritten, the upstream would take the
        // next call's bytes for it.
        let writing = known
            .sender
            .as_ref()
            .is_some_and(sender::Sender::is_writing);
        let ends = reply.close || more || writing;
        let verdict = call.message.verdict(reply);
        self.end(id, verdict, now);
        if ends {
            self.close(link);
        } else {
            self.rest(link, now);
        }
        self.settle(now);
        !ends
    }

    /// A connection ended, or what came on it is no reply.
    pub(in crate::edge) fn ended(&mut self, link: pool::Link, error: &str, now: clock::Moment) {
        let Some(known) = self.links.get(&link) else {
            return;
        };
        let (upstream, call) = (known.upstream, known.call);
        if let Some(id) = call {
            let request = self.calls.get(&id).map(|call| call.message.id.as_str());
            log::info!(request = request, error = error; "connection ended under a call");
            if let Some(call) = self.calls.get(&id) {
                let request = call.message.fingerprint();
                self.fleet
                    .suspects
                    .connection_lost(call.upstream, request, now);
            }
            self.end(id, forward::Verdict::Lost, now);
        }
        self.close(link);
        if call.is_some() && self.fleet.registry.get(upstream).usable(now) != registry::Use::Never {
            // A new connection shows whether the upstream went with this one.
            self.open(upstream);
        }
        self.settle(now);
    }

    /// A connection has nothing to do: gives it a waiting call, or keeps it.
    fn rest(&mut self, link: pool::Link, now: clock::Moment) {
        let Some(known) = self.links.get(&link) else {
            return;
        };
        let upstream = known.upstream;
        if self.fleet.registry.get(upstream).usable(now) == registry::Use::Never {
            self.close(link);
            return;
        }
        self.pool(upstream).idle.push((link, now));
        self.dispatch(upstream, now);
    }

    pub(super) fn close(&mut self, link: pool::Link) {
        let Some(known) = self.links.remove(&link) else {
            return;
        };
        let opening = known.sender.is_none();
        let pool = self.pool(known.upstream);
        pool.links -= 1;
        if opening {
            pool.opening -= 1;
        }
        pool.forget_idle(link);
        if let Some(task) = known.task {
            task.abort();
        }
    }

    /// Takes what changed of the upstreams.
    pub(in crate::edge) fn changed(&mut self, changes: &[registry::Change], now: clock::Moment) {
        self.tell_changes(changes);
        for change in changes {
            match *change {
                registry::Change::Came(upstream) => self.warm(upstream),
                registry::Change::Draining(upstream) | registry::Change::Gone(upstream) => {
                    self.leave(upstream, now);
                }
                registry::Change::Vanished(_) | registry::Change::Returned(_) => {}
            }
        }
        self.settle(now);
    }

    /// Logs changes, a line for all that came together: the VMs that read the
    /// store tell each one's story.
    fn tell_changes(&self, changes: &[registry::Change]) {
        if changes.is_empty() {
            return;
        }
        let (mut came, mut draining, mut vanished, mut returned, mut gone) = (0, 0, 0, 0, 0);
        let mut named = Vec::new();
        for change in changes {
            let (upstream, count) = match *change {
                registry::Change::Came(upstream) => (upstream, &mut came),
                registry::Change::Draining(upstream) => (upstream, &mut draining),
                registry::Change::Vanished(upstream) => (upstream, &mut vanished),
                registry::Change::Returned(upstream) => (upstream, &mut returned),
                registry::Change::Gone(upstream) => (upstream, &mut gone),
            };
            *count += 1;
            if named.len() < MOST_NAMED {
                named.push(self.fleet.registry.get(upstream).entry.id.as_str());
            }
        }
        log::info!(
            came = came, draining = draining, vanished = vanished, returned = returned,
            gone = gone, first = named.join(" ");
            "upstreams changed"
        );
    }

    /// Opens a first connection, so that the first request doesn't wait for it.
    /// Only where this VM's own first calls will go: a connection of every VM to
    /// every upstream would pass the upstreams' limits on a fleet of some sixty,
    /// take slots from calls where all start at one moment, and most would close
    /// unused.
    fn warm(&mut self, upstream: registry::Handle) {
        let makes_calls = match self.relays.makes_own_calls() {
            // Once the other VMs are known, all are warmed.
            None => false,
            Some(true) => true,
            Some(false) => {
                let service = &self.fleet.registry.get(upstream).entry.service;
                let table = self.table.as_ref();
                table.is_some_and(|table| table.is_single(service))
            }
        };
        if makes_calls && self.fleet.is_first_choice(upstream) {
            self.open(upstream);
        }
    }

    /// Opens first connections to all upstreams that were known before the other
    /// VMs were.
    pub(in crate::edge) fn warm_all(&mut self) {
        let upstreams: Vec<registry::Handle> = self.fleet.registry.registered().collect();
        for upstream in upstreams {
            if self.pool(upstream).links == 0 {
                self.warm(upstream);
            }
        }
    }

    /// Sends nothing more to an upstream; its running calls go on.
    fn leave(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let idle = std::mem::take(&mut self.pool(upstream).idle);
        for (link, _) in idle {
            self.close(link);
        }
        self.refuse_waiting(upstream, now);
    }
}
