//! Decides when the answer is given, and builds it.

use super::Action;
use super::Gather;
use super::Phase;
use super::slot;
use crate::ids;
use crate::quarantine;
use crate::query;
use crate::query::merge;
use crate::time as clock;

impl Gather {
    /// Gives the answer once it is complete or due, or once no further reply can
    /// arrive.
    pub(super) fn finish_if_ready(&mut self, now: clock::Moment) {
        if self.phase == Phase::Done {
            return;
        }
        if self.covered == self.slots.len() {
            self.finish(query::Reason::Deadline);
            return;
        }
        if now >= self.setup.deadline {
            self.finish(query::Reason::Deadline);
            return;
        }
        if self.verdict == quarantine::Verdict::Suspect && !self.verdict_pending {
            self.advance_trial(now);
        }
        if self.restart.take_replan() {
            self.restart.replan(&mut self.outbox.actions);
        }
        if self.partial_answer_due(now) {
            self.finish(query::Reason::CutOff);
            return;
        }
        if !self.is_waiting() {
            self.finish(query::Reason::Deadline);
        }
    }

    /// Returns whether a reply, a call, a plan or a verdict is still pending.
    fn is_waiting(&self) -> bool {
        let leads = matches!(self.phase, Phase::Lead { .. });
        let calls = self.open_calls > 0 || self.scheduled > 0;
        calls || leads || self.verdict_pending || self.restart.pending || self.trial.pending()
    }

    /// Returns whether the latency objective permits a partial answer now.
    fn partial_answer_due(&mut self, now: clock::Moment) -> bool {
        let Some(soft) = self.setup.soft_deadline else {
            return false;
        };
        self.soft_deadline_passed = now >= soft.at;
        self.soft_deadline_passed && self.covered >= soft.min_covered
    }

    /// Emits the answer. `unfinished` is the reason given for shards that were
    /// still pending.
    fn finish(&mut self, unfinished: query::Reason) {
        let running = self.open_calls > 0 || self.trial.pending();
        if running {
            self.cancel_all();
        }
        self.phase = Phase::Done;
        let missing = self.missing(unfinished);
        let found = self.slots.iter().filter_map(|slot| match &slot.state {
            slot::State::Covered(found) => Some((&self.plan.shard(slot.shard).id, found)),
            _ => None,
        });
        let answer = query::Answer {
            request_id: self.setup.request.clone(),
            snapshot: query::Snapshot {
                version: self.pin.unwrap_or(ids::IndexVersion(0)),
                layout: self.plan.layout.version,
            },
            coverage: query::Coverage {
                shards: self.slots.len(),
                covered: self.covered,
                complete: missing.is_empty(),
                missing,
            },
            hits: merge::merge(found, self.setup.limit),
        };
        self.outbox.actions.push(Action::Finish(Box::new(answer)));
    }

    fn missing(&self, unfinished: query::Reason) -> Vec<query::Missing> {
        let open = self.slots.iter().filter(|slot| !slot.covered());
        let missing = open.map(|slot| query::Missing {
            shard: self.plan.shard(slot.shard).id.clone(),
            reason: missing_reason(slot, unfinished),
        });
        missing.collect()
    }
}

fn missing_reason(slot: &slot::Slot, unfinished: query::Reason) -> query::Reason {
    match slot.state {
        slot::State::Held => query::Reason::Quarantined,
        slot::State::GivenUp | slot::State::AwaitingBudget => slot.reason.unwrap_or(unfinished),
        slot::State::Scheduled | slot::State::Deferred if unfinished != query::Reason::CutOff => {
            slot.reason.unwrap_or(unfinished)
        }
        _ => unfinished,
    }
}
