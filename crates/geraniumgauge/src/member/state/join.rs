//! Finding members: seeds, the platform's list, and the dead, who may be back.

use std::collections;
use std::net;

use rand::seq::IteratorRandom as _;

use crate::member::state;
use crate::member::wire;
use crate::store;
use crate::time;

/// Addresses tried at once while this VM knows nobody.
const ALONE: usize = 4;

/// Addresses kept from the platform's list.
const MOST: usize = 16_384;

/// Addresses where members may be.
#[derive(Debug)]
pub(super) struct Contacts {
    seeds: Vec<net::SocketAddr>,
    listed: Vec<net::SocketAddr>,
    next: time::Moment,
}

impl Contacts {
    pub(super) fn new(seeds: Vec<net::SocketAddr>, now: time::Moment) -> Self {
        Self {
            seeds,
            listed: Vec::new(),
            next: now,
        }
    }
}

impl state::State {
    /// Takes in the platform's list. It lags: whoever it names is asked, not
    /// believed, and its leaving flag counts for the start that this VM knows
    /// only, so that a VM that started again isn't kept from its duties for ever.
    pub(super) fn listed(&mut self, vms: Vec<store::Vm>) {
        let mut flags: collections::HashSet<_> = collections::HashSet::new();
        self.contacts.listed.clear();
        for vm in vms.into_iter().take(MOST) {
            if vm.vm == self.own.vm {
                continue;
            }
            self.contacts.listed.push(vm.address);
            if vm.leaving {
                flags.insert((vm.vm, vm.address));
            }
        }
        for (vm, entry) in &mut self.members {
            let listed = flags.contains(&(vm.clone(), entry.record.address));
            let flagged = listed.then(|| entry.flagged.unwrap_or(entry.record.incarnation));
            self.dirty |= flagged != entry.flagged;
            entry.flagged = flagged;
        }
    }

    /// Tries an address that may hold a member unknown here, and one of the
    /// dead. Regions that lost each other hold each other dead; without this
    /// they would never meet again.
    pub(super) fn seek(&mut self, now: time::Moment) {
        if now < self.contacts.next {
            return;
        }
        let alone = self.live == 0;
        let interval = if alone {
            self.settings.probe
        } else {
            self.settings.retry
        };
        let count = if alone { ALONE } else { 1 };
        self.contacts.next = now + interval;
        for address in self.strangers(count) {
            let probe = wire::Probe::default();
            self.send(address, None, Some(wire::Kind::Ping(probe)), now);
        }
        let entries = self.members.values().map(|entry| &entry.record);
        let dead = entries.filter(|record| !record.is_live());
        let dead = dead.choose_multiple(&mut self.rng, count);
        let dead: Vec<_> = dead
            .into_iter()
            .map(|r| (r.vm.clone(), r.address))
            .collect();
        for (vm, address) in dead {
            self.ping(&vm, address, 0, now);
        }
    }

    /// Addresses of seeds and of the list where no live member is known.
    fn strangers(&mut self, count: usize) -> Vec<net::SocketAddr> {
        let entries = self.members.values().map(|entry| &entry.record);
        let live = entries.filter(|record| record.is_live());
        let mut known: collections::HashSet<_> = live.map(|record| record.address).collect();
        known.insert(self.own.address);
        let contacts = self.contacts.seeds.iter().chain(&self.contacts.listed);
        let unknown = contacts.filter(|address| !known.contains(*address));
        unknown.copied().choose_multiple(&mut self.rng, count)
    }
}
