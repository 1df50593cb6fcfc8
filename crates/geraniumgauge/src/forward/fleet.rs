//! State shared by all jobs of a VM.

mod account;
mod address;
mod extra;
mod misdirected;

use std::collections;
use std::rc;
use std::time;

use crate::forward;
use crate::forward::contact;
use crate::ids;
use crate::registry;
use crate::route;
use crate::time as clock;

/// Cost added for an upstream that reported no capacity or has a late call, so
/// that any other upstream that can be tried is preferred.
const AVOID_PENALTY: time::Duration = time::Duration::from_secs(1);
/// Cost added for an upstream whose registration vanished recently.
const LAST_RESORT_PENALTY: time::Duration = time::Duration::from_secs(10);

/// Properties of this VM that affect the choice of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalVm {
    /// The data centre that this VM runs in.
    pub data_centre: ids::DataCentre,
}

/// A call that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedCall {
    /// The upstream that was called.
    pub upstream: registry::Handle,
    /// When the call began.
    pub began: clock::Moment,
    /// The typical time of the route's calls.
    pub typical_call_time: time::Duration,
}

/// The known upstreams, their health, and the budgets for extra calls.
#[derive(Debug)]
pub struct Fleet {
    /// All known upstreams.
    pub registry: registry::Registry,
    /// Settings for running requests.
    pub policy: forward::Policy,
    /// Requests that are suspected of crashing upstreams.
    pub suspects: forward::Suspects,
    /// Estimated delay between a timer's due time and the moment this process
    /// acts on it.
    pub lag: forward::Lag,
    own: LocalVm,
    health: Vec<forward::Health>,
    allowance: forward::Allowance,
    transit: forward::Transit,
    /// Charges settled since [`Self::take_settled`].
    settled: forward::Settled,
    misdirected: misdirected::Misdirected,
    account: account::Account,
    addresses: address::Addresses,
    /// What was heard of each upstream since this VM's start, by the index of its handle.
    contacts: Vec<contact::Contact>,
    latencies: collections::HashMap<String, rc::Rc<forward::Latency>>,
    vms: usize,
    calls: u64,
}

impl Fleet {
    /// Creates an empty fleet as seen from the VM `own`.
    pub fn new(own: LocalVm, policy: forward::Policy) -> Self {
        Self {
            registry: registry::Registry::default(),
            policy,
            suspects: forward::Suspects::default(),
            lag: forward::Lag::p90(),
            own,
            health: Vec::new(),
            allowance: forward::Allowance::default(),
            transit: forward::Transit::default(),
            settled: forward::Settled::default(),
            misdirected: misdirected::Misdirected::default(),
            account: account::Account::default(),
            addresses: address::Addresses::default(),
            contacts: Vec::new(),
            latencies: collections::HashMap::new(),
            vms: 1,
            calls: 0,
        }
    }

    /// Returns the properties of this VM.
    pub fn own(&self) -> &LocalVm {
        &self.own
    }

    /// Returns the number of VMs that may be alive and share the connection
    /// limits.
    pub fn vms(&self) -> usize {
        self.vms
    }

    /// Sets the number of VMs that may be alive.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Returns the latency estimate of a route's calls. The estimate survives a
    /// change of the configuration.
    pub fn latency(&mut self, route: &route::Route) -> rc::Rc<forward::Latency> {
        if let Some(latency) = self.latencies.get(&route.name) {
            latency.set_target(route.latency_target);
            return latency.clone();
        }
        let latency = rc::Rc::new(forward::Latency::new(route.latency_target));
        self.latencies.insert(route.name.clone(), latency.clone());
        latency
    }

