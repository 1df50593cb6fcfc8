//! Three VMs, a store, homes and links with faults drawn from a seed, all on
//! tokio's paused clock. Counts what upstreams ran.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use tokio::sync::watch;

use super::link;
use crate::document;
use crate::ids;
use crate::layout;
use crate::ledger;
use crate::member;
use crate::mesh::message;
use crate::metrics;
use crate::store;
use crate::time as clock;
use crate::timer;

/// The time of day at the start, so that a seed repeats exactly.
pub(super) const WALL: clock::Wall = clock::Wall(1_764_719_093_000);

/// One record that an upstream ran.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) key: String,
    pub(super) request: String,
    pub(super) result: String,
}

/// One start of a VM.
pub(super) struct Node {
    pub(super) vm: ids::Vm,
    dead: atomic::AtomicBool,
    service: sync::OnceLock<ledger::Service>,
}

impl Node {
    pub(super) fn service(&self) -> &ledger::Service {
        self.service.get().unwrap()
    }

    pub(super) fn is_dead(&self) -> bool {
        self.dead.load(atomic::Ordering::Relaxed)
    }

    /// What a dead VM was about to do never happens.
    pub(super) async fn gate(&self) {
        if self.is_dead() {
            std::future::pending::<()>().await;
        }
    }
}

pub(super) struct World {
    rng: sync::Mutex<rand::rngs::StdRng>,
    pub(super) objects: sync::Mutex<store::Objects>,
    nodes: sync::Mutex<collections::BTreeMap<ids::Vm, sync::Arc<Node>>>,
    runs: sync::Mutex<Vec<Run>>,
    pub(super) faults: atomic::AtomicU64,
    /// Faults end, so that the end state can be read.
    pub(super) calm: atomic::AtomicBool,
    /// Upstreams run and never answer.
    pub(super) silent: atomic::AtomicBool,
    /// Every record is held to crash upstreams.
    pub(super) quarantined: atomic::AtomicBool,
    pub(super) catalog: document::Catalog,
    pub(super) clock: clock::Clock,
    incarnations: atomic::AtomicU64,
}

pub(super) type Shared = sync::Arc<World>;

pub(super) fn service() -> ids::Service {
    "labels".parse().unwrap()
}

fn vm(number: usize) -> ids::Vm {
    format!("vm-{number}").parse().unwrap()
}

