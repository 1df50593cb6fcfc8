//! Handles relays' reports on the calls that they make for this VM.

use std::net;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::pool;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::time as clock;

impl state::State {
    /// Handles a report from the relay at `address`.
    pub(in crate::edge) fn report_received(
        &mut self,
        address: net::SocketAddr,
        report: frame::Report,
        now: clock::Moment,
    ) {
        self.relays.answered(address);
        self.record_lateness(&report, now);
        let pending: Vec<ids::Attempt> = report.pending.iter().copied().map(ids::Attempt).collect();
        let good = report
            .ends
            .iter()
            .filter(|end| end.how() == frame::How::Good);
        let merged = good.clone().count() > 1;
        // Merged records can't be separated by call: if one of the calls is no
        // longer known, none of the records can be used.
        let all_known = good
            .clone()
            .all(|end| self.calls.contains_key(&ids::Attempt(end.id)));
        let mut records = Some(report.records);
        for end in report.ends {
            let id = ids::Attempt(end.id);
            let at = match self.calls.get(&id) {
                Some(call) => call.began + time::Duration::from_micros(end.took_us),
                None => {
                    self.relayed_call_over(id, end.how(), now);
                    continue;
                }
            };
            if matches!(end.how(), frame::How::Good | frame::How::Failure) {
                // Whatever becomes of the reply, the upstream has read the call.
                self.upstream_read(id, now);
            }
            let whole = report.replies.iter().find(|reply| reply.call == end.id);
            let whole = whole.and_then(frame::Reply::read);
            let verdict = match end.how() {
                frame::How::Good if !self.is_sharded(id) => match whole {
                    Some(reply) => forward::Verdict::Good(reply),
                    // The relay's version can't report a whole reply.
                    None => forward::Verdict::Lost,
                },
                frame::How::Failure if whole.is_some() => match whole {
                    Some(reply) => forward::Verdict::Failure(reply),
                    None => forward::Verdict::Lost,
                },
                frame::How::Good if all_known => {
                    let body = records.take().unwrap_or_default();
                    let reply = h1::Reply::merged(end.signature, body);
                    if merged && self.replace_reply(id, &reply, now) {
                        continue;
                    }
                    forward::Verdict::Good(reply)
                }
                // A report doesn't contain the upstream's failure reply, so none can
                // be passed on to the caller.
                frame::How::Good | frame::How::Failure | frame::How::Lost => forward::Verdict::Lost,
                frame::How::NotRun => forward::Verdict::NotRun,
                frame::How::Misdirected => forward::Verdict::Misdirected,
                frame::How::AddressLost => forward::Verdict::AddressLost,
                frame::How::NotSent => forward::Verdict::NotSent,
                frame::How::NoBudget => forward::Verdict::NoBudget,
                frame::How::Advised => forward::Verdict::Advised(end.advice()),
                frame::How::Unknown => {
                    self.relays.lacked_upstream(address, now);
                    self.call_directly(id, now);
                    continue;
                }
            };
            self.end(id, verdict, at);
        }
        self.deliver_ended(now);
        self.calls_still_pending(&pending, now);
    }

    /// Returns whether a call is one of a search.
    fn is_sharded(&self, id: ids::Attempt) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| call.message.sharded)
    }

    /// Handles a relay's report that an upstream replied to a call.
    fn upstream_read(&mut self, id: ids::Attempt, now: clock::Moment) {
        if let Some(call) = self.calls.get(&id) {
            let (upstream, began) = (call.upstream, call.began);
            self.fleet.upstream_answered(upstream, began, now);
        }
    }

    /// Measures how late a report arrived after its due time.
    fn record_lateness(&mut self, report: &frame::Report, now: clock::Moment) {
        if report.due_us == 0 {
            return;
        }
        let ids = report.ends.iter().map(|end| &end.id).chain(&report.pending);
        let call = ids.filter_map(|id| self.calls.get(&ids::Attempt(*id)));
        let Some(began) = call.map(|call| call.began).next() else {
            return;
        };
        let due = began + time::Duration::from_micros(report.due_us);
        let late = now.since(due);
        self.relays.record_lateness(late);
        self.instruments.frame_late(late);
    }

    /// Notifies the job that the relay has no reply to these calls yet.
    fn calls_still_pending(&mut self, calls: &[ids::Attempt], now: clock::Moment) {
        let owner = calls.iter().find_map(|id| match self.calls.get(id)?.owner {
            call::Owner::Job { job, .. } => Some(job),
            call::Owner::Batch { .. } => None,
        });
        let Some((id, running)) = owner.and_then(|id| Some((id, self.running.get_mut(&id)?)))
        else {
            return;
        };
        let mut actions = Vec::new();
        running
            .job
            .report_unanswered(calls, &mut self.fleet, now, &mut actions);
        // The job may now wake earlier than its task's timer is set for.
        running.done.notify_one();
        self.apply(id, actions, now);
        self.deliver_ended(now);
    }

    /// Records that the relay of a call hasn't reported on it in time.
    pub(super) fn relay_silent(&mut self, call: ids::Attempt) {
        if let Some(via) = self.calls.get(&call).and_then(|call| call.via.as_ref()) {
            self.relays.mark_silent(via.relay);
        }
    }

    /// Makes a call that its relay can't make because it doesn't know the upstream,
    /// which happens while that relay can't reach the store. A call that the relay was
    /// to pay for isn't made: no budget of this VM allows it.
    fn call_directly(&mut self, id: ids::Attempt, now: clock::Moment) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.abandoned {
            self.end(id, forward::Verdict::NotSent, now);
            return;
        }
        let Some(permit) = call.via.take().and_then(|via| via.permit) else {
            self.end(id, forward::Verdict::NoBudget, now);
            return;
        };
        let upstream = call.upstream;
        let entry = &self.fleet.registry.get(upstream).entry;
        log::info!(
            request = call.message.id.as_str(), upstream = entry.id.as_str();
            "call made directly: the relay doesn't know the upstream"
        );
        self.wait_for_link(upstream, pool::Waiting::new(id, permit), now);
    }

    /// Replaces the reply that an abandoned call's part already has by a merged one,
    /// which also contains the records of other parts. Returns false if the call
    /// isn't abandoned.
    fn replace_reply(&mut self, id: ids::Attempt, reply: &h1::Reply, now: clock::Moment) -> bool {
        let Some(call) = self.calls.get(&id).filter(|call| call.abandoned) else {
            return false;
        };
        let call::Owner::Job { job, part } = call.owner else {
            return false;
        };
        if let Some(running) = self.running.get_mut(&job) {
            running.job.replace_reply(part, reply.clone());
        }
        let (upstream, began) = (call.upstream, call.began);
        let verdict = forward::Verdict::Good(reply.clone());
        self.fleet.call_ended(id, upstream, began, &verdict, now);
        self.calls.remove(&id);
        self.fleet.health(upstream).end();
        true
    }
}
