//! Finds members by seed addresses, the platform's list of VMs, and dead members
//! that may have returned.

use std::collections;
use std::net;

use rand::seq::IteratorRandom as _;

use crate::member::state;
use crate::member::wire;
use crate::store;
use crate::time as clock;

/// Addresses tried at once while this VM knows no live member.
const CONTACTS_WHILE_ALONE: usize = 4;

/// Most addresses kept from the platform's list.
const MAX_LISTED_ADDRESSES: usize = 16_384;

/// Addresses at which members may be found.
#[derive(Debug)]
pub(super) struct Contacts {
    seeds: Vec<net::SocketAddr>,
    listed: Vec<net::SocketAddr>,
    next_attempt: clock::Moment,
}

impl Contacts {
    pub(super) fn new(seeds: Vec<net::SocketAddr>, now: clock::Moment) -> Self {
        Self {
            seeds,
            listed: Vec::new(),
            next_attempt: now,
        }
    }
}

impl state::State {
    /// Takes in the platform's list. The list lags, so the VMs it names are probed
    /// before they count as members, and its leaving flag applies only to the
    /// incarnation known when the flag was first seen. Otherwise a VM that has
    /// restarted would be kept out of service for good.
    pub(super) fn listed(&mut self, vms: Vec<store::Vm>) {
        let mut leaving: collections::HashSet<_> = collections::HashSet::new();
        self.contacts.listed.clear();
        for vm in vms.into_iter().take(MAX_LISTED_ADDRESSES) {
            if vm.vm == self.own.vm {
                continue;
            }
            self.contacts.listed.push(vm.address);
            if vm.leaving {
                leaving.insert((vm.vm, vm.address));
            }
        }
        for (vm, entry) in &mut self.members {
            let leaving_now = leaving.contains(&(vm.clone(), entry.record.address));
            let listed_leaving =
                leaving_now.then(|| entry.listed_leaving.unwrap_or(entry.record.incarnation));
            self.view_changed |= listed_leaving != entry.listed_leaving;
            entry.listed_leaving = listed_leaving;
        }
    }

    /// Probes a random address without a known member, and a random dead member.
    /// After a network partition each side holds the other dead; without this
    /// they would never find each other again.
    pub(super) fn try_contacts(&mut self, now: clock::Moment) {
        if now < self.contacts.next_attempt {
            return;
        }
        let alone = self.live == 0;
        let interval = if alone {
            self.settings.probe_interval
        } else {
            self.settings.dead_probe_interval
        };
        let count = if alone { CONTACTS_WHILE_ALONE } else { 1 };
        self.contacts.next_attempt = now + interval;
        for address in self.unknown_contacts(count) {
            let probe = wire::Probe::default();
            self.send(address, None, Some(wire::Kind::Ping(probe)), now);
        }
        let entries = self.members.values().filter(|entry| entry.was_live);
        let dead = entries.map(|entry| &entry.record);
        let dead = dead.filter(|record| !record.is_live());
        let dead = dead.choose_multiple(&mut self.rng, count);
        let dead: Vec<_> = dead
            .into_iter()
            .map(|r| (r.vm.clone(), r.address))
            .collect();
        for (vm, address) in dead {
            self.ping(&vm, address, 0, now);
        }
    }

    /// Returns up to `count` random seed and listed addresses that belong to no
    /// known live member.
    fn unknown_contacts(&mut self, count: usize) -> Vec<net::SocketAddr> {
        let entries = self.members.values().map(|entry| &entry.record);
        let live = entries.filter(|record| record.is_live());
        let mut known: collections::HashSet<_> = live.map(|record| record.address).collect();
        known.insert(self.own.address);
        let contacts = self.contacts.seeds.iter().chain(&self.contacts.listed);
        let unknown = contacts.filter(|address| !known.contains(*address));
        unknown.copied().choose_multiple(&mut self.rng, count)
    }
}
