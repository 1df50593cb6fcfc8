//! The log lines of a search, by which its calls and its missing shards can be traced.

use super::Task;
use crate::ids;
use crate::mesh::message;
use crate::query;
use crate::time as clock;

impl Task {
    /// Logs canaries and trials, each of which may crash an upstream, so that a loss can
    /// be traced to the call and to what this VM knew when it sent it.
    pub(super) fn log_single_calls(&self, vm: &ids::Vm, calls: &[message::Call]) {
        let single = |kind| matches!(kind, message::Kind::Canary | message::Kind::Trial);
        for call in calls.iter().filter(|call| single(call.kind())) {
            let now = self.owner.clock.now();
            log::debug!(
                request = self.context.request.as_str(),
                service = self.context.service.as_str(),
                fingerprint = self.context.fingerprint.0,
                attempt = call.attempt,
                started_ms = clock::millis(now.since(self.context.started));
                "sends a {:?} to {} via {vm}, verdict {}",
                call.kind(), call.upstream, self.verdict()
            );
        }
    }

    /// Logs lost connections.
    pub(super) fn log_losses(&self, from: &ids::Vm, replies: &[message::Reply]) {
        let lost = replies
            .iter()
            .filter(|reply| reply.outcome() == message::Outcome::Lost);
        for reply in lost {
            log::debug!(
                request = self.context.request.as_str(),
                attempt = reply.attempt,
                ran_us = reply.upstream_us;
                "learns from {from} of a connection to {} lost during a call", reply.upstream
            );
        }
    }

    /// Logs an answer without some of its shards, and what was done for them.
    pub(super) fn log(&self, answer: &query::Answer) {
        if answer.coverage.complete {
            return;
        }
        let now = self.owner.clock.now();
        let delay = self.trial.delay.map(|delay| delay.to_string());
        log::info!(
            request = self.context.request.as_str(),
            service = self.context.service.as_str(),
            fingerprint = self.context.fingerprint.0,
            took_ms = clock::millis(now.since(self.context.started)),
            missing = answer.coverage.missing.len(),
            trial_denied = delay.unwrap_or_default();
            "answered without all shards: {}",
            self.gather.trace(now)
        );
    }
}
