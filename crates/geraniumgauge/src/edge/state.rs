//! The edge's state, and what changes it. No awaits.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use tokio::net::tcp;
use tokio::sync;
use tokio::task;

use crate::edge;
use crate::edge::call;
use crate::edge::pool;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::route;
use crate::time as clock;

/// How long a call that nobody waits for may go on before its connection is
/// closed, which is the only way to stop it. Most end by themselves in this
/// time and leave the connection to the next call; a new one costs the upstream
/// a slot for some milliseconds. Upstreams must be free of a caller's request
/// half a second after it left.
pub(super) const ORPHAN_GRACE: time::Duration = time::Duration::from_millis(200);
/// Part of an upstream's own idle timeout after which a connection isn't used
/// again: it may be closed under the next call otherwise.
const IDLE_USED: f64 = 0.6;

/// A connection to an upstream.
#[derive(Debug)]
struct Link {
    upstream: registry::Handle,
    writer: Option<rc::Rc<tcp::OwnedWriteHalf>>,
    task: Option<task::AbortHandle>,
    call: Option<ids::Attempt>,
    /// Whether a part of the call is still being written.
    writing: bool,
    keep_alive: Option<time::Duration>,
    head_only: rc::Rc<cell::Cell<bool>>,
}

/// A request under way.
#[derive(Debug)]
struct Running {
    job: forward::Job,
    message: rc::Rc<call::Message>,
    done: rc::Rc<sync::Notify>,
    outcome: Option<forward::Outcome>,
}

/// What the tasks are to do that only they can.
#[derive(Debug)]
pub(super) enum Order {
    /// Open a connection.
    Open {
        link: pool::Link,
        address: std::net::SocketAddr,
        head_only: rc::Rc<cell::Cell<bool>>,
    },
    /// Write what didn't fit at once.
    Flush {
        link: pool::Link,
        writer: rc::Rc<tcp::OwnedWriteHalf>,
        rest: bytes::Bytes,
    },
    /// Look after orphaned calls.
    Sweep,
}

type Ended = (ids::Attempt, forward::Verdict);

/// The edge's state.
#[derive(Debug)]
pub(super) struct State {
    pub(super) fleet: forward::Fleet,
    pub(super) table: Option<route::Shared>,
    /// Whether the registrations were listed.
    pub(super) listed: bool,
    pub(super) orders: Vec<Order>,
    names: h1::Names,
    count: edge::Count,
    running: collections::HashMap<u64, Running>,
    calls: collections::HashMap<ids::Attempt, call::Call>,
    links: collections::HashMap<pool::Link, Link>,
    pools: Vec<pool::Pool>,
    orphans: collections::VecDeque<(clock::Moment, ids::Attempt)>,
    ended: collections::VecDeque<Ended>,
    next: u64,
    scratch: Vec<u8>,
}

impl State {
    pub(super) fn new(fleet: forward::Fleet, names: h1::Names, count: edge::Count) -> Self {
        Self {
            fleet,
            table: None,
            listed: false,
            orders: Vec::new(),
            names,
            count,
            running: collections::HashMap::new(),
            calls: collections::HashMap::new(),
            links: collections::HashMap::new(),
            pools: Vec::new(),
            orphans: collections::VecDeque::new(),
            ended: collections::VecDeque::new(),
            next: 0,
            scratch: Vec::new(),
        }
    }

    /// Begins a request; its id, by which the caller's task asks for the
    /// outcome.
    pub(super) fn submit(
        &mut self,
        entry: rc::Rc<route::table::Entry>,
        request: h1::Request,
        done: rc::Rc<sync::Notify>,
        now: clock::Moment,
    ) -> u64 {
        let order = forward::Request {
            entry,
            began: now,
            time_left: request.time_left,
        };
        let mut job = forward::Job::new(order, &mut self.fleet);
        let message = rc::Rc::new(call::Message {
            head_only: request.method == "HEAD",
            sharded: matches!(job.route().target, route::Target::Shards(_)),
            id: request.id,
            head: request.head,
            body: request.body,
            has_body: request.has_body,
            deadline: job.deadline(),
        });
        let mut actions = Vec::new();
        job.start(&mut self.fleet, now, &mut actions);
        self.next += 1;
        let id = self.next;
        let running = Running {
            job,
            message,
            done,
            outcome: None,
        };
        self.running.insert(id, running);
        self.act(id, actions, now);
        self.settle(now);
        id
    }

