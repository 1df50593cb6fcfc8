//! The edge's state and every change to it, as synchronous code. Work that needs a
//! task is queued as [`Effect`]s.

mod abandoned;
mod ended;
mod given_up;
mod handover;
mod identity;
mod links;
mod peers;
mod relay;
mod report;
mod serve;
mod upstreams;

pub(super) use abandoned::ABANDONED_CALL_GRACE;

use std::cell;
use std::collections;
use std::fmt;
use std::net;
use std::rc;

use tokio::sync;

use crate::edge;
use crate::edge::call;
use crate::edge::pool;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::route;
use crate::time as clock;

/// A caller's request in progress.
#[derive(Debug)]
struct Running {
    job: forward::Job,
    message: rc::Rc<call::Message>,
    /// Wakes the caller's task when there is an outcome or an earlier wake time.
    done: rc::Rc<sync::Notify>,
    outcome: Option<forward::Outcome>,
    /// Calls that were handed to relays.
    relayed: Vec<ids::Attempt>,
}

/// Work that needs a task: I/O or a timer. [`edge::Engine`] carries it out.
#[derive(Debug)]
pub(super) enum Effect {
    /// Open a connection to an upstream.
    Open {
        link: pool::Link,
        address: std::net::SocketAddr,
        head_only: rc::Rc<cell::Cell<bool>>,
    },
    /// Handle the check of a connection as overdue at time `at`.
    CheckOverdue { link: pool::Link, at: clock::Moment },
    /// Start the task that stops abandoned calls after a grace period.
    Sweep,
    /// Merge and report the replies to a requester's batch at time `at`.
    Merge { batch: u64, at: clock::Moment },
}

/// The state of the edge: requests, calls, connections and what is known of
/// upstreams and relays.
#[derive(Debug)]
pub(super) struct State {
    pub(super) fleet: forward::Fleet,
    pub(super) relays: forward::Relays,
    /// The address at which this VM receives messages of other VMs.
    pub(super) own_address: Option<net::SocketAddr>,
    pub(super) table: Option<route::Shared>,
    /// Set once the upstreams' registrations have been listed.
    pub(super) registrations_listed: bool,
    pub(super) effects: Vec<Effect>,
    names: h1::Names,
    instruments: edge::Instruments,
    running: collections::HashMap<u64, Running>,
    calls: collections::HashMap<ids::Attempt, call::Call>,
    links: collections::HashMap<pool::Link, links::Link>,
    /// Number of connections that are kept for given-up calls.
    lingering: usize,
    pools: Vec<pool::Pool>,
    peers: peers::Peers,
    /// Sends crash suspects to the task that reports them to the other VMs.
    crash_suspects: sync::mpsc::UnboundedSender<ids::Fingerprint>,
    /// Abandoned calls in progress and when to stop each, soonest first.
    abandoned: collections::VecDeque<(clock::Moment, ids::Attempt)>,
    ended: collections::VecDeque<ended::Ended>,
    last_id: u64,
    /// Reused buffer for encoding calls.
    scratch: Vec<u8>,
}

impl State {
    pub(super) fn new(
        fleet: forward::Fleet,
        relays: forward::Relays,
        names: h1::Names,
        instruments: edge::Instruments,
        crash_suspects: sync::mpsc::UnboundedSender<ids::Fingerprint>,
    ) -> Self {
        Self {
            fleet,
            crash_suspects,
            relays,
            own_address: None,
            table: None,
            registrations_listed: false,
            effects: Vec::new(),
            names,
            instruments,
            running: collections::HashMap::new(),
            calls: collections::HashMap::new(),
            links: collections::HashMap::new(),
            lingering: 0,
            pools: Vec::new(),
            peers: peers::Peers::default(),
            abandoned: collections::VecDeque::new(),
            ended: collections::VecDeque::new(),
            last_id: 0,
            scratch: Vec::new(),
        }
    }

    /// Returns an id that this process hasn't used before.
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Starts a request and returns its id, with which the caller's task polls
    /// [`Self::take`].
    pub(super) fn submit(
        &mut self,
        entry: rc::Rc<route::table::Entry>,
        request: h1::Request,
        done: rc::Rc<sync::Notify>,
        now: clock::Moment,
    ) -> u64 {
        let job_request = forward::Request {
            entry,
            began: now,
            time_left: request.time_left,
        };
        let mut job = forward::Job::new(job_request, &mut self.fleet);
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
        let id = self.new_id();
        let running = Running {
            job,
            message,
            done,
            outcome: None,
            relayed: Vec::new(),
        };
        self.running.insert(id, running);
        self.apply(id, actions, now);
        self.deliver_ended(now);
        id
    }

