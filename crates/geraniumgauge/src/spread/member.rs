//! The VMs that may be alive, and which of them read the store for all.
//!
//! The set only grows, but for VMs that haven't refreshed their record for a
//! long time: whatever part of the fleet is cut off, paused or started again,
//! each VM goes on counting the others. That suits what the count is for:
//! budgets and connection limits are divided by it, so that it may be too large
//! and never too small.

use std::collections;
use std::net;
use std::time;

use crate::ids;
use crate::rendezvous;
use crate::time as clock;

/// VMs that read the store for all.
const HOLDERS: usize = 2;
/// Least time after which a VM refreshes its record.
const REFRESH: time::Duration = time::Duration::from_secs(60);
/// By how much refreshes are further apart for each VM, so that the fleet's
/// refreshes a second don't grow with it.
const REFRESH_EACH: time::Duration = time::Duration::from_millis(200);
/// Refreshes after which a VM that sent none no longer counts.
const EXPIRE: u32 = 3;
/// Power of a VM that nobody has told of.
const LEAST_POWER: f64 = 0.001;
/// The duty by which VMs are ranked.
const DUTY: &str = "lookout";

/// A VM as it tells of itself.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: ids::Vm,
    /// Which start of it; a later one replaces the record of an earlier one.
    pub incarnation: ids::Incarnation,
    /// How often it has refreshed its record. The directory doesn't tell.
    #[serde(skip)]
    pub beat: u32,
    /// Where it takes messages of other VMs.
    pub address: net::SocketAddr,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Cores that it has.
    pub power: f64,
}

impl Known {
    fn age(&self, now: clock::Moment) -> time::Duration {
        self.age + now.since(self.heard)
    }
}

impl Member {
    fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }

    /// A hash of what tells starts of VMs apart. Refreshes don't change it: they
    /// are no news to anybody but those that count how old a record is.
    fn fingerprint(&self) -> u64 {
        let vm = self.vm.as_str().as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(vm, self.incarnation.0)
    }
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When this VM learned of its last refresh.
    heard: clock::Moment,
    /// How long ago that refresh was then.
    age: time::Duration,
    /// When this VM learned of its last start.
    learned: clock::Moment,
    /// When it was last known to have read the store.
    looked: Option<clock::Moment>,
}

/// The VMs known, this one among them.
#[derive(Debug)]
pub struct Members {
    own: ids::Vm,
    known: collections::BTreeMap<ids::Vm, Known>,
    digest: u64,
    /// All VMs, the one that reads the store first at the front.
    order: Vec<ids::Vm>,
}

impl Members {
    /// Knows of no VM but `own`.
    pub fn new(own: Member, now: clock::Moment) -> Self {
        let mut members = Self {
            own: own.vm.clone(),
            known: collections::BTreeMap::new(),
            digest: 0,
            order: Vec::new(),
        };
        members.insert(own, time::Duration::ZERO, now);
        members
    }

    fn insert(&mut self, member: Member, age: time::Duration, now: clock::Moment) {
        let vm = member.vm.clone();
        self.digest ^= member.fingerprint();
        let before = self.known.remove(&vm);
        if let Some(before) = &before {
            self.digest ^= before.member.fingerprint();
        }
        let moves = before.as_ref().map(|before| before.member.power) != Some(member.power);
        let same_start = before.filter(|before| before.member.incarnation == member.incarnation);
        let known = Known {
            heard: now,
            age,
            learned: same_start.as_ref().map_or(now, |before| before.learned),
            looked: same_start.and_then(|before| before.looked),
            member,
        };
        self.known.insert(vm.clone(), known);
        if moves {
            self.rank(vm);
        }
    }

    /// Ranks a VM for duty: powerful ones first, whose links carry what they read
    /// to many others at a time.
    fn rank(&mut self, vm: ids::Vm) {
        self.order.retain(|other| *other != vm);
        let power = |vm: &ids::Vm| self.known[vm].member.power.max(0.0).to_bits();
        let weight = |vm: &ids::Vm| (power(vm), rendezvous::weight(DUTY, vm), vm.clone());
        let own = weight(&vm);
        let place = self.order.partition_point(|other| weight(other) > own);
        self.order.insert(place, vm);
    }

    /// Takes a record that was refreshed `age` ago; whether it tells of a VM or
    /// a start that wasn't known. A record of this VM itself that looks later
    /// than its own is outbid: the clock went back between two starts.
    pub fn merge(&mut self, member: Member, age: time::Duration, now: clock::Moment) -> bool {
        if age >= self.expire_after() || self.has(&member) {
            return false;
        }
        let known = self.known.get(&member.vm);
        let news = known.is_none_or(|known| known.member.incarnation != member.incarnation);
        if member.vm == self.own {
            let mut own = self.own().clone();
            own.incarnation = ids::Incarnation(member.incarnation.0 + 1);
            self.insert(own, time::Duration::ZERO, now);
            return true;
        }
        self.insert(member, age, now);
        news
    }

