//! Makes the calls of a job and completes or fails its parts.

use std::time;

use crate::forward;
use crate::forward::job;
use crate::forward::part;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::route;
use crate::time as clock;

impl job::Job {
    pub(super) fn can_start(&self, fleet: &mut forward::Fleet, now: clock::Moment) -> bool {
        let live = self
            .parts
            .iter()
            .filter(|part| fleet.has_upstream(&part.service, now))
            .count();
        self.suffices(live)
    }

    /// Returns the upstream for a part's next call. When a search has called
    /// all of the part's upstreams, those that declined may be called again.
    fn choose_upstream(
        &mut self,
        index: usize,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
    ) -> Option<registry::Handle> {
        let typical_call_time = self.latency.median();
        let is_sharded = self.is_sharded();
        let part = &mut self.parts[index];
        let upstream = fleet.choose(&part.service, &part.tried, typical_call_time, now);
        if upstream.is_some() || !is_sharded || !part.calls.is_empty() {
            return upstream;
        }
        part.retry_declined();
        fleet.choose(&part.service, &part.tried, typical_call_time, now)
    }

    /// Makes a call for a part, or fails the part if no call can be made.
    pub(super) fn call(
        &mut self,
        index: usize,
        reason: forward::CallReason,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let Some(upstream) = self.choose_upstream(index, fleet, now) else {
            return self.fail_unless_called(index, forward::Reason::NoUpstream);
        };
        let part = &mut self.parts[index];
        let id = fleet.next_call();
        let Some(payment) = part.payment(id, fleet, now) else {
            part.refused_by_budget = true;
            return self.fail_unless_called(index, forward::Reason::NoCapacity);
        };
        fleet.health(upstream).start();
        part.arrivals += 1;
        part.may_have_run += 1;
        part.tried.push(upstream);
        part.calls.push(part::Call {
            id,
            upstream,
            began: now,
            progress: part::Progress::Pending,
            reason,
            relay_pays: payment == forward::Payment::Relay,
        });
        part.hedge_at = None;
        let repeatable = self.entry.route.repeat == route::Repeat::Idempotent;
        if repeatable && part.may_have_run < self.entry.route.attempts {
            part.hedge_at = Some(now + self.hedge_after);
        }
        actions.push(forward::Action::Send(forward::Send {
            call: id,
            part: index,
            upstream,
            reason,
            payment,
            mandatory: part.advised,
        }));
    }

    pub(super) fn not_run(
        &mut self,
        index: usize,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let part = &mut self.parts[index];
        part.may_have_run -= 1;
        part.not_run += 1;
        if part.not_run > part::MAX_NOT_RUN_CALLS {
            return self.fail_unless_called(index, forward::Reason::NoCapacity);
        }
        self.retry(index, forward::CallReason::NotRun, fleet, now, actions);
    }

    /// Handles a relay's advice against a call: calls another upstream, or the
    /// same one again if there is no other.
    pub(super) fn advised(
        &mut self,
        index: usize,
        call: &part::Call,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let part = &mut self.parts[index];
        part.arrivals -= 1;
        part.may_have_run -= 1;
        part.advised = true;
        let typical_call_time = self.latency.median();
        if fleet
            .choose(&part.service, &part.tried, typical_call_time, now)
            .is_none()
        {
            part.tried.retain(|tried| *tried != call.upstream);
        }
        self.retry(index, call.reason, fleet, now, actions);
    }

    /// Handles an extra call that no budget allowed. The service's allowance is
    /// used up, so another attempt would get the same result.
    pub(super) fn refused_by_budget(&mut self, index: usize, upstream: registry::Handle) {
        let part = &mut self.parts[index];
        part.arrivals -= 1;
        part.may_have_run -= 1;
        part.refused_by_budget = true;
        part.tried.retain(|tried| *tried != upstream);
        self.fail_unless_called(index, forward::Reason::NoCapacity);
    }

