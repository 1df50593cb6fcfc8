//! Failure detection: one member is probed each interval, directly and then
//! through other members.

use std::net;

use rand::Rng as _;
use rand::seq::SliceRandom as _;

use crate::ids;
use crate::member::record;
use crate::member::state;
use crate::member::wire;
use crate::time as clock;

/// Most probes relayed for others at once; further requests are ignored.
const MAX_RELAYED_PROBES: usize = 256;

/// Highest value of [`Probing::health_penalty`].
const MAX_HEALTH_PENALTY: u32 = 4;

/// A probe that has not been answered yet.
#[derive(Debug)]
struct Probe {
    vm: ids::Vm,
    address: net::SocketAddr,
    number: u64,
    sent: clock::Moment,
    relayed: bool,
}

/// A probe made on behalf of another member.
#[derive(Debug)]
struct Relay {
    number: u64,
    requester: net::SocketAddr,
    probe: wire::Probe,
    deadline: clock::Moment,
}

/// Open probes of this VM and the order of the next ones.
#[derive(Debug)]
pub(super) struct Probing {
    /// Members yet to be probed in the current cycle, in random order.
    cycle: Vec<ids::Vm>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_probe: clock::Moment,
    number: u64,
    /// Lengthens probe timeouts: they are multiplied by one plus this. Raised when
    /// this VM's own probes fail, since this VM may be the one that is cut off or
    /// short of processor time.
    health_penalty: u32,
}

impl Probing {
    pub(super) fn new(now: clock::Moment) -> Self {
        Self {
            cycle: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            next_probe: now,
            number: 0,
            health_penalty: 0,
        }
    }