pub(super) fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn layout() -> layout::Layout {
    let upstream = |n: usize| layout::Upstream {
        id: format!("up-{n}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 2,
        connections: 25,
        connect_ms: 6,
    };
    let replicas = vec!["up-0".parse().unwrap(), "up-1".parse().unwrap()];
    layout::Layout {
        version: ids::LayoutVersion(1),
        upstreams: (0..2).map(upstream).collect(),
        shards: vec![layout::Shard {
            id: "s0".parse().unwrap(),
            replicas,
        }],
    }
}

impl World {
    pub(super) fn new(seed: u64) -> Shared {
        let catalog = document::Catalog::default();
        catalog.put_document(
            &service(),
            ids::Generation(1),
            document::Document::default(),
        );
        catalog.put_layout(&service(), layout());
        let world = sync::Arc::new(Self {
            rng: sync::Mutex::new(rand::rngs::StdRng::seed_from_u64(seed)),
            objects: sync::Mutex::default(),
            nodes: sync::Mutex::default(),
            runs: sync::Mutex::default(),
            faults: atomic::AtomicU64::new(0),
            calm: atomic::AtomicBool::new(false),
            silent: atomic::AtomicBool::new(false),
            quarantined: atomic::AtomicBool::new(false),
            catalog,
            clock: clock::Clock::start_at(WALL),
            incarnations: atomic::AtomicU64::new(1),
        });
        for number in 0..3 {
            world.start(&vm(number));
        }
        world
    }

    /// Starts a VM, or its replacement under the same name.
    pub(super) fn start(self: &sync::Arc<Self>, name: &ids::Vm) -> sync::Arc<Node> {
        self.start_as(name, self.clock, None)
    }

    /// The same with a clock of its own.
    pub(super) fn start_with_clock(
        self: &sync::Arc<Self>,
        name: &ids::Vm,
        wall: clock::Wall,
    ) -> sync::Arc<Node> {
        self.start_as(name, clock::Clock::start_at(wall), None)
    }

    /// The same with another store, and with every bucket to itself.
    pub(super) fn start_with_store(
        self: &sync::Arc<Self>,
        name: &ids::Vm,
        store: sync::Arc<dyn store::Api>,
    ) -> sync::Arc<Node> {
        self.start_as(name, self.clock, Some(store))
    }

    fn start_as(
        self: &sync::Arc<Self>,
        name: &ids::Vm,
        clock: clock::Clock,
        store: Option<sync::Arc<dyn store::Api>>,
    ) -> sync::Arc<Node> {
        let incarnation = self.incarnations.fetch_add(1, atomic::Ordering::Relaxed);
        let node = sync::Arc::new(Node {
            vm: name.clone(),
            dead: atomic::AtomicBool::new(false),
            service: sync::OnceLock::new(),
        });
        let link = sync::Arc::new(link::Link {
            world: self.clone(),
            node: node.clone(),
        });
        let config = ledger::Config {
            vm: name.clone(),
            incarnation: ids::Incarnation(incarnation),
            data_centre: "dc".parse().unwrap(),
        };
        let service = ledger::Service::start(
            config,
            self.catalog.clone(),
            self.view(name, store.is_some()),
            link.clone(),
            store.unwrap_or_else(|| link.clone()),
            link.clone(),
            link,
            clock,
            timer::Service::new(tokio_util::sync::CancellationToken::new()),
            &metrics::Metrics::new().unwrap().meter(),
        );
        assert!(node.service.set(service).is_ok());
        self.nodes
            .lock()
            .unwrap()
            .insert(name.clone(), node.clone());
        node
    }

    /// Each VM's own view: now and then one that lacks another VM.
    fn view(&self, local: &ids::Vm, alone: bool) -> watch::Receiver<member::SharedView> {
        let member = |number: usize| member::Member {
            vm: vm(number),
            incarnation: ids::Incarnation(1),
            data_centre: "dc".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            state: member::State::Alive,
        };
        let seen = |member: &member::Member| member.vm == *local || !(alone || self.chance(0.1));
        let members = (0..3).map(member).filter(seen).collect();
        let view = member::View::new(local.clone(), members);
        watch::channel(sync::Arc::new(view)).1
    }

    pub(super) fn node(&self, number: usize) -> sync::Arc<Node> {
        self.nodes.lock().unwrap()[&vm(number)].clone()
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub(super) fn objects(&self) -> store::Fake {
        let fake = store::Fake::new();
        fake.restore(self.objects.lock().unwrap().clone());
        fake
    }

    pub(super) fn chance(&self, share: f64) -> bool {
        self.rng.lock().unwrap().random_bool(share)
    }

    pub(super) fn below(&self, most: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..most)
    }

    /// Draws a fault; none once the world is calm.
    pub(super) fn fault(&self, share: f64) -> bool {
        let drawn = !self.calm.load(atomic::Ordering::Relaxed) && self.chance(share);
        if drawn {
            self.faults.fetch_add(1, atomic::Ordering::Relaxed);
        }
        drawn
    }

    /// Sometimes the VM is lost here, for good; another may take its name.
    pub(super) fn maybe_die(self: &sync::Arc<Self>, node: &sync::Arc<Node>) {
        if !self.fault(0.01) {
            return;
        }
        node.dead.store(true, atomic::Ordering::Relaxed);
        let world = self.clone();
        let name = node.vm.clone();
        tokio::spawn(async move {
            tokio::time::sleep(millis(world.below(1500))).await;
            let all: Vec<_> = world.nodes.lock().unwrap().values().cloned().collect();
            for other in all.iter().filter(|other| other.vm != name) {
                other.service().lost(&name);
            }
            world.start(&name);
        });
    }

    /// The VM is paused here: the time goes by at once, so its timers and the
    /// reply that it waits for are both due when it wakes.
    pub(super) async fn maybe_pause(&self) {
        if self.fault(0.02) {
            tokio::time::advance(millis(self.below(3000))).await;
        } else if self.fault(0.05) {
            tokio::time::sleep(millis(self.below(1500))).await;
        }
    }

    fn run(&self, record: &message::Record) -> bytes::Bytes {
        let mut runs = self.runs.lock().unwrap();
        let result = format!("{{\"run\":{}}}", runs.len());
        runs.push(Run {
            key: record.key.clone(),
            request: record.request.clone(),
            result: result.clone(),
        });
        result.into()
    }

    /// A home and its upstream, as the claimant sees them.
    pub(super) async fn home(
        self: sync::Arc<Self>,
        from: ids::Vm,
        home: ids::Vm,
        record: message::Record,
    ) {
        use message::Outcome;
        self.maybe_pause().await;
        tokio::time::sleep(millis(1 + self.below(20))).await;
        if self.silent.load(atomic::Ordering::Relaxed) {
            self.run(&record);
            return;
        }
        let (outcome, body) = match self.below(100) {
            _ if self.calm.load(atomic::Ordering::Relaxed) => (Outcome::Hits, self.run(&record)),
            0..60 => (Outcome::Hits, self.run(&record)),
            60..75 => {
                let refusals = [Outcome::Late, Outcome::Shed, Outcome::Draining];
                let more = [Outcome::Unreachable, Outcome::NotHome, Outcome::Stopping];
                let all = [refusals, more].concat();
                let at = usize::try_from(self.below(6)).unwrap();
                (all[at], bytes::Bytes::new())
            }
            // Half sent: the connection went before the upstream had it all.
            75..80 => (Outcome::Lost, bytes::Bytes::new()),
            80..88 => {
                self.run(&record);
                let ends = [Outcome::Lost, Outcome::Silent, Outcome::Deadline];
                let at = usize::try_from(self.below(3)).unwrap();
                (ends[at], bytes::Bytes::new())
            }
            // Silent: ran or not, no reply comes.
            88..92 => return,
            92..96 => {
                self.run(&record);
                return;
            }
            // The home was paused and sends long after.
            _ => {
                tokio::time::sleep(millis(self.below(4000))).await;
                (Outcome::Hits, self.run(&record))
            }
        };
        tokio::time::sleep(millis(1 + self.below(30))).await;
        self.maybe_pause().await;
        let reply = message::RecordReply {
            attempt: record.attempt,
            outcome: outcome.into(),
            body,
        };
        let node = self.nodes.lock().unwrap().get(&from).cloned();
        let node = node.unwrap();
        if self.fault(0.05) {
            node.service().lost(&home);
        } else if !node.is_dead() {
            node.service().record_reply(&home, reply);
        }
    }

    /// A frame between VMs: delivered, late, or lost with its link.
    pub(super) async fn deliver(
        self: sync::Arc<Self>,
        from: ids::Vm,
        to: ids::Vm,
        body: message::Body,
    ) {
        tokio::time::sleep(millis(1 + self.below(3))).await;
        let node = self.nodes.lock().unwrap().get(&to).cloned().unwrap();
        let lost = self.fault(0.06) || node.is_dead();
        if lost || self.fault(0.03) {
            tokio::time::sleep(millis(self.below(300))).await;
            let sender = self.nodes.lock().unwrap().get(&from).cloned().unwrap();
            sender.service().lost(&to);
        }
        if lost {
            return;
        }
        self.maybe_pause().await;
        match body {
            message::Body::Register(register) => node.service().handed(&from, register),
            message::Body::Registered(registered) => node.service().registered(&from, registered),
            _ => {}
        }
    }
}
