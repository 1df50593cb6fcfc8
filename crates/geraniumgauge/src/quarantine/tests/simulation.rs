//! Simulation of several VMs that share one store, with upstreams that crash. Each VM is
//! a coordinator of searches and the home of some upstreams. Frames between two VMs keep
//! their order.

mod coordinators;
mod frames;
mod homes;
mod properties;
mod upstreams;

use std::collections;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::document;
use crate::home::state as home;
use crate::ids;
use crate::layout;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::Verdict;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::query;
use crate::query::gather;
use crate::query::plan;
use crate::query::replica;
use crate::time as clock;

const CRASHING_QUERY: ids::Fingerprint = ids::Fingerprint(666);
/// Time during which a crashed upstream is down, unless a test sets another.
const OUTAGE: time::Duration = time::Duration::from_secs(3);

struct Coordinator {
    tracker: tracker::Tracker,
    plan: sync::Arc<plan::Plan>,
    upstreams: sync::Arc<query::upstreams::Upstreams>,
}

struct Search {
    coordinator: usize,
    fingerprint: ids::Fingerprint,
    gather: gather::Gather,
    claim: Option<trial::Claim>,
    answer: Option<query::Answer>,
}

enum Event {
    Start {
        coordinator: usize,
        query: u64,
    },
    Delivered {
        from: usize,
        to: usize,
        frame: frames::Frame,
    },
    Home {
        home: homes::Key,
        event: home::Event,
    },
    /// A home's timer; one that was set again since is ignored.
    HomeTick {
        home: homes::Key,
        timer: u64,
    },
    Upstream(upstreams::Event),
    Claim {
        search: usize,
        place: trial::Place,
    },
    Wake {
        search: usize,
    },
    RackFails,
}

struct World {
    rng: rand::rngs::StdRng,
    now: clock::Moment,
    coordinators: Vec<Coordinator>,
    homes: collections::BTreeMap<homes::Key, homes::Home>,
    /// The home of each call, by the attempt's number.
    home_of_call: collections::BTreeMap<u64, homes::Key>,
    searches: Vec<Search>,
    queue: collections::BTreeMap<(clock::Moment, u64), Event>,
    serial: u64,
    links: frames::Links,
    upstreams: collections::BTreeMap<ids::Upstream, upstreams::Upstream>,
    ledger: trial::Ledger,
    crashed: Vec<String>,
    /// Calls, marks and crashes of the query `logged`, printed for a failing seed.
    log: Vec<String>,
    logged: ids::Fingerprint,
    /// Upstreams that [`Event::RackFails`] takes down.
    rack: Vec<String>,
    /// Time during which an upstream that went down stays down.
    outage: time::Duration,
    /// Number of times that the caller of [`CRASHING_QUERY`] may still resend it.
    resends: u32,
    /// Percentage of calls that run for [`upstreams::STRAGGLER_MICROS`].
    stragglers_percent: u32,
}

/// The homes and statistics that the plan of a coordinator is made of.
struct Source<'a> {
    upstreams: &'a query::upstreams::Upstreams,
    vms: usize,
}

impl plan::Source for Source<'_> {
    fn homes(&mut self, upstream: &layout::Upstream) -> Vec<ids::Vm> {
        vec![vm_name(homes::home_of(&upstream.id, self.vms))]
    }
    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        self.upstreams.stats(upstream)
    }
    fn link(&mut self, _: &ids::Vm) -> sync::Arc<plan::Link> {
        sync::Arc::default()
    }
}

fn vm_name(number: usize) -> ids::Vm {
    format!("vm-{number}").parse().unwrap()
}

fn vm_number(vm: &ids::Vm) -> usize {
    vm.as_str().trim_start_matches("vm-").parse().unwrap()
}

