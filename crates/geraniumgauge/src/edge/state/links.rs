//! Connections to upstreams and the assignment of calls to them.

use std::cell;
use std::io;
use std::rc;
use std::time;

use tokio::task;

use crate::edge::call;
use crate::edge::pool;
use crate::edge::sender;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// Fraction of an upstream's keep-alive timeout after which an idle connection
/// isn't used again. Later, the upstream might close it while a call is being sent.
const MAX_IDLE_FRACTION: f64 = 0.6;

/// A connection to an upstream.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) upstream: registry::Handle,
    pub(super) sender: Option<sender::Sender>,
    /// When the upstream was asked for its identity, until it has answered.
    pub(super) check: Option<clock::Moment>,
    task: Option<task::AbortHandle>,
    call: Option<ids::Attempt>,
    /// A call that was given up: the connection is closed for writing, and the upstream
    /// closes it once it has read the call.
    lingering: Option<ids::Attempt>,
    pub(super) keep_alive: Option<time::Duration>,
    head_only: rc::Rc<cell::Cell<bool>>,
}

impl state::State {
    /// Returns the connection pool of an upstream.
    pub(super) fn pool(&mut self, upstream: registry::Handle) -> &mut pool::Pool {
        if self.pools.len() <= upstream.index() {
            let handles = self.fleet.registry.handles().max(upstream.index() + 1);
            self.pools.resize_with(handles, Default::default);
        }
        &mut self.pools[upstream.index()]
    }

    /// Returns whether a call to an upstream could be sent at once.
    pub(in crate::edge) fn has_idle_connection(&mut self, upstream: registry::Handle) -> bool {
        !self.pool(upstream).idle.is_empty()
    }

    /// Assigns waiting calls to idle connections, and opens connections for the rest
    /// within the limit.
    pub(super) fn dispatch(&mut self, upstream: registry::Handle, now: clock::Moment) {
        while !self.pool(upstream).waiting.is_empty() {
            let Some(link) = self.idle_link(upstream, now) else {
                break;
            };
            if let Some(waiting) = self.pool(upstream).waiting.pop_front() {
                self.write(waiting, link, now);
            }
        }
        let allowed = self.allowed(upstream);
        while self.pool(upstream).needs_link(allowed) {
            self.open(upstream);
        }
    }

    fn eligibility(&self, upstream: registry::Handle, now: clock::Moment) -> registry::Eligibility {
        self.fleet.registry.get(upstream).eligibility(now)
    }

