//! Simulates upstreams, homes and links as one queue of replies, seeded.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::document;
use crate::ids;
use crate::layout;
use crate::mesh::message;
use crate::mesh::message::Outcome;
use crate::quarantine;
use crate::query;
use crate::query::gather;
use crate::query::plan;
use crate::query::replica;
use crate::query::upstreams;
use crate::time as clock;

/// Which faults the simulation injects.
#[derive(Debug, Clone)]
pub(super) struct Faults {
    /// Chance in 100 that the outcome of a reply is drawn at random.
    pub(super) bad: u32,
    /// Chance in 100 that a reply is lost.
    pub(super) lost: u32,
    /// Chance in 100 that a reply is delivered twice.
    pub(super) duplicated: u32,
    /// Chance in 100 that a reply is malformed or has the wrong shard, version,
    /// layout or attempt.
    pub(super) corrupted: u32,
    /// Chance in 100 that a reply takes thirty times as long.
    pub(super) slow: u32,
    /// Whether the offered versions change while the search runs.
    pub(super) versions_change: bool,
}

pub(super) const NO_FAULTS: Faults = Faults {
    bad: 0,
    lost: 0,
    duplicated: 0,
    corrupted: 0,
    slow: 0,
    versions_change: false,
};

/// Number of a search's first attempt. Searches of one test use multiples of it, so
/// that the numbers of their attempts don't overlap.
pub(super) const FIRST_ATTEMPT: u64 = 1 << 20;

pub(super) struct World {
    pub(super) upstreams: sync::Arc<upstreams::Upstreams>,
    pub(super) plan: sync::Arc<plan::Plan>,
    /// The plan after a repartition, returned for `Action::Replan`.
    pub(super) next_plan: Option<sync::Arc<plan::Plan>>,
    pub(super) faults: Faults,
    pub(super) rng: rand::rngs::StdRng,
    /// Oldest and newest version that each upstream offers.
    pub(super) ranges: collections::BTreeMap<String, (u64, u64)>,
    pub(super) now: clock::Moment,
    pub(super) answers: Vec<query::Answer>,
    pub(super) sent: Vec<message::Call>,
    pub(super) cancelled: collections::BTreeSet<u64>,
    queue: collections::BinaryHeap<cmp::Reverse<(clock::Moment, u64, Pending)>>,
    serial: u64,
}

#[derive(Debug, Clone, PartialEq)]
struct Pending(ids::Vm, message::Reply);

impl Eq for Pending {}
impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Pending {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        self.1.attempt.cmp(&other.1.attempt)
    }
}

struct Source<'a>(&'a upstreams::Upstreams);

impl plan::Source for Source<'_> {
    fn homes(&mut self, upstream: &layout::Upstream) -> Vec<ids::Vm> {
        let number = upstream.id.as_str().len() + upstream.address.port() as usize;
        let vm = |n: usize| format!("vm-{}", n % 4).parse().unwrap();
        vec![vm(number), vm(number + 1)]
    }
    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        self.0.stats(upstream)
    }
    fn link(&mut self, _: &ids::Vm) -> sync::Arc<plan::Link> {
        sync::Arc::default()
    }
}

/// Builds a layout of `shards` shards with `replicas` replicas each; every
/// upstream holds one replica.
pub(super) fn layout(version: u64, shards: usize, replicas: usize) -> layout::Layout {
    let name = |shard: usize, position: usize| format!("u-{shard}-{position}").parse().unwrap();
    let upstream = |at: usize| layout::Upstream {
        id: name(at / replicas, at % replicas),
        address: ([127, 0, 0, 1], at as u16).into(),
        data_centre: format!("dc-{}", at % 3).parse().unwrap(),
        slots: 2,
        connections: 25,
        connect_ms: 6,
    };
    let shard = |shard: usize| layout::Shard {
        id: format!("s{shard}").parse().unwrap(),
        replicas: (0..replicas)
            .map(|position| name(shard, position))
            .collect(),
    };
    layout::Layout {
        version: ids::LayoutVersion(version),
        upstreams: (0..shards * replicas).map(upstream).collect(),
        shards: (0..shards).map(shard).collect(),
    }
}

impl World {
    pub(super) fn new(seed: u64, shards: usize, replicas: usize, faults: Faults) -> Self {
        let upstreams = upstreams::Upstreams::new(&document::Budgets::default());
        let layout = sync::Arc::new(layout(1, shards, replicas));
        let plan = plan::Plan::new(&layout, &mut Source(&upstreams));
        let ranges = layout
            .upstreams
            .iter()
            .map(|up| (up.id.to_string(), (1, 5)));
        Self {
            plan: sync::Arc::new(plan),
            upstreams: sync::Arc::new(upstreams),
            next_plan: None,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            ranges: ranges.collect(),
            faults,
            now: clock::Moment::from_millis(60_000),
            answers: Vec::new(),
            sent: Vec::new(),
            cancelled: collections::BTreeSet::new(),
            queue: collections::BinaryHeap::new(),
            serial: 0,
        }
    }

    /// Puts a new layout with another number of shards in force.
    pub(super) fn repartition(&mut self, shards: usize, replicas: usize) {
        let layout = sync::Arc::new(layout(2, shards, replicas));
        for upstream in &layout.upstreams {
            self.ranges.entry(upstream.id.to_string()).or_insert((1, 5));
        }
        self.next_plan = Some(sync::Arc::new(plan::Plan::new(
            &layout,
            &mut Source(&self.upstreams),
        )));
    }

