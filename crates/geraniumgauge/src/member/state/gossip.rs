//! Passing news on, within the bytes that may be spent.

use std::net;
use std::sync;

use prost::Message as _;
use rand::seq::SliceRandom as _;

use crate::ids;
use crate::member;
use crate::member::digest;
use crate::member::queue;
use crate::member::record;
use crate::member::state;
use crate::member::wire;
use crate::time;

/// Bytes that one embedded message takes besides its own: tag and length.
const EMBEDDED: usize = 3;

/// Largest rumour, in bytes; a larger one would crowd out all others.
const RUMOUR: usize = 1024;

impl state::State {
    /// Takes in a rumour, of this VM's own duties or of others.
    pub(super) fn hear(&mut self, rumour: member::Rumour) {
        if wire::Rumour::from(&rumour).encoded_len() > RUMOUR {
            log::error!(
                "membership: a rumour on {} of {} bytes is dropped; the limit is {RUMOUR}",
                rumour.key,
                rumour.body.len()
            );
            return;
        }
        let key: sync::Arc<str> = rumour.key.as_str().into();
        let held = self.rumours.get(&(rumour.topic, sync::Arc::clone(&key)));
        if held.is_some_and(|held| held.version >= rumour.version) {
            return;
        }
        let (name, new) = (subject(&rumour), fingerprint(&rumour));
        if let Some(held) = held {
            self.digest.toggle(name, fingerprint(held));
        } else {
            self.make_room(rumour.topic);
        }
        self.digest.toggle(name, new);
        let topic = rumour.topic;
        self.urgent |= topic != member::Topic::Applied;
        self.queue
            .add(queue::Subject::Rumour(topic, sync::Arc::clone(&key)));
        self.rumours.insert((topic, key), rumour.clone());
        self.actions.push(state::Action::Heard(rumour));
    }

    /// Bounds the rumours of a topic: the first key makes room.
    fn make_room(&mut self, topic: member::Topic) {
        if self.rumours.len() < self.settings.rumours {
            return;
        }
        let first = (topic, sync::Arc::from(""));
        let of_topic = self.rumours.range(first..);
        let of_topic = of_topic.take_while(|((held, _), _)| *held == topic);
        let keys: Vec<_> = of_topic
            .map(|((_, key), _)| sync::Arc::clone(key))
            .collect();
        if keys.len() >= self.settings.rumours {
            self.forget_rumour(topic, &keys[0]);
        }
    }

    pub(super) fn forget_rumour(&mut self, topic: member::Topic, key: &str) {
        let key: sync::Arc<str> = key.into();
        if let Some(held) = self.rumours.remove(&(topic, sync::Arc::clone(&key))) {
            self.digest.toggle(subject(&held), fingerprint(&held));
            self.queue.remove(&queue::Subject::Rumour(topic, key));
        }
    }

    /// Tells news to a few members, where there is news.
    pub(super) fn gossip(&mut self, now: time::Moment) {
        for _ in 0..self.settings.fanout {
            if self.queue.len() == 0 {
                return;
            }
            let Some((vm, address)) = self.next_told() else {
                return;
            };
            self.send(address, Some(&vm), None, now);
        }
    }

    /// The next member to tell news to: all in a random order, then all in
    /// another one. Failure: picked by chance each time, the six tellings of
    /// each of a dozen members left one member out at 1 in 120 seeds, and it
    /// found an urgent rumour only by comparing, up to ten seconds later.
    fn next_told(&mut self) -> Option<(ids::Vm, net::SocketAddr)> {
        if self.order.is_empty() {
            let live = self.members.values().map(|entry| &entry.record);
            let live = live.filter(|record| record.is_live());
            self.order = live.map(|record| record.vm.clone()).collect();
            self.order.shuffle(&mut self.rng);
        }
        while let Some(vm) = self.order.pop() {
            let record = self.record(&vm).filter(|record| record.is_live());
            if let Some(address) = record.map(|record| record.address) {
                return Some((vm, address));
            }
        }
        None
    }

    /// Sends a datagram with as much news as fits it and the budget. Probes and
    /// answers go without news where the budget is spent: they are few, and
    /// must not wait for gossip.
    pub(super) fn send(
        &mut self,
        to: net::SocketAddr,
        vm: Option<&ids::Vm>,
        kind: Option<wire::Kind>,
        now: time::Moment,
    ) {
        let bare = self.parcel(kind, vm);
        let all = self.fill(&bare, |_| true);
        if self.budget.take(all.0.cost(), now) {
            return self.tell(to, all);
        }
        let urgent = self.fill(&bare, queue::Subject::is_urgent);
        if !urgent.1.is_empty() && self.reserve.take(urgent.0.cost(), now) {
            self.tell(to, urgent);
        } else if bare.datagram.kind.is_some() {
            self.post(to, bare);
        }
    }

