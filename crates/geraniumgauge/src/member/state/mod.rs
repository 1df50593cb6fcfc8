//! The membership of one VM as a state machine: probes, suspicion, gossip.
//!
//! SWIM with these additions: a record that says a VM is suspect or dead is
//! shown to that VM itself with each datagram, so that it refutes without
//! waiting for gossip; a VM that was paused doesn't take its own silence for
//! that of others; the dead are tried now and then, so that parted regions find
//! each other again; what gossip missed is found by comparing hashes.

mod gossip;
mod join;
mod leave;
mod probing;
mod sayings;
mod sync;

use std::collections;
use std::net;
use std::sync as shared;
use std::time as spans;

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
use crate::time;

/// What happens to a member.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A datagram came.
    Datagram {
        /// Where from.
        from: net::SocketAddr,
        /// What it says.
        datagram: wire::Datagram,
    },
    /// The platform's list was read.
    Listed(Vec<store::Vm>),
    /// A duty of this VM has news.
    Publish(member::Rumour),
    /// This VM is about to stop.
    Leave,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: net::SocketAddr,
        /// What.
        datagram: wire::Datagram,
    },
    /// The view has changed.
    View(member::Shared),
    /// A rumour is new to this VM.
    Heard(member::Rumour),
    /// The leaving is announced to as many members as it takes.
    Announced,
    /// Another live process at this address bears this VM's name and started later.
    Twin(net::SocketAddr),
}

/// Figures since the start; `live`, `suspect`, `dead`, `queued` and `rumours` are as of now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Members held to be there, this VM among them.
    pub live: u64,
    /// Of these, suspects.
    pub suspect: u64,
    /// Of these, leaving.
    pub leaving: u64,
    /// The dead that are remembered.
    pub dead: u64,
    /// News waiting to be told.
    pub queued: u64,
    /// Rumours held.
    pub rumours: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that nobody answered.
    pub failed: u64,
    /// Suspicions of this VM that it refuted.
    pub refutations: u64,
    /// VMs taken as dead.
    pub deaths: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent, headers included.
    pub bytes: u64,
    /// Comparisons that found a difference.
    pub differences: u64,
    /// Times that this VM noticed that it had been paused.
    pub pauses: u64,
}

/// What this VM holds of another.
#[derive(Debug, Clone)]
struct Entry {
    record: record::Record,
    /// Hash of the name.
    name: u64,
    /// When it was taken as dead.
    died: Option<time::Moment>,
    /// The start of which the platform's list says that it's leaving.
    flagged: Option<ids::Incarnation>,
}

/// The state of one member.
#[derive(Debug)]
pub struct State {
    settings: settings::Settings,
    own: record::Record,
    members: collections::BTreeMap<ids::Vm, Entry>,
    /// Others that are held to be there.
    live: usize,
    /// When each suspect is taken as dead.
    suspects: collections::BTreeMap<ids::Vm, time::Moment>,
    rumours: collections::BTreeMap<(member::Topic, shared::Arc<str>), member::Rumour>,
    digest: digest::Digest,
    queue: queue::Queue,
    budget: rate::Bucket,
    /// For urgent rumours when the budget is spent.
    reserve: rate::Bucket,
    probing: probing::Probing,
    contacts: join::Contacts,
    announcement: Option<leave::Announcement>,
    rng: rand::rngs::StdRng,
    started: time::Moment,
    last_tick: time::Moment,
    next_gossip: time::Moment,
    next_sync: time::Moment,
    /// News that must not wait for the next round.
    urgent: bool,
    /// Members that news is still to be told to, before all are gone through again.
    order: Vec<ids::Vm>,
    /// Members that came back from the dead, to be compared with at once.
    returned: Vec<net::SocketAddr>,
    dirty: bool,
    twin: bool,
    figures: Figures,
    actions: Vec<Action>,
}

