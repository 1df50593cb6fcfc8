//! What a home decides about one upstream, without any I/O.
//!
//! One [`State`] holds the upstream's queue, connections and limit. Each event
//! is followed by the same round: what has fallen due is settled, connections
//! are kept in order, and waiting calls are sent while there is room.

mod dispatch;
mod job;
mod limit;
mod lines;
mod queue;
mod running;
mod share;
mod standing;
mod times;
mod upkeep;

pub use job::Answer;
pub use job::Id;
pub use job::Job;
pub use job::Work;
pub use lines::Link;
pub use share::Share;

use std::time;

use crate::home::placement;
use crate::ids;
use crate::layout;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

/// How long a VM that is no home any more still serves calls, from other VMs
/// whose view is behind. Longer than a view takes to spread.
pub const MOVE_GRACE: time::Duration = time::Duration::from_secs(2);
/// How long calls for an upstream that its layout no longer lists are still
/// sent: queries under way have pinned the older layout.
pub const UNLISTED_GRACE: time::Duration = time::Duration::from_secs(1);
/// Calls that wait at most.
pub const QUEUE_LIMIT: usize = 4096;

/// What happens to a home's upstream.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call came in.
    Call(Job),
    /// A call is no longer wanted.
    Cancel(Id),
    /// The link to a VM is gone: its calls can't be answered.
    EntryLost(ids::Vm),
    /// A reply has begun.
    Heard(Link),
    /// A call has ended.
    Finished {
        /// The connection that carried it.
        link: Link,
        /// How it ended.
        reply: upstream::Reply,
    },
    /// The upstream was asked to stop the call on this connection.
    Cancelled {
        /// The connection.
        link: Link,
        /// Whether it could be asked.
        asked: bool,
    },
    /// A connection was asked for a report.
    Proved {
        /// The connection.
        link: Link,
        /// What it answered.
        report: Report,
    },
    /// The control connection was asked for a report.
    Probed {
        /// When it was asked.
        began: Moment,
        /// What it answered.
        report: Report,
    },
    /// What this VM is to the upstream has changed.
    Role(Option<placement::Role>),
    /// Whether the newest layout lists the upstream.
    Listed(bool),
    /// This VM is stopping.
    Leave,
    /// Time has passed.
    Tick,
}

/// The upstream's answer to a request for a report.
pub type Report = Result<Option<upstream::Health>, upstream::Unanswered>;

/// What is to be done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a call on a connection.
    Send {
        /// The connection; not opened yet where `fresh`.
        link: Link,
        /// Whether it is a new one.
        fresh: bool,
        /// The call.
        job: Job,
        /// The time it has left.
        time_left: time::Duration,
    },
    /// Ask for a report on a call connection.
    Prove {
        /// The connection; not opened yet where `fresh`.
        link: Link,
        /// Whether it is a new one.
        fresh: bool,
    },
    /// Ask for a report on the control connection.
    Probe,
    /// Ask the upstream, over the control connection, to stop a call.
    CancelAt {
        /// The connection that carries the call.
        link: Link,
        /// The call's name at the upstream.
        id: String,
    },
    /// Close a connection.
    Close {
        /// The connection.
        link: Link,
        /// Why.
        why: Why,
    },
    /// Tell the entry what became of a call.
    Answer(Answer),
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum Why {
    /// It isn't needed.
    #[display("idle")]
    Idle,
    /// It broke, or carried a reply to something else.
    #[display("broken")]
    Broken,
    /// It stays silent.
    #[display("silent")]
    Silent,
    /// Another takes its place.
    #[display("replaced")]
    Replaced,
}

/// One upstream at one home.
#[derive(Debug)]
pub struct State {
    upstream: layout::Upstream,
    role: Option<placement::Role>,
    /// When this VM stopped being a home; `None` where it never was one.
    moved: Option<Moment>,
    unlisted: Option<Moment>,
    leaving: bool,
    queue: queue::Queue,
    lines: lines::Lines,
    limit: limit::Limit,
    times: times::Times,
    standing: standing::Standing,
    probe: upkeep::Probe,
    beside: dispatch::Beside,
    /// The latest moment at which something was sent that has been answered.
    proof: Moment,
    actions: Vec<Action>,
}