    /// Drops all open and relayed probes.
    pub(super) fn clear(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// Adds a new member to the current cycle at a random position.
    pub(super) fn insert(&mut self, vm: &ids::Vm, rng: &mut rand::rngs::StdRng) {
        let at = rng.random_range(0..=self.cycle.len());
        self.cycle.insert(at, vm.clone());
    }

    pub(super) fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

impl state::State {
    /// Follows up on open probes and starts a new one when due.
    pub(super) fn probe(&mut self, now: clock::Moment) {
        self.check_probes(now);
        self.probing.relays.retain(|relay| relay.deadline > now);
        if now < self.probing.next_probe {
            return;
        }
        self.probing.next_probe = now + self.settings.probe_interval;
        let Some((vm, address)) = self.next_target() else {
            return;
        };
        let number = self.probing.next_number();
        self.stats.probes += 1;
        self.ping(&vm, address, number, now);
        self.probing.probes.push(Probe {
            vm,
            address,
            number,
            sent: now,
            relayed: false,
        });
    }

    /// Returns the next live member of the cycle. Each member comes once a cycle,
    /// which bounds the time until a dead one is noticed.
    fn next_target(&mut self) -> Option<(ids::Vm, net::SocketAddr)> {
        for _ in 0..2 {
            while let Some(vm) = self.probing.cycle.pop() {
                let record = self.record(&vm).filter(|record| record.is_live());
                if let Some(record) = record {
                    return Some((vm, record.address));
                }
            }
            let entries = self.members.values().map(|entry| &entry.record);
            let live = entries.filter(|record| record.is_live());
            self.probing.cycle = live.map(|record| record.vm.clone()).collect();
            self.probing.cycle.shuffle(&mut self.rng);
        }
        None
    }

    /// Relays probes that were not answered directly, and suspects members that did
    /// not answer at all.
    fn check_probes(&mut self, now: clock::Moment) {
        let timeout_factor = 1 + self.probing.health_penalty;
        let relay_after = self.settings.direct_timeout * timeout_factor;
        let fail_after = self.settings.probe_interval * timeout_factor;
        let mut probes = std::mem::take(&mut self.probing.probes);
        for probe in &mut probes {
            if !probe.relayed && now.since(probe.sent) >= relay_after {
                probe.relayed = true;
                self.ask_relays(probe, now);
            }
        }
        let failed = probes.extract_if(.., |probe| now.since(probe.sent) >= fail_after);
        let failed: Vec<_> = failed.collect();
        self.probing.probes = probes;
        for probe in failed {
            self.stats.probes_failed += 1;
            self.probing.raise_health_penalty();
            self.set_health(&probe.vm, record::Health::Suspect, now);
            // This ping carries the suspicion, so that a live member refutes it at once.
            self.ping(&probe.vm, probe.address, 0, now);
        }
    }

    /// Asks other members to probe. Includes one in another data centre if there
    /// is one, since the path from this one may be what is broken.
    fn ask_relays(&mut self, probe: &Probe, now: clock::Moment) {
        let own = self.own.data_centre.clone();
        let target = probe.vm.clone();
        let far = self.pick(1, |record| record.vm != target && record.data_centre != own);
        let rest = self.settings.relays.saturating_sub(far.len());
        let taken: Vec<_> = far.iter().map(|(vm, _)| vm.clone()).collect();
        let near = self.pick(rest, |record| {
            record.vm != target && !taken.contains(&record.vm)
        });
        for (vm, address) in far.into_iter().chain(near) {
            let relay = wire::Relay {
                probe: Some(wire::Probe {
                    number: probe.number,
                    vm: target.to_string(),
                }),
                address: probe.address.to_string(),
            };
            self.send(address, Some(&vm), Some(wire::Kind::Relay(relay)), now);
        }
    }

    pub(super) fn ping(
        &mut self,
        vm: &ids::Vm,
        address: net::SocketAddr,
        number: u64,
        now: clock::Moment,
    ) {
        let probe = wire::Probe {
            number,
            vm: vm.to_string(),
        };
        self.send(address, Some(vm), Some(wire::Kind::Ping(probe)), now);
    }

    /// Answers a ping. A ping for another VM, which had this address before, is
    /// ignored; an empty name addresses any VM.
    pub(super) fn answer_ping(
        &mut self,
        from: net::SocketAddr,
        sender: &ids::Vm,
        probe: wire::Probe,
        now: clock::Moment,
    ) {
        if !probe.vm.is_empty() && probe.vm != self.own.vm.as_str() {
            return;
        }
        let vm = self.own.vm.to_string();
        let ack = wire::Kind::Ack(wire::Probe { vm, ..probe });
        self.send(from, Some(sender), Some(ack), now);
    }

    pub(super) fn receive_ack(&mut self, sender: &ids::Vm, ack: &wire::Probe, now: clock::Moment) {
        let open = self.probing.probes.len();
        let matches = |probe: &Probe| probe.number == ack.number && probe.vm.as_str() == ack.vm;
        self.probing.probes.retain(|probe| !matches(probe));
        if self.probing.probes.len() < open {
            self.probing.health_penalty = self.probing.health_penalty.saturating_sub(1);
        }
        self.confirm_leaving(sender, ack.number, now);
        if sender.as_str() == ack.vm {
            self.forward_ack(ack, now);
        }
    }

    /// Forwards the answer to a relayed probe to the member that asked for it.
    fn forward_ack(&mut self, ack: &wire::Probe, now: clock::Moment) {
        let matches = |relay: &mut Relay| relay.number == ack.number && relay.probe.vm == ack.vm;
        let answered = self.probing.relays.extract_if(.., matches);
        let answered: Vec<_> = answered.collect();
        for relay in answered {
            let ack = wire::Kind::Ack(relay.probe);
            self.send(relay.requester, None, Some(ack), now);
        }
    }

    /// Probes a VM on behalf of the member at `from`.
    pub(super) fn relay_probe(
        &mut self,
        from: net::SocketAddr,
        relay: wire::Relay,
        now: clock::Moment,
    ) {
        let address = relay.address.parse().ok();
        let vm = relay.probe.as_ref().and_then(|probe| probe.vm.parse().ok());
        let (Some(probe), Some(vm), Some(address)) = (relay.probe, vm, address) else {
            return;
        };
        if self.probing.relays.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let number = self.probing.next_number();
        self.probing.relays.push(Relay {
            number,
            requester: from,
            probe,
            deadline: now + self.settings.probe_interval * MAX_HEALTH_PENALTY,
        });
        self.ping(&vm, address, number, now);
    }
}
