//! Simulates a fleet in virtual time: many states, datagrams that may be lost, and
//! a store.

mod answers;
mod lifecycle;
mod links;

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

/// Poll interval of the simulated fleets.
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(2400);
pub(crate) const SECOND: time::Duration = time::Duration::from_secs(1);
/// Sizes of the simulated fleets.
pub(crate) const FLEETS: [usize; 6] = [1, 2, 3, 8, 61, 295];
const LOCAL_LATENCY: time::Duration = time::Duration::from_micros(300);
const REMOTE_LATENCY: time::Duration = time::Duration::from_micros(1500);
const READ_TIME: time::Duration = time::Duration::from_millis(12);
const DATA_CENTRES: usize = 5;

/// Something that happens to a VM.
enum Event {
    Wake,
    Datagram(usize, spread::Datagram),
    /// A request of a VM arrives.
    Asked(u64, spread::Fetch),
    /// The answer to a request arrives.
    Answered(u64, spread::Answer),
    /// A request times out.
    TimedOut(u64),
    /// An answer may be complete.
    Transferred(u64),
    /// A poll that started at the given moment ends.
    Polled(Option<spread::Position>, clock::Moment),
    DirectoryRead(Option<Vec<spread::Directory>>),
    DirectoryWritten(bool),
}

/// A scheduled event of a VM.
struct Due {
    vm: usize,
    /// The VM's start to which the event belongs.
    start: u64,
    event: Event,
}

/// A simulated VM.
pub(crate) struct Vm {
    pub(crate) state: spread::State,
    /// Set while the VM is running.
    pub(crate) running: bool,
    /// Set while the store serves this VM.
    pub(crate) served: bool,
    /// VMs with different values can't reach each other.
    pub(crate) partition: u8,
    start: u64,
    wake: Option<clock::Moment>,
    link: links::Link,
    /// Requests in progress, with the VM that was asked and the time.
    requests: collections::BTreeMap<u64, (usize, clock::Moment)>,
    /// Number of its polls, including failed ones.
    pub(crate) polls: u64,
    /// The view that was published last.
    pub(crate) view: Option<spread::View>,
}

