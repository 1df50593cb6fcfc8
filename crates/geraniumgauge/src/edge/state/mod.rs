//! The edge's state, and what changes it. No awaits.

mod links;
mod orphans;
mod relay;
mod serve;
mod told;

pub(super) use orphans::ORPHAN_GRACE;

use std::cell;
use std::collections;
use std::rc;
use std::time;

use tokio::sync;

use crate::edge;
use crate::edge::call;
use crate::edge::pool;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::route;
use crate::time as clock;

/// A request under way.
#[derive(Debug)]
struct Running {
    job: forward::Job,
    message: rc::Rc<call::Message>,
    done: rc::Rc<sync::Notify>,
    outcome: Option<forward::Outcome>,
    /// Its calls that other VMs were asked to make.
    relayed: Vec<ids::Attempt>,
}

/// What the tasks are to do that only they can.
#[derive(Debug)]
pub(super) enum Order {
    /// Open a connection to an upstream.
    Open {
        link: pool::Link,
        address: std::net::SocketAddr,
        head_only: rc::Rc<cell::Cell<bool>>,
    },
    /// Look after orphaned calls.
    Sweep,
    /// Merge the replies to another VM's calls at a point in time.
    Merge { ask: u64, at: clock::Moment },
}

/// A call that has ended.
#[derive(Debug)]
struct Ended {
    call: ids::Attempt,
    verdict: forward::Verdict,
    at: clock::Moment,
}

/// The edge's state.
#[derive(Debug)]
pub(super) struct State {
    pub(super) fleet: forward::Fleet,
    pub(super) relays: forward::Relays,
    pub(super) table: Option<route::Shared>,
    /// Whether the registrations were listed.
    pub(super) listed: bool,
    pub(super) orders: Vec<Order>,
    names: h1::Names,
    count: edge::Count,
    running: collections::HashMap<u64, Running>,
    calls: collections::HashMap<ids::Attempt, call::Call>,
    links: collections::HashMap<pool::Link, links::Link>,
    pools: Vec<pool::Pool>,
    peers: relay::Peers,
    /// Takes the requests that the other VMs are to be told of.
    blamed: sync::mpsc::UnboundedSender<ids::Fingerprint>,
    orphans: collections::VecDeque<(clock::Moment, ids::Attempt)>,
    ended: collections::VecDeque<Ended>,
    next: u64,
    scratch: Vec<u8>,
}

impl State {
    pub(super) fn new(
        fleet: forward::Fleet,
        relays: forward::Relays,
        names: h1::Names,
        count: edge::Count,
        blamed: sync::mpsc::UnboundedSender<ids::Fingerprint>,
    ) -> Self {
        Self {
            fleet,
            blamed,
            relays,
            table: None,
            listed: false,
            orders: Vec::new(),
            names,
            count,
            running: collections::HashMap::new(),
            calls: collections::HashMap::new(),
            links: collections::HashMap::new(),
            pools: Vec::new(),
            peers: relay::Peers::default(),
            orphans: collections::VecDeque::new(),
            ended: collections::VecDeque::new(),
            next: 0,
            scratch: Vec::new(),
        }
    }

