//! Comparing everything held with one member, for what gossip has missed.

use std::net;
use std::time as spans;

use rand::Rng as _;
use rand::seq::SliceRandom as _;

use crate::ids;
use crate::member::digest;
use crate::member::queue;
use crate::member::state;
use crate::member::state::gossip;
use crate::member::wire;
use crate::time;

/// Shortest time between comparisons in a small site.
const SHORTEST: spans::Duration = spans::Duration::from_secs(2);

/// Time between comparisons for each member, up to the setting.
const EACH: spans::Duration = spans::Duration::from_millis(50);

/// A VM that started less than this ago compares as often as in a small site.
const YOUNG: spans::Duration = spans::Duration::from_secs(60);

/// A VM that differs in more buckets than this has missed much, or is new: it
/// compares again soon instead of waiting for its next turn.
const FAR_BEHIND: usize = digest::BUCKETS / 8;

/// How soon.
const SOON: spans::Duration = spans::Duration::from_millis(300);

/// How soon after a comparison that found any difference.
const NEXT: spans::Duration = spans::Duration::from_secs(2);

impl state::State {
    pub(super) fn compare(&mut self, now: time::Moment) {
        if let Some(address) = self.returned.pop() {
            self.returned.truncate(64);
            self.send_digest(address, None, false, now);
        }
        if now < self.next_sync {
            return;
        }
        let members = u32::try_from(self.live).unwrap_or(u32::MAX);
        let young = now.since(self.started) < YOUNG;
        let longest = if young {
            SHORTEST
        } else {
            self.settings.sync.max(SHORTEST)
        };
        let interval = EACH.saturating_mul(members).clamp(SHORTEST, longest);
        self.next_sync = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        if let Some((vm, address)) = self.pick(1, |_| true).pop() {
            self.send_digest(address, Some(&vm), false, now);
        }
    }

    fn send_digest(
        &mut self,
        to: net::SocketAddr,
        vm: Option<&ids::Vm>,
        answer: bool,
        now: time::Moment,
    ) {
        let hashes = self.digest.encode();
        let digest = wire::Kind::Digest(wire::Digest { hashes, answer });
        let parcel = self.parcel(Some(digest), vm);
        if self.budget.take(parcel.cost(), now) {
            self.post(to, parcel);
        }
    }

    /// A member's digest came: it gets what this VM holds in the buckets that
    /// differ, and once this VM's digest, so that it does the same.
    pub(super) fn compared(
        &mut self,
        from: net::SocketAddr,
        sender: &ids::Vm,
        theirs: &wire::Digest,
        now: time::Moment,
    ) {
        let mut differing = self.digest.differing(&theirs.hashes);
        if differing.is_empty() {
            return;
        }
        self.figures.differences += 1;
        if !theirs.answer {
            self.send_digest(from, Some(sender), true, now);
        } else {
            let far = differing.len() > FAR_BEHIND;
            let wait = if far { SOON } else { NEXT };
            self.next_sync = self.next_sync.min(now + wait);
        }
        // In random order: where not all fits, the next comparison brings others.
        differing.shuffle(&mut self.rng);
        self.send_buckets(from, sender, &differing, now);
    }

    fn send_buckets(
        &mut self,
        to: net::SocketAddr,
        vm: &ids::Vm,
        buckets: &[usize],
        now: time::Moment,
    ) {
        let mut subjects = self.subjects(buckets).into_iter().peekable();
        for _ in 0..self.settings.sync_datagrams {
            if subjects.peek().is_none() {
                return;
            }
            let mut parcel = self.parcel(None, Some(vm));
            while let Some(subject) = subjects.peek() {
                if !self.add(&mut parcel, subject) {
                    break;
                }
                subjects.next();
            }
            if !self.budget.take(parcel.cost(), now) {
                return;
            }
            self.post(to, parcel);
        }
    }

    /// Everything held in `buckets`, in their order.
    fn subjects(&self, buckets: &[usize]) -> Vec<queue::Subject> {
        let mut rank = vec![usize::MAX; digest::BUCKETS];
        for (place, bucket) in buckets.iter().enumerate() {
            rank[*bucket] = place;
        }
        let vms = self.members.iter().map(|(vm, entry)| {
            let rank = rank[digest::bucket(entry.name)];
            (rank, queue::Subject::Vm(vm.clone()))
        });
        let rumours = self.rumours.iter().map(|((topic, key), rumour)| {
            let rank = rank[digest::bucket(gossip::subject(rumour))];
            (rank, queue::Subject::Rumour(*topic, key.clone()))
        });
        let all = vms.chain(rumours);
        let mut ranked: Vec<_> = all.filter(|(rank, _)| *rank != usize::MAX).collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, subject)| subject).collect()
    }
}
