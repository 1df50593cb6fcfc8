//! Scheduling of calls for one upstream at one of its homes, without any I/O.
//!
//! One [`State`] holds the upstream's queue, connections and limit. After each
//! event it checks running calls, refuses waiting calls that can't be served,
//! sends waiting calls while there is capacity, and maintains the connections.

mod availability;
mod connections;
mod dispatch;
mod home_limits;
mod job;
mod latency;
mod limit;
mod losses;
mod maintenance;
mod queue;
mod running;

pub use availability::Availability;
pub use connections::Id as ConnectionId;
pub use home_limits::Limits;
pub use job::Answer;
pub use job::Id;
pub use job::Job;
pub use job::Work;

use std::time;

use crate::home::placement;
use crate::ids;
use crate::layout;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

/// How long a VM still serves calls after it stopped being a home: other VMs may
/// still see it as one. Longer than a view takes to spread.
pub const MOVE_GRACE: time::Duration = time::Duration::from_secs(2);
/// How long calls are still sent to an upstream after a layout no longer lists it:
/// queries under way have pinned the older layout.
pub const UNLISTED_GRACE: time::Duration = time::Duration::from_secs(1);
/// Maximum number of calls that wait for one upstream at one home.
pub const MAX_QUEUED_CALLS: usize = 4096;

/// An event that [`State::handle`] processes.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call has arrived.
    Call(Job),
    /// A call is no longer wanted.
    Cancel(Id),
    /// The mesh link to a VM is lost, so its calls can no longer be answered.
    CoordinatorLost(ids::Vm),
    /// The first byte of a reply has arrived.
    ReplyStarted(ConnectionId),
    /// A call has ended.
    Finished {
        /// The connection that carried the call.
        connection_id: ConnectionId,
        /// The reply, or how the call failed.
        reply: upstream::Reply,
    },
    /// A request to cancel the call on a connection has ended.
    Cancelled {
        /// The connection that carries the call.
        connection_id: ConnectionId,
        /// Set when the upstream knew the call and stops it. It doesn't know a call that
        /// has ended, nor one that the request to cancel it has overtaken.
        stopped: bool,
    },
    /// A health check of a call connection has ended.
    Checked {
        /// The connection that was checked.
        connection_id: ConnectionId,
        /// The upstream's health report, or why there is none.
        report: Report,
    },
    /// A probe over the control connection has ended.
    Probed {
        /// When the probe was sent.
        began: Moment,
        /// The upstream's health report, or why there is none.
        report: Report,
    },
    /// A coordinator asked when the upstream last answered.
    Inquiry,
    /// This VM's role for the upstream has changed.
    Role(Option<placement::Role>),
    /// The newest layout lists the upstream (true) or no longer does (false).
    Listed(bool),
    /// This VM is stopping.
    Leave,
    /// A timer fired; due work is done after every event.
    Tick,
}

/// The result of a request for a health report: `None` if the upstream answered with
/// something else.
pub type Report = Result<Option<upstream::Health>, upstream::Unanswered>;

/// An action that the caller of [`State::handle`] carries out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a call on a connection.
    Send {
        /// The connection to use.
        connection_id: ConnectionId,
        /// Set if the connection must still be opened.
        must_connect: bool,
        /// The call to send.
        job: Job,
        /// Time left until the call's deadline.
        time_left: time::Duration,
    },
    /// Requests a health report on a call connection.
    Check {
        /// The connection to use.
        connection_id: ConnectionId,
        /// Set if the connection must still be opened.
        must_connect: bool,
    },
    /// Requests a health report on the control connection.
    Probe,
    /// Asks the upstream to stop a call, over the control connection.
    Cancel {
        /// The connection that carries the call.
        connection_id: ConnectionId,
        /// The call's identifier at the upstream.
        call_id: String,
    },
    /// Closes a connection.
    Close {
        /// The connection to close.
        connection_id: ConnectionId,
        /// Why it is closed.
        reason: CloseReason,
    },
    /// Sends the result of a call to its coordinator.
    Answer(Answer),
    /// Reports that the call's connection was lost while the upstream may have run it.
    Lost(Job),
}

/// Why a connection is closed; shown as a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum CloseReason {
    /// It is no longer needed.
    #[display("idle")]
    Idle,
    /// It failed, or carried a reply that belongs to another call.
    #[display("broken")]
    Broken,
    /// The upstream did not answer on it in time.
    #[display("silent")]
    Silent,
    /// It is closed to make way for another connection.
    #[display("replaced")]
    Replaced,
}

/// One upstream as seen by one of its homes.
#[derive(Debug)]
pub struct State {
    upstream: layout::Upstream,
    role: Option<placement::Role>,
    /// When this VM stopped being a home; `None` if it never did.
    role_lost_at: Option<Moment>,
    /// When the newest layout stopped listing the upstream; `None` while listed.
    unlisted_since: Option<Moment>,
    leaving: bool,
    queue: queue::Queue,
    connections: connections::Pool,
    limit: limit::Limit,
    latency: latency::Latency,
    availability: availability::Tracker,
    probe: maintenance::Probe,
    uncertain_losses: Vec<losses::Uncertain>,
    overcommit: dispatch::Overcommit,
    /// Send time of the latest call or health request that has been answered.
    latest_answered_send: Moment,
    actions: Vec<Action>,
}

