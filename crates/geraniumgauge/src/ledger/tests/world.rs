//! Simulated environment: three VMs, a store, homes and links with faults drawn
//! from a seed, all on tokio's paused clock. Records what upstreams ran.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use tokio::sync::watch;

use super::environment;
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

/// Fixed wall-clock time at the start, so that runs of a seed are reproducible.
pub(super) const WALL: clock::Wall = clock::Wall(1_764_719_093_000);

/// One record that an upstream ran.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) key: String,
    pub(super) request: String,
    pub(super) result: String,
}

/// One incarnation of a VM.
pub(super) struct Node {
    pub(super) vm: ids::Vm,
    crashed: atomic::AtomicBool,
    service: sync::OnceLock<ledger::Service>,
}

impl Node {
    pub(super) fn service(&self) -> &ledger::Service {
        self.service.get().unwrap()
    }

    pub(super) fn is_crashed(&self) -> bool {
        self.crashed.load(atomic::Ordering::Relaxed)
    }

    /// Blocks forever if the VM has crashed, so that it does nothing more.
    pub(super) async fn block_if_crashed(&self) {
        if self.is_crashed() {
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
    /// Disables faults, so that the final state can be read.
    pub(super) faults_disabled: atomic::AtomicBool,
    /// Upstreams run records and never reply.
    pub(super) silent: atomic::AtomicBool,
    /// Every record is quarantined.
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
            faults_disabled: atomic::AtomicBool::new(false),
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

    /// Starts a VM, or restarts it under the same name.
    pub(super) fn start(self: &sync::Arc<Self>, name: &ids::Vm) -> sync::Arc<Node> {
        self.start_as(name, self.clock, None)
    }

    /// Starts a VM with its own clock.
    pub(super) fn start_with_clock(
        self: &sync::Arc<Self>,
        name: &ids::Vm,
        wall: clock::Wall,
    ) -> sync::Arc<Node> {
        self.start_as(name, clock::Clock::start_at(wall), None)
    }

    /// Starts a VM with another store, and with a view that contains only itself, so
    /// that it claims for every bucket.
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
            crashed: atomic::AtomicBool::new(false),
            service: sync::OnceLock::new(),
        });
        let environment = sync::Arc::new(environment::Environment {
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
            environment.clone(),
            store.unwrap_or_else(|| environment.clone()),
            environment.clone(),
            environment,
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

    /// Creates the VM's own view, in which other VMs are occasionally missing.
    fn view(&self, local: &ids::Vm, only_itself: bool) -> watch::Receiver<member::SharedView> {
        let member = |number: usize| member::Member {
            vm: vm(number),
            incarnation: ids::Incarnation(1),
            data_centre: "dc".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            state: member::State::Alive,
        };
        let seen =
            |member: &member::Member| member.vm == *local || !(only_itself || self.chance(0.1));
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

    pub(super) fn below(&self, limit: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..limit)
    }

    /// Draws whether a fault occurs; never once faults are disabled.
    pub(super) fn fault(&self, share: f64) -> bool {
        let drawn = !self.faults_disabled.load(atomic::Ordering::Relaxed) && self.chance(share);
        if drawn {
            self.faults.fetch_add(1, atomic::Ordering::Relaxed);
        }
        drawn
    }

    /// Occasionally crashes the VM for good, and later restarts it under its name.
    pub(super) fn maybe_crash(self: &sync::Arc<Self>, node: &sync::Arc<Node>) {
        if !self.fault(0.01) {
            return;
        }
        node.crashed.store(true, atomic::Ordering::Relaxed);
        let world = self.clone();
        let name = node.vm.clone();
        tokio::spawn(async move {
            tokio::time::sleep(millis(world.below(1500))).await;
            let all: Vec<_> = world.nodes.lock().unwrap().values().cloned().collect();
            for other in all.iter().filter(|other| other.vm != name) {
                other.service().link_lost(&name);
            }
            world.start(&name);
        });
    }

    /// Occasionally pauses the VM by advancing the clock, so that both its timers and
    /// the reply that it waits for are due when it resumes, or sleeps.
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

    /// Simulates a home and its upstream, and the reply to the claimant.
    pub(super) async fn run_at_home(
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
            _ if self.faults_disabled.load(atomic::Ordering::Relaxed) => {
                (Outcome::Hits, self.run(&record))
            }
            0..60 => (Outcome::Hits, self.run(&record)),
            60..75 => {
                let refusals = [Outcome::Late, Outcome::Shed, Outcome::Draining];
                let more = [Outcome::Unreachable, Outcome::NotHome, Outcome::Stopping];
                let all = [refusals, more].concat();
                let at = usize::try_from(self.below(6)).unwrap();
                (all[at], bytes::Bytes::new())
            }
            // The connection was lost before the upstream received the complete record.
            75..80 => (Outcome::Lost, bytes::Bytes::new()),
            80..88 => {
                self.run(&record);
                let ends = [Outcome::Lost, Outcome::Silent, Outcome::Deadline];
                let at = usize::try_from(self.below(3)).unwrap();
                (ends[at], bytes::Bytes::new())
            }
            // No reply, whether the record ran or not.
            88..92 => return,
            92..96 => {
                self.run(&record);
                return;
            }
            // The home was paused and sends the record much later.
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
            node.service().link_lost(&home);
        } else if !node.is_crashed() {
            node.service().receive_record_reply(&home, reply);
        }
    }

    /// Delivers a frame between VMs, or loses it with its link.
    pub(super) async fn deliver(
        self: sync::Arc<Self>,
        from: ids::Vm,
        to: ids::Vm,
        body: message::Body,
    ) {
        tokio::time::sleep(millis(1 + self.below(3))).await;
        let node = self.nodes.lock().unwrap().get(&to).cloned().unwrap();
        let lost = self.fault(0.06) || node.is_crashed();
        if lost || self.fault(0.03) {
            tokio::time::sleep(millis(self.below(300))).await;
            let sender = self.nodes.lock().unwrap().get(&from).cloned().unwrap();
            sender.service().link_lost(&to);
        }
        if lost {
            return;
        }
        self.maybe_pause().await;
        match body {
            message::Body::Register(register) => node.service().receive_register(&from, register),
            message::Body::Registered(registered) => {
                node.service().receive_registered(&from, registered)
            }
            _ => {}
        }
    }
}
