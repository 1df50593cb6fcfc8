//! One request on its way.

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

/// Pause told to callers of a service without an upstream. Crashed upstreams
/// are back after seconds, but another VM may reach one now.
const NO_UPSTREAM_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Pause told to callers of a request that crashes upstreams: as long as it
/// stays refused, at least.
const QUARANTINE_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Times the usual before which no call is late: most would still reply.
const LATE: f64 = 1.8;
/// Part of the aim after which a call is late in any case: another one has to
/// fit into the rest.
const LATEST: f64 = 0.6;

/// What a job starts from.
#[derive(Debug, Clone)]
pub struct Request {
    /// The route.
    pub entry: rc::Rc<route::table::Entry>,
    /// When it was read.
    pub began: clock::Moment,
    /// How long its caller waits.
    pub time_left: Option<time::Duration>,
}

/// One request on its way: a state machine without I/O.
#[derive(Debug)]
pub struct Job {
    entry: rc::Rc<route::table::Entry>,
    times: rc::Rc<forward::Times>,
    parts: Vec<part::Part>,
    /// Parts with calls under way.
    open: usize,
    done: usize,
    began: clock::Moment,
    /// When an answer that lacks shards is better than a later one.
    answer_at: clock::Moment,
    /// When the final answer goes out, whatever it is.
    deadline: clock::Moment,
    hedge_after: time::Duration,
    next_hedge: Option<clock::Moment>,
    finished: bool,
}

impl Job {
    /// A job for `request`. [`Self::start`] makes its first calls.
    pub fn new(request: Request, fleet: &mut forward::Fleet) -> Self {
        let route = &request.entry.route;
        let times = fleet.times(route);
        let policy = &fleet.policy;
        let wait = request
            .time_left
            .unwrap_or(route.timeout)
            .min(route.timeout);
        // A tenth of a short wait is left for the way back.
        let margin = policy.deadline_margin.min(wait / 10);
        let margin_of_aim = policy.answer_margin + fleet.lag.get();
        let hedge_after = Self::late_after(route.aim, times.median(), policy);
        let services: Vec<ids::Service> = match &route.target {
            route::Target::One(split) => {
                let place = request.entry.split.borrow_mut().deal();
                split
                    .get(place)
                    .map(|part| part.service.clone())
                    .into_iter()
                    .collect()
            }
            route::Target::Shards(shards) => shards.services.clone(),
        };
        Self {
            parts: services.into_iter().map(part::Part::new).collect(),
            times,
            open: 0,
            done: 0,
            began: request.began,
            answer_at: request.began + route.aim.saturating_sub(margin_of_aim),
            deadline: request.began + wait.saturating_sub(margin),
            hedge_after,
            next_hedge: None,
            finished: false,
            entry: request.entry,
        }
    }

    /// A call is late after the policy's part of the aim, but not while most
    /// calls of the route still run.
    fn late_after(
        aim: time::Duration,
        median: time::Duration,
        policy: &forward::Policy,
    ) -> time::Duration {
        let share = aim.mul_f64(policy.hedge_at.get());
        share.max(median.mul_f64(LATE)).min(aim.mul_f64(LATEST))
    }

    /// The route.
    pub fn route(&self) -> &route::Route {
        &self.entry.route
    }

    /// When [`Self::tick`] is to be called next.
    pub fn wake_at(&self) -> clock::Moment {
        let mut at = self.deadline;
        if self.is_sharded() && self.answer_at < at && self.done < self.parts.len() {
            at = self.answer_at;
        }
        self.next_hedge.map_or(at, |hedge| hedge.min(at))
    }

    /// When the final answer goes out, whatever it is.
    pub fn deadline(&self) -> clock::Moment {
        self.deadline
    }

    /// When the request was read.
    pub fn began(&self) -> clock::Moment {
        self.began
    }

    /// Parts that have their reply, and all of them.
    pub fn progress(&self) -> (usize, usize) {
        (self.done, self.parts.len())
    }

    /// Makes the first calls, or refuses at once what can't be served.
    pub fn start(
        &mut self,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        for part in &self.parts {
            fleet.first(&part.service, now);
        }
        self.open = self.parts.len();
        if !self.can_start(fleet, now) {
            return self.refuse(forward::Reason::NoUpstream, NO_UPSTREAM_PAUSE, actions);
        }
        for place in 0..self.parts.len() {
            self.call(place, forward::Why::First, fleet, now, actions);
        }
        self.plan_hedges();
        self.settle(actions);
    }

    /// Refuses the request, in the place of [`Self::start`]: it crashes the
    /// upstreams that run it.
    pub fn quarantine(&mut self, actions: &mut Vec<forward::Action>) {
        self.refuse(forward::Reason::Quarantined, QUARANTINE_PAUSE, actions);
    }

