//! Restarts a search at another index version or layout, and adopts new plans
//! for calls whose home has moved.

use std::sync;

use super::Action;
use super::Gather;
use super::Phase;
use super::slot;
use crate::query;
use crate::query::plan;
use crate::query::version;
use crate::time as clock;

/// Restarts of one search at most: each one repeats its calls.
const MAX_RESTARTS: u32 = 2;
/// Times that one search may request a new plan.
const MAX_REPLANS: u32 = 6;
/// A restart needs time for this many typical calls before the deadline.
const MIN_CALLS_LEFT: u32 = 3;

/// Tracks restarts and requests for a new plan.
#[derive(Debug, Default)]
pub(super) struct Restart {
    /// Number of restarts so far.
    pub(super) count: u32,
    /// Set when a shard can't be covered at the present pin.
    pub(super) wanted: bool,
    /// Set while a new plan is pending.
    pub(super) pending: bool,
    /// Number of plans requested so far.
    replans: u32,
}

impl Restart {
    /// Requests a new plan unless a request is pending.
    pub(super) fn replan(&mut self, actions: &mut Vec<Action>) {
        if !self.pending {
            self.pending = true;
            self.replans += 1;
            actions.push(Action::Replan);
        }
    }

    /// Returns whether to request a new plan, and clears `wanted`.
    pub(super) fn take_replan(&mut self) -> bool {
        let wanted = std::mem::take(&mut self.wanted);
        wanted && !self.pending && self.replans < MAX_REPLANS && self.count < MAX_RESTARTS
    }
}

impl Gather {
    /// Handles a new plan. Restarts the search if the plan allows better
    /// coverage; otherwise adopts its homes if the layout is unchanged, and
    /// ignores it if not.
    pub(super) fn plan_received(
        &mut self,
        plan: Option<sync::Arc<plan::Plan>>,
        now: clock::Moment,
    ) {
        self.restart.pending = false;
        let plan = plan.unwrap_or_else(|| self.plan.clone());
        if self.should_restart(&plan, now) {
            self.restart_with(plan, now);
            return;
        }
        if plan.layout.version == self.plan.layout.version {
            self.homes.adopt(&plan);
            self.plan = plan;
        }
        for slot in 0..self.slots.len() as u32 {
            if matches!(self.slots[slot as usize].state, slot::State::AwaitingPlan) {
                self.send_first(slot, now);
            }
        }
    }

    /// Returns whether a restart with `plan` would cover more shards and fits in
    /// the time left.
    fn should_restart(&self, plan: &plan::Plan, now: clock::Moment) -> bool {
        let time_needed = self.setup.typical_call_time * MIN_CALLS_LEFT;
        let clear = self.verdict == query::CLEAR && !self.verdict_pending;
        if self.restart.count >= MAX_RESTARTS || now + time_needed >= self.setup.deadline || !clear
        {
            return false;
        }
        let given_up = |slot: &&slot::Slot| matches!(slot.state, slot::State::GivenUp);
        let possible = self.slots.len() - self.slots.iter().filter(given_up).count();
        if self
            .setup
            .soft_deadline
            .is_some_and(|soft| possible >= soft.min_covered)
        {
            return false;
        }
        let Some(requested) = self.requested_in(plan) else {
            return false;
        };
        let Some(pick) = version::pick(plan, &requested, now) else {
            return false;
        };
        let same = plan.layout.version == self.plan.layout.version;
        let other = !same || Some(pick.version) != self.pin;
        other && pick.covered * self.slots.len() > possible * requested.len()
    }

    /// Returns the requested shards as indexes into another plan; `None` if the
    /// caller listed one that this plan lacks.
    fn requested_in(&self, plan: &plan::Plan) -> Option<Vec<u32>> {
        if !self.setup.subset {
            return Some((0..plan.shards.len() as u32).collect());
        }
        let names = self
            .requested
            .iter()
            .map(|shard| &self.plan.shard(*shard).id);
        names.map(|name| plan.position(name)).collect()
    }

    /// Discards the pin and all hits collected at it, and starts over. Hits of
    /// two pins in one answer could show a record twice, or miss both its old
    /// and its new form.
    fn restart_with(&mut self, plan: sync::Arc<plan::Plan>, now: clock::Moment) {
        let Some(requested) = self.requested_in(&plan) else {
            return;
        };
        self.cancel_all();
        self.outbox.flush(self.pin, &self.plan, &self.homes);
        self.discard_calls();
        self.homes.adopt(&plan);
        self.pin = version::pick(&plan, &requested, now).map(|pick| pick.version);
        self.plan = plan;
        self.requested = requested;
        self.assign_slots();
        self.restart.count += 1;
        self.counts.restarts += 1;
        self.covered = 0;
        self.scheduled = 0;
        self.phase = Phase::Lead { leads: 0 };
        self.cancelled_canary = None;
        self.setup.canary &= !self.completed;
        self.begin(now);
    }

    /// Discards the attempts of the old pin, whose indexes refer to the old plan.
    /// Numbering continues after them, so a late reply to one of them matches no
    /// attempt.
    fn discard_calls(&mut self) {
        self.setup.first_attempt += self.attempts.len() as u64;
        self.attempts.clear();
        self.timers.clear();
    }
}
