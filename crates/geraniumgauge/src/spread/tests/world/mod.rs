//! A fleet in virtual time: many states, datagrams that may be lost, and a store.

mod answers;
mod links;
mod power;

use std::collections;
use std::net;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::events;
use crate::follow;
use crate::ids;
use crate::rate;
use crate::spread;
use crate::time as clock;

/// The look period of the fleets here.
pub(crate) const PERIOD: time::Duration = time::Duration::from_millis(2400);
pub(crate) const SECOND: time::Duration = time::Duration::from_secs(1);
/// Fleets of all sizes.
pub(crate) const FLEETS: [usize; 6] = [1, 2, 3, 8, 61, 295];
const NEAR: time::Duration = time::Duration::from_micros(300);
const FAR: time::Duration = time::Duration::from_micros(1500);
const READ: time::Duration = time::Duration::from_millis(12);
const PLACES: usize = 5;

/// Something that happens.
enum Event {
    Wake,
    Datagram(usize, spread::Datagram),
    /// A question arrives from a VM.
    Asked(u64, spread::Fetch),
    /// The answer to a question arrives.
    Answered(u64, spread::Answer),
    /// No answer to a question has come in time.
    Overdue(u64),
    /// An answer may be sent by now.
    Sent(u64),
    /// A look ends that began at a moment.
    Looked(Option<spread::Holds>, clock::Moment),
    Listed(Option<Vec<spread::Directory>>),
    Written(bool),
}

/// An event at a VM.
struct Due {
    vm: usize,
    /// The VM's start that it is meant for.
    start: u64,
    event: Event,
}

/// One VM.
pub(crate) struct Vm {
    pub(crate) state: spread::State,
    /// Whether it has power.
    pub(crate) on: bool,
    /// Whether the store serves it.
    pub(crate) served: bool,
    /// VMs of different sides can't reach each other.
    pub(crate) side: u8,
    start: u64,
    wake: Option<clock::Moment>,
    link: links::Link,
    /// Questions that it waits for, whom they were put to, and when.
    questions: collections::BTreeMap<u64, (usize, clock::Moment)>,
    /// Its looks, the ones that failed included.
    pub(crate) looks: u64,
    /// The view that it was shown last.
    pub(crate) view: Option<spread::View>,
}

/// The fleet and the store.
pub(crate) struct World {
    pub(crate) now: clock::Moment,
    pub(crate) vms: Vec<Vm>,
    /// What the store holds.
    pub(crate) store: spread::Holds,
    pub(crate) pages: collections::BTreeMap<usize, spread::Directory>,
    /// Share of datagrams that are lost.
    pub(crate) loss: f64,
    /// How long a call waits that the store doesn't answer.
    pub(crate) patience: time::Duration,
    /// Bytes of a configuration.
    pub(crate) size: f64,
    /// Looks, reads and writes of the directory, the ones that failed included.
    pub(crate) looks: u64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) datagrams: u64,
    seeds: Vec<net::SocketAddr>,
    asked: u64,
    queue: events::Queue<Due>,
    rng: rand::rngs::StdRng,
}

fn address(vm: usize) -> net::SocketAddr {
    let ip = net::Ipv4Addr::from(0x0a00_0000 + u32::try_from(vm).expect("a small fleet"));
    (ip, 7000).into()
}

fn index(address: net::SocketAddr) -> usize {
    match address.ip() {
        net::IpAddr::V4(ip) => (ip.to_bits() - 0x0a00_0000) as usize,
        net::IpAddr::V6(_) => panic!("no address of the fleet"),
    }
}

