//! Anti-entropy: compares digests with a random member to find what gossip missed.

use std::net;
use std::time;

use rand::Rng as _;
use rand::seq::SliceRandom as _;

use crate::ids;
use crate::member::digest;
use crate::member::queue;
use crate::member::state;
use crate::member::state::gossip;
use crate::member::wire;
use crate::time as clock;

/// Shortest interval between comparisons, used in small clusters.
const MIN_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Interval between comparisons per member, up to the setting.
const INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(50);

/// Time after the start during which the shortest interval applies.
const STARTUP_WINDOW: time::Duration = time::Duration::from_secs(60);

/// Differing buckets above which a VM is new or has missed many updates and
/// compares again after [`FAR_BEHIND_DELAY`].
const FAR_BEHIND_BUCKETS: usize = digest::BUCKETS / 8;

/// Delay of the next comparison after one that found many differences.
const FAR_BEHIND_DELAY: time::Duration = time::Duration::from_millis(300);

/// Delay of the next comparison after one that found any difference.
const DIFFERENCE_DELAY: time::Duration = time::Duration::from_secs(2);

impl state::State {
    /// Sends this VM's digest to a returned member, and to a random one when due.
    pub(super) fn sync(&mut self, now: clock::Moment) {
        if let Some(address) = self.returned.pop() {
            self.returned.truncate(64);
            self.send_digest(address, None, false, now);
        }
        if now < self.next_sync {
            return;
        }
        let members = u32::try_from(self.live).unwrap_or(u32::MAX);
        let starting = now.since(self.started) < STARTUP_WINDOW;
        let longest = if starting {
            MIN_INTERVAL
        } else {
            self.settings.sync_interval.max(MIN_INTERVAL)
        };
        let interval = INTERVAL_PER_MEMBER
            .saturating_mul(members)
            .clamp(MIN_INTERVAL, longest);
        self.next_sync = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        if let Some((vm, address)) = self.pick(1, |_| true).pop() {
            self.send_digest(address, Some(&vm), false, now);
        }
    }

    /// Sends this VM's digest if the budget allows it.
    fn send_digest(
        &mut self,
        to: net::SocketAddr,
        vm: Option<&ids::Vm>,
        answer: bool,
        now: clock::Moment,
    ) {
        let hashes = self.digest.encode();
        let digest = wire::Kind::Digest(wire::Digest { hashes, answer });
        let builder = self.builder(Some(digest), vm);
        if self.budget.take(builder.cost(), now) {
            self.send_built(to, builder);
        }
    }

    /// Handles a member's digest: sends what this VM holds in the buckets that
    /// differ and, unless the digest was itself an answer, this VM's digest, so
    /// that the member does the same.
    pub(super) fn receive_digest(
        &mut self,
        from: net::SocketAddr,
        sender: &ids::Vm,
        theirs: &wire::Digest,
        now: clock::Moment,
    ) {
        let mut differing = self.digest.differing(&theirs.hashes);
        if differing.is_empty() {
            return;
        }
        self.stats.differences += 1;
        if !theirs.answer {
            self.send_digest(from, Some(sender), true, now);
        } else {
            let far_behind = differing.len() > FAR_BEHIND_BUCKETS;
            let delay = if far_behind {
                FAR_BEHIND_DELAY
            } else {
                DIFFERENCE_DELAY
            };
            self.next_sync = self.next_sync.min(now + delay);
        }
        // In random order, so that if not everything fits, the next comparison
        // sends other buckets.
        differing.shuffle(&mut self.rng);
        self.send_buckets(from, sender, &differing, now);
    }

    /// Sends everything held in `buckets`, up to the datagram and budget limits.
    fn send_buckets(
        &mut self,
        to: net::SocketAddr,
        vm: &ids::Vm,
        buckets: &[usize],
        now: clock::Moment,
    ) {
        let mut subjects = self.subjects(buckets).into_iter().peekable();
        for _ in 0..self.settings.max_sync_datagrams {
            if subjects.peek().is_none() {
                return;
            }
            let mut builder = self.builder(None, Some(vm));
            while let Some(subject) = subjects.peek() {
                if !self.add(&mut builder, subject) {
                    break;
                }
                subjects.next();
            }
            if !self.budget.take(builder.cost(), now) {
                return;
            }
            self.send_built(to, builder);
        }
    }

    /// Returns the subjects held in `buckets`, in the order of `buckets`.
    fn subjects(&self, buckets: &[usize]) -> Vec<queue::Subject> {
        let mut rank = vec![usize::MAX; digest::BUCKETS];
        for (position, bucket) in buckets.iter().enumerate() {
            rank[*bucket] = position;
        }
        let held = self.members.iter().filter(|(_, entry)| entry.was_live);
        let vms = held.map(|(vm, entry)| {
            let rank = rank[digest::bucket(entry.name_hash)];
            (rank, queue::Subject::Vm(vm.clone()))
        });
        let updates = self.updates.iter().map(|((topic, key), update)| {
            let rank = rank[digest::bucket(gossip::name_hash(update))];
            (rank, queue::Subject::Update(*topic, key.clone()))
        });
        let all = vms.chain(updates);
        let mut ranked: Vec<_> = all.filter(|(rank, _)| *rank != usize::MAX).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, subject)| subject).collect()
    }
}
