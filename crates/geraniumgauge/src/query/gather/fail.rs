//! Handles calls that have failed.

use std::time;

use super::Action;
use super::Gather;
use super::Phase;
use super::attempt;
use super::slot;
use crate::ids;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::quarantine::tracker;
use crate::query;
use crate::time as clock;

impl Gather {
    /// Handles calls that couldn't be sent.
    pub(super) fn unsent(&mut self, attempts: &[u64], now: clock::Moment) {
        for id in attempts {
            let number = id.checked_sub(self.setup.first_attempt);
            let known = number.filter(|number| *number < self.attempts.len() as u64);
            let Some(attempt) = known.map(|number| number as u32) else {
                continue;
            };
            if !self.attempts[attempt as usize].ended {
                let vm = self.homes.name(self.attempts[attempt as usize].vm).clone();
                self.avoid(&vm, now);
                self.failed_unsent(attempt, now);
            }
        }
    }

    /// Fails all calls at a VM whose link was lost.
    pub(super) fn link_lost(&mut self, vm: &ids::Vm, now: clock::Moment) {
        self.avoid(vm, now);
        for attempt in self.running_at(vm) {
            self.failed(attempt, Outcome::Unknown, time::Duration::ZERO, now);
        }
        self.forget_cancelled_at(vm, now);
    }

    /// Fails all calls at a VM to which no link could be opened.
    pub(super) fn link_not_opened(&mut self, vm: &ids::Vm, now: clock::Moment) {
        self.avoid(vm, now);
        for attempt in self.running_at(vm) {
            self.failed_unsent(attempt, now);
        }
        self.forget_cancelled_at(vm, now);
    }

    /// Returns the running calls at a VM.
    fn running_at(&self, vm: &ids::Vm) -> Vec<u32> {
        let number = self.homes.find(vm);
        let calls = self.attempts.iter().enumerate();
        let running = calls.filter(|(_, call)| !call.ended && Some(call.vm) == number);
        running.map(|(attempt, _)| attempt as u32).collect()
    }

    /// Fails a call that hasn't left this VM.
    fn failed_unsent(&mut self, attempt: u32, now: clock::Moment) {
        self.attempts[attempt as usize].unsent = true;
        self.failed(attempt, Outcome::NotHome, time::Duration::ZERO, now);
    }

    /// Makes searches avoid a VM for a while.
    fn avoid(&self, vm: &ids::Vm, now: clock::Moment) {
        if let Some(known) = self.plan.vms.iter().find(|known| known.id == *vm) {
            known.link.record_loss(now);
        }
    }

    /// Handles one failed call. Other calls of its shard may still run.
    pub(super) fn failed(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let called = self.attempts[attempt as usize].clone();
        let replica = self.plan.replica(called.replica);
        replica.stats.record_failure(outcome, retry_after, now);
        let upstream = replica.id.clone();
        self.attempts[attempt as usize].failure = Some(attempt::Failure { outcome, at: now });
        self.end(attempt);
        if matches!(outcome, Outcome::Shed | Outcome::Late) {
            self.counts.overloads += 1;
        }
        if called.kind == message::Kind::Trial {
            self.trial_failed(outcome, upstream, now);
        } else if outcome == Outcome::Lost && self.setup.policy != query::Policy::Direct {
            self.report_loss(upstream, called.kind);
        }
        let slot = &mut self.slots[called.slot as usize];
        if slot.is_final() {
            return;
        }
        slot.reason = Some(reason(outcome));
        slot.failures += 1;
        if slot.open().is_empty() {
            self.call_failed_shard(attempt, outcome, retry_after, now);
        }
    }

    /// Reports a connection that was lost while the request ran. No further call
    /// is sent until the verdict arrives, since a retry at the sibling could
    /// crash it too.
    pub(super) fn report_loss(&mut self, upstream: ids::Upstream, kind: message::Kind) {
        let run = match kind {
            message::Kind::Canary => tracker::Run::Canary,
            _ => tracker::Run::Concurrent,
        };
        self.verdict_pending = true;
        self.outbox.actions.push(Action::Lost { upstream, run });
    }