impl State {
    /// Creates the state for a home in `role`, without any connection.
    pub fn new(upstream: layout::Upstream, role: Option<placement::Role>, now: Moment) -> Self {
        Self {
            limit: limit::Limit::new(upstream.slots),
            upstream,
            role,
            role_lost_at: None,
            unlisted_since: None,
            leaving: false,
            queue: queue::Queue::default(),
            connections: connections::Pool::default(),
            latency: latency::Latency::new(),
            availability: availability::Tracker::new(now),
            probe: maintenance::Probe::new(now),
            uncertain_losses: Vec::new(),
            overcommit: dispatch::Overcommit::default(),
            latest_answered_send: Moment::default(),
            actions: Vec::new(),
        }
    }

    /// Processes one event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Call(job) => self.call(job, now),
            Event::Cancel(id) => self.cancel(&id, now),
            Event::CoordinatorLost(vm) => self.coordinator_lost(&vm, now),
            Event::ReplyStarted(connection_id) => self.reply_started(connection_id),
            Event::Finished {
                connection_id,
                reply,
            } => self.finished(connection_id, reply, now),
            Event::Cancelled {
                connection_id,
                stopped,
            } => self.cancelled(connection_id, stopped, now),
            Event::Checked {
                connection_id,
                report,
            } => self.checked(connection_id, report, now),
            Event::Probed { began, report } => self.probed(began, report, now),
            Event::Role(role) => self.set_role(role, now),
            Event::Listed(listed) => self.set_listed(listed, now),
            Event::Leave => self.leaving = true,
            Event::Inquiry => self.inquiry(now),
            Event::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns true if no call waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.running() == 0
    }

    /// Returns the number of running calls that are not yet answered.
    pub fn running(&self) -> usize {
        let calls = self.connections.busy();
        calls
            .filter(|(_, call)| call.abandoned_until.is_none() || call.owes_answer)
            .count()
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of call connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the upstream's layout entry that this state was created with.
    pub fn upstream(&self) -> &layout::Upstream {
        &self.upstream
    }

    /// Returns whether the upstream takes work.
    pub fn availability(&self) -> Availability {
        self.availability.current()
    }

    /// Returns this VM's role for the upstream.
    pub fn role(&self) -> Option<placement::Role> {
        self.role
    }

    /// Returns the send time of the latest call or health request that has been
    /// answered; `None` if there is none.
    pub fn latest_answered_send(&self) -> Option<Moment> {
        Some(self.latest_answered_send).filter(|sent| *sent > Moment::default())
    }

    /// Returns true if the newest layout lists the upstream.
    pub fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    /// Returns true if this state can be dropped: no calls, no connections, and this
    /// VM is no longer a home of the upstream or no layout lists it.
    pub fn is_finished(&self, now: Moment) -> bool {
        let is_empty = self.is_idle() && self.connections.len() == 0;
        is_empty && (self.limits(now).connections == 0 || self.is_unlisted(now))
    }

    /// Returns the maximum connections and calls of this home now.
    pub fn limits(&self, now: Moment) -> Limits {
        let in_grace = self
            .role_lost_at
            .is_some_and(|since| now < since + MOVE_GRACE);
        let role = match self.role {
            None if in_grace => Some(placement::Role::Reserve),
            role => role,
        };
        Limits::of(&self.upstream, role)
    }

    fn is_unlisted(&self, now: Moment) -> bool {
        self.unlisted_since
            .is_some_and(|since| since + UNLISTED_GRACE <= now)
    }

    /// Does all work that is due; called after each event.
    fn advance(&mut self, now: Moment) {
        self.availability.tick(now);
        self.check_running(now);
        self.refuse_unservable(now);
        self.dispatch(now);
        self.maintain_connections(now);
    }

    fn call(&mut self, job: Job, now: Moment) {
        if self.queue.contains(&job.id) || self.connections.carrying(&job.id).is_some() {
            return;
        }
        if self.queue.len() >= MAX_QUEUED_CALLS {
            return self.refuse(job, message::Outcome::Late, now);
        }
        self.queue.insert(job);
    }

    fn cancel(&mut self, id: &Id, now: Moment) {
        if let Some(job) = self.queue.remove(id) {
            return self.refuse(job, message::Outcome::Cancelled, now);
        }
        let Some(connection_id) = self.connections.carrying(id) else {
            return;
        };
        let Some(call) = self.connections.busy_mut(connection_id) else {
            return;
        };
        // A record that was sent can't be undone: it may take effect.
        if !call.job.is_record() {
            self.answer_and_abandon(connection_id, message::Outcome::Cancelled, now);
        }
    }

    fn coordinator_lost(&mut self, vm: &ids::Vm, now: Moment) {
        self.queue.remove_calls_of(vm);
        let of_coordinator = self.connections.busy().filter(|(_, call)| {
            call.job.id.coordinator == *vm
                && !call.job.is_record()
                && call.abandoned_until.is_none()
        });
        let connection_ids: Vec<_> = of_coordinator.map(|(id, _)| id).collect();
        for connection_id in connection_ids {
            self.abandon(connection_id, now);
        }
    }

    fn set_role(&mut self, role: Option<placement::Role>, now: Moment) {
        if role.is_none() && self.role.is_some() {
            self.role_lost_at = Some(now);
        }
        self.role = role;
    }

    fn set_listed(&mut self, listed: bool, now: Moment) {
        self.unlisted_since = match (listed, self.unlisted_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
    }

    /// Answers a call that was not sent.
    fn refuse(&mut self, job: Job, outcome: message::Outcome, now: Moment) {
        let queued = now.since(job.arrived);
        let retry_after = match outcome {
            message::Outcome::Late => self.wait_at(self.queue.len(), now),
            _ => time::Duration::ZERO,
        };
        self.actions.push(Action::Answer(Answer {
            job,
            outcome,
            reply: None,
            queued,
            ran: time::Duration::ZERO,
            retry_after,
        }));
    }
}

#[cfg(test)]
#[path = "../tests/state.rs"]
mod tests;
