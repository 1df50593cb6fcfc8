//! When the answer is given, and what it says.

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
    /// Gives the answer where it is complete, due, or nothing more can come.
    pub(super) fn settle(&mut self, now: clock::Moment) {
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
        if self.verdict == quarantine::Verdict::Suspect && !self.judging {
            self.tend_trial(now);
        }
        if self.restart.looks() {
            self.restart.replan(&mut self.out.actions);
        }
        if self.soft_passed(now) {
            self.finish(query::Reason::CutOff);
            return;
        }
        if !self.waits() {
            self.finish(query::Reason::Deadline);
        }
    }

    /// Whether a reply, a call or a verdict is still to come.
    fn waits(&self) -> bool {
        let leads = matches!(self.phase, Phase::Lead { .. });
        let calls = self.open > 0 || self.scheduled > 0;
        calls || leads || self.judging || self.restart.asked || self.trial.pending()
    }

    fn soft_passed(&mut self, now: clock::Moment) -> bool {
        let Some(soft) = self.setup.soft else {
            return false;
        };
        self.late = now >= soft.at;
        self.late && self.covered >= soft.covered
    }

    /// `unfinished` is the reason of shards that were still waited for.
    fn finish(&mut self, unfinished: query::Reason) {
        let running = self.open > 0 || self.trial.pending();
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
        self.out.actions.push(Action::Finish(Box::new(answer)));
    }

    fn missing(&self, unfinished: query::Reason) -> Vec<query::Missing> {
        let open = self.slots.iter().filter(|slot| !slot.covered());
        let missing = open.map(|slot| query::Missing {
            shard: self.plan.shard(slot.shard).id.clone(),
            reason: why(slot, unfinished),
        });
        missing.collect()
    }
}

fn why(slot: &slot::Slot, unfinished: query::Reason) -> query::Reason {
    match slot.state {
        slot::State::Held => query::Reason::Quarantined,
        slot::State::GivenUp | slot::State::Parked => slot.reason.unwrap_or(unfinished),
        slot::State::Scheduled | slot::State::Deferred if unfinished != query::Reason::CutOff => {
            slot.reason.unwrap_or(unfinished)
        }
        _ => unfinished,
    }
}
