//! The state machine of one request.

mod calls;
mod finish;

use std::collections;
use std::rc;
use std::time;

use crate::forward;
use crate::forward::part;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::route;
use crate::time as clock;

/// Retry delay for callers of a service without an upstream. Crashed upstreams
/// are back after seconds, but another VM may already reach one.
const NO_UPSTREAM_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Retry delay for callers of a request that crashes upstreams. The request
/// usually stays refused for at least as long.
const QUARANTINE_RETRY_DELAY: time::Duration = time::Duration::from_secs(30);

/// Multiple of the typical time before which no call is late, because most
/// calls would still get a reply.
const LATE_RATIO: f64 = 1.8;
/// Share of the latency target after which a call is always late, because
/// another call has to fit into the rest.
const MAX_LATE_SHARE: f64 = 0.6;

/// Parameters of a job.
#[derive(Debug, Clone)]
pub struct Request {
    /// The route of the request.
    pub entry: rc::Rc<route::table::Entry>,
    /// When the request was read.
    pub began: clock::Moment,
    /// How long the caller waits. `None` if the caller set no limit.
    pub time_left: Option<time::Duration>,
}

/// State machine of one request. Performs no I/O.
#[derive(Debug)]
pub struct Job {
    entry: rc::Rc<route::table::Entry>,
    latency: rc::Rc<forward::Latency>,
    parts: Vec<part::Part>,
    /// Number of parts with calls in progress.
    open: usize,
    done: usize,
    began: clock::Moment,
    /// From this time on, an incomplete answer with enough shards is preferred
    /// over waiting.
    answer_at: clock::Moment,
    /// When the final answer is sent, whatever the state of the parts.
    deadline: clock::Moment,
    hedge_after: time::Duration,
    next_hedge: Option<clock::Moment>,
    finished: bool,
}

impl Job {
    /// Creates a job for `request`. Call [`Self::start`] to make its first
    /// calls.
    pub fn new(request: Request, fleet: &mut forward::Fleet) -> Self {
        let route = &request.entry.route;
        let latency = fleet.latency(route);
        let policy = &fleet.policy;
        let wait = request
            .time_left
            .unwrap_or(route.timeout)
            .min(route.timeout);
        // A short timeout reserves only a tenth of it for the way back.
        let margin = policy.deadline_margin.min(wait / 10);
        let target_margin = policy.answer_margin + fleet.lag.get();
        let hedge_after = Self::late_after(route.latency_target, latency.median(), policy);
        let services: Vec<ids::Service> = match &route.target {
            route::Target::One(split) => {
                let index = request.entry.split.borrow_mut().next_index();
                split
                    .get(index)
                    .map(|part| part.service.clone())
                    .into_iter()
                    .collect()
            }
            route::Target::Shards(shards) => shards.services.clone(),
        };
        Self {
            parts: services.into_iter().map(part::Part::new).collect(),
            latency,
            open: 0,
            done: 0,
            began: request.began,
            answer_at: request.began + route.latency_target.saturating_sub(target_margin),
            deadline: request.began + wait.saturating_sub(margin),
            hedge_after,
            next_hedge: None,
            finished: false,
            entry: request.entry,
        }
    }

    /// Returns the time after which a call is late: the policy's share of the
    /// latency target, but not while most of the route's calls still run.
    fn late_after(
        target: time::Duration,
        median: time::Duration,
        policy: &forward::Policy,
    ) -> time::Duration {
        let share = target.mul_f64(policy.hedge_share.get());
        share
            .max(median.mul_f64(LATE_RATIO))
            .min(target.mul_f64(MAX_LATE_SHARE))
    }

    /// Returns the route of the request.
    pub fn route(&self) -> &route::Route {
        &self.entry.route
    }

    /// Returns when [`Self::tick`] must be called next.
    pub fn wake_at(&self) -> clock::Moment {
        let mut at = self.deadline;
        if self.is_sharded() && self.answer_at < at && self.done < self.parts.len() {
            at = self.answer_at;
        }
        self.next_hedge.map_or(at, |hedge| hedge.min(at))
    }

    /// Returns when the final answer is sent, whatever the state of the parts.
    pub fn deadline(&self) -> clock::Moment {
        self.deadline
    }

    /// Returns when the request was read.
    pub fn began(&self) -> clock::Moment {
        self.began
    }

    /// Returns the number of parts with a reply and the number of all parts.
    pub fn progress(&self) -> (usize, usize) {
        (self.done, self.parts.len())
    }

    /// Makes the first calls, or refuses the request at once if it can't be
    /// served.
    pub fn start(
        &mut self,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        for part in &self.parts {
            fleet.count_request(&part.service, now);
        }
        self.open = self.parts.len();
        if !self.can_start(fleet, now) {
            return self.refuse(
                forward::Reason::NoUpstream,
                NO_UPSTREAM_RETRY_DELAY,
                actions,
            );
        }
        for index in 0..self.parts.len() {
            self.call(index, forward::CallReason::First, fleet, now, actions);
        }
        self.plan_hedges();
        self.settle(actions);
    }

    /// Refuses the request because it crashes the upstreams that run it. Called
    /// instead of [`Self::start`].
    pub fn quarantine(&mut self, actions: &mut Vec<forward::Action>) {
        self.refuse(
            forward::Reason::Quarantined,
            QUARANTINE_RETRY_DELAY,
            actions,
        );
    }