/// The fleet and the store.
pub(crate) struct World {
    pub(crate) now: clock::Moment,
    pub(crate) vms: Vec<Vm>,
    /// Position of the store's content.
    pub(crate) store: spread::Position,
    pub(crate) pages: collections::BTreeMap<usize, spread::Directory>,
    /// Share of datagrams that are lost.
    pub(crate) loss: f64,
    /// Time that the store takes to answer a call.
    pub(crate) read_time: time::Duration,
    /// Time after which a call fails if the store doesn't answer.
    pub(crate) call_timeout: time::Duration,
    /// Size of the configuration in bytes.
    pub(crate) size: f64,
    /// Number of polls, and of reads and writes of the directory, including failed
    /// ones.
    pub(crate) polls: u64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) datagrams: u64,
    seeds: Vec<net::SocketAddr>,
    last_request: u64,
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
    /// Creates a stopped fleet of `count` VMs and a store with a configuration.
    /// Each VM gets the addresses of the first `seeds` VMs as its seeds.
    pub(crate) fn new(count: usize, seeds: usize, seed: u64) -> Self {
        let mut world = Self {
            now: clock::Moment::default(),
            vms: Vec::new(),
            store: spread::Position {
                revision: Some(ids::Revision(10)),
                digest: follow::Digest(77),
                config: Some(ids::Revision(9)),
            },
            pages: collections::BTreeMap::new(),
            loss: 0.0,
            read_time: READ_TIME,
            call_timeout: READ_TIME,
            size: 0.0,
            polls: 0,
            reads: 0,
            writes: 0,
            datagrams: 0,
            seeds: (0..seeds.min(count)).map(address).collect(),
            last_request: 0,
            queue: events::Queue::default(),
            rng: rand::rngs::StdRng::seed_from_u64(seed),
        };
        for vm in 0..count {
            let state = world.state(vm, 0);
            world.vms.push(Vm {
                state,
                running: false,
                served: true,
                partition: 0,
                start: 0,
                wake: None,
                link: links::Link::new(links::rate(vm)),
                requests: collections::BTreeMap::new(),
                polls: 0,
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
            data_centre: format!("dc-{}", vm % DATA_CENTRES).parse().expect("a name"),
            cores: if links::is_large(vm) { 0.5 } else { 0.125 },
        };
        let seed = self.rng.random();
        let link = rate::BytesPerSecond(links::rate(vm));
        spread::State::new(own, POLL_INTERVAL, self.seeds.clone(), link, seed, self.now)
    }

    /// Changes the configuration and the registrations in the store.
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
            if !vm.running || vm.start != due.start {
                continue;
            }
            if matches!(due.event, Event::Wake) {
                if vm.wake != Some(at) {
                    continue;
                }
                vm.wake = None;
            }
            self.handle(due.vm, due.event);
        }
        self.now = end;
    }

    /// Runs until `condition` returns true, but not longer than `limit`. Returns how
    /// long it took, or `None` if that didn't happen.
    pub(crate) fn until(
        &mut self,
        limit: time::Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<time::Duration> {
        let began = self.now;
        while self.now.since(began) < limit {
            if condition(self) {
                return Some(self.now.since(began));
            }
            self.run(time::Duration::from_millis(10));
        }
        None
    }

    /// Returns whether every running VM has the store's content.
    pub(crate) fn all_hold(&self) -> bool {
        let running = self.vms.iter().filter(|vm| vm.running);
        running.map(|vm| vm.state.position()).all(|position| {
            position.config == self.store.config && position.digest == self.store.digest
        })
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

    fn latency(&mut self, from: usize, to: usize) -> time::Duration {
        let latency = if from % DATA_CENTRES == to % DATA_CENTRES {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        };
        latency.mul_f64(self.rng.random_range(1.0..1.5))
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.vms[from], self.vms.get(to));
        to.is_some_and(|to| from.running && to.running && from.partition == to.partition)
    }

    fn handle(&mut self, vm: usize, event: Event) {
        let now = self.now;
        let state = &mut self.vms[vm].state;
        match event {
            Event::Wake => {}
            Event::Datagram(from, datagram) => {
                if let spread::Datagram::Update(update) = &datagram {
                    let summary = &update.summary;
                    answers::adopt(state, &summary.position, summary.verified, now);
                }
                state.receive(address(from), datagram, now);
            }
            Event::Asked(request, fetch) => {
                let mut answer = state.answer(&fetch, now);
                let position = answer.summary.position;
                if !fetch.members_only && position.digest != fetch.position.digest {
                    // Stands for the registrations that differ.
                    answer.registrations = Some(follow::Delta::Changes(Vec::new()));
                }
                if !fetch.members_only && position.config > fetch.position.config {
                    answer.config = Some(String::new());
                }
                self.answer(vm, &fetch, request, answer);
            }
            Event::Answered(request, mut answer) => {
                if let Some((from, began)) = self.vms[vm].requests.remove(&request) {
                    answers::apply(&mut self.vms[vm].state, &mut answer, now.since(began), now);
                    let took = now.since(began);
                    let state = &mut self.vms[vm].state;
                    state.fetched(address(from), Some(&answer), took, now);
                }
            }
            Event::TimedOut(request) => {
                if let Some((from, began)) = self.vms[vm].requests.remove(&request) {
                    let state = &mut self.vms[vm].state;
                    state.fetched(address(from), None, now.since(began), now);
                    self.close_request(from, request);
                }
            }
            Event::Transferred(generation) => {
                for transfer in self.vms[vm].link.take_complete(generation, now) {
                    self.vms[vm].state.release(transfer.reservation, now);
                    self.deliver(vm, transfer.to, transfer.request, transfer.answer);
                }
                self.send_next(vm);
            }
            Event::Polled(position, began) => {
                if let Some(position) = position {
                    let newer = position.revision >= state.position().revision;
                    if newer {
                        state.set_position(position, true, now);
                    }
                }
                state.polled(position.map(|_| now.since(began)), now);
            }
            Event::DirectoryRead(pages) => state.directory_read(pages, now),
            Event::DirectoryWritten(done) => state.directory_written(done, now),
        }
        self.advance(vm);
    }

    /// Performs the work of a VM that is due.
    fn advance(&mut self, vm: usize) {
        for action in self.vms[vm].state.tick(self.now) {
            self.execute(vm, action);
        }
        let wake = self.vms[vm].state.wake_at(self.now);
        self.wake(vm, wake);
    }

    fn execute(&mut self, vm: usize, action: spread::Action) {
        let served = self.vms[vm].served;
        let took = if served {
            self.read_time
        } else {
            self.call_timeout
        };
        match action {
            spread::Action::Send { to, datagram } => {
                for to in to {
                    self.datagrams += 1;
                    let lost = self.rng.random_bool(self.loss);
                    if !lost && self.can_reach(vm, index(to)) {
                        let latency = self.latency(vm, index(to));
                        self.push(index(to), latency, Event::Datagram(vm, datagram.clone()));
                    }
                }
            }
            spread::Action::Fetch { from, fetch } => self.ask(vm, index(from), fetch),
            spread::Action::Poll => {
                self.polls += 1;
                self.vms[vm].polls += 1;
                let position = Some(self.store).filter(|_| served);
                let read = self.vms[vm].link.transfer_time(self.size);
                self.push(vm, took + read, Event::Polled(position, self.now));
            }
            spread::Action::ReadDirectory => {
                self.reads += 1;
                let pages = served.then(|| self.pages.values().cloned().collect());
                self.push(vm, took, Event::DirectoryRead(pages));
            }
            spread::Action::WriteDirectory { page, directory } => {
                self.writes += 1;
                if served {
                    self.pages.insert(page, directory);
                }
                self.push(vm, took, Event::DirectoryWritten(served));
            }
            spread::Action::View(view) => self.vms[vm].view = Some(view),
        }
    }
}

/// Returns a fleet that has been up for a while.
pub(crate) fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, 3, seed);
    world.start_all();
    world.run(15 * SECOND);
    assert!(world.all_hold(), "{count} VMs, seed {seed}");
    world
}

/// Returns the VMs of a data centre.
pub(crate) fn in_data_centre(world: &World, data_centre: usize) -> Vec<usize> {
    (0..world.vms.len())
        .filter(|vm| vm % DATA_CENTRES == data_centre)
        .collect()
}

/// Returns the number of VMs in the view of each running VM.
pub(crate) fn views(world: &World) -> impl Iterator<Item = Option<usize>> {
    let running = world.vms.iter().filter(|vm| vm.running);
    running.map(|vm| vm.view.as_ref().and_then(|view| view.vms))
}