    /// Returns how many connections this VM may have to an upstream.
    fn allowed(&self, upstream: registry::Handle) -> u32 {
        let entry = &self.fleet.registry.get(upstream).entry;
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service(&entry.service));
        let limit = service.map_or(1, |service| service.max_connections);
        let vms = self.fleet.vms();
        pool::Pool::allowed(self.relays.max_connections(&entry.data_centre, limit, vms))
    }

    /// Takes the most recently used idle connection. Closes those that the upstream
    /// may be about to close.
    fn idle_link(&mut self, upstream: registry::Handle, now: clock::Moment) -> Option<pool::Link> {
        while let Some((link, since)) = self.pool(upstream).idle.pop() {
            let connection = self.links.get(&link)?;
            let max_idle = connection
                .keep_alive
                .map(|keep| keep.mul_f64(MAX_IDLE_FRACTION));
            if max_idle.is_none_or(|max_idle| now.since(since) < max_idle) {
                return Some(link);
            }
            self.close(link);
        }
        None
    }

    pub(super) fn open(&mut self, upstream: registry::Handle) {
        let link = pool::Link(self.new_id());
        let head_only = rc::Rc::new(cell::Cell::new(false));
        let pool = self.pool(upstream);
        pool.links += 1;
        pool.opening += 1;
        let connection = Link {
            upstream,
            sender: None,
            check: None,
            task: None,
            call: None,
            lingering: None,
            keep_alive: None,
            head_only: head_only.clone(),
        };
        self.links.insert(link, connection);
        self.effects.push(state::Effect::Open {
            link,
            address: self.fleet.registry.get(upstream).entry.address,
            head_only,
        });
    }

    /// Returns the upstream that a connection is for.
    pub(in crate::edge) fn upstream_of(&self, link: pool::Link) -> Option<registry::Handle> {
        self.links.get(&link).map(|connection| connection.upstream)
    }

    /// Stores the handle of the task that reads a connection.
    pub(in crate::edge) fn task_started(&mut self, link: pool::Link, task: task::AbortHandle) {
        if let Some(connection) = self.links.get_mut(&link) {
            connection.task = Some(task);
        }
    }

    /// Handles a connection that was opened.
    pub(in crate::edge) fn connected(
        &mut self,
        link: pool::Link,
        sender: sender::Sender,
        now: clock::Moment,
    ) {
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        self.instruments.connection("open");
        connection.sender = Some(sender);
        let upstream = connection.upstream;
        let unused = self.eligibility(upstream, now) == registry::Eligibility::Never;
        if unused || self.fleet.has_address(upstream, now) {
            self.pool(upstream).opening -= 1;
            self.release(link, now);
        } else {
            self.check_identity(link, now);
        }
        self.deliver_ended(now);
    }

    /// Handles a connection that couldn't be opened.
    pub(in crate::edge) fn unreachable(
        &mut self,
        link: pool::Link,
        error: &io::Error,
        now: clock::Moment,
    ) {
        let Some(connection) = self.links.remove(&link) else {
            return;
        };
        self.instruments.connection("failed");
        let entry = &self.fleet.registry.get(connection.upstream).entry;
        log::info!(
            upstream = entry.id.as_str(), service = entry.service.as_str(), error:% = error;
            "can't connect to upstream"
        );
        if error.kind() == io::ErrorKind::ConnectionRefused {
            self.fleet
                .upstream_gone(connection.upstream, "connection refused", now);
        }
        self.fleet.health(connection.upstream).unreachable(now);
        self.report_crash_suspects(connection.upstream, now);
        let pool = self.pool(connection.upstream);
        pool.links -= 1;
        pool.opening -= 1;
        self.end_waiting(connection.upstream, now);
        self.deliver_ended(now);
    }

    /// Records and reports as crash suspects the requests during which an upstream that
    /// is now unreachable closed its connections.
    pub(super) fn report_crash_suspects(&mut self, upstream: registry::Handle, now: clock::Moment) {
        for request in self.fleet.suspects.unreachable(upstream, now) {
            let id = &self.fleet.registry.get(upstream).entry.id;
            let refused = self.fleet.suspects.is_quarantined(request, now);
            log::warn!(
                fingerprint:% = request, upstream = id.as_str(), refused = refused;
                "upstream crashed while running a request"
            );
            // The receiver is only dropped when the process stops.
            let _ = self.crash_suspects.send(request);
        }
    }

    /// Ends the calls that wait for a connection to an upstream as not sent.
    pub(super) fn end_waiting(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let waiting = std::mem::take(&mut self.pool(upstream).waiting);
        for waiting in waiting {
            self.end(waiting.call, forward::Verdict::NotSent, now);
        }
    }

    /// Lets a call wait for a connection to its upstream.
    pub(super) fn wait_for_link(
        &mut self,
        upstream: registry::Handle,
        waiting: pool::Waiting,
        now: clock::Moment,
    ) {
        self.pool(upstream).waiting.push_back(waiting);
        self.dispatch(upstream, now);
    }

    /// Writes a call to a connection, which uses up its permit.
    fn write(&mut self, waiting: pool::Waiting, link: pool::Link, now: clock::Moment) {
        let id = waiting.send();
        let (Some(call), Some(connection)) = (self.calls.get_mut(&id), self.links.get_mut(&link))
        else {
            return;
        };
        let Some(sender) = connection.sender.clone() else {
            return;
        };
        connection.call = Some(id);
        connection.head_only.set(call.message.head_only);
        call.link = Some(link);
        let entry = &self.fleet.registry.get(call.upstream).entry;
        self.scratch.clear();
        let message = call.message.clone();
        let body = message.write(&self.names, entry, now, &mut self.scratch);
        if sender.send_with_body(&self.scratch, &body).is_err() {
            // No byte of the call was sent.
            self.end(id, forward::Verdict::NotSent, now);
            self.close(link);
        }
    }

    /// Returns whether a connection has a call or a check that waits for its reply.
    pub(in crate::edge) fn is_busy(&self, link: pool::Link) -> bool {
        self.links
            .get(&link)
            .is_some_and(|connection| connection.call.is_some() || connection.check.is_some())
    }

    /// Handles a reply; `extra_bytes` is set if more bytes were received after it.
    /// Returns whether the connection stays open.
    pub(in crate::edge) fn replied(
        &mut self,
        link: pool::Link,
        reply: h1::Reply,
        extra_bytes: bool,
        now: clock::Moment,
    ) -> bool {
        let Some(connection) = self.links.get_mut(&link) else {
            return false;
        };
        if let Some(asked_at) = connection.check {
            return self.check_answered(link, asked_at, &reply, now);
        }
        let call = connection
            .call
            .and_then(|id| Some((id, self.calls.get(&id)?)));
        let Some((id, call)) = call else {
            self.close(link);
            return false;
        };
        if reply
            .id
            .as_deref()
            .is_some_and(|echoed| echoed != call.message.id)
        {
            // A second reply to an earlier call; this call's reply is still to come.
            log::warn!(
                request = call.message.id.as_str(), echoed = reply.id.as_deref();
                "reply to another request dropped"
            );
            return true;
        }
        connection.call = None;
        connection.keep_alive = reply.keep_alive.or(connection.keep_alive);
        // If part of the call is still unwritten, the upstream would take the next
        // call's bytes for the rest of this one.
        let writing = connection
            .sender
            .as_ref()
            .is_some_and(sender::Sender::is_writing);
        let closes = reply.close || extra_bytes || writing || reply.id.is_none();
        let verdict = self.verdict(call, reply);
        self.end(id, verdict, now);
        if closes {
            self.close(link);
        } else {
            self.release(link, now);
        }
        self.deliver_ended(now);
        !closes
    }

    /// Classifies a reply to a call.
    fn verdict(&self, call: &call::Call, reply: h1::Reply) -> forward::Verdict {
        let answers = reply.upstream_id.clone();
        let entry = &self.fleet.registry.get(call.upstream).entry;
        let is_other = answers.as_ref().is_some_and(|id| id != entry.id.as_str());
        if reply.id.is_none() && !(reply.status == 421 && is_other) {
            // It may be additional bytes, and proves nothing.
            log::warn!(
                request = call.message.id.as_str(), service = entry.service.as_str(),
                upstream = entry.id.as_str(), status = reply.status;
                "reply names no request; it can't be used"
            );
            return forward::Verdict::Lost;
        }
        let elsewhere =
            answers.is_some_and(|id| self.fleet.is_of_other_service(&id, call.upstream));
        match call.message.verdict(reply) {
            forward::Verdict::Misdirected if elsewhere => forward::Verdict::AddressLost,
            verdict => verdict,
        }
    }

    /// Keeps the connection of a given-up call until the upstream closes it. It doesn't count
    /// any more, as the upstream closes it unless it is paused.
    pub(super) fn linger(&mut self, link: pool::Link, call: ids::Attempt, now: clock::Moment) {
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        let upstream = connection.upstream;
        connection.call = None;
        let finished = connection.sender.as_ref().map(sender::Sender::finish);
        if !matches!(finished, Some(Ok(()))) {
            self.call_over(call, upstream, true, now);
            return self.close(link);
        }
        connection.lingering = Some(call);
        self.lingering += 1;
        self.pool(upstream).links -= 1;
    }

    /// Handles a connection that ended or on which something other than a reply was
    /// received.
    pub(in crate::edge) fn ended(&mut self, link: pool::Link, error: &str, now: clock::Moment) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        if connection.check.is_some() {
            return self.check_failed(link, error, now);
        }
        let (upstream, call) = (connection.upstream, connection.call);
        if let Some(given_up) = connection.lingering {
            self.close(link);
            return self.call_over(given_up, upstream, true, now);
        }
        if let Some(id) = call {
            let request = self.calls.get(&id).map(|call| call.message.id.as_str());
            log::info!(request = request, error = error; "connection ended during a call");
            if let Some(call) = self.calls.get(&id) {
                let request = call.message.fingerprint();
                self.fleet
                    .suspects
                    .connection_lost(call.upstream, request, now);
            }
            self.end(id, forward::Verdict::Lost, now);
        }
        self.close(link);
        if call.is_some() && self.eligibility(upstream, now) != registry::Eligibility::Never {
            // Whether this one succeeds shows if the upstream crashed.
            self.open(upstream);
        }
        self.deliver_ended(now);
    }

    /// Returns a connection to its pool and assigns waiting calls; closes it if the
    /// upstream isn't to be used any more.
    pub(super) fn release(&mut self, link: pool::Link, now: clock::Moment) {
        let Some(connection) = self.links.get(&link) else {
            return;
        };
        let upstream = connection.upstream;
        if self.eligibility(upstream, now) == registry::Eligibility::Never {
            self.close(link);
            return;
        }
        self.pool(upstream).idle.push((link, now));
        self.dispatch(upstream, now);
    }

    /// Removes a connection and stops its task, which closes it.
    pub(super) fn close(&mut self, link: pool::Link) {
        let Some(connection) = self.links.remove(&link) else {
            return;
        };
        let opening = connection.sender.is_none() || connection.check.is_some();
        if connection.lingering.is_some() {
            self.lingering -= 1;
        } else {
            let pool = self.pool(connection.upstream);
            pool.links -= 1;
            if opening {
                pool.opening -= 1;
            }
            pool.remove_idle(link);
        }
        if let Some(task) = connection.task {
            task.abort();
        }
    }
}
