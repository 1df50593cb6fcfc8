//! The membership of one VM as a state machine: probes, suspicion, gossip.
//!
//! This is SWIM with four additions:
//!
//! - A datagram to a VM that this VM considers suspect or dead contains its record
//!   of that VM, so that the VM can refute it without waiting for gossip.
//! - A VM that was paused doesn't mistake its own pause for silence of others.
//! - Dead members are probed now and then, so that the two sides of a network
//!   partition find each other again.
//! - Updates that gossip missed are found by comparing digests.

mod gossip;
mod join;
mod leave;
mod probing;
mod records;
mod sync;

use std::collections;
use std::net;
use std::sync as shared;
use std::time;

use rand::SeedableRng as _;
use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::member;
use crate::member::digest;
use crate::member::queue;
use crate::member::record;
use crate::member::settings;
use crate::member::wire;
use crate::rate;
use crate::store;
use crate::time as clock;

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A tick of the timer.
    Tick,
    /// A datagram was received.
    Datagram {
        /// Address of the sender.
        from: net::SocketAddr,
        /// The decoded datagram.
        datagram: wire::Datagram,
    },
    /// The platform's list of VMs was read.
    Listed(Vec<store::Vm>),
    /// A subsystem of this VM publishes an update.
    Publish(member::Update),
    /// This VM is about to stop.
    Leave,
}

/// An output of the state machine, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: net::SocketAddr,
        /// The datagram.
        datagram: wire::Datagram,
    },
    /// The view has changed.
    View(member::SharedView),
    /// An update that is new to this VM.
    Received(member::Update),
    /// Enough members have confirmed that this VM is leaving, or the time for it is up.
    Announced,
    /// A live process at this address has this VM's name and a later incarnation.
    DuplicateName(net::SocketAddr),
}

/// Statistics. `live`, `suspect`, `leaving`, `dead`, `queued` and `updates` are
/// current values; the others count since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Members that are not dead, this VM included.
    pub live: u64,
    /// Suspects among the live members.
    pub suspect: u64,
    /// Leaving members among the live ones.
    pub leaving: u64,
    /// Dead members that are remembered.
    pub dead: u64,
    /// Updates and records waiting to be gossiped.
    pub queued: u64,
    /// Gossip updates held.
    pub updates: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that nobody answered.
    pub probes_failed: u64,
    /// Suspicions of this VM that it refuted.
    pub refutations: u64,
    /// VMs that this VM declared dead.
    pub deaths: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent, IP and UDP headers included.
    pub bytes: u64,
    /// Digest comparisons that found a difference.
    pub differences: u64,
    /// Number of pauses of this process that it noticed.
    pub pauses: u64,
}

/// Another VM, as this VM knows it.
#[derive(Debug, Clone)]
struct Entry {
    record: record::Record,
    /// Hash of the VM's name; see [`name_hash`].
    name_hash: u64,
    /// Time at which it was declared dead.
    died: Option<clock::Moment>,
    /// Set once this VM has held it as live. Of others only the death is known, which
    /// isn't passed on.
    was_live: bool,
    /// The incarnation that the platform's list marks as leaving.
    listed_leaving: Option<ids::Incarnation>,
}

/// The membership state of one VM.
#[derive(Debug)]
pub struct State {
    settings: settings::Settings,
    own: record::Record,
    members: collections::BTreeMap<ids::Vm, Entry>,
    /// Number of other members that are not dead.
    live: usize,
    /// Time at which each suspect is declared dead.
    suspects: collections::BTreeMap<ids::Vm, clock::Moment>,
    updates: collections::BTreeMap<(member::Topic, shared::Arc<str>), member::Update>,
    digest: digest::Digest,
    queue: queue::Queue,
    budget: rate::Bucket,
    /// Additional budget for urgent updates once `budget` is used up.
    reserve: rate::Bucket,
    probing: probing::Probing,
    contacts: join::Contacts,
    announcement: Option<leave::Announcement>,
    rng: rand::rngs::StdRng,
    started: clock::Moment,
    last_tick: clock::Moment,
    next_gossip: clock::Moment,
    next_sync: clock::Moment,
    /// Set when there is an update that must not wait for the next gossip round.
    urgent: bool,
    /// Members that gossip has yet to reach in the current random order.
    gossip_order: Vec<ids::Vm>,
    /// Addresses of dead members that came back, to compare digests with at once.
    returned: Vec<net::SocketAddr>,
    /// Set when the view must be published at the end of the tick.
    view_changed: bool,
    /// Set once another process with this VM's name was reported.
    duplicate_name: bool,
    stats: Stats,
    actions: Vec<Action>,
}

