//! Handles a request that is suspected of crashing an upstream: it is neither
//! hedged nor retried, and continues only after an isolated trial has completed.

use std::cmp;
use std::time;

use super::Action;
use super::Gather;
use super::Phase;
use super::Timer;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::quarantine::Verdict;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::query;
use crate::time as clock;

/// Times that one search may request a trial.
const MAX_TRIAL_REQUESTS: u32 = 8;
/// Delay before another request after a trial that wasn't run.
const TRIAL_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Delay before looking again for a replica whose siblings are all up.
const TARGET_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// A trial needs time for this many typical calls before the deadline: one that
/// the deadline cuts short proves nothing.
const MIN_CALLS_LEFT: u32 = 2;

/// The isolated trial of a search.
#[derive(Debug, Default)]
pub(super) struct Trial {
    state: State,
    requests: u32,
    progress: Progress,
    /// Upstreams that the marks listed as lost at the last grant.
    pub(super) down: Vec<tracker::Down>,
    /// The slot, and the replica's position in its shard, of the last request.
    target: Option<(u32, usize)>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No trial is requested.
    #[default]
    Idle,
    /// Requested; the decision is pending.
    Requested,
    /// Waits for the delay before the next request.
    Waiting,
    /// The trial's call is running.
    Running,
    /// No further trial is requested.
    Refused,
}

/// What became of the last request for a trial.
#[derive(Debug, Default, Clone, Copy)]
#[derive(derive_more::Display)]
pub(super) enum Progress {
    /// None was made.
    #[default]
    #[display("not requested")]
    None,
    /// Its decision is pending.
    #[display("pending")]
    Pending,
    /// Not sent: no replica that could take it has all its siblings up.
    #[display("no replica with all siblings up")]
    NoTarget,
    /// Denied by the quarantine.
    #[display("denied")]
    Denied,
    /// Granted, but the replica could no longer take it.
    #[display("granted too late")]
    Outdated,
    /// The call was sent.
    #[display("sent")]
    Sent,
}

/// The trial's requests, for the log.
#[derive(Debug)]
pub(super) struct Summary {
    pub(super) requests: u32,
    pub(super) progress: Progress,
}

impl Trial {
    pub(super) fn summary(&self) -> Summary {
        Summary {
            requests: self.requests,
            progress: self.progress,
        }
    }

    /// Returns whether a trial may still run or complete.
    pub(super) fn pending(&self) -> bool {
        matches!(
            self.state,
            State::Requested | State::Waiting | State::Running
        )
    }
}

impl Gather {
    /// Handles the present verdict. An unchanged one matters only if this search
    /// was waiting for it.
    pub(super) fn verdict_changed(&mut self, verdict: Verdict, now: clock::Moment) {
        let was_pending = std::mem::take(&mut self.verdict_pending);
        if verdict == self.verdict && !was_pending {
            return;
        }
        self.verdict = verdict;
        match verdict {
            Verdict::Quarantined => {
                self.cancel_all();
                self.trial.state = State::Refused;
                self.give_up_all(query::Reason::Quarantined);
                self.phase = Phase::FanOut;
            }
            Verdict::Suspect => self.cancel_leads(),
            Verdict::Clear => self.release_held(now),
        }
    }

    /// Cancels running lead calls of a request that became suspect: it may have
    /// crashed an upstream of another VM, and each lead call could crash one
    /// more. A fan-out that has started continues, since its canary succeeded.
    fn cancel_leads(&mut self) {
        if !matches!(self.phase, Phase::Lead { .. }) {
            return;
        }
        for attempt in 0..self.attempts.len() as u32 {
            let called = &self.attempts[attempt as usize];
            if called.kind != message::Kind::Trial && called.running() {
                let slot = called.slot as usize;
                self.cancel(attempt);
                self.slots[slot].state = slot::State::Held;
            }
        }
    }

    /// Requests the trial that held shards wait for, or gives them up.
    pub(super) fn advance_trial(&mut self, now: clock::Moment) {
        let held = |slot: &slot::Slot| matches!(slot.state, slot::State::Held);
        let leads = matches!(self.phase, Phase::Lead { .. });
        if !leads && !self.slots.iter().any(held) {
            return;
        }
        match self.trial.state {
            State::Idle => self.request_trial(now),
            State::Refused => self.give_up_trial(),
            State::Requested | State::Waiting | State::Running => {}
        }
    }

    /// Requests a trial if time and the request limit permit.
    fn request_trial(&mut self, now: clock::Moment) {
        let has_time = now + self.setup.typical_call_time * MIN_CALLS_LEFT < self.setup.deadline;
        if !has_time || self.trial.requests >= MAX_TRIAL_REQUESTS {
            self.give_up_trial();
            return;
        }
        let Some((slot, position)) = self.trial_target(now) else {
            self.trial.progress = Progress::NoTarget;
            self.inquire(now);
            self.delay_trial(now + TARGET_RETRY_DELAY);
            return;
        };
        self.trial.requests += 1;
        self.trial.state = State::Requested;
        self.trial.progress = Progress::Pending;
        self.trial.target = Some((slot, position));
        let place = self.trial_place(slot, position);
        self.outbox.actions.push(Action::RequestTrial(place));
    }