fn layout(shards: usize, replicas: usize) -> layout::Layout {
    let name = |shard: usize, place: usize| format!("u-{shard}-{place}").parse().unwrap();
    let upstream = |at: usize| layout::Upstream {
        id: name(at / replicas, at % replicas),
        address: ([127, 0, 0, 1], at as u16).into(),
        data_centre: format!("dc-{}", at % replicas).parse().unwrap(),
        slots: 64,
        connections: 400,
        connect_ms: 6,
    };
    let shard = |shard: usize| layout::Shard {
        id: format!("s{shard}").parse().unwrap(),
        replicas: (0..replicas).map(|place| name(shard, place)).collect(),
    };
    layout::Layout {
        version: ids::LayoutVersion(1),
        upstreams: (0..shards * replicas).map(upstream).collect(),
        shards: (0..shards).map(shard).collect(),
    }
}

fn service() -> ids::Service {
    "port".parse().unwrap()
}

impl World {
    fn new(seed: u64, shards: usize, replicas: usize, coordinators: usize) -> Self {
        let layout = sync::Arc::new(layout(shards, replicas));
        let coordinator = |_| {
            let upstreams = query::upstreams::Upstreams::new(&document::Budgets::default());
            let mut source = Source {
                upstreams: &upstreams,
                vms: coordinators,
            };
            Coordinator {
                tracker: tracker::Tracker::default(),
                plan: sync::Arc::new(plan::Plan::new(&layout, &mut source)),
                upstreams: sync::Arc::new(upstreams),
            }
        };
        let upstreams = layout.upstreams.iter();
        let upstreams = upstreams.map(|entry| (entry.id.clone(), upstreams::Upstream::new(entry)));
        Self {
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            now: clock::Moment::from_millis(60_000),
            coordinators: (0..coordinators).map(coordinator).collect(),
            homes: collections::BTreeMap::new(),
            home_of_call: collections::BTreeMap::new(),
            searches: Vec::new(),
            queue: collections::BTreeMap::new(),
            serial: 0,
            links: frames::Links::default(),
            upstreams: upstreams.collect(),
            ledger: trial::Ledger::default(),
            crashed: Vec::new(),
            log: Vec::new(),
            logged: CRASHING_QUERY,
            rack: Vec::new(),
            outage: OUTAGE,
            resends: 0,
            stragglers_percent: 0,
        }
    }

    fn both_clocks(&self) -> tracker::Now {
        let wall = clock::Wall(1_000_000 + self.now.0 / 1000);
        tracker::Now {
            moment: self.now,
            wall,
        }
    }

    fn after(&mut self, micros: u64, event: Event) {
        let at = self.now + time::Duration::from_micros(micros);
        self.at(at, event);
    }

    fn at(&mut self, at: clock::Moment, event: Event) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    /// Runs until only the homes' own checks are left.
    fn run(&mut self) {
        let upkeep = |event: &Event| match event {
            Event::Home { event, .. } => homes::is_upkeep(event),
            Event::HomeTick { .. } => true,
            Event::Upstream(event) => event.is_upkeep(),
            _ => false,
        };
        while self.queue.values().any(|event| !upkeep(event)) {
            // Looking at the whole queue for each event would take too long.
            for _ in 0..64 {
                let Some(((at, _), event)) = self.queue.pop_first() else {
                    return;
                };
                self.now = self.now.max(at);
                self.dispatch(event);
            }
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Start { coordinator, query } => self.start(coordinator, ids::Fingerprint(query)),
            Event::Delivered { from, to, frame } => self.delivered(from, to, frame),
            Event::Home { home, event } => self.handle_home(&home, event),
            Event::HomeTick { home, timer } => self.home_tick(&home, timer),
            Event::Upstream(event) => self.upstream(event),
            Event::Claim { search, place } => self.claim(search, place),
            Event::Wake { search } => self.handle(search, gather::Event::Tick),
            Event::RackFails => self.rack_fails(),
        }
    }

