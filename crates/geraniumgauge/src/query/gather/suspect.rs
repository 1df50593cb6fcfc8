//! A request that may have crashed an upstream: it is neither hedged nor
//! retried, and goes on only after a lone trial has completed.

use std::cmp;
use std::time;

use super::Action;
use super::Due;
use super::Gather;
use super::Phase;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::quarantine::Verdict;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::query;
use crate::time as clock;

/// Times that one search asks for a trial.
const MOST_ASKS: u32 = 8;
/// When to ask again after a trial that wasn't run.
const ASK_AGAIN: time::Duration = time::Duration::from_millis(50);
/// When to look again for a replica whose siblings are all up.
const NO_TARGET: time::Duration = time::Duration::from_millis(100);
/// Typical calls that must fit before the deadline: a trial cut short by it
/// proves nothing.
const ROOM: u32 = 2;

/// How far the trial is.
#[derive(Debug, Default)]
pub(super) struct Trial {
    state: State,
    asks: u32,
    /// The slot and the replica that were asked for.
    target: Option<(u32, usize)>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    #[default]
    Idle,
    Asked,
    Waiting,
    Running,
    Refused,
}

impl Trial {
    /// Whether something may still come of it.
    pub(super) fn pending(&self) -> bool {
        matches!(self.state, State::Asked | State::Waiting | State::Running)
    }
}

impl Gather {
    /// The verdict as it is now.
    pub(super) fn judged(&mut self, verdict: Verdict, now: clock::Moment) {
        let own = std::mem::take(&mut self.judging);
        if verdict == self.verdict && !own {
            return;
        }
        self.verdict = verdict;
        match verdict {
            Verdict::Quarantined => {
                self.cancel_all();
                self.trial.state = State::Refused;
                self.give_up_all(query::Reason::Quarantined);
                self.phase = Phase::Wide;
            }
            Verdict::Suspect => self.suspected(),
            Verdict::Clear => self.release(now),
        }
    }

