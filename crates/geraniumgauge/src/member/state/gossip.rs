//! Sends updates and records to other members within the bandwidth budget.

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
use crate::time as clock;

/// Bytes that embedding a message adds to its own size: tag and length.
const EMBEDDED_OVERHEAD_BYTES: usize = 3;

/// Largest encoded update. A larger one would leave no room for others in a datagram.
const MAX_UPDATE_BYTES: usize = 1024;

impl state::State {
    /// Stores an update from this VM's own subsystems or from another member.
    pub(super) fn receive_update(&mut self, update: member::Update) {
        if wire::Update::from(&update).encoded_len() > MAX_UPDATE_BYTES {
            log::error!(
                "membership: dropped an update for key {} with a body of {} bytes: \
                 the encoded limit is {MAX_UPDATE_BYTES} bytes",
                update.key,
                update.body.len()
            );
            return;
        }
        let key: sync::Arc<str> = update.key.as_str().into();
        let held = self.updates.get(&(update.topic, sync::Arc::clone(&key)));
        if held.is_some_and(|held| held.version >= update.version) {
            return;
        }
        let (name_hash, new) = (name_hash(&update), fingerprint(&update));
        if let Some(held) = held {
            self.digest.toggle(name_hash, fingerprint(held));
        } else {
            self.evict_if_full(update.topic);
        }
        self.digest.toggle(name_hash, new);
        let topic = update.topic;
        self.urgent |= topic != member::Topic::Applied;
        self.queue
            .add(queue::Subject::Update(topic, sync::Arc::clone(&key)));
        self.updates.insert((topic, key), update.clone());
        self.actions.push(state::Action::Received(update));
    }

    /// Removes the first key of a topic that holds the maximum number of updates.
    fn evict_if_full(&mut self, topic: member::Topic) {
        if self.updates.len() < self.settings.max_updates_per_topic {
            return;
        }
        let first = (topic, sync::Arc::from(""));
        let of_topic = self.updates.range(first..);
        let of_topic = of_topic.take_while(|((held, _), _)| *held == topic);
        let keys: Vec<_> = of_topic
            .map(|((_, key), _)| sync::Arc::clone(key))
            .collect();
        if keys.len() >= self.settings.max_updates_per_topic {
            self.remove_update(topic, &keys[0]);
        }
    }

    pub(super) fn remove_update(&mut self, topic: member::Topic, key: &str) {
        let key: sync::Arc<str> = key.into();
        if let Some(held) = self.updates.remove(&(topic, sync::Arc::clone(&key))) {
            self.digest.toggle(name_hash(&held), fingerprint(&held));
            self.queue.remove(&queue::Subject::Update(topic, key));
        }
    }

    /// Sends queued updates to `fanout` members; does nothing if none are queued.
    pub(super) fn gossip(&mut self, now: clock::Moment) {
        for _ in 0..self.settings.fanout {
            if self.queue.len() == 0 {
                return;
            }
            let Some((vm, address)) = self.next_gossip_target() else {
                return;
            };
            self.send(address, Some(&vm), None, now);
        }
    }

    /// Returns the next member to gossip to. All members are visited in a random
    /// order before a new order is drawn. With independent random picks, a dozen
    /// members sending six times each left one member out at 1 in 120 seeds; it
    /// found an urgent update only by comparing digests, up to ten seconds later.
    fn next_gossip_target(&mut self) -> Option<(ids::Vm, net::SocketAddr)> {
        if self.gossip_order.is_empty() {
            let live = self.members.values().map(|entry| &entry.record);
            let live = live.filter(|record| record.is_live());
            self.gossip_order = live.map(|record| record.vm.clone()).collect();
            self.gossip_order.shuffle(&mut self.rng);
        }
        while let Some(vm) = self.gossip_order.pop() {
            let record = self.record(&vm).filter(|record| record.is_live());
            if let Some(address) = record.map(|record| record.address) {
                return Some((vm, address));
            }
        }
        None
    }

    /// Sends a datagram with as many queued updates as fit. If the budget is used
    /// up, probes and answers are sent without updates: they are few and must not
    /// wait for gossip.
    pub(super) fn send(
        &mut self,
        to: net::SocketAddr,
        vm: Option<&ids::Vm>,
        kind: Option<wire::Kind>,
        now: clock::Moment,
    ) {
        let bare = self.builder(kind, vm);
        let all = self.fill(&bare, |_| true);
        if self.budget.take(all.0.cost(), now) {
            return self.send_counted(to, all);
        }
        let urgent = self.fill(&bare, queue::Subject::is_urgent);
        if !urgent.1.is_empty() && self.reserve.take(urgent.0.cost(), now) {
            self.send_counted(to, urgent);
        } else if bare.datagram.kind.is_some() {
            self.send_built(to, bare);
        }
    }