    /// Refreshes this VM's own record, where it is time; whether it was.
    pub fn refresh(&mut self, now: clock::Moment) -> bool {
        let due = self.known[&self.own].age(now) >= self.refresh_after();
        if due {
            let mut own = self.own().clone();
            own.beat += 1;
            self.insert(own, time::Duration::ZERO, now);
        }
        due
    }

    /// Lets go of VMs that haven't refreshed their record; whether there were any.
    pub fn expire(&mut self, now: clock::Moment) -> bool {
        let after = self.expire_after();
        let old = self
            .known
            .values()
            .filter(|known| known.member.vm != self.own && known.age(now) >= after);
        let old: Vec<Member> = old.map(|known| known.member.clone()).collect();
        if old.is_empty() {
            return false;
        }
        for member in &old {
            log::info!(vm = member.vm.as_str(), address:% = member.address; "VM not heard of for long no longer counts");
            self.known.remove(&member.vm);
            self.digest ^= member.fingerprint();
        }
        self.order.retain(|vm| self.known.contains_key(vm));
        true
    }

    fn refresh_after(&self) -> time::Duration {
        let each = REFRESH_EACH * u32::try_from(self.count()).unwrap_or(u32::MAX);
        REFRESH.max(each)
    }

    fn expire_after(&self) -> time::Duration {
        self.refresh_after() * EXPIRE
    }

    /// This VM.
    pub fn own(&self) -> &Member {
        &self.known[&self.own].member
    }

    /// Where a VM takes messages.
    pub fn address(&self, vm: &ids::Vm) -> Option<net::SocketAddr> {
        self.known.get(vm).map(|known| known.member.address)
    }

    /// The power of the VM at `address`; little where it isn't known.
    pub fn power(&self, address: &net::SocketAddr) -> f64 {
        let member = self.at(address);
        member.map_or(LEAST_POWER, |member| member.power.max(LEAST_POWER))
    }

    /// Where the VM at `address` is.
    pub fn data_centre(&self, address: &net::SocketAddr) -> Option<&ids::DataCentre> {
        self.at(address).map(|member| &member.data_centre)
    }

    fn at(&self, address: &net::SocketAddr) -> Option<&Member> {
        let mut known = self.known.values().map(|known| &known.member);
        known.find(|member| member.address == *address)
    }

    /// How many VMs are known, this one included.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// A hash of the VMs and their starts, the same in any order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The other VMs.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        let members = self.known.values().map(|known| &known.member);
        members.filter(|member| member.vm != self.own)
    }

    /// Every record, and how long ago it was refreshed.
    pub fn records(&self, now: clock::Moment) -> impl Iterator<Item = (&Member, time::Duration)> {
        let known = self.known.values();
        known.map(move |known| (&known.member, known.age(now)))
    }

    /// Whether a record is held, or a later one of its VM.
    pub fn has(&self, member: &Member) -> bool {
        let known = self.known.get(&member.vm);
        known.is_some_and(|known| !member.is_newer_than(&known.member))
    }

    /// The VMs that are first to read the store, without this one.
    pub fn first(&self) -> impl Iterator<Item = &Member> {
        let first = self.order.iter().filter(|vm| **vm != self.own);
        first.take(HOLDERS).map(|vm| &self.known[vm].member)
    }

    /// A VM has read the store.
    pub fn looked(&mut self, vm: &ids::Vm, now: clock::Moment) {
        if let Some(known) = self.known.get_mut(vm) {
            known.looked = Some(now);
        }
    }

    /// This VM's place among those that read the store for all; `None` where
    /// others do. A VM that hasn't read it for `silence`, since it was expected
    /// to, is replaced by the next one, which is expected to from then on: so
    /// they don't all take its place at once.
    pub fn duty(&self, silence: time::Duration, now: clock::Moment) -> Option<usize> {
        // Since when somebody is expected to take each place that is left.
        let mut places = vec![clock::Moment::default(); HOLDERS];
        for vm in &self.order {
            places.sort_unstable();
            let left = places.len();
            let expected = places.first_mut()?;
            if *vm == self.own {
                return Some(HOLDERS - left);
            }
            let known = &self.known[vm];
            let heard = known.looked.unwrap_or_default().max(known.learned);
            let replaced = heard.max(*expected) + silence;
            if now < replaced {
                places.remove(0);
            } else {
                *expected = replaced;
            }
        }
        None
    }
}