impl World {
    /// A fleet of `count` VMs without power, a store with a configuration, and
    /// so many seeds that all VMs are told.
    pub(crate) fn new(count: usize, seeds: usize, seed: u64) -> Self {
        let mut world = Self {
            now: clock::Moment::default(),
            vms: Vec::new(),
            store: spread::Holds {
                revision: Some(ids::Revision(10)),
                digest: follow::Digest(77),
                config: Some(ids::Revision(9)),
            },
            pages: collections::BTreeMap::new(),
            loss: 0.0,
            patience: READ,
            size: 0.0,
            looks: 0,
            reads: 0,
            writes: 0,
            datagrams: 0,
            seeds: (0..seeds.min(count)).map(address).collect(),
            asked: 0,
            queue: events::Queue::default(),
            rng: rand::rngs::StdRng::seed_from_u64(seed),
        };
        for vm in 0..count {
            let state = world.state(vm, 0);
            world.vms.push(Vm {
                state,
                on: false,
                served: true,
                side: 0,
                start: 0,
                wake: None,
                link: links::Link::new(links::rate(vm)),
                questions: collections::BTreeMap::new(),
                looks: 0,
                view: None,
            });
        }
        world
    }

    fn state(&mut self, vm: usize, start: u64) -> spread::State {
        let own = spread::Member {
            vm: format!("vm-{vm}").parse().expect("a name"),
            incarnation: ids::Incarnation(1_000_000 + self.now.0 / 1000 + start),
            beat: 0,
            address: address(vm),
            data_centre: format!("dc-{}", vm % PLACES).parse().expect("a name"),
            power: if links::is_large(vm) { 0.5 } else { 0.125 },
        };
        let seed = self.rng.random();
        let link = rate::BytesPerSecond(links::rate(vm));
        spread::State::new(own, PERIOD, self.seeds.clone(), link, seed, self.now)
    }

    /// The operators change the configuration, and upstreams register.
    pub(crate) fn change(&mut self) {
        let revision = self.store.revision.map_or(1, |revision| revision.0 + 1);
        self.store.config = Some(ids::Revision(revision));
        self.store.revision = Some(ids::Revision(revision));
        self.store.digest = follow::Digest(self.rng.random());
    }

    /// Runs for `span`.
    pub(crate) fn run(&mut self, span: time::Duration) {
        self.run_until(self.now + span);
    }

    fn run_until(&mut self, end: clock::Moment) {
        while let Some((at, due)) = self.queue.pop(end) {
            self.now = at;
            let vm = &mut self.vms[due.vm];
            if !vm.on || vm.start != due.start {
                continue;
            }
            if matches!(due.event, Event::Wake) {
                if vm.wake != Some(at) {
                    continue;
                }
                vm.wake = None;
            }
            self.happen(due.vm, due.event);
        }
        self.now = end;
    }

    /// Runs until `holds`, but not longer than `most`; how long it took.
    pub(crate) fn until(
        &mut self,
        most: time::Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<time::Duration> {
        let began = self.now;
        while self.now.since(began) < most {
            if holds(self) {
                return Some(self.now.since(began));
            }
            self.run(time::Duration::from_millis(10));
        }
        None
    }

    /// Whether every VM that has power holds what the store does.
    pub(crate) fn all_hold(&self) -> bool {
        let on = self.vms.iter().filter(|vm| vm.on);
        on.map(|vm| vm.state.holds())
            .all(|holds| holds.config == self.store.config && holds.digest == self.store.digest)
    }

    fn push(&mut self, vm: usize, after: time::Duration, event: Event) {
        let start = self.vms[vm].start;
        self.queue.push(self.now + after, Due { vm, start, event });
    }

    fn wake(&mut self, vm: usize, at: clock::Moment) {
        let at = at.max(self.now);
        if self.vms[vm].wake.is_none_or(|wake| at < wake) {
            self.vms[vm].wake = Some(at);
            self.push(vm, self.now.until(at), Event::Wake);
        }
    }

    fn way(&mut self, from: usize, to: usize) -> time::Duration {
        let way = if from % PLACES == to % PLACES {
            NEAR
        } else {
            FAR
        };
        way.mul_f64(self.rng.random_range(1.0..1.5))
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.vms[from], self.vms.get(to));
        to.is_some_and(|to| from.on && to.on && from.side == to.side)
    }