impl State {
    /// A home of `upstream` in `role`; it has no connection yet.
    pub fn new(upstream: layout::Upstream, role: Option<placement::Role>, now: Moment) -> Self {
        Self {
            limit: limit::Limit::new(upstream.slots),
            upstream,
            role,
            moved: None,
            unlisted: None,
            leaving: false,
            queue: queue::Queue::default(),
            lines: lines::Lines::default(),
            times: times::Times::new(),
            standing: standing::Standing::new(now),
            probe: upkeep::Probe::new(now),
            beside: dispatch::Beside::default(),
            proof: Moment::default(),
            actions: Vec::new(),
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Call(job) => self.call(job, now),
            Event::Cancel(id) => self.cancel(&id, now),
            Event::EntryLost(vm) => self.entry_lost(&vm, now),
            Event::Heard(link) => self.heard(link),
            Event::Finished { link, reply } => self.finished(link, reply, now),
            Event::Cancelled { link, asked } => self.cancelled(link, asked, now),
            Event::Proved { link, report } => self.proved(link, report, now),
            Event::Probed { began, report } => self.probed(began, report, now),
            Event::Role(role) => self.take_role(role, now),
            Event::Listed(listed) => self.listed(listed, now),
            Event::Leave => self.leaving = true,
            Event::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.running() == 0
    }

    /// Calls whose answer is open.
    pub fn running(&self) -> usize {
        let busy = self.lines.busy();
        busy.filter(|(_, busy)| busy.given_up.is_none()).count()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Connections held for calls.
    pub fn connections(&self) -> usize {
        self.lines.len()
    }

    /// The upstream, as this home was told of it.
    pub fn upstream(&self) -> &layout::Upstream {
        &self.upstream
    }

    /// What this VM is to the upstream.
    pub fn role(&self) -> Option<placement::Role> {
        self.role
    }

    /// Whether the newest layout lists the upstream.
    pub fn is_listed(&self) -> bool {
        self.unlisted.is_none()
    }

    /// Whether this VM holds nothing of the upstream and is no home of it.
    pub fn is_over(&self, now: Moment) -> bool {
        let served = self.is_idle() && self.lines.len() == 0;
        served && (self.share(now).connections == 0 || self.is_unlisted(now))
    }

    /// The means this home may use now.
    pub fn share(&self, now: Moment) -> Share {
        let staying = self.moved.is_some_and(|moved| now < moved + MOVE_GRACE);
        let role = match self.role {
            None if staying => Some(placement::Role::Next),
            role => role,
        };
        Share::of(&self.upstream, role)
    }

    fn is_unlisted(&self, now: Moment) -> bool {
        self.unlisted
            .is_some_and(|since| since + UNLISTED_GRACE <= now)
    }

    /// One round, after each event.
    fn advance(&mut self, now: Moment) {
        self.standing.tick(now);
        self.settle_running(now);
        self.settle_waiting(now);
        self.dispatch(now);
        self.keep_connections(now);
    }

    fn call(&mut self, job: Job, now: Moment) {
        if self.queue.contains(&job.id) || self.lines.carrying(&job.id).is_some() {
            return;
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return self.refuse(job, message::Outcome::Late, now);
        }
        self.queue.insert(job);
    }

    fn cancel(&mut self, id: &Id, now: Moment) {
        if let Some(job) = self.queue.remove(id) {
            return self.refuse(job, message::Outcome::Cancelled, now);
        }
        let Some(link) = self.lines.carrying(id) else {
            return;
        };
        let Some(busy) = self.lines.busy_mut(link) else {
            return;
        };
        // A record that was sent can't be called back: its effect may stand.
        if busy.job.is_record() {
            return;
        }
        let answer = busy.answer(message::Outcome::Cancelled, None, now);
        self.actions.push(Action::Answer(answer));
        self.give_up(link, now);
    }

    fn entry_lost(&mut self, vm: &ids::Vm, now: Moment) {
        self.queue.remove_entry(vm);
        let of_entry = self.lines.busy().filter(|(_, busy)| {
            busy.job.id.entry == *vm && !busy.job.is_record() && busy.given_up.is_none()
        });
        let links: Vec<_> = of_entry.map(|(link, _)| link).collect();
        for link in links {
            self.give_up(link, now);
        }
    }

    fn take_role(&mut self, role: Option<placement::Role>, now: Moment) {
        if role.is_none() && self.role.is_some() {
            self.moved = Some(now);
        }
        self.role = role;
    }

    fn listed(&mut self, listed: bool, now: Moment) {
        self.unlisted = match (listed, self.unlisted) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
    }

    /// Answers a call that was not sent.
    fn refuse(&mut self, job: Job, outcome: message::Outcome, now: Moment) {
        let queued = now.since(job.arrived);
        let retry_after = match outcome {
            message::Outcome::Late => self.wait_of(self.queue.len(), now),
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
