//! Starting again at another pin, and calls whose home has moved.

use std::sync;

use super::Action;
use super::Gather;
use super::Phase;
use super::slot;
use crate::query;
use crate::query::plan;
use crate::query::version;
use crate::time as clock;

/// Pins that one search gives up at most: each costs its calls once more.
const MOST_ROUNDS: u32 = 2;
/// Times that one search looks at layout and view again, at most.
const MOST_LOOKS: u32 = 6;
/// Typical calls that must fit before the deadline for another pin.
const ROOM: u32 = 3;

/// Whether and when to start again.
#[derive(Debug, Default)]
pub(super) struct Restart {
    /// Pins given up.
    pub(super) rounds: u32,
    /// A shard can't be had at this pin.
    pub(super) wanted: bool,
    /// The plan is being looked at.
    pub(super) asked: bool,
    looks: u32,
}

impl Restart {
    /// Asks for the present plan, once at a time.
    pub(super) fn replan(&mut self, actions: &mut Vec<Action>) {
        if !self.asked {
            self.asked = true;
            self.looks += 1;
            actions.push(Action::Replan);
        }
    }

    /// Whether a look may help.
    pub(super) fn looks(&mut self) -> bool {
        let wanted = std::mem::take(&mut self.wanted);
        wanted && !self.asked && self.looks < MOST_LOOKS && self.rounds < MOST_ROUNDS
    }
}

impl Gather {
    /// The plan as it is now. Under the same layout it only tells the homes; a
    /// new layout changes nothing unless the search starts again at it.
    pub(super) fn replanned(&mut self, plan: Option<sync::Arc<plan::Plan>>, now: clock::Moment) {
        self.restart.asked = false;
        let plan = plan.unwrap_or_else(|| self.plan.clone());
        if self.better(&plan, now) {
            self.start_again(plan, now);
            return;
        }
        if plan.layout.version == self.plan.layout.version {
            self.homes.follow(&plan);
            self.plan = plan;
        }
        for slot in 0..self.slots.len() as u32 {
            if matches!(self.slots[slot as usize].state, slot::State::Moving) {
                self.send_first(slot, now);
            }
        }
    }

    /// Whether another pin would cover more, in the time left.
    fn better(&self, plan: &plan::Plan, now: clock::Moment) -> bool {
        let room = self.setup.typical * ROOM;
        let clear = self.verdict == query::CLEAR && !self.judging;
        if self.restart.rounds >= MOST_ROUNDS || now + room >= self.setup.deadline || !clear {
            return false;
        }
        let given_up = |slot: &&slot::Slot| matches!(slot.state, slot::State::GivenUp);
        let here = self.slots.len() - self.slots.iter().filter(given_up).count();
        if self.setup.soft.is_some_and(|soft| here >= soft.covered) {
            return false;
        }
        let Some(asked) = self.asked_in(plan) else {
            return false;
        };
        let Some(pick) = version::pick(plan, &asked, now) else {
            return false;
        };
        let same = plan.layout.version == self.plan.layout.version;
        let other = !same || Some(pick.version) != self.pin;
        other && pick.covers * self.slots.len() > here * asked.len()
    }

    /// The shards asked, by their numbers in another plan; `None` where the
    /// caller named one that isn't there.
    fn asked_in(&self, plan: &plan::Plan) -> Option<Vec<u32>> {
        if !self.setup.subset {
            return Some((0..plan.shards.len() as u32).collect());
        }
        let names = self.asked.iter().map(|shard| &self.plan.shard(*shard).id);
        names.map(|name| plan.position(name)).collect()
    }

    /// Gives the pin up with all that was gathered at it: hits of two pins in
    /// one answer would show a record twice, or neither its old nor new form.
    fn start_again(&mut self, plan: sync::Arc<plan::Plan>, now: clock::Moment) {
        let Some(asked) = self.asked_in(&plan) else {
            return;
        };
        self.cancel_all();
        self.out.flush(self.pin, &self.plan, &self.homes);
        self.forget_calls();
        self.homes.follow(&plan);
        self.pin = version::pick(&plan, &asked, now).map(|pick| pick.version);
        self.plan = plan;
        self.asked = asked;
        self.number();
        self.restart.rounds += 1;
        self.counts.restarts += 1;
        self.covered = 0;
        self.scheduled = 0;
        self.phase = Phase::Lead { leads: 0 };
        self.setup.canary &= !self.first_hits;
        self.begin(now);
    }

    /// Calls of the abandoned pin speak of replicas by the old plan's numbers.
    /// The next calls are numbered on, so a late reply to one of these finds
    /// no call.
    fn forget_calls(&mut self) {
        self.setup.base += self.attempts.len() as u64;
        self.attempts.clear();
        self.due.clear();
    }
}