    /// The outcome of a request, once it has one; it is over then.
    pub(super) fn take(&mut self, id: u64) -> Option<(forward::Outcome, forward::Job)> {
        let running = self.running.get_mut(&id)?;
        let outcome = running.outcome.take()?;
        let running = self.running.remove(&id)?;
        Some((outcome, running.job))
    }

    /// When [`Self::tick`] is to be called for a request.
    pub(super) fn wake_at(&self, id: u64) -> Option<clock::Moment> {
        self.running.get(&id).map(|running| running.job.wake_at())
    }

    pub(super) fn tick(&mut self, id: u64, now: clock::Moment) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        let mut actions = Vec::new();
        running.job.tick(&mut self.fleet, now, &mut actions);
        self.act(id, actions, now);
        self.settle(now);
    }

    /// The caller of a request has left.
    pub(super) fn cancel(&mut self, id: u64, now: clock::Moment) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        let (done, all) = running.job.progress();
        log::info!(
            request = running.message.id.as_str(), parts_done = done, parts = all;
            "caller left"
        );
        let mut actions = Vec::new();
        running.job.cancel(&mut actions);
        self.act(id, actions, now);
        self.running.remove(&id);
        self.settle(now);
    }

    fn act(&mut self, id: u64, actions: Vec<forward::Action>, now: clock::Moment) {
        for action in actions {
            match action {
                forward::Action::Send {
                    call,
                    part,
                    upstream,
                    why,
                } => self.call(id, part, call, upstream, why, now),
                forward::Action::Abandon(call) => self.orphan(call, now),
                forward::Action::Finish(outcome) => {
                    if let Some(running) = self.running.get_mut(&id) {
                        running.outcome = Some(outcome);
                        running.done.notify_one();
                    }
                }
            }
        }
    }

    /// Tells jobs of the calls that ended, until none is left.
    fn settle(&mut self, now: clock::Moment) {
        while let Some((id, verdict)) = self.ended.pop_front() {
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            self.count.ended(kind(&verdict), now.since(call.began));
            if let Some((_, usual)) = call.orphan {
                self.orphan_ended(&call, &verdict, usual, now);
                continue;
            }
            let Some(running) = self.running.get_mut(&call.job) else {
                continue;
            };
            if !matches!(verdict, forward::Verdict::Good(_)) {
                let entry = &self.fleet.registry.get(call.upstream).entry;
                log::info!(
                    request = call.message.id.as_str(), service = entry.service.as_str(),
                    upstream = entry.id.as_str(), how = kind(&verdict),
                    took_ms = now.since(call.began).as_millis() as u64;
                    "call ended without a reply of use"
                );
            }
            let mut actions = Vec::new();
            let fleet = &mut self.fleet;
            running.job.ended(call.part, id, verdict, fleet, now, &mut actions);
            self.act(call.job, actions, now);
        }
    }

    fn orphan_ended(
        &mut self,
        call: &call::Call,
        verdict: &forward::Verdict,
        usual: time::Duration,
        now: clock::Moment,
    ) {
        let orphan = forward::Orphan {
            upstream: call.upstream,
            began: call.began,
            usual,
        };
        let replied = matches!(verdict, forward::Verdict::Good(_) | forward::Verdict::Failure(_));
        self.fleet.orphan_ended(&orphan, replied, now);
    }

    fn call(
        &mut self,
        job: u64,
        part: usize,
        id: ids::Attempt,
        upstream: registry::Handle,
        why: forward::Why,
        now: clock::Moment,
    ) {
        let Some(running) = self.running.get(&job) else {
            return;
        };
        self.count.call(why);
        let message = running.message.clone();
        if why != forward::Why::First {
            let entry = &self.fleet.registry.get(upstream).entry;
            log::info!(
                request = message.id.as_str(), service = entry.service.as_str(),
                upstream = entry.id.as_str(), why:% = why,
                age_ms = now.since(running.job.began()).as_millis() as u64;
                "extra call"
            );
        }
        let call = call::Call {
            job,
            part,
            upstream,
            began: now,
            message,
            link: None,
            orphan: None,
        };
        self.calls.insert(id, call);
        self.pool(upstream).waiting.push_back(id);
        self.dispatch(upstream, now);
    }

    fn pool(&mut self, upstream: registry::Handle) -> &mut pool::Pool {
        if self.pools.len() <= upstream.index() {
            let handles = self.fleet.registry.handles().max(upstream.index() + 1);
            self.pools.resize_with(handles, Default::default);
        }
        &mut self.pools[upstream.index()]
    }

    /// Gives waiting calls to idle connections, and opens what is missing.
    fn dispatch(&mut self, upstream: registry::Handle, now: clock::Moment) {
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
        let service = &self.fleet.registry.get(upstream).entry.service;
        let known = self.table.as_ref().and_then(|table| table.service(service));
        let limit = known.map_or(1, |service| service.max_connections);
        pool::Pool::allowed(limit, self.fleet.vms())
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
        self.next += 1;
        let link = pool::Link(self.next);
        let head_only = rc::Rc::new(cell::Cell::new(false));
        let pool = self.pool(upstream);
        pool.links += 1;
        pool.opening += 1;
        let known = Link {
            upstream,
            writer: None,
            task: None,
            call: None,
            writing: false,
            keep_alive: None,
            head_only: head_only.clone(),
        };
        self.links.insert(link, known);
        self.orders.push(Order::Open {
            link,
            address: self.fleet.registry.get(upstream).entry.address,
            head_only,
        });
    }

    /// The task that serves a connection runs.
    pub(super) fn started(&mut self, link: pool::Link, task: task::AbortHandle) {
        if let Some(known) = self.links.get_mut(&link) {
            known.task = Some(task);
        }
    }

    /// A connection is open.
    pub(super) fn connected(
        &mut self,
        link: pool::Link,
        writer: tcp::OwnedWriteHalf,
        now: clock::Moment,
    ) {
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        self.count.connection("open");
        known.writer = Some(rc::Rc::new(writer));
        let upstream = known.upstream;
        self.pool(upstream).opening -= 1;
        self.rest(link, now);
        self.settle(now);
    }

    /// A connection couldn't be opened.
    pub(super) fn unreachable(&mut self, link: pool::Link, error: &str, now: clock::Moment) {
        let Some(known) = self.links.remove(&link) else {
            return;
        };
        self.count.connection("failed");
        let entry = &self.fleet.registry.get(known.upstream).entry;
        log::info!(
            upstream = entry.id.as_str(), service = entry.service.as_str(), error = error;
            "upstream can't be connected to"
        );
        self.fleet.standing(known.upstream).unreachable(now);
        let pool = self.pool(known.upstream);
        pool.links -= 1;
        pool.opening -= 1;
        self.refuse_waiting(known.upstream);
        self.settle(now);
    }

    /// Ends the calls that wait for a connection to an upstream: nothing of
    /// them was sent.
    fn refuse_waiting(&mut self, upstream: registry::Handle) {
        let waiting = std::mem::take(&mut self.pool(upstream).waiting);
        let ended = waiting.into_iter().map(|call| (call, forward::Verdict::NotSent));
        self.ended.extend(ended);
    }

    fn write(&mut self, id: ids::Attempt, link: pool::Link, now: clock::Moment) {
        let (Some(call), Some(known)) = (self.calls.get_mut(&id), self.links.get_mut(&link)) else {
            return;
        };
        let Some(writer) = known.writer.clone() else {
            return;
        };
        known.call = Some(id);
        known.head_only.set(call.message.head_only);
        call.link = Some(link);
        let entry = &self.fleet.registry.get(call.upstream).entry;
        self.scratch.clear();
        call.message.write(&self.names, entry, now, &mut self.scratch);
        let written = match writer.try_write(&self.scratch) {
            Ok(written) => written,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => 0,
            Err(_) => {
                // Nothing of this call left the VM.
                self.ended.push_back((id, forward::Verdict::NotSent));
                self.close(link);
                return;
            }
        };
        if written < self.scratch.len() {
            known.writing = true;
            let rest = bytes::Bytes::copy_from_slice(&self.scratch[written..]);
            self.orders.push(Order::Flush { link, writer, rest });
        }
    }

    /// The rest of a call was written.
    pub(super) fn flushed(&mut self, link: pool::Link) {
        if let Some(known) = self.links.get_mut(&link) {
            known.writing = false;
        }
    }

    /// Whether a call waits for its reply on a connection.
    pub(super) fn is_busy(&self, link: pool::Link) -> bool {
        self.links.get(&link).is_some_and(|known| known.call.is_some())
    }

    /// A reply was read; `more` where bytes followed it. Returns whether the
    /// connection goes on.
    pub(super) fn replied(
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
        if reply.id.as_deref().is_some_and(|echoed| echoed != call.message.id) {
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
        let ends = reply.close || more || known.writing;
        let verdict = call.message.verdict(reply);
        self.ended.push_back((id, verdict));
        if ends {
            self.close(link);
        } else {
            self.rest(link, now);
        }
        self.settle(now);
        !ends
    }

    /// A connection ended, or what came on it is no reply.
    pub(super) fn ended(&mut self, link: pool::Link, error: &str, now: clock::Moment) {
        let Some(known) = self.links.get(&link) else {
            return;
        };
        if let Some(id) = known.call {
            let request = self.calls.get(&id).map(|call| call.message.id.as_str());
            log::info!(request = request, error = error; "connection ended under a call");
            self.ended.push_back((id, forward::Verdict::Lost));
        }
        self.close(link);
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

    fn close(&mut self, link: pool::Link) {
        let Some(known) = self.links.remove(&link) else {
            return;
        };
        let opening = known.writer.is_none();
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

    fn orphan(&mut self, id: ids::Attempt, now: clock::Moment) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let usual = self.running.get(&call.job).map(|running| running.job.times().median());
        call.orphan = Some((now, usual.unwrap_or_default()));
        if call.link.is_none() {
            let upstream = call.upstream;
            self.pool(upstream).waiting.retain(|waiting| *waiting != id);
            self.ended.push_back((id, forward::Verdict::NotSent));
            return;
        }
        if self.orphans.is_empty() {
            self.orders.push(Order::Sweep);
        }
        self.orphans.push_back((now + ORPHAN_GRACE, id));
    }

    /// Stops calls that nobody has waited for in a while; when to sweep again.
    pub(super) fn sweep(&mut self, now: clock::Moment) -> Option<clock::Moment> {
        while let Some((due, id)) = self.orphans.front().copied() {
            let link = self.calls.get(&id).and_then(|call| call.link);
            let Some(link) = link else {
                self.orphans.pop_front();
                continue;
            };
            if due > now {
                return Some(due);
            }
            self.orphans.pop_front();
            self.ended.push_back((id, forward::Verdict::Lost));
            let upstream = self.links.get(&link).map(|known| known.upstream);
            self.close(link);
            self.settle(now);
            if let Some(upstream) = upstream {
                self.dispatch(upstream, now);
            }
        }
        None
    }

    /// Takes what changed of the upstreams.
    pub(super) fn changed(&mut self, changes: &[registry::Change], now: clock::Moment) {
        for change in changes {
            let (upstream, what) = match change {
                registry::Change::Came(upstream) => (*upstream, "came"),
                registry::Change::Draining(upstream) => (*upstream, "draining"),
                registry::Change::Vanished(upstream) => (*upstream, "vanished"),
                registry::Change::Returned(upstream) => (*upstream, "returned"),
                registry::Change::Gone(upstream) => (*upstream, "gone"),
            };
            let entry = &self.fleet.registry.get(upstream).entry;
            log::info!(
                upstream = entry.id.as_str(), service = entry.service.as_str(), what = what,
                address:% = entry.address, born:% = entry.born;
                "upstream changed"
            );
            match change {
                registry::Change::Came(_) => self.warm(upstream),
                registry::Change::Draining(_) | registry::Change::Gone(_) => {
                    self.leave(upstream);
                }
                registry::Change::Vanished(_) | registry::Change::Returned(_) => {}
            }
        }
        self.settle(now);
    }

    /// Opens a first connection, so that the first request doesn't wait for it.
    /// Only where first calls will go: a connection of every VM to every
    /// upstream would pass the upstreams' limits on a fleet of some sixty, and
    /// most would close unused.
    fn warm(&mut self, upstream: registry::Handle) {
        if self.fleet.is_first_choice(upstream) {
            self.open(upstream);
        }
    }

    /// Sends nothing more to an upstream; its running calls go on.
    fn leave(&mut self, upstream: registry::Handle) {
        let idle = std::mem::take(&mut self.pool(upstream).idle);
        for (link, _) in idle {
            self.close(link);
        }
        self.refuse_waiting(upstream);
    }

    /// Requests under way.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }
}

fn kind(verdict: &forward::Verdict) -> &'static str {
    match verdict {
        forward::Verdict::Good(_) => "good",
        forward::Verdict::Failure(_) => "failure",
        forward::Verdict::NotRun { .. } => "not_run",
        forward::Verdict::Misdirected => "misdirected",
        forward::Verdict::NotSent => "not_sent",
        forward::Verdict::Lost => "lost",
    }
}