    /// Makes another call after a call of the part ended without a usable
    /// reply.
    pub(super) fn retry(
        &mut self,
        index: usize,
        reason: forward::CallReason,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let route = &self.entry.route;
        let part = &self.parts[index];
        if !part.is_open() || self.finished {
            return;
        }
        let may_retry = match route.repeat {
            route::Repeat::Idempotent => part.may_have_run < route.attempts,
            route::Repeat::Once => part.may_have_run == 0,
        };
        if may_retry {
            self.call(index, reason, fleet, now, actions);
        } else {
            self.fail_unless_called(index, forward::Reason::UpstreamsFailed);
        }
        self.plan_hedges();
    }

    pub(super) fn hedge(
        &mut self,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if !part.is_open() || part.hedge_at.is_none_or(|at| at > now) {
                continue;
            }
            part.hedge_at = None;
            let mut reason = forward::CallReason::Hedge;
            for call in &part.calls {
                match call.progress {
                    part::Progress::Pending => fleet.health(call.upstream).mark_late(),
                    // The upstream may have replied in time.
                    part::Progress::Delegated => {
                        reason = forward::CallReason::Silent;
                        actions.push(forward::Action::ReportSilentRelay(call.id));
                    }
                }
            }
            self.call(index, reason, fleet, now, actions);
        }
    }

    /// Records that relays make these calls and report after `report_after`
    /// which of them have no reply. Until then a part isn't late: its reply may
    /// be in a frame that is on its way, and hedging by this VM's clock alone
    /// would hedge all parts of a frame that is a few milliseconds late.
    pub fn delegated(&mut self, calls: &[forward::Send], report_after: time::Duration) {
        let latest = self.entry.route.latency_target.mul_f64(job::MAX_LATE_SHARE);
        let wait = report_after.min(latest).max(self.hedge_after);
        for send in calls {
            let Some(part) = self.parts.get_mut(send.part) else {
                continue;
            };
            let Some(call) = part.calls.iter_mut().find(|call| call.id == send.call) else {
                continue;
            };
            call.progress = part::Progress::Delegated;
            if part.hedge_at.is_some() {
                part.hedge_at = Some(call.began + wait);
            }
        }
        self.plan_hedges();
    }

    /// Handles a relay's report that these calls have no reply. Their parts are
    /// hedged at their regular hedge times.
    pub fn report_unanswered(
        &mut self,
        calls: &[ids::Attempt],
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        if self.finished {
            return;
        }
        for part in self.parts.iter_mut().filter(|part| part.is_open()) {
            let Some(call) = part.calls.iter_mut().find(|call| calls.contains(&call.id)) else {
                continue;
            };
            call.progress = part::Progress::Pending;
            if part.hedge_at.is_some() {
                part.hedge_at = Some(call.began + self.hedge_after);
            }
        }
        self.hedge(fleet, now, actions);
        self.plan_hedges();
    }

    pub(super) fn plan_hedges(&mut self) {
        let open = self.parts.iter().filter(|part| part.is_open());
        self.next_hedge = open.filter_map(|part| part.hedge_at).min();
    }

    pub(super) fn complete(
        &mut self,
        index: usize,
        reply: h1::Reply,
        actions: &mut Vec<forward::Action>,
    ) {
        let part = &mut self.parts[index];
        if !part.is_open() {
            return;
        }
        part.state = part::State::Done(reply);
        part.hedge_at = None;
        self.done += 1;
        self.open -= 1;
        let lost = part.calls.drain(..);
        actions.extend(lost.map(|call| forward::Action::Abandon(call.id)));
    }

    /// Fails a part that has no call in progress.
    fn fail_unless_called(&mut self, index: usize, reason: forward::Reason) {
        let part = &mut self.parts[index];
        if part.is_open() && part.calls.is_empty() {
            part.state = part::State::Failed(reason);
            part.hedge_at = None;
            self.open -= 1;
        }
    }
}
