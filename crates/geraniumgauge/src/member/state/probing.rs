//! Probes: one member each round, through others where it doesn't answer.

use std::net;

use rand::Rng as _;
use rand::seq::SliceRandom as _;

use crate::ids;
use crate::member::record;
use crate::member::state;
use crate::member::wire;
use crate::time;

/// Relayed probes under way at once; more are not taken.
const RELAYS: usize = 256;

/// How slow a VM becomes at accusing others when its own probes fail.
const DOUBT: u32 = 4;

/// A probe that is not answered yet.
#[derive(Debug)]
struct Probe {
    vm: ids::Vm,
    address: net::SocketAddr,
    number: u64,
    sent: time::Moment,
    relayed: bool,
}

/// A probe on behalf of another member.
#[derive(Debug)]
struct Relay {
    number: u64,
    origin: net::SocketAddr,
    asked: wire::Probe,
    until: time::Moment,
}

/// The probes of one VM.
#[derive(Debug)]
pub(super) struct Probing {
    /// Members still to be probed in this cycle, in random order.
    ring: Vec<ids::Vm>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next: time::Moment,
    number: u64,
    /// Grows when this VM's own probes fail: it may be the one that's cut off
    /// or short of processor time, and then accuses others more slowly.
    doubt: u32,
}

impl Probing {
    pub(super) fn new(now: time::Moment) -> Self {
        Self {
            ring: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            next: now,
            number: 0,
            doubt: 0,
        }
    }

    pub(super) fn forget(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }

    /// A newcomer is probed within the cycle under way, at a random place.
    pub(super) fn join(&mut self, vm: &ids::Vm, rng: &mut rand::rngs::StdRng) {
        let at = rng.random_range(0..=self.ring.len());
        self.ring.insert(at, vm.clone());
    }

    pub(super) fn doubt_self(&mut self) {
        self.doubt = (self.doubt + 1).min(DOUBT);
    }

    pub(super) fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

impl state::State {
    pub(super) fn probe(&mut self, now: time::Moment) {
        self.follow_probes(now);
        self.probing.relays.retain(|relay| relay.until > now);
        if now < self.probing.next {
            return;
        }
        self.probing.next = now + self.settings.probe;
        let Some((vm, address)) = self.next_target() else {
            return;
        };
        let number = self.probing.number();
        self.figures.probes += 1;
        self.ping(&vm, address, number, now);
        self.probing.probes.push(Probe {
            vm,
            address,
            number,
            sent: now,
            relayed: false,
        });
    }

    /// The next live member of the cycle; each comes once a cycle, so the time
    /// until a dead one is noticed is bounded.
    fn next_target(&mut self) -> Option<(ids::Vm, net::SocketAddr)> {
        for _ in 0..2 {
            while let Some(vm) = self.probing.ring.pop() {
                let record = self.record(&vm).filter(|record| record.is_live());
                if let Some(record) = record {
                    return Some((vm, record.address));
                }
            }
            let entries = self.members.values().map(|entry| &entry.record);
            let live = entries.filter(|record| record.is_live());
            self.probing.ring = live.map(|record| record.vm.clone()).collect();
            self.probing.ring.shuffle(&mut self.rng);
        }
        None
    }

    fn follow_probes(&mut self, now: time::Moment) {
        let patience = 1 + self.probing.doubt;
        let relay_after = self.settings.direct * patience;
        let fail_after = self.settings.probe * patience;
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
            self.figures.failed += 1;
            self.probing.doubt_self();
            self.accuse(&probe.vm, record::Health::Suspect, now);
            // With the suspicion in it, so that a live one refutes at once.
            self.ping(&probe.vm, probe.address, 0, now);
        }
    }

    /// Asks others to probe. One in another data centre is among them where
    /// there is one: the way from here may be what's broken.
    fn ask_relays(&mut self, probe: &Probe, now: time::Moment) {
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
        now: time::Moment,
    ) {
        let probe = wire::Probe {
            number,
            vm: vm.to_string(),
        };
        self.send(address, Some(vm), Some(wire::Kind::Ping(probe)), now);
    }

    /// Answers a ping; one that was meant for another VM, which had this
    /// address before, stays unanswered. An empty name means whoever is there.
    pub(super) fn answer(
        &mut self,
        from: net::SocketAddr,
        sender: &ids::Vm,
        probe: wire::Probe,
        now: time::Moment,
    ) {
        if !probe.vm.is_empty() && probe.vm != self.own.vm.as_str() {
            return;
        }
        let vm = self.own.vm.to_string();
        let ack = wire::Kind::Ack(wire::Probe { vm, ..probe });
        self.send(from, Some(sender), Some(ack), now);
    }

    pub(super) fn answered(&mut self, sender: &ids::Vm, ack: &wire::Probe, now: time::Moment) {
        let held = self.probing.probes.len();
        let matches = |probe: &Probe| probe.number == ack.number && probe.vm.as_str() == ack.vm;
        self.probing.probes.retain(|probe| !matches(probe));
        if self.probing.probes.len() < held {
            self.probing.doubt = self.probing.doubt.saturating_sub(1);
        }
        self.told_of_leaving(sender, ack.number, now);
        if sender.as_str() == ack.vm {
            self.pass_on(ack, now);
        }
    }

    /// Passes the answer to a relayed probe on to who asked for it.
    fn pass_on(&mut self, ack: &wire::Probe, now: time::Moment) {
        let matches = |relay: &mut Relay| relay.number == ack.number && relay.asked.vm == ack.vm;
        let answered = self.probing.relays.extract_if(.., matches);
        let answered: Vec<_> = answered.collect();
        for relay in answered {
            let ack = wire::Kind::Ack(relay.asked);
            self.send(relay.origin, None, Some(ack), now);
        }
    }

    pub(super) fn relay(&mut self, from: net::SocketAddr, relay: wire::Relay, now: time::Moment) {
        let address = relay.address.parse().ok();
        let vm = relay.probe.as_ref().and_then(|probe| probe.vm.parse().ok());
        let (Some(asked), Some(vm), Some(address)) = (relay.probe, vm, address) else {
            return;
        };
        if self.probing.relays.len() >= RELAYS {
            return;
        }
        let number = self.probing.number();
        self.probing.relays.push(Relay {
            number,
            origin: from,
            asked,
            until: now + self.settings.probe * DOUBT,
        });
        self.ping(&vm, address, number, now);
    }
}