    /// A number never used before by this process.
    fn next(&mut self) -> u64 {
        self.next += 1;
        self.next
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
            head: request.head.into(),
            body: request.body,
            has_body: request.has_body,
            deadline: job.deadline(),
        });
        let mut actions = Vec::new();
        if self.is_quarantined(&message, now) {
            job.quarantine(&mut actions);
        } else {
            job.start(&mut self.fleet, now, &mut actions);
        }
        let id = self.next();
        let running = Running {
            job,
            message,
            done,
            outcome: None,
            relayed: Vec::new(),
        };
        self.running.insert(id, running);
        self.act(id, actions, now);
        self.settle(now);
        id
    }

    fn is_quarantined(&self, message: &call::Message, now: clock::Moment) -> bool {
        // Hashing each request only pays while any is blamed.
        !self.fleet.suspects.is_empty()
            && self
                .fleet
                .suspects
                .is_quarantined(message.fingerprint(), now)
    }

    /// The outcome of a request, once it has one; it is over then.
    pub(super) fn take(
        &mut self,
        id: u64,
        now: clock::Moment,
    ) -> Option<(forward::Outcome, forward::Job)> {
        let running = self.running.get_mut(&id)?;
        let outcome = running.outcome.take()?;
        let running = self.running.remove(&id)?;
        self.leave_relayed(&running.relayed, now);
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
        if let Some(running) = self.running.remove(&id) {
            self.leave_relayed(&running.relayed, now);
        }
        self.settle(now);
    }

    fn act(&mut self, id: u64, actions: Vec<forward::Action>, now: clock::Moment) {
        let mut sends = Vec::new();
        for action in actions {
            match action {
                forward::Action::Send(send) => sends.push(send),
                forward::Action::Abandon(call) => self.orphan(call, now),
                forward::Action::Silent(call) => self.helper_silent(call),
                forward::Action::Finish(outcome) => {
                    if let Some(running) = self.running.get_mut(&id) {
                        running.outcome = Some(outcome);
                        running.done.notify_one();
                    }
                }
            }
        }
        for send in self.relay(id, sends, now) {
            self.call(id, send, now);
        }
    }

    /// A call has ended; [`Self::settle`] tells its owner.
    fn end(&mut self, call: ids::Attempt, verdict: forward::Verdict, at: clock::Moment) {
        self.ended.push_back(Ended { call, verdict, at });
    }

    /// Tells the owners of calls of their ends, until none is left.
    fn settle(&mut self, now: clock::Moment) {
        while let Some(ended) = self.ended.pop_front() {
            let Some(call) = self.calls.remove(&ended.call) else {
                continue;
            };
            let took = ended.at.since(call.began);
            let good = matches!(ended.verdict, forward::Verdict::Good(_));
            if good && !self.fleet.suspects.is_empty() {
                self.fleet.suspects.clear(call.message.fingerprint());
            }
            self.count.ended(kind(&ended.verdict), took);
            if call.orphaned {
                self.orphan_ended(&call, &ended.verdict, now);
                continue;
            }
            match call.owner {
                call::Owner::Ask { ask, remote } => {
                    self.fleet
                        .record_end(&call.made(), &ended.verdict, took, now);
                    self.ask_ended(ask, remote, ended.verdict, took, now);
                }
                call::Owner::Job { job, part } => {
                    self.job_ended(job, part, &call, ended, took, now);
                }
            }
        }
    }

    fn job_ended(
        &mut self,
        id: u64,
        part: usize,
        call: &call::Call,
        ended: Ended,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        if !matches!(ended.verdict, forward::Verdict::Good(_)) {
            let entry = &self.fleet.registry.get(call.upstream).entry;
            log::info!(
                request = call.message.id.as_str(), service = entry.service.as_str(),
                upstream = entry.id.as_str(), how = kind(&ended.verdict),
                took_ms = took.as_millis() as u64;
                "call ended without a reply of use"
            );
        }
        let mut actions = Vec::new();
        let end = forward::End {
            call: ended.call,
            part,
            verdict: ended.verdict,
            took,
        };
        running.job.ended(end, &mut self.fleet, now, &mut actions);
        self.act(id, actions, now);
    }

    /// Makes a call for a job.
    fn call(&mut self, job: u64, send: forward::Send, now: clock::Moment) {
        let Some(running) = self.running.get(&job) else {
            return;
        };
        self.count.call(send.why);
        let message = running.message.clone();
        let owner = call::Owner::of(job, &send);
        let usual = running.job.latency().median();
        self.tell_extra(&message, &send, now);
        let call = call::Call::new(owner, send.upstream, message, usual, now);
        self.calls.insert(send.call, call);
        self.pool(send.upstream).waiting.push_back(send.call);
        self.dispatch(send.upstream, now);
    }

    /// Logs a call that isn't the first of its part.
    fn tell_extra(&self, message: &call::Message, send: &forward::Send, now: clock::Moment) {
        if send.why == forward::Why::First {
            return;
        }
        let entry = &self.fleet.registry.get(send.upstream).entry;
        log::info!(
            request = message.id.as_str(), service = entry.service.as_str(),
            upstream = entry.id.as_str(), why:% = send.why, payer:% = send.payer,
            left_ms = now.until(message.deadline).as_millis() as u64;
            "extra call"
        );
    }

    /// Requests under way, of callers and of other VMs.
    pub(super) fn running(&self) -> usize {
        self.running.len() + self.peers.asks()
    }
}

fn kind(verdict: &forward::Verdict) -> &'static str {
    match verdict {
        forward::Verdict::Good(_) => "good",
        forward::Verdict::Failure(_) => "failure",
        forward::Verdict::NotRun => "not_run",
        forward::Verdict::Misdirected => "misdirected",
        forward::Verdict::NotSent => "not_sent",
        forward::Verdict::Advised(_) => "advised",
        forward::Verdict::Unpaid => "unpaid",
        forward::Verdict::Lost => "lost",
    }
}
