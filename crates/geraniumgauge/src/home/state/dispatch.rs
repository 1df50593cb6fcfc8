//! Chooses which waiting calls are sent and which are refused as too late.

use std::time;

use super::Action;
use super::State;
use super::availability;
use super::connections;
use super::job;
use crate::mesh::message;
use crate::time::Moment;

/// A hedge or retry uses a connection only if its last reply is at most this old, or
/// as old as the p95 latency if that is shorter; otherwise a new connection. The
/// first attempt was sent about one p95 latency ago, and what delays it may delay
/// every connection that has carried no reply since.
const MAX_REPLY_AGE: time::Duration = time::Duration::from_millis(50);
/// How long no call is sent beyond the limit after the upstream shed such a call.
const OVERCOMMIT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Limits the calls that are sent beyond the limit while suspects take it up. A call
/// on a silent connection counts against the limit although the upstream may have
/// ended it.
///
/// One such call runs at first. Each that succeeds shows that the upstream has
/// capacity and allows one more. One that is shed shows that the suspects do run at
/// the upstream, and sets the maximum back to one.
#[derive(Debug)]
pub(super) struct Overcommit {
    max_calls: usize,
    /// When the next such call may be sent.
    allowed_from: Moment,
}

impl Default for Overcommit {
    fn default() -> Self {
        Self {
            max_calls: 1,
            allowed_from: Moment::default(),
        }
    }
}

impl Overcommit {
    pub(super) fn succeeded(&mut self) {
        self.max_calls = self.max_calls.saturating_add(1);
    }

    pub(super) fn shed(&mut self, now: Moment) {
        self.max_calls = 1;
        self.allowed_from = now + OVERCOMMIT_DELAY;
    }

    pub(super) fn allowed_from(&self) -> Moment {
        self.allowed_from
    }
}

/// Capacity that the next call would use.
enum Capacity {
    WithinLimit,
    OverLimit,
}

impl State {
    /// Returns why no call may be sent at all, if so.
    fn refusal(&self, now: Moment) -> Option<message::Outcome> {
        if self.leaving {
            return Some(message::Outcome::Stopping);
        }
        if self.limits(now).connections == 0 {
            return Some(message::Outcome::NotHome);
        }
        if self.is_unlisted(now) {
            return Some(message::Outcome::Draining);
        }
        match self.availability.current() {
            availability::Availability::Draining => Some(message::Outcome::Draining),
            availability::Availability::Down => Some(message::Outcome::Unreachable),
            availability::Availability::Open | availability::Availability::Unconfirmed => None,
        }
    }

    /// Refuses calls that can't be sent or would end too late. They are refused at
    /// once, so that their coordinator has time to try elsewhere.
    pub(super) fn refuse_unservable(&mut self, now: Moment) {
        if let Some(outcome) = self.refusal(now) {
            for job in self.queue.drain() {
                self.refuse(job, outcome, now);
            }
            return;
        }
        if self.queue.len() == 0 {
            return;
        }
        let free = self.free_calls(now);
        let calls = self.calls(now).max(1);
        let (mean, median) = (self.latency.mean(), self.latency.median());
        let slow = self.latency.slow().unwrap_or_default();
        let start = self.limit.backoff_until().max(now);
        let too_late = |position: usize, deadline: Moment| {
            let wait_time = wait(position, free, calls, mean);
            // A call that must wait is refused unless even a slow run (p95) ends in time;
            // one that can run now needs only the median.
            let run_time = if wait_time.is_zero() { median } else { slow };
            start + wait_time + run_time > deadline || deadline <= now
        };
        for job in self.queue.remove_late(too_late) {
            self.refuse(job, message::Outcome::Late, now);
        }
    }

    /// Returns the estimated wait of a call at `position` of the queue.
    pub(super) fn wait_at(&self, position: usize, now: Moment) -> time::Duration {
        let calls = self.calls(now).max(1);
        wait(position, self.free_calls(now), calls, self.latency.mean())
    }

    /// Returns the maximum number of calls that may run at once now.
    pub(super) fn calls(&self, now: Moment) -> u32 {
        let calls = self.limits(now).calls.min(self.limit.calls());
        match self.availability.current() {
            availability::Availability::Unconfirmed => calls.min(1),
            _ => calls,
        }
    }

