//! What other VMs tell of the calls that they make for this one.

use std::net;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::time as clock;

impl state::State {
    /// Another VM tells how calls ended.
    pub(in crate::edge) fn told(
        &mut self,
        address: net::SocketAddr,
        told: frame::Told,
        now: clock::Moment,
    ) {
        self.relays.answered(address);
        self.take_lateness(&told, now);
        let out: Vec<ids::Attempt> = told.out.iter().copied().map(ids::Attempt).collect();
        let good = told.ends.iter().filter(|end| end.how() == frame::How::Good);
        let group = good.clone().count() > 1;
        // Merged records can't be taken apart: where one of the calls isn't
        // known any more, none of them is of use.
        let whole = good
            .clone()
            .all(|end| self.calls.contains_key(&ids::Attempt(end.id)));
        let mut records = Some(told.records);
        for end in told.ends {
            let id = ids::Attempt(end.id);
            let at = match self.calls.get(&id) {
                Some(call) => call.began + time::Duration::from_micros(end.took_us),
                None => continue,
            };
            let verdict = match end.how() {
                frame::How::Good if whole => {
                    let body = records.take().unwrap_or_default();
                    let reply = h1::Reply::merged(end.signature, body);
                    if group && self.replace(id, &reply) {
                        continue;
                    }
                    forward::Verdict::Good(reply)
                }
                // Too little of the reply is told to pass it on.
                frame::How::Good | frame::How::Failure | frame::How::Lost => forward::Verdict::Lost,
                frame::How::NotRun => forward::Verdict::NotRun,
                frame::How::Misdirected => forward::Verdict::Misdirected,
                frame::How::NotSent => forward::Verdict::NotSent,
                frame::How::Unpaid => forward::Verdict::Unpaid,
                frame::How::Advised => forward::Verdict::Advised(end.advice()),
                frame::How::Unknown => {
                    self.relays.lacked_upstream(address, now);
                    self.call_directly(id, now);
                    continue;
                }
            };
            self.end(id, verdict, at);
        }
        self.settle(now);
        self.still_out(&out, now);
    }

    /// Learns from a frame how late frames of other VMs come.
    fn take_lateness(&mut self, told: &frame::Told, now: clock::Moment) {
        if told.due_us == 0 {
            return;
        }
        let ids = told.ends.iter().map(|end| &end.id).chain(&told.out);
        let call = ids.filter_map(|id| self.calls.get(&ids::Attempt(*id)));
        let Some(began) = call.map(|call| call.began).next() else {
            return;
        };
        let due = began + time::Duration::from_micros(told.due_us);
        let late = now.since(due);
        self.relays.record_lateness(late);
        self.count.frame_late(late);
    }

    /// Another VM tells that these calls have no reply yet.
    fn still_out(&mut self, calls: &[ids::Attempt], now: clock::Moment) {
        let owner = calls.iter().find_map(|id| match self.calls.get(id)?.owner {
            call::Owner::Job { job, .. } => Some(job),
            call::Owner::Ask { .. } => None,
        });
        let Some((id, running)) = owner.and_then(|id| Some((id, self.running.get_mut(&id)?)))
        else {
            return;
        };
        let mut actions = Vec::new();
        running
            .job
            .report_unanswered(calls, &mut self.fleet, now, &mut actions);
        // Its task waits for a later point in time.
        running.done.notify_one();
        self.act(id, actions, now);
        self.settle(now);
    }

    /// The VM that was asked to make a call hasn't told of it in time.
    pub(super) fn helper_silent(&mut self, call: ids::Attempt) {
        if let Some(address) = self.calls.get(&call).and_then(|call| call.via) {
            self.relays.mark_silent(address);
        }
    }

    /// Makes a call that another VM can't: it is cut off from the store and
    /// hasn't heard of the upstream.
    fn call_directly(&mut self, id: ids::Attempt, now: clock::Moment) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.orphaned {
            self.end(id, forward::Verdict::NotSent, now);
            return;
        }
        call.via = None;
        let upstream = call.upstream;
        let entry = &self.fleet.registry.get(upstream).entry;
        log::info!(request = call.message.id.as_str(), upstream = entry.id.as_str(); "call made directly: the VM that was asked doesn't know the upstream");
        self.pool(upstream).waiting.push_back(id);
        self.dispatch(upstream, now);
    }

    /// Puts a reply that is merged with others in the place of the reply that
    /// its part has already; false where the part has none.
    fn replace(&mut self, id: ids::Attempt, reply: &h1::Reply) -> bool {
        let Some(call) = self.calls.get(&id).filter(|call| call.orphaned) else {
            return false;
        };
        let call::Owner::Job { job, part } = call.owner else {
            return false;
        };
        if let Some(running) = self.running.get_mut(&job) {
            running.job.replace_reply(part, reply.clone());
        }
        let upstream = call.upstream;
        self.calls.remove(&id);
        self.fleet.health(upstream).end();
        true
    }
}
