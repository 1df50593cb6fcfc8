//! Simulated members and a network that loses, delays and duplicates datagrams,
//! driven by a seed.

use std::collections;
use std::net as addresses;

use rand::Rng as _;
use rand::SeedableRng as _;

use super::*;

/// Time at which every test starts.
pub(super) const START: clock::Moment = clock::Moment(0);

/// Length of a simulation step.
const STEP: time::Duration = time::Duration::from_millis(100);

/// Datagrams that the socket of a paused process buffers.
const SOCKET_DATAGRAMS: usize = 100;

/// Faults of the simulated network.
#[derive(Debug, Clone, Default)]
pub(super) struct Faults {
    pub(super) loss: f64,
    pub(super) duplicate: f64,
    /// Longest delay, in steps.
    pub(super) delay: u64,
    /// Pairs (from, to) between which datagrams are lost.
    pub(super) cut: collections::HashSet<(usize, usize)>,
    /// Datagrams to a paused process are lost, as when its host is migrated.
    pub(super) pause_drops: bool,
}

pub(super) struct Node {
    pub(super) state: State,
    pub(super) up: bool,
    pub(super) paused: bool,
    pub(super) received: Vec<member::Update>,
    pub(super) announced: bool,
    pub(super) duplicate_name: bool,
    socket: Vec<(addresses::SocketAddr, wire::Datagram)>,
}

pub(super) struct Net {
    pub(super) nodes: Vec<Node>,
    pub(super) now: clock::Moment,
    pub(super) faults: Faults,
    pub(super) settings: settings::Settings,
    in_flight: collections::BTreeMap<(clock::Moment, u64), (usize, usize, wire::Datagram)>,
    sent: u64,
    rng: rand::rngs::StdRng,
}

pub(super) fn address(node: usize) -> addresses::SocketAddr {
    addresses::SocketAddr::from(([127, 0, 0, 1], 1000 + node as u16))
}

pub(super) fn vm(node: usize) -> ids::Vm {
    format!("vm-{node}").parse().unwrap()
}

pub(super) fn record(node: usize, incarnation: u64) -> record::Record {
    record::Record {
        vm: vm(node),
        incarnation: ids::Incarnation(incarnation),
        refutation: 0,
        data_centre: format!("dc-{}", node % 3).parse().unwrap(),
        address: address(node),
        leaving: false,
        health: record::Health::Alive,
    }
}

impl Net {
    /// Creates `count` members that know the addresses of the first two.
    pub(super) fn new(count: usize, seed: u64) -> Self {
        Self::with(count, seed, settings::Settings::default())
    }

    pub(super) fn with(count: usize, seed: u64, settings: settings::Settings) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now: clock::Moment::default(),
            faults: Faults::default(),
            settings,
            in_flight: collections::BTreeMap::new(),
            sent: 0,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
        };
        for node in 0..count {
            let state = net.new_state(node, 1);
            net.nodes.push(Node {
                state,
                up: true,
                paused: false,
                received: Vec::new(),
                announced: false,
                duplicate_name: false,
                socket: Vec::new(),
            });
        }
        net
    }

    /// Like [`Self::new`], run until all views agree.
    pub(super) fn settled(count: usize, seed: u64) -> Self {
        let mut net = Self::new(count, seed);
        assert!(net.converges(60), "the members didn't find each other");
        net
    }

    fn new_state(&mut self, node: usize, incarnation: u64) -> State {
        let settings = self.settings.clone();
        let seed = self.rng.random();
        State::new(
            record(node, incarnation),
            vec![address(0), address(1)],
            settings,
            seed,
            self.now,
        )
    }

    /// Replaces a process by a new one with the same name and address.
    pub(super) fn restart(&mut self, node: usize, incarnation: u64) {
        self.nodes[node].state = self.new_state(node, incarnation);
        self.nodes[node].up = true;
        self.nodes[node].socket.clear();
    }

    pub(super) fn event(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].state.handle(event, self.now);
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.transmit(node, to, datagram),
                Action::Received(update) => self.nodes[node].received.push(update),
                Action::Announced => self.nodes[node].announced = true,
                Action::DuplicateName(_) => self.nodes[node].duplicate_name = true,
                Action::View(_) => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: addresses::SocketAddr, datagram: wire::Datagram) {
        use prost::Message as _;
        assert!(datagram.encoded_len() <= wire::MAX_DATAGRAM_BYTES);
        let to = usize::from(to.port()) - 1000;
        if self.faults.cut.contains(&(from, to)) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplicate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.faults.delay);
            let due = self.now + STEP * u32::try_from(delay).unwrap();
            self.sent += 1;
            self.in_flight
                .insert((due, self.sent), (from, to, datagram.clone()));
        }
    }

    /// Advances time by one step.
    pub(super) fn step(&mut self) {
        self.now = self.now + STEP;
        for node in 0..self.nodes.len() {
            if self.nodes[node].up && !self.nodes[node].paused {
                for (from, datagram) in std::mem::take(&mut self.nodes[node].socket) {
                    self.event(node, Event::Datagram { from, datagram });
                }
                self.event(node, Event::Tick);
            }
        }
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, datagram) = entry.remove();
            self.deliver(from, to, datagram);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: wire::Datagram) {
        let Some(node) = self.nodes.get_mut(to).filter(|node| node.up) else {
            return;
        };
        let from = address(from);
        if !node.paused {
            self.event(to, Event::Datagram { from, datagram });
        } else if node.socket.len() < SOCKET_DATAGRAMS && !self.faults.pause_drops {
            node.socket.push((from, datagram));
        }
    }

    pub(super) fn run(&mut self, seconds: u64) {
        (0..seconds * 10).for_each(|_| self.step());
    }

    /// Runs until all views agree; returns false if they don't within `seconds`.
    pub(super) fn converges(&mut self, seconds: u64) -> bool {
        (0..seconds).any(|_| {
            self.run(1);
            self.agree()
        })
    }

    /// Whether every running member sees exactly the running ones, none suspect.
    pub(super) fn agree(&self) -> bool {
        let running = |(_, node): &(usize, &Node)| node.up && !node.paused;
        let up = || self.nodes.iter().enumerate().filter(running);
        let mut names: Vec<_> = up().map(|(node, _)| vm(node)).collect();
        names.sort();
        up().all(|(_, node)| {
            let view = node.state.view();
            let seen: Vec<_> = view
                .members
                .iter()
                .map(|member| member.vm.clone())
                .collect();
            let not_suspect = |member: &member::Member| member.state != member::State::Suspect;
            seen == names && view.members.iter().all(not_suspect)
        })
    }

    /// Cuts the network in both directions between `left` and all other nodes.
    pub(super) fn partition(&mut self, left: std::ops::Range<usize>) {
        for a in left.clone() {
            for b in (0..self.nodes.len()).filter(|b| !left.contains(b)) {
                self.faults.cut.extend([(a, b), (b, a)]);
            }
        }
    }
}