    fn start(&mut self, coordinator: usize, fingerprint: ids::Fingerprint) {
        let number = self.searches.len();
        let now = self.both_clocks();
        let state = &self.coordinators[coordinator];
        let recently = state
            .tracker
            .completed_recently(&service(), fingerprint, now.moment);
        let asked: Vec<u32> = (0..state.plan.shards.len() as u32).collect();
        let setup = gather::Setup {
            request: format!("r{number}").parse().unwrap(),
            fingerprint,
            limit: 10,
            deadline: self.now + time::Duration::from_millis(1000),
            soft_deadline: None,
            subset: false,
            canary: !recently,
            hedge_after: time::Duration::from_millis(20),
            typical_call_time: time::Duration::from_millis(5),
            early_hedge_shards: 0,
            policy: query::Policy::Full,
            first_attempt: frames::first_attempt(number),
            seed: number as u64,
        };
        state.upstreams.earn(asked.len());
        let verdict = state.tracker.verdict(&service(), fingerprint, now.wall);
        let gather = gather::Gather::new(setup, state.plan.clone(), asked, state.upstreams.clone());
        self.searches.push(Search {
            coordinator,
            fingerprint,
            gather,
            claim: None,
            answer: None,
        });
        self.handle(number, gather::Event::Start(verdict));
    }

    fn handle(&mut self, search: usize, event: gather::Event) {
        let mut events = collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let actions = self.searches[search].gather.handle(event, self.now);
            for action in actions {
                events.extend(self.carry_out(search, action));
            }
        }
        if self.searches[search].answer.is_none() {
            let wake = self.searches[search].gather.wake();
            let wait = clock::micros(self.now.until(wake));
            self.after(wait.max(1), Event::Wake { search });
        }
    }

    fn carry_out(&mut self, search: usize, action: gather::Action) -> Option<gather::Event> {
        match action {
            gather::Action::Send {
                vm, version, calls, ..
            } => self.send_batch(search, &vm, version, calls),
            gather::Action::Cancel { vm, attempts } => {
                let frame = frames::Frame::Cancel(attempts);
                self.send(self.searches[search].coordinator, vm_number(&vm), frame);
            }
            gather::Action::Lost { upstream, run } => {
                let state = &self.searches[search];
                let (coordinator, fingerprint) = (state.coordinator, state.fingerprint);
                self.record_loss(coordinator, fingerprint, upstream, run);
                return Some(gather::Event::Verdict(self.verdict(search)));
            }
            gather::Action::Completed => self.complete(search),
            gather::Action::Inquire { vm, upstreams } => {
                let asked = self.now;
                let frame = frames::Frame::Inquiry { upstreams, asked };
                self.send(self.searches[search].coordinator, vm_number(&vm), frame);
            }
            gather::Action::RequestTrial(place) => {
                let delay = self.rng.random_range(1_000..6_000);
                self.after(delay, Event::Claim { search, place });
            }
            gather::Action::EndTrial { end, upstream } => {
                self.end_trial(search, end, upstream);
                return Some(gather::Event::Verdict(self.verdict(search)));
            }
            gather::Action::Replan => return Some(gather::Event::Plan(None)),
            gather::Action::Finish(answer) => self.finish(search, *answer),
        }
        None
    }

    /// Records the answer. The caller of [`CRASHING_QUERY`] resends it to the next
    /// coordinator if the answer isn't complete.
    fn finish(&mut self, search: usize, answer: query::Answer) {
        let state = &mut self.searches[search];
        let resend = state.fingerprint == CRASHING_QUERY && !answer.coverage.complete;
        state.answer = Some(answer);
        let coordinator = (state.coordinator + 1) % self.coordinators.len();
        if resend && self.resends > 0 {
            self.resends -= 1;
            let delay = self.rng.random_range(1_000..8_000);
            self.after(
                delay,
                Event::Start {
                    coordinator,
                    query: CRASHING_QUERY.0,
                },
            );
        }
    }

    /// Adds a line to the log if it is about the query `logged`.
    fn log(&mut self, fingerprint: ids::Fingerprint, line: &dyn Fn() -> String) {
        if fingerprint == self.logged {
            self.log.push(format!("{} {}", self.now, line()));
        }
    }
}
