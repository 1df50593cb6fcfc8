//! The ends of calls and their delivery to the owners of the calls.

use std::time;

use crate::edge::call;
use crate::edge::state;
use crate::forward;
use crate::ids;
use crate::time as clock;

/// A call that has ended, to be delivered to its owner.
#[derive(Debug)]
pub(super) struct Ended {
    call: ids::Attempt,
    verdict: forward::Verdict,
    at: clock::Moment,
}

impl state::State {
    /// Queues a call's end for [`Self::deliver_ended`].
    pub(super) fn end(&mut self, call: ids::Attempt, verdict: forward::Verdict, at: clock::Moment) {
        self.ended.push_back(Ended { call, verdict, at });
    }

    /// Delivers queued ends of calls to their owners until the queue is empty;
    /// handling one may queue more.
    pub(super) fn deliver_ended(&mut self, now: clock::Moment) {
        while let Some(ended) = self.ended.pop_front() {
            let Some(call) = self.calls.remove(&ended.call) else {
                continue;
            };
            if call.unwatched {
                self.fleet.call_unwatched(ended.call, call.upstream, now);
            } else if self.fleet.call_ended(
                ended.call,
                call.upstream,
                call.began,
                &ended.verdict,
                now,
            ) {
                self.log_given_back(&call, &ended.verdict);
            }
            let was_sent_here = call.link.is_some();
            let is_misdirected = matches!(
                ended.verdict,
                forward::Verdict::Misdirected | forward::Verdict::AddressLost
            );
            if was_sent_here && is_misdirected {
                self.fleet.call_misdirected(call.upstream, now);
            }
            let took = ended.at.since(call.began);
            let good = matches!(ended.verdict, forward::Verdict::Good(_));
            if good && !self.fleet.suspects.is_empty() {
                self.fleet.suspects.clear(call.message.fingerprint());
            }
            self.instruments.ended(verdict_name(&ended.verdict), took);
            if call.abandoned {
                self.abandoned_call_ended(&call, &ended.verdict, now);
                self.report_over(ended.call, ended.verdict.may_have_arrived());
                continue;
            }
            match call.owner {
                call::Owner::Batch { batch, remote } => {
                    self.fleet
                        .record_end(&call.made(), &ended.verdict, took, now);
                    self.batch_call_ended(batch, remote, ended.verdict, took, now);
                }
                call::Owner::Job { job, part } => {
                    self.job_call_ended(job, part, &call, ended, took, now);
                }
            }
        }
        self.count_settled();
    }

    /// Logs that the charge for an extra call was given back.
    fn log_given_back(&self, call: &call::Call, verdict: &forward::Verdict) {
        let entry = &self.fleet.registry.get(call.upstream).entry;
        log::info!(
            request = call.message.id.as_str(), service = entry.service.as_str(),
            upstream = entry.id.as_str(), how = verdict_name(verdict);
            "charge given back: the extra call wasn't made"
        );
    }

    /// Counts the extra calls whose charge was settled.
    pub(super) fn count_settled(&mut self) {
        let settled = self.fleet.take_settled();
        for charge in &settled.arrived {
            self.instruments.extra_call_arrived(&charge.service);
        }
        for charge in &settled.not_made {
            self.instruments.extra_call_not_made(&charge.service);
        }
    }

    /// Passes the end of a call to its job.
    fn job_call_ended(
        &mut self,
        id: u64,
        part: usize,
        call: &call::Call,
        ended: Ended,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        // What relays refuse or advise against is counted; a line for each such call would fill
        // the log in a retry storm.
        let is_logged = !matches!(
            ended.verdict,
            forward::Verdict::Good(_) | forward::Verdict::NoBudget | forward::Verdict::Advised(_)
        );
        if is_logged {
            let entry = &self.fleet.registry.get(call.upstream).entry;
            log::info!(
                request = call.message.id.as_str(), service = entry.service.as_str(),
                upstream = entry.id.as_str(), how = verdict_name(&ended.verdict),
                took_ms = took.as_millis() as u64;
                "call ended without a usable reply"
            );
        }
        let mut actions = Vec::new();
        let end = forward::End {
            call: ended.call,
            part,
            verdict: ended.verdict,
            took,
        };
        running.job.ended(end, &mut self.fleet, now, &mut actions);
        self.apply(id, actions, now);
    }
}

fn verdict_name(verdict: &forward::Verdict) -> &'static str {
    match verdict {
        forward::Verdict::Good(_) => "good",
        forward::Verdict::Failure(_) => "failure",
        forward::Verdict::NotRun => "not_run",
        forward::Verdict::Misdirected => "misdirected",
        forward::Verdict::AddressLost => "address_lost",
        forward::Verdict::NotSent => "not_sent",
        forward::Verdict::Advised(_) => "advised",
        forward::Verdict::NoBudget => "unpaid",
        forward::Verdict::Lost => "lost",
    }
}
