//! What all jobs of one VM share.

use std::collections;
use std::rc;
use std::time;

use crate::forward;
use crate::ids;
use crate::registry;
use crate::route;
use crate::time as clock;

/// What an upstream is charged that said it has no room, or whose call is late:
/// any other that can be tried goes before it.
const AVOID: time::Duration = time::Duration::from_secs(1);
/// What an upstream is charged whose registration vanished lately.
const LAST_RESORT: time::Duration = time::Duration::from_secs(10);

/// This VM, as far as choices depend on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Own {
    /// Where it runs.
    pub data_centre: ids::DataCentre,
}

/// A call that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Made {
    /// Where it runs.
    pub upstream: registry::Handle,
    /// When it began.
    pub began: clock::Moment,
    /// How long calls of its route usually take.
    pub usual: time::Duration,
}

/// Upstreams, their standings, and the budgets of extra calls.
#[derive(Debug)]
pub struct Fleet {
    /// The upstreams known.
    pub registry: registry::Registry,
    /// How requests are run.
    pub policy: forward::Policy,
    /// Requests that crash upstreams.
    pub blame: forward::Blame,
    /// How late this process acts on its timers.
    pub lag: forward::Lag,
    own: Own,
    standings: Vec<forward::Standing>,
    allowance: forward::Allowance,
    times: collections::HashMap<String, rc::Rc<forward::Times>>,
    vms: usize,
    calls: u64,
}

impl Fleet {
    /// An empty fleet, seen from `own`.
    pub fn new(own: Own, policy: forward::Policy) -> Self {
        Self {
            registry: registry::Registry::default(),
            policy,
            blame: forward::Blame::default(),
            lag: forward::Lag::usual(),
            own,
            standings: Vec::new(),
            allowance: forward::Allowance::default(),
            times: collections::HashMap::new(),
            vms: 1,
            calls: 0,
        }
    }

    /// This VM.
    pub fn own(&self) -> &Own {
        &self.own
    }

    /// VMs that may be alive: they share the connection limits.
    pub fn vms(&self) -> usize {
        self.vms
    }

    /// Sets how many VMs may be alive.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// The usual times of a route's calls. They outlast a configuration.
    pub fn times(&mut self, route: &route::Route) -> rc::Rc<forward::Times> {
        if let Some(times) = self.times.get(&route.name) {
            times.set_aim(route.aim);
            return times.clone();
        }
        let times = rc::Rc::new(forward::Times::new(route.aim));
        self.times.insert(route.name.clone(), times.clone());
        times
    }

    /// Lets go of what was kept for routes that `table` doesn't name.
    pub fn keep_routes(&mut self, table: &route::Table) {
        let names: collections::HashSet<&str> = table
            .entries()
            .map(|entry| entry.route.name.as_str())
            .collect();
        self.times.retain(|name, _| names.contains(name.as_str()));
    }

    /// The standing of an upstream.
    pub fn standing(&mut self, upstream: registry::Handle) -> &mut forward::Standing {
        if self.standings.len() <= upstream.index() {
            self.standings
                .resize_with(self.registry.handles(), Default::default);
        }
        &mut self.standings[upstream.index()]
    }

    /// Sets which parts of the fleet's allowance of extra calls this VM spends.
    pub fn set_parts(&mut self, parts: forward::Parts) {
        self.allowance.set_parts(parts);
    }

    /// Counts a request to `service`.
    pub fn first(&mut self, service: &ids::Service, now: clock::Moment) {
        self.allowance.first(service, &self.policy, now);
    }

    /// Pays for an extra call to `service`; who does, where anybody may.
    pub fn extra(&mut self, service: &ids::Service, now: clock::Moment) -> Option<forward::Payer> {
        self.allowance.extra(service, &self.policy, now)
    }

    /// Takes back what was paid at `paid` for an extra call that wasn't made.
    pub fn refund(&mut self, service: &ids::Service, paid: clock::Moment, now: clock::Moment) {
        self.allowance.refund(service, &self.policy, paid, now);
    }

    /// Counts a request of another VM, whose first call this one makes.
    pub fn first_of_other(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let service = &self.registry.get(upstream).entry.service;
        self.allowance.first_of_other(service, &self.policy, now);
    }

    /// Pays for another VM's extra call, where there is room.
    pub fn lend(&mut self, upstream: registry::Handle, now: clock::Moment) -> bool {
        let service = &self.registry.get(upstream).entry.service;
        self.allowance.lend(service, &self.policy, now)
    }

    /// Whether any upstream of `service` can be tried.
    pub fn has_upstream(&mut self, service: &ids::Service, now: clock::Moment) -> bool {
        self.choose(service, &[], time::Duration::ZERO, now)
            .is_some()
    }

