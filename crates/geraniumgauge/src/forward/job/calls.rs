//! Which calls a job makes, and when a part is done or given up.

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

    /// The upstream for a part's next call. Where a search has called all of the
    /// part's upstreams, those that declined may be called again.
    fn upstream(
        &mut self,
        place: usize,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
    ) -> Option<registry::Handle> {
        let usual = self.times.median();
        let is_sharded = self.is_sharded();
        let part = &mut self.parts[place];
        let upstream = fleet.choose(&part.service, &part.tried, usual, now);
        if upstream.is_some() || !is_sharded || !part.calls.is_empty() {
            return upstream;
        }
        part.forgive();
        fleet.choose(&part.service, &part.tried, usual, now)
    }

    /// Makes a call for a part; marks the part failed where none can be made.
    pub(super) fn call(
        &mut self,
        place: usize,
        why: forward::Why,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let Some(upstream) = self.upstream(place, fleet, now) else {
            return self.fail_unless_called(place, forward::Reason::NoUpstream);
        };
        let part = &mut self.parts[place];
        let payer = if part.arrivals > 0 {
            fleet.extra(&part.service, now)
        } else {
            Some(forward::Payer::Own)
        };
        let Some(payer) = payer else {
            part.unpaid = true;
            return self.fail_unless_called(place, forward::Reason::NoRoom);
        };
        let id = fleet.next_call();
        fleet.standing(upstream).start();
        part.arrivals += 1;
        part.may_have_run += 1;
        part.tried.push(upstream);
        part.calls.push(part::Call {
            id,
            upstream,
            began: now,
            known: part::Known::Out,
            why,
            payer,
        });
        part.hedge_at = None;
        let repeatable = self.entry.route.repeat == route::Repeat::Idempotent;
        if repeatable && part.may_have_run < self.entry.route.attempts {
            part.hedge_at = Some(now + self.hedge_after);
        }
        actions.push(forward::Action::Send(forward::Send {
            call: id,
            part: place,
            upstream,
            why,
            payer,
            insist: part.advised,
        }));
    }

    pub(super) fn not_run(
        &mut self,
        place: usize,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let part = &mut self.parts[place];
        part.may_have_run -= 1;
        part.not_run += 1;
        if part.not_run > part::MAX_NOT_RUN {
            return self.fail_unless_called(place, forward::Reason::NoRoom);
        }
        self.again(place, forward::Why::NotRun, fleet, now, actions);
    }

    /// The VM that was asked to make a call advises against it: another upstream
    /// is tried in its place, or the same one where there is no other.
    pub(super) fn advised(
        &mut self,
        place: usize,
        call: &part::Call,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let part = &mut self.parts[place];
        if part.arrivals > 1 && call.payer == forward::Payer::Own {
            fleet.refund(&part.service, call.began, now);
        }
        part.arrivals -= 1;
        part.may_have_run -= 1;
        part.advised = true;
        let usual = self.times.median();
        if fleet
            .choose(&part.service, &part.tried, usual, now)
            .is_none()
        {
            part.tried.retain(|tried| *tried != call.upstream);
        }
        self.again(place, call.why, fleet, now, actions);
    }

    /// A call wasn't made as nobody could pay for it: the service's allowance is
    /// spent, and another try would meet the same.
    pub(super) fn unpaid(&mut self, place: usize, upstream: registry::Handle) {
        let part = &mut self.parts[place];
        part.arrivals -= 1;
        part.may_have_run -= 1;
        part.unpaid = true;
        part.tried.retain(|tried| *tried != upstream);
        self.fail_unless_called(place, forward::Reason::NoRoom);
    }

    /// Calls again after a call of the part ended without a reply of use.
    pub(super) fn again(
        &mut self,
        place: usize,
        why: forward::Why,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let route = &self.entry.route;
        let part = &self.parts[place];
        if !part.is_open() || self.finished {
            return;
        }
        let may = match route.repeat {
            route::Repeat::Idempotent => part.may_have_run < route.attempts,
            route::Repeat::Once => part.may_have_run == 0,
        };
        if may {
            self.call(place, why, fleet, now, actions);
        } else {
            self.fail_unless_called(place, forward::Reason::UpstreamsFailed);
        }
        self.plan_hedges();
    }

    pub(super) fn hedge(
        &mut self,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        for place in 0..self.parts.len() {
            let part = &mut self.parts[place];
            if !part.is_open() || part.hedge_at.is_none_or(|at| at > now) {
                continue;
            }
            part.hedge_at = None;
            let mut why = forward::Why::Hedge;
            for call in &part.calls {
                match call.known {
                    part::Known::Out => fleet.standing(call.upstream).late(),
                    // Its upstream may have replied in time.
                    part::Known::Handed => {
                        why = forward::Why::Silent;
                        actions.push(forward::Action::Silent(call.id));
                    }
                }
            }
            self.call(place, why, fleet, now, actions);
        }
    }

    /// Other VMs make these calls, and tell after `told_after` which of them are
    /// out. Until then a part isn't late: its reply may wait in a frame that is
    /// on its way, and hedging by this VM's clock alone would hedge all parts of
    /// a frame that comes a few milliseconds late.
    pub fn handed(&mut self, calls: &[forward::Send], told_after: time::Duration) {
        let latest = self.entry.route.aim.mul_f64(job::LATEST);
        let wait = told_after.min(latest).max(self.hedge_after);
        for send in calls {
            let Some(part) = self.parts.get_mut(send.part) else {
                continue;
            };
            let Some(call) = part.calls.iter_mut().find(|call| call.id == send.call) else {
                continue;
            };
            call.known = part::Known::Handed;
            if part.hedge_at.is_some() {
                part.hedge_at = Some(call.began + wait);
            }
        }
        self.plan_hedges();
    }

    /// Another VM tells that these of its calls have no reply: their parts are
    /// hedged at their hedge points.
    pub fn still_out(
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
            call.known = part::Known::Out;
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
        place: usize,
        reply: h1::Reply,
        actions: &mut Vec<forward::Action>,
    ) {
        let part = &mut self.parts[place];
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

    /// Gives a part up where no call of it is under way.
    fn fail_unless_called(&mut self, place: usize, reason: forward::Reason) {
        let part = &mut self.parts[place];
        if part.is_open() && part.calls.is_empty() {
            part.state = part::State::Failed(reason);
            part.hedge_at = None;
            self.open -= 1;
        }
    }
}