    /// A call was answered, or is known to get no answer.
    pub fn ended(
        &mut self,
        end: forward::End,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
        actions: &mut Vec<forward::Action>,
    ) {
        let place = end.part;
        let Some(part) = self.parts.get_mut(place) else {
            return;
        };
        let Some(call) = part.take(end.call) else {
            return;
        };
        let made = forward::Made {
            upstream: call.upstream,
            began: call.began,
            usual: self.times.median(),
        };
        fleet.learn(&made, &end.verdict, end.took, now);
        match end.verdict {
            forward::Verdict::Good(reply) => {
                self.times.add(end.took);
                self.complete(place, reply, actions);
            }
            forward::Verdict::Failure(reply) => {
                part.failure = Some(reply);
                self.again(place, forward::Why::Failed, fleet, now, actions);
            }
            forward::Verdict::NotRun => {
                part.declined.push(call.upstream);
                self.not_run(place, fleet, now, actions);
            }
            forward::Verdict::Misdirected => {
                self.not_run(place, fleet, now, actions);
            }
            forward::Verdict::NotSent => {
                part.arrivals -= 1;
                self.not_run(place, fleet, now, actions);
            }
            forward::Verdict::Advised(_) => {
                self.advised(place, &call, fleet, now, actions);
            }
            forward::Verdict::Unpaid => self.unpaid(place, call.upstream),
            forward::Verdict::Lost => {
                self.again(place, forward::Why::Failed, fleet, now, actions);
            }
        }
        self.settle(actions);
    }

    /// Hedges, answers with what there is, or gives up, as the time says.
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
            return self.time_over(actions);
        }
        if self.is_sharded() && now >= self.answer_at {
            if self.enough() {
                return self.finish_merged(actions);
            }
            // From here on only a whole answer, or the deadline, ends it.
            self.answer_at = self.deadline;
        }
        if self.next_hedge.is_some_and(|at| at <= now) {
            self.hedge(fleet, now, actions);
            self.plan_hedges();
        }
    }

    /// Nobody waits any more: the caller left.
    pub fn cancel(&mut self, actions: &mut Vec<forward::Action>) {
        self.finished = true;
        self.abandon(actions);
    }

    /// Lets go of the calls under way. From here on, what becomes of them is
    /// told to [`forward::Fleet::orphan_ended`].
    fn abandon(&mut self, actions: &mut Vec<forward::Action>) {
        for part in &mut self.parts {
            let calls = part.calls.drain(..);
            actions.extend(calls.map(|call| forward::Action::Abandon(call.id)));
        }
    }

    /// The services whose parts have no reply.
    pub fn missing(&self) -> impl Iterator<Item = &ids::Service> {
        let open = self.parts.iter().filter(|part| !part.is_done());
        open.map(|part| &part.service)
    }

    /// Why parts have no reply, and how many for each cause.
    pub fn lacks(&self) -> collections::BTreeMap<forward::Lack, usize> {
        let mut lacks = collections::BTreeMap::new();
        for lack in self.parts.iter().filter_map(part::Part::lack) {
            *lacks.entry(lack).or_default() += 1;
        }
        lacks
    }

    /// The upstreams that were called for the first part.
    pub fn tried(&self) -> &[registry::Handle] {
        self.parts.first().map_or(&[], |part| &part.tried)
    }

    /// How long after its start a call counts as late.
    pub fn hedge_after(&self) -> time::Duration {
        self.hedge_after
    }

    /// Records that an answer needs at most.
    pub fn top(&self) -> usize {
        match &self.entry.route.target {
            route::Target::One(_) => 0,
            route::Target::Shards(shards) => shards.top,
        }
    }

    /// Puts a reply in the place of the one that a part has.
    pub fn replace(&mut self, place: usize, reply: h1::Reply) {
        let part = self.parts.get_mut(place);
        if let Some(part) = part.filter(|part| part.is_done()) {
            part.state = part::State::Done(reply);
        }
    }

    /// The usual times of the route's calls.
    pub fn times(&self) -> &rc::Rc<forward::Times> {
        &self.times
    }

    fn is_sharded(&self) -> bool {
        matches!(self.entry.route.target, route::Target::Shards(_))
    }

    fn least(&self) -> f64 {
        match &self.entry.route.target {
            route::Target::One(_) => 1.0,
            route::Target::Shards(shards) => shards.least.get(),
        }
    }

    /// Whether `count` parts make an answer.
    fn suffices(&self, count: usize) -> bool {
        count > 0 && count as f64 >= self.least() * self.parts.len() as f64
    }

    fn enough(&self) -> bool {
        self.suffices(self.done)
    }
}