    fn free_calls(&self, now: Moment) -> u32 {
        let running = self
            .connections
            .busy()
            .filter(|(_, call)| !call.over_limit)
            .count();
        self.calls(now)
            .saturating_sub(u32::try_from(running).unwrap_or(u32::MAX))
    }

    /// Sends waiting calls while there is capacity.
    pub(super) fn dispatch(&mut self, now: Moment) {
        while self.limit.backoff_until() <= now {
            let Some(head) = self.queue.head() else {
                return;
            };
            let Some(capacity) = self.capacity(head, now) else {
                return;
            };
            let since = self.answered_since(head, now);
            let Some((connection_id, must_connect)) = self.choose_connection(since, now) else {
                return;
            };
            let Some(job) = self.queue.take_head() else {
                return;
            };
            self.send(
                job,
                connection_id,
                must_connect,
                matches!(capacity, Capacity::OverLimit),
                now,
            );
        }
    }

    /// Returns the capacity that `head` would use; `None` if it can't be sent now.
    fn capacity(&self, head: &job::Job, now: Moment) -> Option<Capacity> {
        let mut calls = self.connections.busy();
        if head.is_trial() {
            // A trial runs alone: if it crashed the upstream, other calls would be lost
            // with it and reported as crash suspects.
            return calls.next().is_none().then_some(Capacity::WithinLimit);
        }
        if calls.any(|(_, call)| call.job.is_trial()) {
            return None;
        }
        if self.free_calls(now) > 0 {
            return Some(Capacity::WithinLimit);
        }
        let suspects = self
            .connections
            .busy()
            .filter(|(_, call)| call.suspect && !call.over_limit);
        let over_limit = self
            .connections
            .busy()
            .filter(|(_, call)| call.over_limit)
            .count();
        let max = suspects.count().min(self.overcommit.max_calls);
        (over_limit < max && self.overcommit.allowed_from <= now).then_some(Capacity::OverLimit)
    }

    /// Returns the earliest time of a last reply with which a connection may carry
    /// `job`.
    fn answered_since(&self, job: &job::Job, now: Moment) -> Moment {
        let suspected = self.connections.suspected_since().unwrap_or_default();
        match job.kind {
            message::Kind::Hedge | message::Kind::Retry => {
                let max_age = self
                    .latency
                    .slow()
                    .unwrap_or(MAX_REPLY_AGE)
                    .min(MAX_REPLY_AGE);
                let earliest = Moment(now.0.saturating_sub(crate::time::micros(max_age)));
                suspected.max(earliest)
            }
            _ => suspected,
        }
    }

    /// Returns an idle connection with a reply at `since` or later, else a new one, and
    /// whether it must still be opened.
    fn choose_connection(&mut self, since: Moment, now: Moment) -> Option<(connections::Id, bool)> {
        if let Some(connection_id) = self.connections.idle(since) {
            return Some((connection_id, false));
        }
        let max = self.limits(now).call_connections() as usize;
        if self.connections.len() >= max {
            let stalest = self.connections.stalest()?;
            self.close(stalest, super::CloseReason::Replaced);
        }
        (self.connections.len() < max).then(|| {
            let connection_id = self.connections.open(connections::Phase::Idle, now);
            (connection_id, true)
        })
    }

    fn send(
        &mut self,
        job: job::Job,
        connection_id: connections::Id,
        must_connect: bool,
        over_limit: bool,
        now: Moment,
    ) {
        let Some(connection) = self.connections.get_mut(connection_id) else {
            return;
        };
        connection.phase = connections::Phase::Busy(connections::Call {
            job: job.clone(),
            sent: now,
            must_connect,
            reply_started: false,
            suspect: false,
            over_limit,
            abandoned_until: None,
            owes_answer: false,
        });
        let time_left = now.until(job.deadline);
        self.actions.push(Action::Send {
            connection_id,
            must_connect,
            job,
            time_left,
        });
    }
}

/// Returns the estimated wait of a call at queue position `position`, when `calls`
/// may run at once and `free` more can start now.
fn wait(position: usize, free: u32, calls: u32, mean: time::Duration) -> time::Duration {
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    let Some(behind) = position.checked_sub(free) else {
        return time::Duration::ZERO;
    };
    mean.saturating_mul(behind.saturating_add(1)) / calls
}