    /// Drops the latency estimates of routes that `table` doesn't contain.
    pub fn keep_routes(&mut self, table: &route::Table) {
        let names: collections::HashSet<&str> = table
            .entries()
            .map(|entry| entry.route.name.as_str())
            .collect();
        self.latencies
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// Returns the health of an upstream.
    pub fn health(&mut self, upstream: registry::Handle) -> &mut forward::Health {
        if self.health.len() <= upstream.index() {
            self.health
                .resize_with(self.registry.handles(), Default::default);
        }
        &mut self.health[upstream.index()]
    }

    /// Returns whether any upstream of `service` can be tried.
    pub fn has_upstream(&mut self, service: &ids::Service, now: clock::Moment) -> bool {
        self.choose(service, &[], time::Duration::ZERO, now)
            .is_some()
    }

    /// Returns the cheapest upstream of `service` that isn't in `tried`, for a
    /// call that typically takes `typical_call_time`.
    pub fn choose(
        &mut self,
        service: &ids::Service,
        tried: &[registry::Handle],
        typical_call_time: time::Duration,
        now: clock::Moment,
    ) -> Option<registry::Handle> {
        if self.health.len() < self.registry.handles() {
            self.health
                .resize_with(self.registry.handles(), Default::default);
        }
        let mut best: Option<(time::Duration, registry::Handle)> = None;
        let handles = self.registry.of(service);
        // The first of several equal upstreams wins, so a different start for
        // each call spreads the load.
        let start = self.calls as usize % handles.len().max(1);
        for handle in handles[start..].iter().chain(&handles[..start]) {
            if tried.contains(handle) {
                continue;
            }
            let Some(cost) = self.cost(*handle, typical_call_time, now) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *handle));
            }
        }
        best.map(|(_, handle)| handle)
    }

    /// Returns the expected cost of a call to an upstream, or `None` if the
    /// upstream can't be tried.
    fn cost(
        &self,
        handle: registry::Handle,
        typical_call_time: time::Duration,
        now: clock::Moment,
    ) -> Option<time::Duration> {
        let upstream = self.registry.get(handle);
        let health = &self.health[handle.index()];
        let usable = upstream.eligibility(now);
        if usable == registry::Eligibility::Never || !health.is_up(now) {
            return None;
        }
        let cold = now < upstream.warm_at;
        let mut cost = health.expected_time(typical_call_time, upstream.entry.slots, cold, now);
        cost += health.decline_cost(now);
        if upstream.entry.data_centre != self.own.data_centre {
            cost += self.policy.remote_penalty;
        }
        if health.is_late() || health.is_full(now) {
            cost += AVOID_PENALTY;
        }
        if usable == registry::Eligibility::LastResort {
            cost += LAST_RESORT_PENALTY;
        }
        Some(cost)
    }

    /// Returns whether an upstream is a first choice: it is ready, and either
    /// runs in this data centre or its service has no ready upstream there.
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

    /// Records the result of a call that took `took` in the health of its
    /// upstream.
    pub fn record_end(
        &mut self,
        call: &StartedCall,
        verdict: &forward::Verdict,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let health = self.health(call.upstream);
        health.end();
        match verdict {
            forward::Verdict::Good(_) => {
                health.replied(
                    forward::ratio(took, call.typical_call_time),
                    call.began,
                    now,
                );
            }
            forward::Verdict::Failure(_) | forward::Verdict::Lost => health.failed(now),
            forward::Verdict::NotRun => health.mark_full(forward::NO_CAPACITY_DELAY, now),
            forward::Verdict::Misdirected | forward::Verdict::AddressLost => {
                health.mark_misdirected();
            }
            forward::Verdict::Advised(advice) => health.apply_advice(*advice, now),
            forward::Verdict::NotSent | forward::Verdict::NoBudget => {}
        }
    }

    /// Returns the reason to call another upstream than this one first. Returns
    /// `None` if this one is healthy or there is no healthy alternative.
    pub fn advice(
        &mut self,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> Option<forward::Advice> {
        let advice = self.health(upstream).advice(now)?;
        let service = &self.registry.get(upstream).entry.service;
        let other = |other: &registry::Handle| {
            let usable = self.registry.get(*other).eligibility(now) == registry::Eligibility::Full;
            let health = self.health.get(other.index());
            let is_healthy = health.is_none_or(|health| health.advice(now).is_none());
            *other != upstream && usable && is_healthy
        };
        self.registry
            .of(service)
            .iter()
            .any(other)
            .then_some(advice)
    }

    /// Records the end of an abandoned call: `replied` is whether a reply came
    /// before the call was given up.
    pub fn record_abandoned(&mut self, call: &StartedCall, replied: bool, now: clock::Moment) {
        let ratio = forward::ratio(now.since(call.began), call.typical_call_time);
        let health = self.health(call.upstream);
        health.end();
        if replied {
            health.replied(ratio, call.began, now);
        } else {
            health.abandoned(ratio, call.began, now);
        }
    }

    /// Returns a new call id, unique within this process.
    pub fn next_call(&mut self) -> ids::Attempt {
        self.calls += 1;
        ids::Attempt(self.calls)
    }
}