    /// The best upstream of `service` that isn't among `tried`, for a call that
    /// usually takes `usual`.
    pub fn choose(
        &mut self,
        service: &ids::Service,
        tried: &[registry::Handle],
        usual: time::Duration,
        now: clock::Moment,
    ) -> Option<registry::Handle> {
        if self.standings.len() < self.registry.handles() {
            self.standings
                .resize_with(self.registry.handles(), Default::default);
        }
        let mut best: Option<(time::Duration, registry::Handle)> = None;
        let handles = self.registry.of(service);
        // Of equals the first wins: starting elsewhere each time spreads them.
        let start = self.calls as usize % handles.len().max(1);
        for handle in handles[start..].iter().chain(&handles[..start]) {
            if tried.contains(handle) {
                continue;
            }
            let Some(cost) = self.cost(*handle, usual, now) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *handle));
            }
        }
        best.map(|(_, handle)| handle)
    }

    /// What a call to an upstream is expected to cost; `None` where it can't be
    /// tried.
    fn cost(
        &self,
        handle: registry::Handle,
        usual: time::Duration,
        now: clock::Moment,
    ) -> Option<time::Duration> {
        let upstream = self.registry.get(handle);
        let standing = &self.standings[handle.index()];
        let usable = upstream.eligibility(now);
        if usable == registry::Eligibility::Never || !standing.up(now) {
            return None;
        }
        let cold = now < upstream.warm_at;
        let mut cost = standing.expect(usual, upstream.entry.slots, cold, now);
        cost += standing.decline_cost(now);
        if upstream.entry.data_centre != self.own.data_centre {
            cost += self.policy.far_penalty;
        }
        if standing.is_late() || standing.is_full(now) {
            cost += AVOID;
        }
        if usable == registry::Eligibility::LastResort {
            cost += LAST_RESORT;
        }
        Some(cost)
    }

    /// Whether first calls may go to an upstream: it is ready, and in this data
    /// centre, or its service has none there.
    pub fn is_first_choice(&self, upstream: registry::Handle) -> bool {
        let near = |handle: registry::Handle| {
            let entry = &self.registry.get(handle).entry;
            entry.state == registry::State::Ready && entry.data_centre == self.own.data_centre
        };
        let entry = &self.registry.get(upstream).entry;
        let ready = entry.state == registry::State::Ready;
        let others = self.registry.of(&entry.service);
        near(upstream) || ready && !others.iter().any(|other| near(*other))
    }

    /// Takes what the end of a call, after `took`, shows of its upstream.
    pub fn learn(
        &mut self,
        made: &Made,
        verdict: &forward::Verdict,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let standing = self.standing(made.upstream);
        standing.end();
        match verdict {
            forward::Verdict::Good(_) => {
                standing.replied(forward::ratio(took, made.usual), made.began, now);
            }
            forward::Verdict::Failure(_) | forward::Verdict::Lost => standing.failed(now),
            forward::Verdict::NotRun => standing.full(forward::NO_ROOM_PAUSE, now),
            forward::Verdict::Misdirected => standing.misdirected(),
            forward::Verdict::Advised(advice) => standing.hear(*advice, now),
            forward::Verdict::NotSent | forward::Verdict::Unpaid => {}
        }
    }

    /// Why another upstream than this one is better called first; `None` where
    /// this one does well, or there is no other.
    pub fn advice(
        &mut self,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> Option<forward::Advice> {
        let advice = self.standing(upstream).advice(now)?;
        let service = &self.registry.get(upstream).entry.service;
        let other = |other: &registry::Handle| {
            let usable = self.registry.get(*other).eligibility(now) == registry::Eligibility::Full;
            let standing = self.standings.get(other.index());
            let well = standing.is_none_or(|standing| standing.advice(now).is_none());
            *other != upstream && usable && well
        };
        self.registry
            .of(service)
            .iter()
            .any(other)
            .then_some(advice)
    }

    /// Takes the end of a call that nobody waited for any more: with a reply
    /// after `took`, or given up without one.
    pub fn orphan_ended(&mut self, orphan: &Made, replied: bool, now: clock::Moment) {
        let ratio = forward::ratio(now.since(orphan.began), orphan.usual);
        let standing = self.standing(orphan.upstream);
        standing.end();
        if replied {
            standing.replied(ratio, orphan.began, now);
        } else {
            standing.given_up(ratio, orphan.began, now);
        }
    }

    /// A call's id, never used before by this process.
    pub fn next_call(&mut self) -> ids::Attempt {
        self.calls += 1;
        ids::Attempt(self.calls)
    }
}
