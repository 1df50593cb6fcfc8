//! Which waiting calls are sent, and which are refused as too late.

use std::time;

use super::Action;
use super::State;
use super::job;
use super::lines;
use super::standing;
use crate::mesh::message;
use crate::time::Moment;

/// A hedge or retry goes on a connection that has answered within the slow
/// time and within this time, else on a new one: what held the first attempt up
/// may hold it up as well, and that was sent about the slow time ago.
const PROVEN: time::Duration = time::Duration::from_millis(50);
/// How long no call is sent beside suspects after the upstream has shed one.
const BESIDE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Calls beyond the limit, beside suspects that hold it. A silent connection
/// may hold a slot in our count while the upstream is free.
///
/// Sent one at a time at first; each that succeeds shows that the upstream has
/// room, one that is shed shows that the suspects do run there.
#[derive(Debug)]
pub(super) struct Beside {
    room: usize,
    from: Moment,
}

impl Default for Beside {
    fn default() -> Self {
        Self {
            room: 1,
            from: Moment::default(),
        }
    }
}

impl Beside {
    pub(super) fn succeeded(&mut self) {
        self.room = self.room.saturating_add(1);
    }

    pub(super) fn shed(&mut self, now: Moment) {
        self.room = 1;
        self.from = now + BESIDE_PAUSE;
    }

    pub(super) fn from(&self) -> Moment {
        self.from
    }
}

/// Where the next call may run.
enum Room {
    Within,
    Beside,
}

impl State {
    /// Why no call may be sent at all.
    fn refusal(&self, now: Moment) -> Option<message::Outcome> {
        if self.leaving {
            return Some(message::Outcome::Stopping);
        }
        if self.share(now).connections == 0 {
            return Some(message::Outcome::NotHome);
        }
        if self.is_unlisted(now) {
            return Some(message::Outcome::Draining);
        }
        match self.standing.stand() {
            standing::Stand::Draining => Some(message::Outcome::Draining),
            standing::Stand::Down => Some(message::Outcome::Unreachable),
            standing::Stand::Open | standing::Stand::Doubtful => None,
        }
    }

    /// Refuses what can't be sent or would come too late. At once, so that the
    /// entry still has the time to go elsewhere.
    pub(super) fn settle_waiting(&mut self, now: Moment) {
        if let Some(outcome) = self.refusal(now) {
            for job in self.queue.drain() {
                self.refuse(job, outcome, now);
            }
            return;
        }
        if self.queue.len() == 0 {
            return;
        }
        let room = self.free_calls(now);
        let calls = self.calls(now).max(1);
        let (mean, median) = (self.times.mean(), self.times.median());
        let slow = self.times.slow().unwrap_or_default();
        let start = self.limit.paused_until().max(now);
        let unfit = |position: usize, deadline: Moment| {
            let waits = wait(position, room, calls, mean);
            // A call that must wait for others gives way unless it is sure to
            // be in time; one that can run now may try.
            let runs = if waits.is_zero() { median } else { slow };
            start + waits + runs > deadline || deadline <= now
        };
        for job in self.queue.refuse(unfit) {
            self.refuse(job, message::Outcome::Late, now);
        }
    }

    /// Time that a call at `position` of the queue waits.
    pub(super) fn wait_of(&self, position: usize, now: Moment) -> time::Duration {
        let calls = self.calls(now).max(1);
        wait(position, self.free_calls(now), calls, self.times.mean())
    }

    /// Calls that may run at once now.
    pub(super) fn calls(&self, now: Moment) -> u32 {
        let calls = self.share(now).calls.min(self.limit.calls());
        match self.standing.stand() {
            standing::Stand::Doubtful => calls.min(1),
            _ => calls,
        }
    }

    fn free_calls(&self, now: Moment) -> u32 {
        let busy = self.lines.busy().filter(|(_, busy)| !busy.beside).count();
        self.calls(now)
            .saturating_sub(u32::try_from(busy).unwrap_or(u32::MAX))
    }

    /// Sends waiting calls while there is room.
    pub(super) fn dispatch(&mut self, now: Moment) {
        while self.limit.paused_until() <= now {
            let Some(head) = self.queue.head() else {
                return;
            };
            let Some(room) = self.room(head, now) else {
                return;
            };
            let since = self.answered_since(head, now);
            let Some((link, fresh)) = self.connection(since, now) else {
                return;
            };
            let Some(job) = self.queue.take_head() else {
                return;
            };
            self.send(job, link, fresh, matches!(room, Room::Beside), now);
        }
    }

    fn room(&self, head: &job::Job, now: Moment) -> Option<Room> {
        let mut busy = self.lines.busy();
        if head.is_trial() {
            // Nothing else may run where a trial runs: a crash would take it
            // along and blame it.
            return busy.next().is_none().then_some(Room::Within);
        }
        if busy.any(|(_, busy)| busy.job.is_trial()) {
            return None;
        }
        if self.free_calls(now) > 0 {
            return Some(Room::Within);
        }
        let suspects = self
            .lines
            .busy()
            .filter(|(_, busy)| busy.suspect && !busy.beside);
        let besides = self.lines.busy().filter(|(_, busy)| busy.beside).count();
        let most = suspects.count().min(self.beside.room);
        (besides < most && self.beside.from <= now).then_some(Room::Beside)
    }

    /// Since when a connection must have answered to carry `job`.
    fn answered_since(&self, job: &job::Job, now: Moment) -> Moment {
        let suspected = self.lines.suspected_since().unwrap_or_default();
        match job.kind {
            message::Kind::Hedge | message::Kind::Retry => {
                let within = self.times.slow().unwrap_or(PROVEN).min(PROVEN);
                let proven = Moment(now.0.saturating_sub(crate::time::micros(within)));
                suspected.max(proven)
            }
            _ => suspected,
        }
    }

    /// An idle connection that has answered since `since`, or a new one.
    fn connection(&mut self, since: Moment, now: Moment) -> Option<(lines::Link, bool)> {
        if let Some(link) = self.lines.idle(since) {
            return Some((link, false));
        }
        let most = self.share(now).call_connections() as usize;
        if self.lines.len() >= most {
            let stalest = self.lines.stalest()?;
            self.close(stalest, super::Why::Replaced);
        }
        (self.lines.len() < most).then(|| {
            let link = self.lines.open(lines::Phase::Idle, now);
            (link, true)
        })
    }

    fn send(&mut self, job: job::Job, link: lines::Link, fresh: bool, beside: bool, now: Moment) {
        let Some(line) = self.lines.get_mut(link) else {
            return;
        };
        line.phase = lines::Phase::Busy(lines::Busy {
            job: job.clone(),
            sent: now,
            fresh,
            answering: false,
            suspect: false,
            beside,
            given_up: None,
        });
        let time_left = now.until(job.deadline);
        self.actions.push(Action::Send {
            link,
            fresh,
            job,
            time_left,
        });
    }
}

/// Time that a call at `position` waits, with `room` calls free of `calls`.
fn wait(position: usize, room: u32, calls: u32, mean: time::Duration) -> time::Duration {
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    let Some(behind) = position.checked_sub(room) else {
        return time::Duration::ZERO;
    };
    mean.saturating_mul(behind.saturating_add(1)) / calls
}