    /// Requests the trial again after the delay.
    pub(super) fn trial_due(&mut self, now: clock::Moment) {
        if self.trial.state == State::Waiting {
            self.trial.state = State::Idle;
            self.advance_trial(now);
        }
    }

    /// Handles a denied trial: retries after the given delay, or gives up.
    pub(super) fn trial_denied(&mut self, after: Option<time::Duration>, now: clock::Moment) {
        if self.trial.state != State::Requested {
            return;
        }
        self.trial.progress = Progress::Denied;
        match after {
            Some(after) => self.delay_trial(now + after),
            None => self.give_up_trial(),
        }
    }

    /// Schedules another request, or gives up if it would come too late.
    fn delay_trial(&mut self, at: clock::Moment) {
        if at + self.setup.typical_call_time * MIN_CALLS_LEFT >= self.setup.deadline {
            self.give_up_trial();
            return;
        }
        self.trial.state = State::Waiting;
        self.timers.push(cmp::Reverse((at, Timer::Trial)));
    }

    /// Gives up the shards that wait for a trial. The answer isn't delayed for a
    /// verdict that may never arrive.
    fn give_up_trial(&mut self) {
        self.trial.state = State::Refused;
        let leads = matches!(self.phase, Phase::Lead { .. });
        for slot in 0..self.slots.len() as u32 {
            let state = &self.slots[slot as usize].state;
            let held = matches!(state, slot::State::Held);
            let is_final = self.slots[slot as usize].is_final();
            if held || (leads && !is_final) {
                self.give_up(slot, query::Reason::Quarantined);
            }
        }
        if leads {
            self.phase = Phase::FanOut;
        }
    }

    /// Sends the trial's call, unless circumstances have changed since the
    /// request. `down` are the upstreams that the marks list as lost.
    pub(super) fn trial_granted(&mut self, down: Vec<tracker::Down>, now: clock::Moment) {
        if self.trial.state != State::Requested {
            self.end_trial(trial::End::NotRun, None);
            return;
        }
        self.trial.state = State::Idle;
        if self.verdict != Verdict::Suspect {
            self.end_trial(trial::End::NotRun, None);
            return;
        }
        self.trial.down = down;
        let fits = |target: &(u32, usize)| {
            let replica = self.replica_at(target.0, target.1);
            self.siblings_up(replica) && self.ready(replica, now)
        };
        let Some((slot, position)) = self.trial.target.filter(fits) else {
            self.trial.progress = Progress::Outdated;
            self.inquire(now);
            self.end_trial(trial::End::NotRun, None);
            self.delay_trial(now + TARGET_RETRY_DELAY);
            return;
        };
        self.trial.state = State::Running;
        self.trial.progress = Progress::Sent;
        self.send(slot, position, message::Kind::Trial, None, now);
    }

    /// Handles a completed trial, which clears the request.
    pub(super) fn trial_completed(&mut self, upstream: ids::Upstream, now: clock::Moment) {
        self.end_trial(trial::End::Completed, Some(upstream));
        self.trial.state = State::Idle;
        self.verdict = Verdict::Clear;
        self.release_held(now);
    }

    /// Resumes the held shards. Their next calls count as retries.
    fn release_held(&mut self, now: clock::Moment) {
        let held = |slot: &slot::Slot| matches!(slot.state, slot::State::Held);
        if matches!(self.phase, Phase::Lead { .. }) {
            for slot in &mut self.slots {
                if held(slot) {
                    slot.state = slot::State::Deferred;
                }
            }
            if self.open_calls == 0 {
                self.begin(now);
            }
            return;
        }
        for slot in 0..self.slots.len() as u32 {
            if held(&self.slots[slot as usize]) {
                self.retry(slot, None, time::Duration::ZERO, now);
            }
        }
    }

    /// Handles the outcome of a trial that returned no hits. An answer of any
    /// kind completes it, since the upstream survived.
    pub(super) fn trial_failed(
        &mut self,
        outcome: Outcome,
        upstream: ids::Upstream,
        now: clock::Moment,
    ) {
        self.trial.state = State::Idle;
        match outcome {
            Outcome::Lost => {
                self.verdict_pending = true;
                self.end_trial(trial::End::Lost, Some(upstream));
            }
            Outcome::Failed | Outcome::Crossed | Outcome::Hits => {
                self.trial_completed(upstream, now);
            }
            Outcome::Unknown | Outcome::Silent => {
                self.end_trial(trial::End::Unknown, Some(upstream));
                self.trial.state = State::Refused;
            }
            Outcome::Deadline => {
                self.end_trial(trial::End::NotRun, Some(upstream));
                self.trial.state = State::Refused;
            }
            _ => {
                self.end_trial(trial::End::NotRun, Some(upstream));
                self.delay_trial(now + TRIAL_RETRY_DELAY);
            }
        }
    }

    /// Ends a running trial with an unknown outcome when the search ends first.
    pub(super) fn end_trial_unknown(&mut self) {
        if self.trial.state == State::Running {
            self.trial.state = State::Refused;
            self.end_trial(trial::End::Unknown, None);
        }
    }

    fn end_trial(&mut self, end: trial::End, upstream: Option<ids::Upstream>) {
        self.outbox.actions.push(Action::EndTrial { end, upstream });
    }
}
