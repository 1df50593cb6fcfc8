//! Simulation of several coordinators that share one store, with upstreams that
//! crash.

mod coordinators;
mod properties;
mod upstreams;

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

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start {
        coordinator: usize,
        query: u64,
    },
    Arrive {
        search: usize,
        attempt: u64,
    },
    Done {
        search: usize,
        attempt: u64,
    },
    Answered {
        search: usize,
        attempt: u64,
        outcome: i32,
    },
    Received {
        coordinator: usize,
        mark: String,
    },
    Inquiry {
        coordinator: usize,
        upstream: ids::Upstream,
        asked: clock::Moment,
    },
    Claim {
        search: usize,
        place: trial::Place,
    },
    Wake {
        search: usize,
    },
    Cancel {
        attempt: u64,
    },
    RackFails,
}

struct Running {
    search: usize,
    call: message::Call,
    vm: ids::Vm,
    version: u64,
    started: bool,
}

struct World {
    rng: rand::rngs::StdRng,
    now: clock::Moment,
    coordinators: Vec<Coordinator>,
    searches: Vec<Search>,
    queue: collections::BinaryHeap<cmp::Reverse<(clock::Moment, u64, Event)>>,
    serial: u64,
    calls: collections::BTreeMap<u64, Running>,
    /// When each upstream that went down is up again.
    down_until: collections::BTreeMap<String, clock::Moment>,
    ledger: trial::Ledger,
    crashed: Vec<String>,
    /// Marks and crashes of [`CRASHING_QUERY`], printed for a failing seed.
    log: Vec<String>,
    /// Upstreams that [`Event::RackFails`] takes down.
    rack: Vec<String>,
    /// Time during which an upstream that went down stays down.
    outage: time::Duration,
    /// Number of times that the caller of [`CRASHING_QUERY`] may still resend it.
    resends: u32,
}

struct Source<'a>(&'a query::upstreams::Upstreams);

impl plan::Source for Source<'_> {
    fn homes(&mut self, _: &layout::Upstream) -> Vec<ids::Vm> {
        vec!["home".parse().unwrap()]
    }
    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        self.0.stats(upstream)
    }
    fn link(&mut self, _: &ids::Vm) -> sync::Arc<plan::Link> {
        sync::Arc::default()
    }
}

fn layout(shards: usize, replicas: usize) -> layout::Layout {
    let name = |shard: usize, place: usize| format!("u-{shard}-{place}").parse().unwrap();
    let upstream = |at: usize| layout::Upstream {
        id: name(at / replicas, at % replicas),
        address: ([127, 0, 0, 1], at as u16).into(),
        data_centre: format!("dc-{}", at % replicas).parse().unwrap(),
        slots: 2,
        connections: 25,
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
            Coordinator {
                tracker: tracker::Tracker::default(),
                plan: sync::Arc::new(plan::Plan::new(&layout, &mut Source(&upstreams))),
                upstreams: sync::Arc::new(upstreams),
            }
        };
        Self {
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            now: clock::Moment::from_millis(60_000),
            coordinators: (0..coordinators).map(coordinator).collect(),
            searches: Vec::new(),
            queue: collections::BinaryHeap::new(),
            serial: 0,
            calls: collections::BTreeMap::new(),
            down_until: collections::BTreeMap::new(),
            ledger: trial::Ledger::default(),
            crashed: Vec::new(),
            log: Vec::new(),
            rack: Vec::new(),
            outage: OUTAGE,
            resends: 0,
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
        self.serial += 1;
        let at = self.now + time::Duration::from_micros(micros);
        self.queue.push(cmp::Reverse((at, self.serial, event)));
    }

    fn run(&mut self) {
        while let Some(cmp::Reverse((at, _, event))) = self.queue.pop() {
            self.now = self.now.max(at);
            self.dispatch(event);
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Start { coordinator, query } => self.start(coordinator, ids::Fingerprint(query)),
            Event::Arrive { search, attempt } => self.arrive(search, attempt),
            Event::Done { search, attempt } => self.reply(search, attempt, Outcome::Hits),
            Event::Answered {
                search,
                attempt,
                outcome,
            } => {
                let outcome = Outcome::try_from(outcome).unwrap();
                self.reply(search, attempt, outcome);
            }
            Event::Received { coordinator, mark } => self.receive(coordinator, &mark),
            Event::Inquiry {
                coordinator,
                upstream,
                asked,
            } => self.inquiry(coordinator, &upstream, asked),
            Event::Claim { search, place } => self.claim(search, place),
            Event::Wake { search } => self.handle(search, gather::Event::Tick),
            Event::Cancel { attempt } => self.cancel(attempt),
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
            request: "r".parse().unwrap(),
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
            first_attempt: (number as u64) << 20,
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
            } => {
                for call in calls {
                    let attempt = call.attempt;
                    let version = version.map_or(5, |version| version.0);
                    let vm = vm.clone();
                    self.calls.insert(
                        attempt,
                        Running {
                            search,
                            call,
                            vm,
                            version,
                            started: false,
                        },
                    );
                    let delay = self.rng.random_range(500..3_000);
                    self.after(delay, Event::Arrive { search, attempt });
                }
            }
            gather::Action::Cancel { attempts, .. } => {
                for attempt in attempts {
                    let delay = self.rng.random_range(500..3_000);
                    self.after(delay, Event::Cancel { attempt });
                }
            }
            gather::Action::Lost { upstream, run } => {
                let fingerprint = self.searches[search].fingerprint;
                self.handle_mark_event(
                    self.searches[search].coordinator,
                    tracker::Event::Lost {
                        service: service(),
                        fingerprint,
                        upstream,
                        run,
                    },
                );
                return Some(gather::Event::Verdict(self.verdict(search)));
            }
            gather::Action::Completed => self.complete(search),
            gather::Action::Inquire { upstreams, .. } => self.inquire(search, upstreams),
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
}
