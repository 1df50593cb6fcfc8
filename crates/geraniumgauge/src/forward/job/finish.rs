//! Ends a job and determines its outcome.

use std::time;

use crate::forward;
use crate::forward::job;
use crate::forward::part;
use crate::route;

impl job::Job {
    /// Ends the job as soon as its outcome is certain.
    pub(super) fn settle(&mut self, actions: &mut Vec<forward::Action>) {
        if self.finished {
            return;
        }
        if !self.suffices(self.done + self.open) {
            return self.finish_failed(actions);
        }
        if self.open > 0 {
            return;
        }
        if self.is_sharded() {
            self.finish_merged(actions);
        } else {
            self.finish_reply(actions);
        }
    }

    pub(super) fn expire(&mut self, actions: &mut Vec<forward::Action>) {
        if self.is_sharded() && self.has_min_coverage() {
            self.finish_merged(actions);
        } else {
            let reason = forward::Reason::Timeout;
            self.finish(forward::Outcome::Unknown { reason }, actions);
        }
    }

    fn finish_reply(&mut self, actions: &mut Vec<forward::Action>) {
        let Some(part) = self.parts.first_mut() else {
            return;
        };
        let state = std::mem::replace(&mut part.state, part::State::Open);
        if let part::State::Done(reply) = state {
            self.finish(forward::Outcome::Reply(reply), actions);
        }
    }

    pub(super) fn finish_merged(&mut self, actions: &mut Vec<forward::Action>) {
        let route::Target::Shards(shards) = &self.entry.route.target else {
            return;
        };
        let done = self.parts.iter().filter_map(|part| match &part.state {
            part::State::Done(reply) => Some(reply),
            _ => None,
        });
        let signatures = done
            .clone()
            .filter_map(|reply| reply.signature.clone())
            .collect();
        let records = forward::top_records(done.map(|reply| reply.body.as_ref()), shards.top_k);
        let merged = forward::Merged {
            signatures,
            missing: self.parts.len() - self.done,
            records,
        };
        self.finish(forward::Outcome::Merged(merged), actions);
    }

    /// Ends a job that can't succeed any more: with an upstream's own failure,
    /// as not run, or as unknown.
    fn finish_failed(&mut self, actions: &mut Vec<forward::Action>) {
        if !self.is_sharded()
            && let Some(reply) = self.parts.first_mut().and_then(|part| part.failure.take())
        {
            return self.finish(forward::Outcome::Reply(reply), actions);
        }
        let reasons = self.parts.iter().filter_map(|part| match part.state {
            part::State::Failed(reason) => Some(reason),
            _ => None,
        });
        let full = reasons
            .clone()
            .any(|reason| reason == forward::Reason::NoCapacity);
        let reason = match (self.is_sharded(), reasons.last()) {
            (false, Some(reason)) => reason,
            _ if full => forward::Reason::NoCapacity,
            _ => forward::Reason::TooFewShards,
        };
        if self.parts.iter().any(|part| part.may_have_run > 0) {
            return self.finish(forward::Outcome::Unknown { reason }, actions);
        }
        self.refuse(reason, forward::NO_CAPACITY_DELAY, actions);
    }

    pub(super) fn refuse(
        &mut self,
        reason: forward::Reason,
        retry_after: time::Duration,
        actions: &mut Vec<forward::Action>,
    ) {
        let refusal = forward::Outcome::NotRun {
            reason,
            retry_after,
        };
        self.finish(refusal, actions);
    }

    fn finish(&mut self, outcome: forward::Outcome, actions: &mut Vec<forward::Action>) {
        self.finished = true;
        self.abandon(actions);
        actions.push(forward::Action::Finish(outcome));
    }
}