    /// Leads under way are called back: the first crash may have been another
    /// VM's, and each of them could be the next. A fan-out under way goes on,
    /// since its canary came back.
    fn suspected(&mut self) {
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

    /// Asks for the trial that held shards wait for, or gives them up.
    pub(super) fn tend_trial(&mut self, now: clock::Moment) {
        let held = |slot: &slot::Slot| matches!(slot.state, slot::State::Held);
        let leads = matches!(self.phase, Phase::Lead { .. });
        if !leads && !self.slots.iter().any(held) {
            return;
        }
        match self.trial.state {
            State::Idle => self.ask_trial(now),
            State::Refused => self.no_trial(),
            State::Asked | State::Waiting | State::Running => {}
        }
    }

    fn ask_trial(&mut self, now: clock::Moment) {
        let room = now + self.setup.typical * ROOM < self.setup.deadline;
        if !room || self.trial.asks >= MOST_ASKS {
            self.no_trial();
            return;
        }
        self.trial.asks += 1;
        let Some((slot, place)) = self.trial_target(now) else {
            self.ask_later(now + NO_TARGET);
            return;
        };
        self.trial.state = State::Asked;
        self.trial.target = Some((slot, place));
        let place = self.trial_place(slot, place);
        self.out.actions.push(Action::AskTrial(place));
    }

    fn trial_place(&self, slot: u32, place: usize) -> trial::Place {
        let replica = self.replica_at(slot, place);
        let shards = self.plan.replica(replica).shards.iter();
        let others = shards
            .flat_map(|shard| self.plan.replicas_of(*shard))
            .map(|upstream| upstream.id.clone());
        let upstream = self.plan.replica(replica).id.clone();
        trial::Place {
            siblings: others.filter(|id| *id != upstream).collect(),
            upstream,
        }
    }

    fn replica_at(&self, slot: u32, place: usize) -> u32 {
        let shard = self.slots[slot as usize].shard;
        self.plan.shard(shard).replicas[place]
    }

    pub(super) fn trial_due(&mut self, now: clock::Moment) {
        if self.trial.state == State::Waiting {
            self.trial.state = State::Idle;
            self.tend_trial(now);
        }
    }

    pub(super) fn denied(&mut self, after: Option<time::Duration>, now: clock::Moment) {
        if self.trial.state != State::Asked {
            return;
        }
        match after {
            Some(after) => self.ask_later(now + after),
            None => self.no_trial(),
        }
    }

    fn ask_later(&mut self, at: clock::Moment) {
        if at + self.setup.typical * ROOM >= self.setup.deadline {
            self.no_trial();
            return;
        }
        self.trial.state = State::Waiting;
        self.due.push(cmp::Reverse((at, Due::Trial)));
    }

    /// Without a trial the held shards are missing. The answer isn't held back
    /// for a verdict that may not come.
    fn no_trial(&mut self) {
        self.trial.state = State::Refused;
        let leads = matches!(self.phase, Phase::Lead { .. });
        for slot in 0..self.slots.len() as u32 {
            let state = &self.slots[slot as usize].state;
            let held = matches!(state, slot::State::Held);
            let over = self.slots[slot as usize].over();
            if held || (leads && !over) {
                self.give_up(slot, query::Reason::Quarantined);
            }
        }
        if leads {
            self.phase = Phase::Wide;
        }
    }

    pub(super) fn granted(&mut self, down: &[tracker::Down], now: clock::Moment) {
        if self.trial.state != State::Asked {
            self.end_trial(trial::End::NotRun, None);
            return;
        }
        self.trial.state = State::Idle;
        if self.verdict != Verdict::Suspect {
            self.end_trial(trial::End::NotRun, None);
            return;
        }
        let fits = |target: &(u32, usize)| {
            let replica = self.replica_at(target.0, target.1);
            self.siblings_up(replica, down) && self.ready(replica, now)
        };
        let Some((slot, place)) = self.trial.target.filter(fits) else {
            self.end_trial(trial::End::NotRun, None);
            self.ask_later(now + NO_TARGET);
            return;
        };
        self.trial.state = State::Running;
        self.send(slot, place, message::Kind::Trial, None, now);
    }

    /// A replica whose siblings are all up, so that no shard is left without
    /// any where it crashes; of a shard that isn't covered yet, if there is one.
    /// Of several it is the one that the fingerprint ranks first, so that trials
    /// of different requests mostly run at different upstreams.
    fn trial_target(&self, now: clock::Moment) -> Option<(u32, usize)> {
        let places = (0..self.slots.len() as u32).flat_map(|slot| {
            let shard = self.slots[slot as usize].shard;
            (0..self.plan.shard(shard).replicas.len()).map(move |place| (slot, place))
        });
        let fits = |(slot, place): &(u32, usize)| {
            let replica = self.replica_at(*slot, *place);
            self.siblings_up(replica, &[]) && self.ready(replica, now)
        };
        let rank = |(slot, place): &(u32, usize)| {
            let held = &self.slots[*slot as usize];
            let covered = held.over() || !held.open().is_empty();
            let replica = self.replica_at(*slot, *place);
            (covered, self.rank(self.plan.replica(replica).id.as_str()))
        };
        places.filter(fits).min_by_key(rank)
    }

    fn ready(&self, replica: u32, now: clock::Moment) -> bool {
        let stats = &self.plan.replica(replica).stats;
        let offers = self
            .pin
            .is_none_or(|pin| stats.offers(pin, now) != Some(false));
        offers && !stats.avoided(now)
    }

    pub(super) fn siblings_up(&self, replica: u32, down: &[tracker::Down]) -> bool {
        let up = |upstream: &query::plan::Replica| {
            let answered = upstream.stats.answered();
            let mut lost = down.iter().filter(|down| down.upstream == upstream.id);
            !upstream.stats.down() && lost.all(|down| answered > down.lost)
        };
        let shards = &self.plan.replica(replica).shards;
        let mut siblings = shards
            .iter()
            .flat_map(|shard| self.plan.replicas_of(*shard));
        let several = shards
            .iter()
            .all(|shard| self.plan.shard(*shard).replicas.len() > 1);
        several && siblings.all(up)
    }

    pub(super) fn trial_completed(&mut self, upstream: ids::Upstream, now: clock::Moment) {
        self.end_trial(trial::End::Completed, Some(upstream));
        self.trial.state = State::Idle;
        self.verdict = Verdict::Clear;
        self.release(now);
    }

    /// Lets the held shards go on. Their next calls are retries like any other.
    fn release(&mut self, now: clock::Moment) {
        let held = |slot: &slot::Slot| matches!(slot.state, slot::State::Held);
        if matches!(self.phase, Phase::Lead { .. }) {
            for slot in &mut self.slots {
                if held(slot) {
                    slot.state = slot::State::Deferred;
                }
            }
            if self.open == 0 {
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

    pub(super) fn trial_failed(
        &mut self,
        outcome: Outcome,
        upstream: ids::Upstream,
        now: clock::Moment,
    ) {
        self.trial.state = State::Idle;
        match outcome {
            Outcome::Lost => {
                self.judging = true;
                self.end_trial(trial::End::Lost, Some(upstream));
            }
            Outcome::Failed | Outcome::Crossed | Outcome::Hits => {
                self.trial_completed(upstream, now);
            }
            Outcome::Unknown | Outcome::Silent => {
                self.end_trial(trial::End::Unknown, Some(upstream));
                self.trial.state = State::Refused;
            }
            Outcome::Deadline | Outcome::Cancelled => {
                self.end_trial(trial::End::NotRun, Some(upstream));
                self.trial.state = State::Refused;
            }
            _ => {
                self.end_trial(trial::End::NotRun, Some(upstream));
                self.ask_later(now + ASK_AGAIN);
            }
        }
    }

    /// The search ends while its trial runs: how that ends isn't known.
    pub(super) fn end_trial_unknown(&mut self) {
        if self.trial.state == State::Running {
            self.trial.state = State::Refused;
            self.end_trial(trial::End::Unknown, None);
        }
    }

    fn end_trial(&mut self, end: trial::End, upstream: Option<ids::Upstream>) {
        self.out.actions.push(Action::EndTrial { end, upstream });
    }
}