    fn happen(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let state = &mut self.vms[vm].state;
        match event {
            Event::Wake => {}
            Event::Datagram(from, datagram) => {
                if let spread::Datagram::Update(update) = &datagram {
                    answers::agree(state, &update.summary.holds, update.summary.sure, now);
                }
                state.heard(address(from), datagram, now);
            }
            Event::Asked(question, fetch) => {
                let mut answer = state.asked(&fetch, now);
                let holds = answer.summary.holds;
                if !fetch.brief && holds.digest != fetch.holds.digest {
                    // Stands for what differs.
                    answer.registrations = Some(follow::Delta::Changes(Vec::new()));
                }
                if !fetch.brief && holds.config > fetch.holds.config {
                    answer.config = Some(String::new());
                }
                self.answer(vm, &fetch, question, answer);
            }
            Event::Answered(question, mut answer) => {
                if let Some((from, began)) = self.vms[vm].questions.remove(&question) {
                    answers::take(&mut self.vms[vm].state, &mut answer, now.since(began), now);
                    let took = now.since(began);
                    let state = &mut self.vms[vm].state;
                    state.answered(address(from), Some(&answer), took, now);
                }
            }
            Event::Overdue(question) => {
                if let Some((from, began)) = self.vms[vm].questions.remove(&question) {
                    let state = &mut self.vms[vm].state;
                    state.answered(address(from), None, now.since(began), now);
                    self.hang_up(from, question);
                }
            }
            Event::Sent(turn) => {
                for transfer in self.vms[vm].link.sent(turn, now) {
                    self.vms[vm].state.told(transfer.ticket, now);
                    self.deliver(vm, transfer.to, transfer.question, transfer.answer);
                }
                self.send_next(vm);
            }
            Event::Looked(holds, began) => {
                if let Some(holds) = holds {
                    let newer = holds.revision >= state.holds().revision;
                    if newer {
                        state.hold(holds, true, now);
                    }
                }
                state.looked(holds.map(|_| now.since(began)), now);
            }
            Event::Listed(pages) => state.listed(pages, now),
            Event::Written(done) => state.written(done, now),
        }
        self.act(vm);
    }

    /// A VM does what is due.
    fn act(&mut self, vm: usize) {
        for action in self.vms[vm].state.tick(self.now) {
            self.carry_out(vm, action);
        }
        let wake = self.vms[vm].state.wake_at(self.now);
        self.wake(vm, wake);
    }

    fn carry_out(&mut self, vm: usize, action: spread::Action) {
        let served = self.vms[vm].served;
        let took = if served { READ } else { self.patience };
        match action {
            spread::Action::Send { to, datagram } => {
                for to in to {
                    self.datagrams += 1;
                    let lost = self.rng.random_bool(self.loss);
                    if !lost && self.reach(vm, index(to)) {
                        let way = self.way(vm, index(to));
                        self.push(index(to), way, Event::Datagram(vm, datagram.clone()));
                    }
                }
            }
            spread::Action::Fetch { from, fetch } => self.ask(vm, index(from), fetch),
            spread::Action::Look => {
                self.looks += 1;
                self.vms[vm].looks += 1;
                let holds = Some(self.store).filter(|_| served);
                let read = self.vms[vm].link.takes(self.size);
                self.push(vm, took + read, Event::Looked(holds, self.now));
            }
            spread::Action::ReadDirectory => {
                self.reads += 1;
                let pages = served.then(|| self.pages.values().cloned().collect());
                self.push(vm, took, Event::Listed(pages));
            }
            spread::Action::WriteDirectory { page, directory } => {
                self.writes += 1;
                if served {
                    self.pages.insert(page, directory);
                }
                self.push(vm, took, Event::Written(served));
            }
            spread::Action::View(view) => self.vms[vm].view = Some(view),
        }
    }
}

/// A fleet that has been up for a while.
pub(crate) fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, 3, seed);
    world.start_all();
    world.run(15 * SECOND);
    assert!(world.all_hold(), "{count} VMs, seed {seed}");
    world
}

/// The VMs of a data centre.
pub(crate) fn of_place(world: &World, place: usize) -> Vec<usize> {
    (0..world.vms.len())
        .filter(|vm| vm % PLACES == place)
        .collect()
}

/// How many VMs there are, as each VM that has power was shown it.
pub(crate) fn views(world: &World) -> impl Iterator<Item = Option<usize>> {
    let on = world.vms.iter().filter(|vm| vm.on);
    on.map(|vm| vm.view.as_ref().and_then(|view| view.vms))
}