impl State {
    /// Creates a member that knows no others and asks at `seeds` first. Random
    /// choices are drawn from `seed`.
    pub fn new(
        own: record::Record,
        seeds: Vec<net::SocketAddr>,
        settings: settings::Settings,
        seed: u64,
        now: clock::Moment,
    ) -> Self {
        let mut digest = digest::Digest::new();
        digest.toggle(name_hash(&own.vm), own.fingerprint());
        let budget = rate::Bucket::new(settings.byte_rate, settings.burst_bytes, now);
        let reserve = rate::Bucket::new(settings.urgent_byte_rate, settings.burst_bytes / 2.0, now);
        Self {
            own,
            members: collections::BTreeMap::new(),
            live: 0,
            suspects: collections::BTreeMap::new(),
            updates: collections::BTreeMap::new(),
            digest,
            queue: queue::Queue::default(),
            budget,
            reserve,
            probing: probing::Probing::new(now),
            contacts: join::Contacts::new(seeds, now),
            announcement: None,
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            started: now,
            last_tick: now,
            next_gossip: now,
            next_sync: now,
            urgent: false,
            gossip_order: Vec::new(),
            returned: Vec::new(),
            view_changed: true,
            duplicate_name: false,
            stats: Stats::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Processes one event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: clock::Moment) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Datagram { from, datagram } => self.receive(from, datagram, now),
            Event::Listed(vms) => self.listed(vms),
            Event::Publish(update) => self.receive_update(update),
            Event::Leave => self.leave(now),
        }
        if std::mem::take(&mut self.urgent) {
            self.gossip(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> Stats {
        let count = |n: usize| n as u64;
        let others = self.members.values();
        let leaving = others.filter(|entry| entry.record.leaving && entry.record.is_live());
        Stats {
            live: count(self.live + 1),
            suspect: count(self.suspects.len()),
            leaving: count(leaving.count()) + u64::from(self.own.leaving),
            dead: count(self.members.len() - self.live),
            queued: count(self.queue.len()),
            updates: count(self.updates.len()),
            ..self.stats
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> member::View {
        let entries = self.members.values();
        let live = entries.filter(|entry| entry.record.is_live());
        let mut members: Vec<_> = live.map(Entry::to_member).collect();
        members.push(self.own.to_member(false));
        member::View::new(self.own.vm.clone(), members)
    }

    /// Returns this VM's own record.
    pub fn own(&self) -> &record::Record {
        &self.own
    }

    /// Returns the record of another VM, dead ones included.
    pub fn record(&self, vm: &ids::Vm) -> Option<&record::Record> {
        self.members.get(vm).map(|entry| &entry.record)
    }

    /// Returns the newest update of `topic` and `key`.
    pub fn update(&self, topic: member::Topic, key: &str) -> Option<&member::Update> {
        self.updates.get(&(topic, key.into()))
    }

    fn tick(&mut self, now: clock::Moment) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.settings.pause_threshold {
            self.resume(gap);
        }
        self.expire_members(now);
        self.probe(now);
        self.try_contacts(now);
        self.repeat_announcement(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_interval;
            self.gossip(now);
        }
        self.sync(now);
        if std::mem::take(&mut self.view_changed) {
            let view = shared::Arc::new(self.view());
            self.actions.push(Action::View(view));
        }
    }

    /// Recovers from a pause of this process. All timers expire at once then, and
    /// every probed or suspected member would be declared dead although only this
    /// VM was stopped. Drops the open probes and extends the deadlines of suspects
    /// by the length of the pause.
    fn resume(&mut self, gap: time::Duration) {
        self.stats.pauses += 1;
        self.probing.clear();
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + gap;
        }
    }

    fn receive(&mut self, from: net::SocketAddr, datagram: wire::Datagram, now: clock::Moment) {
        let Some(sender) = datagram.from.as_ref().and_then(wire::Record::to_record) else {
            return;
        };
        if sender.vm == self.own.vm && sender.incarnation == self.own.incarnation {
            return;
        }
        self.apply_record(sender.clone(), now);
        for record in &datagram.records {
            if let Some(record) = record.to_record() {
                self.apply_record(record, now);
            }
        }
        let updates = datagram.updates.into_iter();
        updates
            .filter_map(wire::Update::into_update)
            .for_each(|update| self.receive_update(update));
        match datagram.kind {
            Some(wire::Kind::Ping(probe)) => self.answer_ping(from, &sender.vm, probe, now),
            Some(wire::Kind::Ack(probe)) => self.receive_ack(&sender.vm, &probe, now),
            Some(wire::Kind::Relay(relay)) => self.relay_probe(from, relay, now),
            Some(wire::Kind::Digest(digest)) => self.receive_digest(from, &sender.vm, &digest, now),
            None => {}
        }
    }

    /// Returns up to `count` random live members for which `fits` holds.
    fn pick(
        &mut self,
        count: usize,
        fits: impl Fn(&record::Record) -> bool,
    ) -> Vec<(ids::Vm, net::SocketAddr)> {
        let entries = self.members.values().map(|entry| &entry.record);
        let live = entries.filter(|record| record.is_live() && fits(record));
        let picked = live.choose_multiple(&mut self.rng, count);
        let target = |record: &record::Record| (record.vm.clone(), record.address);
        picked.into_iter().map(target).collect()
    }
}

impl Entry {
    fn to_member(&self) -> member::Member {
        let listed_leaving = self.listed_leaving == Some(self.record.incarnation);
        self.record.to_member(listed_leaving)
    }
}

/// Returns the hash that places a VM's record in a digest bucket.
fn name_hash(vm: &ids::Vm) -> u64 {
    digest::name_hash(0, vm.as_str())
}

#[cfg(test)]
#[path = "../tests/state.rs"]
mod tests;