impl State {
    /// A member that knows nobody yet but may ask at `seeds`. Random choices
    /// follow from `seed`.
    pub fn new(
        own: record::Record,
        seeds: Vec<net::SocketAddr>,
        settings: settings::Settings,
        seed: u64,
        now: time::Moment,
    ) -> Self {
        let mut digest = digest::Digest::new();
        digest.toggle(name(&own.vm), own.fingerprint());
        let budget = rate::Bucket::new(settings.bytes, settings.burst, now);
        let reserve = rate::Bucket::new(settings.reserve, settings.burst / 2.0, now);
        Self {
            own,
            members: collections::BTreeMap::new(),
            live: 0,
            suspects: collections::BTreeMap::new(),
            rumours: collections::BTreeMap::new(),
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
            order: Vec::new(),
            returned: Vec::new(),
            dirty: true,
            twin: false,
            figures: Figures::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes in one event and says what to do.
    pub fn handle(&mut self, event: Event, now: time::Moment) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Datagram { from, datagram } => self.receive(from, datagram, now),
            Event::Listed(vms) => self.listed(vms),
            Event::Publish(rumour) => self.hear(rumour),
            Event::Leave => self.leave(now),
        }
        if std::mem::take(&mut self.urgent) {
            self.gossip(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// The figures.
    pub fn figures(&self) -> Figures {
        let count = |n: usize| n as u64;
        let others = self.members.values();
        let leaving = others.filter(|entry| entry.record.leaving && entry.record.is_live());
        Figures {
            live: count(self.live + 1),
            suspect: count(self.suspects.len()),
            leaving: count(leaving.count()) + u64::from(self.own.leaving),
            dead: count(self.members.len() - self.live),
            queued: count(self.queue.len()),
            rumours: count(self.rumours.len()),
            ..self.figures
        }
    }

    /// The view as it is now.
    pub fn view(&self) -> member::View {
        let entries = self.members.values();
        let there = entries.filter(|entry| entry.record.is_live());
        let mut members: Vec<_> = there.map(Entry::member).collect();
        members.push(self.own.member(false));
        member::View::new(self.own.vm.clone(), members)
    }

    /// What this VM says of itself.
    pub fn own(&self) -> &record::Record {
        &self.own
    }

    /// What this VM holds of `vm`, the dead included.
    pub fn record(&self, vm: &ids::Vm) -> Option<&record::Record> {
        self.members.get(vm).map(|entry| &entry.record)
    }

    /// The newest rumour of `topic` and `key`.
    pub fn rumour(&self, topic: member::Topic, key: &str) -> Option<&member::Rumour> {
        self.rumours.get(&(topic, key.into()))
    }

    fn tick(&mut self, now: time::Moment) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.settings.pause {
            self.resume(gap);
        }
        self.bury(now);
        self.probe(now);
        self.seek(now);
        self.repeat_announcement(now);
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip;
            self.gossip(now);
        }
        self.compare(now);
        if std::mem::take(&mut self.dirty) {
            let view = shared::Arc::new(self.view());
            self.actions.push(Action::View(view));
        }
    }

    /// A VM that was paused finds all its timers run out at once: it would take
    /// every probed and suspected member as dead though only itself was away.
    /// It forgets its probes and gives suspects the time that it has missed.
    fn resume(&mut self, gap: spans::Duration) {
        self.figures.pauses += 1;
        self.probing.forget();
        for deadline in self.suspects.values_mut() {
            *deadline = *deadline + gap;
        }
    }

    fn receive(&mut self, from: net::SocketAddr, datagram: wire::Datagram, now: time::Moment) {
        let Some(sender) = datagram.from.as_ref().and_then(wire::Saying::record) else {
            return;
        };
        if sender.vm == self.own.vm && sender.incarnation == self.own.incarnation {
            return;
        }
        self.apply(sender.clone(), now);
        for saying in &datagram.sayings {
            if let Some(record) = saying.record() {
                self.apply(record, now);
            }
        }
        let rumours = datagram.rumours.into_iter();
        rumours
            .filter_map(wire::Rumour::rumour)
            .for_each(|rumour| self.hear(rumour));
        match datagram.kind {
            Some(wire::Kind::Ping(probe)) => self.answer(from, &sender.vm, probe, now),
            Some(wire::Kind::Ack(probe)) => self.answered(&sender.vm, &probe, now),
            Some(wire::Kind::Relay(relay)) => self.relay(from, relay, now),
            Some(wire::Kind::Digest(digest)) => self.compared(from, &sender.vm, &digest, now),
            None => {}
        }
    }

    /// Up to `count` random live others for which `fits` holds.
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
    fn member(&self) -> member::Member {
        let flagged = self.flagged == Some(self.record.incarnation);
        self.record.member(flagged)
    }
}

/// The hash of a VM's name, for digests.
fn name(vm: &ids::Vm) -> u64 {
    digest::name(0, vm.as_str())
}

#[cfg(test)]
#[path = "../tests/state.rs"]
mod tests;