    fn tell(&mut self, to: net::SocketAddr, (parcel, told): (Parcel, Vec<queue::Subject>)) {
        for subject in told {
            self.queue.told(&subject, self.retransmissions(&subject));
        }
        self.post(to, parcel);
    }

    pub(super) fn post(&mut self, to: net::SocketAddr, parcel: Parcel) {
        self.figures.datagrams += 1;
        self.figures.bytes += (parcel.size + wire::HEADERS) as u64;
        let datagram = parcel.datagram;
        self.actions.push(state::Action::Send { to, datagram });
    }

    /// A datagram to `vm` with what is thought of it, if that's for it to refute.
    pub(super) fn parcel(&self, kind: Option<wire::Kind>, vm: Option<&ids::Vm>) -> Parcel {
        let mut datagram = wire::Datagram {
            from: Some(wire::Saying::from(&self.own)),
            kind,
            ..wire::Datagram::default()
        };
        let record = vm.and_then(|vm| self.record(vm));
        let accused = record.filter(|record| record.health != record::Health::Alive);
        datagram.sayings.extend(accused.map(wire::Saying::from));
        Parcel {
            size: datagram.encoded_len(),
            datagram,
        }
    }

    /// `bare` with as much news as fits, in order, while it is `wanted`.
    fn fill(
        &self,
        bare: &Parcel,
        wanted: impl Fn(&queue::Subject) -> bool,
    ) -> (Parcel, Vec<queue::Subject>) {
        let mut parcel = bare.clone();
        let mut told = Vec::new();
        for subject in self.queue.next().take_while(|subject| wanted(subject)) {
            if !self.add(&mut parcel, subject) {
                break;
            }
            told.push(subject.clone());
        }
        (parcel, told)
    }

    /// Adds what is held of `subject`; false where it doesn't fit.
    pub(super) fn add(&self, parcel: &mut Parcel, subject: &queue::Subject) -> bool {
        match subject {
            // Its own record is in every datagram.
            queue::Subject::Vm(vm) if *vm == self.own.vm => true,
            queue::Subject::Vm(vm) => {
                let record = self.record(vm);
                record.is_none_or(|record| parcel.say(record))
            }
            queue::Subject::Rumour(topic, key) => {
                let held = self.rumours.get(&(*topic, sync::Arc::clone(key)));
                held.is_none_or(|rumour| parcel.tell(rumour))
            }
        }
    }

    /// A saying that others tell this VM is known to them: one telling less.
    /// When many VMs start at once, this ends the retelling early. Rumours are
    /// few and have to reach all at once, so they are told in full.
    pub(super) fn heard_again(&mut self, subject: &queue::Subject) {
        self.queue.told(subject, self.retransmissions(subject));
    }

    /// How often `subject` is told. With m tellings by each of n members, one in
    /// e to the m misses it: urgent rumours are told twice as often, since who
    /// misses one must wait for a comparison.
    fn retransmissions(&self, subject: &queue::Subject) -> u32 {
        let rounds = ((self.live + 2) as f64).log2().ceil() as u32;
        let tellings = self.settings.retransmit + rounds.max(1);
        if subject.is_urgent() {
            2 * tellings
        } else {
            tellings
        }
    }
}

/// A datagram that is being filled.
#[derive(Debug, Clone)]
pub(super) struct Parcel {
    pub(super) datagram: wire::Datagram,
    size: usize,
}

impl Parcel {
    /// What it costs of the budget, in bytes.
    pub(super) fn cost(&self) -> f64 {
        (self.size + wire::HEADERS) as f64
    }

    fn say(&mut self, record: &record::Record) -> bool {
        let saying = wire::Saying::from(record);
        let fits = self.grow(saying.encoded_len());
        if fits {
            self.datagram.sayings.push(saying);
        }
        fits
    }

    fn tell(&mut self, rumour: &member::Rumour) -> bool {
        let rumour = wire::Rumour::from(rumour);
        let fits = self.grow(rumour.encoded_len());
        if fits {
            self.datagram.rumours.push(rumour);
        }
        fits
    }

    fn grow(&mut self, len: usize) -> bool {
        let size = self.size + len + EMBEDDED;
        let fits = size <= wire::MAX;
        if fits {
            self.size = size;
        }
        fits
    }
}

/// The hash that picks a rumour's bucket.
pub(super) fn subject(rumour: &member::Rumour) -> u64 {
    digest::name(1 + rumour.topic as u64, &rumour.key)
}

fn fingerprint(rumour: &member::Rumour) -> u64 {
    let version = rumour.version.to_be_bytes();
    xxhash_rust::xxh3::xxh3_64_with_seed(&version, subject(rumour))
}