    /// Decides how to go on with a shard whose last running call has failed.
    fn call_failed_shard(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        let called = &self.attempts[attempt as usize];
        let (slot, vm, unsent) = (called.slot, called.vm, called.unsent);
        if self.verdict_pending || self.verdict != query::CLEAR {
            self.slots[slot as usize].state = slot::State::Held;
            return;
        }
        if matches!(self.phase, Phase::Lead { .. }) {
            self.lead_call_failed(attempt, outcome, now);
            return;
        }
        let moves = matches!(outcome, Outcome::NotHome | Outcome::Stopping);
        // Each call that didn't leave this VM makes one more home avoided, so this ends.
        let elsewhere = unsent && self.is_reachable(slot, now);
        let entry = &mut self.slots[slot as usize];
        if elsewhere || (moves && !entry.moved) {
            entry.moved |= !unsent;
            entry.state = slot::State::AwaitingPlan;
            self.restart.replan(&mut self.outbox.actions);
            return;
        }
        let avoid = moves || outcome == Outcome::Unknown;
        let avoid = avoid.then(|| self.homes.name(vm).clone());
        self.retry(slot, avoid, retry_after, now);
    }

    /// Returns whether a replica of the shard may offer the pinned version and has a
    /// home that isn't avoided.
    fn is_reachable(&self, slot: u32, now: clock::Moment) -> bool {
        let shard = self.plan.shard(self.slots[slot as usize].shard);
        let mut replicas = shard.replicas.iter().enumerate();
        replicas.any(|(position, replica)| {
            self.may_offer(shard, position, now) && self.plan.reachable(*replica, now)
        })
    }

    /// Handles a failed lead call. Its shard is called again in the fan-out, or
    /// remains unsent if the call hasn't left this VM or the failure made the search
    /// choose another version.
    fn lead_call_failed(&mut self, attempt: u32, outcome: Outcome, now: clock::Moment) {
        let repinned = outcome == Outcome::Version && self.covered == 0 && self.repin(now);
        let called = &self.attempts[attempt as usize];
        let entry = &mut self.slots[called.slot as usize];
        entry.tried = 0;
        entry.state = if repinned || called.unsent {
            slot::State::Unsent
        } else {
            slot::State::Deferred
        };
        let unreachable = matches!(
            outcome,
            Outcome::Unreachable | Outcome::Silent | Outcome::Suspect | Outcome::Unknown
        );
        if unreachable && self.setup.canary {
            self.delay_next_lead(now);
        } else if self.open_calls == 0 {
            self.send_lead(now);
        }
    }

    /// Chooses the index version again after a replica reported its range, and
    /// returns whether it changed. No hits may have been collected yet.
    fn repin(&mut self, now: clock::Moment) -> bool {
        let pick = query::version::pick(&self.plan, &self.requested, now);
        let pin = pick.map(|pick| pick.version);
        std::mem::replace(&mut self.pin, pin) != pin
    }
}

/// Converts the outcome of a shard's last call to the reason that the caller
/// sees.
fn reason(outcome: Outcome) -> query::Reason {
    match outcome {
        Outcome::Late | Outcome::Shed => query::Reason::Overloaded,
        Outcome::Version => query::Reason::VersionUnavailable,
        Outcome::Crossed | Outcome::Failed | Outcome::Hits => query::Reason::BadReply,
        Outcome::Deadline => query::Reason::Deadline,
        Outcome::Suspect => query::Reason::Quarantined,
        Outcome::Unknown
        | Outcome::Draining
        | Outcome::Unreachable
        | Outcome::NotHome
        | Outcome::Lost
        | Outcome::Silent
        | Outcome::Cancelled
        | Outcome::Stopping => query::Reason::Unreachable,
    }
}