    /// Sends a datagram and counts one transmission of each included update.
    fn send_counted(
        &mut self,
        to: net::SocketAddr,
        (builder, included): (Builder, Vec<queue::Subject>),
    ) {
        for subject in included {
            self.queue
                .count_sent(&subject, self.retransmission_limit(&subject));
        }
        self.send_built(to, builder);
    }

    /// Sends a datagram without charging the budget.
    pub(super) fn send_built(&mut self, to: net::SocketAddr, builder: Builder) {
        self.stats.datagrams += 1;
        self.stats.bytes += (builder.size + wire::HEADER_BYTES) as u64;
        let datagram = builder.datagram;
        self.actions.push(state::Action::Send { to, datagram });
    }

    /// Starts a datagram to `vm`. If `vm` is held suspect or dead, the datagram
    /// carries that record for `vm` to refute.
    pub(super) fn builder(&self, kind: Option<wire::Kind>, vm: Option<&ids::Vm>) -> Builder {
        let mut datagram = wire::Datagram {
            from: Some(wire::Record::from(&self.own)),
            kind,
            ..wire::Datagram::default()
        };
        let record = vm.and_then(|vm| self.record(vm));
        let disputed = record.filter(|record| record.health != record::Health::Alive);
        datagram.records.extend(disputed.map(wire::Record::from));
        Builder {
            size: datagram.encoded_len(),
            datagram,
        }
    }

    /// Returns `bare` with the queued updates that fit, in queue order, up to the
    /// first that `included_if` rejects.
    fn fill(
        &self,
        bare: &Builder,
        included_if: impl Fn(&queue::Subject) -> bool,
    ) -> (Builder, Vec<queue::Subject>) {
        let mut builder = bare.clone();
        let mut included = Vec::new();
        for subject in self.queue.iter().take_while(|subject| included_if(subject)) {
            if !self.add(&mut builder, subject) {
                break;
            }
            included.push(subject.clone());
        }
        (builder, included)
    }

    /// Adds the record or update of `subject`; returns false if it doesn't fit.
    pub(super) fn add(&self, builder: &mut Builder, subject: &queue::Subject) -> bool {
        match subject {
            // This VM's own record is in every datagram.
            queue::Subject::Vm(vm) if *vm == self.own.vm => true,
            queue::Subject::Vm(vm) => {
                let record = self.record(vm);
                record.is_none_or(|record| builder.add_record(record))
            }
            queue::Subject::Update(topic, key) => {
                let held = self.updates.get(&(*topic, sync::Arc::clone(key)));
                held.is_none_or(|update| builder.add_update(update))
            }
        }
    }

    /// Counts a record received again as one of this VM's own transmissions,
    /// since the sender knows it already. This ends retransmission early when many
    /// VMs start at once. It isn't done for updates, which are few and have to
    /// reach all members quickly.
    pub(super) fn count_retransmission(&mut self, subject: &queue::Subject) {
        self.queue
            .count_sent(subject, self.retransmission_limit(subject));
    }

    /// Returns how often `subject` is sent. With m transmissions by each of n
    /// members, one member in e to the m misses it. Urgent updates are sent twice
    /// as often, since a member that misses one has to wait for a digest comparison.
    fn retransmission_limit(&self, subject: &queue::Subject) -> u32 {
        let rounds = ((self.live + 2) as f64).log2().ceil() as u32;
        let transmissions = self.settings.extra_retransmissions + rounds.max(1);
        if subject.is_urgent() {
            2 * transmissions
        } else {
            transmissions
        }
    }
}

/// A datagram under construction and its encoded size.
#[derive(Debug, Clone)]
pub(super) struct Builder {
    pub(super) datagram: wire::Datagram,
    size: usize,
}

impl Builder {
    /// Bytes to charge to the budget: the encoded size and the packet headers.
    pub(super) fn cost(&self) -> f64 {
        (self.size + wire::HEADER_BYTES) as f64
    }

    fn add_record(&mut self, record: &record::Record) -> bool {
        let record = wire::Record::from(record);
        let fits = self.reserve(record.encoded_len());
        if fits {
            self.datagram.records.push(record);
        }
        fits
    }

    fn add_update(&mut self, update: &member::Update) -> bool {
        let update = wire::Update::from(update);
        let fits = self.reserve(update.encoded_len());
        if fits {
            self.datagram.updates.push(update);
        }
        fits
    }

    /// Adds an embedded message of `len` bytes to the size; returns false if it
    /// doesn't fit.
    fn reserve(&mut self, len: usize) -> bool {
        let size = self.size + len + EMBEDDED_OVERHEAD_BYTES;
        let fits = size <= wire::MAX_DATAGRAM_BYTES;
        if fits {
            self.size = size;
        }
        fits
    }
}

/// Returns the hash that places an update in a digest bucket.
pub(super) fn name_hash(update: &member::Update) -> u64 {
    digest::name_hash(1 + update.topic as u64, &update.key)
}

fn fingerprint(update: &member::Update) -> u64 {
    let version = update.version.to_be_bytes();
    xxhash_rust::xxh3::xxh3_64_with_seed(&version, name_hash(update))
}