    /// Handles the end of a call, with or without a reply.
    pub fn ended(
        &mut self,
        end: forward::End,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let index = end.part;
        let Some(part) = self.parts.get_mut(index) else {
            return;
        };
        let Some(call) = part.remove_call(end.call) else {
            return;
        };
        let started = forward::StartedCall {
            upstream: call.upstream,
            began: call.began,
            typical_call_time: self.latency.median(),
        };
        fleet.record_end(&started, &end.verdict, end.took, now);
        match end.verdict {
            forward::Verdict::Good(reply) => {
                self.latency.add(end.took);
                self.complete(index, reply, actions);
            }
            forward::Verdict::Failure(reply) => {
                part.failure = Some(reply);
                self.retry(index, forward::CallReason::Failed, fleet, now, actions);
            }
            forward::Verdict::NotRun => {
                part.declined.push(call.upstream);
                self.not_run(index, fleet, now, actions);
            }
            forward::Verdict::Misdirected => self.not_run(index, fleet, now, actions),
            forward::Verdict::AddressLost | forward::Verdict::NotSent => {
                part.arrivals -= 1;
                self.not_run(index, fleet, now, actions);
            }
            forward::Verdict::Advised(_) => {
                self.advised(index, &call, fleet, now, actions);
            }
            forward::Verdict::NoBudget => self.refused_by_budget(index, call.upstream),
            forward::Verdict::Lost => {
                part.lost.push(call.id);
                self.retry(index, forward::CallReason::Failed, fleet, now, actions);
            }
        }
        self.settle(actions);
    }

    /// Handles a timer: hedges, answers with the replies received so far, or
    /// gives up.
    pub fn tick(
        &mut self,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        if self.finished {
            return;
        }
        fleet.lag.add(now.since(self.wake_at()));
        if now >= self.deadline {
            return self.expire(actions);
        }
        if self.is_sharded() && now >= self.answer_at {
            if self.has_min_coverage() {
                return self.finish_merged(actions);
            }
            // From here on, only a complete answer or the deadline ends the
            // job.
            self.answer_at = self.deadline;
        }
        if self.next_hedge.is_some_and(|at| at <= now) {
            self.hedge(fleet, now, actions);
            self.plan_hedges();
        }
    }

    /// Cancels the job because its caller disconnected.
    pub fn cancel(&mut self, actions: &mut Vec<forward::Action>) {
        self.finished = true;
        self.abandon(actions);
    }

    /// Abandons all calls in progress. Report their ends to
    /// [`forward::Fleet::record_abandoned`] from then on.
    fn abandon(&mut self, actions: &mut Vec<forward::Action>) {
        for part in &mut self.parts {
            let calls = part.calls.drain(..);
            actions.extend(calls.map(|call| forward::Action::Abandon(call.id)));
        }
    }

    /// Returns the upstreams of a part's calls that have no reply yet, other than
    /// `call`.
    pub fn unanswered(
        &self,
        part: usize,
        call: ids::Attempt,
    ) -> impl Iterator<Item = registry::Handle> {
        let calls = self
            .parts
            .get(part)
            .into_iter()
            .flat_map(|part| &part.calls);
        calls
            .filter(move |other| other.id != call)
            .map(|other| other.upstream)
    }

    /// Returns the services of the parts that have no reply.
    pub fn missing(&self) -> impl Iterator<Item = &ids::Service> {
        let open = self.parts.iter().filter(|part| !part.is_done());
        open.map(|part| &part.service)
    }

    /// Returns the number of parts without a reply by reason.
    pub fn missing_reasons(&self) -> collections::BTreeMap<forward::MissingReason, usize> {
        let mut counts = collections::BTreeMap::new();
        for reason in self.parts.iter().filter_map(part::Part::missing_reason) {
            *counts.entry(reason).or_default() += 1;
        }
        counts
    }

    /// Returns the upstreams that were called for the first part.
    pub fn tried(&self) -> &[registry::Handle] {
        self.parts.first().map_or(&[], |part| &part.tried)
    }

    /// Returns the time after which a call counts as late.
    pub fn hedge_after(&self) -> time::Duration {
        self.hedge_after
    }

    /// Returns the maximum number of records in an answer.
    pub fn top_k(&self) -> usize {
        match &self.entry.route.target {
            route::Target::One(_) => 0,
            route::Target::Shards(shards) => shards.top_k,
        }
    }

    /// Replaces the reply of a part that has one.
    pub fn replace_reply(&mut self, index: usize, reply: h1::Reply) {
        let part = self.parts.get_mut(index);
        if let Some(part) = part.filter(|part| part.is_done()) {
            part.state = part::State::Done(reply);
        }
    }

    /// Returns the latency estimate of the route's calls.
    pub fn latency(&self) -> &rc::Rc<forward::Latency> {
        &self.latency
    }

    fn is_sharded(&self) -> bool {
        matches!(self.entry.route.target, route::Target::Shards(_))
    }

    fn min_coverage(&self) -> f64 {
        match &self.entry.route.target {
            route::Target::One(_) => 1.0,
            route::Target::Shards(shards) => shards.min_coverage.get(),
        }
    }

    /// Returns whether replies of `count` parts suffice for an answer.
    fn suffices(&self, count: usize) -> bool {
        count > 0 && count as f64 >= self.min_coverage() * self.parts.len() as f64
    }

    fn has_min_coverage(&self) -> bool {
        self.suffices(self.done)
    }
}