    fn is_quarantined(&self, message: &call::Message, now: clock::Moment) -> bool {
        // Skips hashing the request while there are no crash suspects.
        !self.fleet.suspects.is_empty()
            && self
                .fleet
                .suspects
                .is_quarantined(message.fingerprint(), now)
    }

    /// Removes a request that has an outcome and returns both; `None` while it is
    /// in progress.
    pub(super) fn take(
        &mut self,
        id: u64,
        now: clock::Moment,
    ) -> Option<(forward::Outcome, forward::Job)> {
        let running = self.running.get_mut(&id)?;
        let outcome = running.outcome.take()?;
        let running = self.running.remove(&id)?;
        self.abandon_relayed(&running.relayed, now);
        Some((outcome, running.job))
    }

    /// Returns when [`Self::tick`] is to be called for a request.
    pub(super) fn wake_at(&self, id: u64) -> Option<clock::Moment> {
        self.running.get(&id).map(|running| running.job.wake_at())
    }

    /// Handles the timers of a request that are due.
    pub(super) fn tick(&mut self, id: u64, now: clock::Moment) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        let mut actions = Vec::new();
        running.job.tick(&mut self.fleet, now, &mut actions);
        self.apply(id, actions, now);
        self.deliver_ended(now);
    }

    /// Cancels a request whose caller has disconnected.
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
        self.apply(id, actions, now);
        if let Some(running) = self.running.remove(&id) {
            self.abandon_relayed(&running.relayed, now);
        }
        self.deliver_ended(now);
    }

    /// Carries out a job's actions.
    fn apply(&mut self, id: u64, actions: Vec<forward::Action>, now: clock::Moment) {
        let mut sends = Vec::new();
        for action in actions {
            match action {
                forward::Action::Send(send) => sends.push(send),
                forward::Action::Abandon(call) => self.abandon(call, now),
                forward::Action::ReportSilentRelay(call) => self.relay_silent(call),
                forward::Action::Finish(outcome) => {
                    if let Some(running) = self.running.get_mut(&id) {
                        running.outcome = Some(outcome);
                        running.done.notify_one();
                    }
                }
            }
        }
        for send in self.relay_calls(id, sends, now) {
            self.start_call(id, send, now);
        }
    }

    /// Starts a call for a job on one of this VM's own connections. Ends it if this VM has no
    /// permit for it.
    fn start_call(&mut self, job: u64, send: forward::Send, now: clock::Moment) {
        let Some(running) = self.running.get(&job) else {
            return;
        };
        let message = running.message.clone();
        let owner = call::Owner::of(job, &send);
        let typical_call_time = running.job.latency().median();
        self.log_extra_call(&message, &send, now);
        let call = call::Call::new(owner, send.upstream, message, typical_call_time, now);
        self.calls.insert(send.call, call);
        let Some(permit) = send.payment.into_permit() else {
            return self.end(send.call, forward::Verdict::NoBudget, now);
        };
        self.instruments.call(send.reason);
        if send.reason == forward::CallReason::First {
            self.fleet.count_first_call(send.upstream, now);
        }
        let call = send.call;
        self.wait_for_link(send.upstream, pool::Waiting::new(call, permit), now);
    }

    /// Logs and counts an extra call that a budget of this VM is charged for.
    fn log_extra_call(
        &mut self,
        message: &call::Message,
        send: &forward::Send,
        now: clock::Moment,
    ) {
        if !send.payment.is_charged_here() {
            return;
        }
        let usage = self.fleet.extra_usage(send.call, now);
        let entry = &self.fleet.registry.get(send.upstream).entry;
        log::info!(
            budget:% = OrDash(usage),
            request = message.id.as_str(), service = entry.service.as_str(),
            upstream = entry.id.as_str(), why:% = send.reason,
            left_ms = now.until(message.deadline).as_millis() as u64,
            vm_age_ms = now.since(clock::Moment::default()).as_millis() as u64,
            vms = self.fleet.vms(), vms_known = self.relays.known_vms();
            "extra call"
        );
        self.instruments.extra_call_sent(&entry.service, usage);
    }

    /// Returns the number of callers' requests and requesters' batches in progress.
    pub(super) fn running(&self) -> usize {
        self.running.len() + self.peers.batch_count()
    }
}

/// Displays a value, or a dash in place of none.
struct OrDash<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OrDash<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(formatter),
            None => formatter.write_str("-"),
        }
    }
}