    pub(super) fn setup(&self, first_attempt: u64) -> gather::Setup {
        gather::Setup {
            request: "r".parse().unwrap(),
            fingerprint: ids::Fingerprint(7),
            limit: 10,
            deadline: self.now + time::Duration::from_millis(500),
            soft_deadline: None,
            subset: false,
            canary: false,
            hedge_after: time::Duration::from_millis(20),
            typical_call_time: time::Duration::from_millis(5),
            early_hedge_shards: 0,
            policy: query::Policy::Full,
            first_attempt,
            seed: first_attempt ^ 99,
        }
    }

    /// Runs one search to its answer, then delivers the remaining replies.
    pub(super) fn run(&mut self, setup: gather::Setup) -> gather::Counts {
        let requested: Vec<u32> = (0..self.plan.shards.len() as u32).collect();
        self.upstreams.earn(requested.len());
        let mut search =
            gather::Gather::new(setup, self.plan.clone(), requested, self.upstreams.clone());
        self.handle(
            &mut search,
            gather::Event::Start(quarantine::Verdict::Clear),
        );
        while self.answers.is_empty() || !self.queue.is_empty() {
            let wake = search.wake();
            let next = self.queue.peek().map(|cmp::Reverse((at, _, _))| *at);
            let Some(at) = next.filter(|at| *at <= wake || !self.answers.is_empty()) else {
                self.now = self.now.max(wake);
                self.handle(&mut search, gather::Event::Tick);
                continue;
            };
            self.now = self.now.max(at);
            let Some(cmp::Reverse((_, _, Pending(from, reply)))) = self.queue.pop() else {
                break;
            };
            let replies = vec![reply];
            self.handle(&mut search, gather::Event::Replies { from, replies });
        }
        *search.counts()
    }

    pub(super) fn handle(&mut self, search: &mut gather::Gather, event: gather::Event) {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in search.handle(event, self.now) {
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: gather::Action) -> Option<gather::Event> {
        match action {
            gather::Action::Send {
                vm,
                version,
                layout,
                calls,
            } => {
                for call in calls {
                    self.call(&vm, version, layout, call);
                }
            }
            gather::Action::Cancel { attempts, .. } => self.cancelled.extend(attempts),
            gather::Action::Lost { .. } => {
                return Some(gather::Event::Verdict(quarantine::Verdict::Clear));
            }
            gather::Action::RequestTrial(_) => return Some(gather::Event::Denied(None)),
            gather::Action::EndTrial { .. }
            | gather::Action::Inquire { .. }
            | gather::Action::Completed => {}
            gather::Action::Replan => {
                let plan = self.next_plan.clone().unwrap_or_else(|| self.plan.clone());
                return Some(gather::Event::Plan(Some(plan)));
            }
            gather::Action::Finish(answer) => self.answers.push(*answer),
        }
        None
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn call(
        &mut self,
        vm: &ids::Vm,
        version: Option<ids::IndexVersion>,
        layout: ids::LayoutVersion,
        call: message::Call,
    ) {
        self.sent.push(call.clone());
        if self.faults.versions_change && self.chance(10) {
            let step = self.rng.random_range(0..2);
            let range = self.ranges.get_mut(&call.upstream).unwrap();
            *range = (range.0 + step, range.1 + 1);
        }
        let (oldest, newest) = self.ranges[&call.upstream];
        let version = version.map_or(newest, |version| version.0);
        let mut reply = message::Reply {
            attempt: call.attempt,
            upstream: call.upstream.clone(),
            shard: call.shard.clone(),
            outcome: Outcome::Hits.into(),
            index_version: version,
            layout: layout.0,
            oldest,
            newest,
            body: hits(&call.shard, version, layout.0),
            ..message::Reply::default()
        };
        if !(oldest..=newest).contains(&version) {
            reply.outcome = Outcome::Version.into();
        }
        let mut delay = self.rng.random_range(1_000..9_000);
        if self.chance(self.faults.slow) {
            delay *= 30;
        }
        if self.chance(self.faults.bad) {
            let outcome = self.rng.random_range(0..15);
            if outcome != i32::from(Outcome::Hits) {
                reply.outcome = outcome;
            }
        }
        if self.chance(self.faults.corrupted) {
            self.corrupt(&mut reply);
        }
        if self.chance(self.faults.duplicated) {
            let late = delay + self.rng.random_range(0..900_000);
            self.enqueue(vm, reply.clone(), late);
        }
        if !self.chance(self.faults.lost) {
            self.enqueue(vm, reply, delay);
        }
    }

    /// Makes a reply wrong in one random way.
    fn corrupt(&mut self, reply: &mut message::Reply) {
        match self.rng.random_range(0..5) {
            0 => {
                reply.shard = "s0".to_owned();
                reply.body = hits("s0", reply.index_version, reply.layout);
            }
            1 => {
                reply.index_version += 1;
                reply.body = hits(&reply.shard, reply.index_version, reply.layout);
            }
            2 => {
                reply.layout += 1;
                reply.body = hits(&reply.shard, reply.index_version, reply.layout);
            }
            3 => reply.attempt += self.rng.random_range(1..9),
            _ => reply.body = bytes::Bytes::from_static(b"{\"hits\":[{}]}"),
        }
    }

    fn enqueue(&mut self, vm: &ids::Vm, reply: message::Reply, delay: u64) {
        self.serial += 1;
        let at = self.now + time::Duration::from_micros(delay);
        let pending = Pending(vm.clone(), reply);
        self.queue.push(cmp::Reverse((at, self.serial, pending)));
    }
}

/// Builds a reply body with two hits that name their shard, version and layout.
fn hits(shard: &str, version: u64, layout: u64) -> bytes::Bytes {
    let hit = |n: u64| {
        serde_json::json!({
            "id": format!("{shard}/{n}"), "score": 0.5, "of": [shard, version, layout],
        })
    };
    let body = serde_json::json!({ "hits": [hit(0), hit(1)] });
    serde_json::to_vec(&body).unwrap().into()
}
