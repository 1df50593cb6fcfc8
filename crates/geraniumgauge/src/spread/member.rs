//! The VMs that may be alive, and the selection of the pollers among them.
//!
//! The set only grows, except for VMs that haven't refreshed their record for a
//! long time. Whichever part of the fleet is cut off, paused or restarted, each VM
//! continues to count the others. Budgets and connection limits are divided by the
//! count, so it may be too large but must never be too small.

use std::collections;
use std::net;
use std::time;

use crate::ids;
use crate::rendezvous;
use crate::time as clock;

/// Number of VMs that poll the store for the fleet.
pub(crate) const POLLERS: usize = 2;
/// Shortest interval at which a VM refreshes its record.
const MIN_REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Increase of the refresh interval per VM of the fleet, so that the fleet's
/// refreshes per second don't grow with its size.
const REFRESH_INTERVAL_PER_VM: time::Duration = time::Duration::from_millis(200);
/// Refresh intervals without a refresh after which a VM's record expires.
const EXPIRY_INTERVALS: u32 = 3;
/// Lower bound for a VM's cores, and the value for a VM that isn't known.
const MIN_CORES: f64 = 0.001;
/// Rendezvous key by which VMs are ranked for the poller role.
const RANKING_KEY: &str = "lookout";

/// A VM's record, as the VM sends it.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: ids::Vm,
    /// Identifies a start of the VM. A later start replaces the record of an
    /// earlier one.
    pub incarnation: ids::Incarnation,
    /// Number of times that the VM has refreshed its record. The directory doesn't
    /// contain it.
    #[serde(skip)]
    pub beat: u32,
    /// Address at which the VM receives messages from other VMs.
    pub address: net::SocketAddr,
    /// The VM's data centre.
    pub data_centre: ids::DataCentre,
    /// Processor cores of the VM.
    #[serde(rename = "power")]
    pub cores: f64,
}

impl Known {
    fn age(&self, now: clock::Moment) -> time::Duration {
        self.age + now.since(self.received)
    }
}

impl Member {
    fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }

    /// Returns a hash that identifies a start of the VM. Refreshes don't change it,
    /// as they only matter for the age of a record.
    fn fingerprint(&self) -> u64 {
        let vm = self.vm.as_str().as_bytes();
        xxhash_rust::xxh3::xxh3_64_with_seed(vm, self.incarnation.0)
    }
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When this VM received the last refresh.
    received: clock::Moment,
    /// Age of that refresh when it was received.
    age: time::Duration,
    /// When this VM learned of the last start.
    learned: clock::Moment,
    /// When the VM last polled the store, as far as is known.
    polled: Option<clock::Moment>,
}

/// The known VMs, this one included.
#[derive(Debug)]
pub struct Members {
    own: ids::Vm,
    known: collections::BTreeMap<ids::Vm, Known>,
    digest: u64,
    /// All VMs by their rank for the poller role, the first one at the front.
    order: Vec<ids::Vm>,
}

impl Members {
    /// Creates a set that contains only `own`.
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
        let moves = before.as_ref().map(|before| before.member.cores) != Some(member.cores);
        let same_start = before.filter(|before| before.member.incarnation == member.incarnation);
        let known = Known {
            received: now,
            age,
            learned: same_start.as_ref().map_or(now, |before| before.learned),
            polled: same_start.and_then(|before| before.polled),
            member,
        };
        self.known.insert(vm.clone(), known);
        if moves {
            self.rank(vm);
        }
    }

    /// Inserts a VM into the ranking for the poller role. VMs with more cores come
    /// first, since their links can send what they read to many others at a time.
    fn rank(&mut self, vm: ids::Vm) {
        self.order.retain(|other| *other != vm);
        let cores = |vm: &ids::Vm| self.known[vm].member.cores.max(0.0).to_bits();
        let weight = |vm: &ids::Vm| (cores(vm), rendezvous::weight(RANKING_KEY, vm), vm.clone());
        let own = weight(&vm);
        let place = self.order.partition_point(|other| weight(other) > own);
        self.order.insert(place, vm);
    }

    /// Merges a record that was refreshed `age` ago. Returns whether it showed an
    /// unknown VM or an unknown start. If the clock went back between two starts of
    /// this VM, others may hold a record of it that is newer than its own; it then
    /// takes a higher incarnation than that.
    pub fn merge(&mut self, member: Member, age: time::Duration, now: clock::Moment) -> bool {
        if age >= self.expire_after() || self.has(&member) {
            return false;
        }
        let known = self.known.get(&member.vm);
        let is_new = known.is_none_or(|known| known.member.incarnation != member.incarnation);
        if member.vm == self.own {
            let mut own = self.own().clone();
            own.incarnation = ids::Incarnation(member.incarnation.0 + 1);
            self.insert(own, time::Duration::ZERO, now);
            return true;
        }
        self.insert(member, age, now);
        is_new
    }

    /// Refreshes this VM's own record if that is due, and returns whether it was.
    pub fn refresh(&mut self, now: clock::Moment) -> bool {
        let due = self.known[&self.own].age(now) >= self.refresh_after();
        if due {
            let mut own = self.own().clone();
            own.beat += 1;
            self.insert(own, time::Duration::ZERO, now);
        }
        due
    }

    /// Removes VMs that haven't refreshed their record, and returns whether there
    /// were any.
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
            log::info!(vm = member.vm.as_str(), address:% = member.address; "record of a VM expired");
            self.known.remove(&member.vm);
            self.digest ^= member.fingerprint();
        }
        self.order.retain(|vm| self.known.contains_key(vm));
        true
    }

    fn refresh_after(&self) -> time::Duration {
        let each = REFRESH_INTERVAL_PER_VM * u32::try_from(self.count()).unwrap_or(u32::MAX);
        MIN_REFRESH_INTERVAL.max(each)
    }

    fn expire_after(&self) -> time::Duration {
        self.refresh_after() * EXPIRY_INTERVALS
    }

    /// Returns this VM's record.
    pub fn own(&self) -> &Member {
        &self.known[&self.own].member
    }

    /// Returns the address at which a VM receives messages.
    pub fn address(&self, vm: &ids::Vm) -> Option<net::SocketAddr> {
        self.known.get(vm).map(|known| known.member.address)
    }

    /// Returns the cores of the VM at `address`, or a small value if it isn't
    /// known.
    pub fn cores(&self, address: &net::SocketAddr) -> f64 {
        let member = self.at(address);
        member.map_or(MIN_CORES, |member| member.cores.max(MIN_CORES))
    }

    /// Returns the data centre of the VM at `address`.
    pub fn data_centre(&self, address: &net::SocketAddr) -> Option<&ids::DataCentre> {
        self.at(address).map(|member| &member.data_centre)
    }

    fn at(&self, address: &net::SocketAddr) -> Option<&Member> {
        let mut known = self.known.values().map(|known| &known.member);
        known.find(|member| member.address == *address)
    }

    /// Returns the number of known VMs, this one included.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns a hash of the VMs and their starts that doesn't depend on their
    /// order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the other VMs.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        let members = self.known.values().map(|known| &known.member);
        members.filter(|member| member.vm != self.own)
    }

    /// Returns every record, and how long ago it was refreshed.
    pub fn records(&self, now: clock::Moment) -> impl Iterator<Item = (&Member, time::Duration)> {
        let known = self.known.values();
        known.map(move |known| (&known.member, known.age(now)))
    }

    /// Returns whether this record or a newer one of its VM is known.
    pub fn has(&self, member: &Member) -> bool {
        let known = self.known.get(&member.vm);
        known.is_some_and(|known| !member.is_newer_than(&known.member))
    }

    /// Returns the VMs that rank first for the poller role, without this one.
    pub fn pollers(&self) -> impl Iterator<Item = &Member> {
        let first = self.order.iter().filter(|vm| **vm != self.own);
        first.take(POLLERS).map(|vm| &self.known[vm].member)
    }

    /// Returns this VM's place among all VMs by their rank for the poller role; the first one
    /// has place 0.
    pub fn place(&self) -> usize {
        let before = self.order.iter().take_while(|vm| **vm != self.own);
        before.count()
    }

    /// Records that a VM has polled the store.
    pub fn polled(&mut self, vm: &ids::Vm, now: clock::Moment) {
        if let Some(known) = self.known.get_mut(vm) {
            known.polled = Some(now);
        }
    }

    /// Returns this VM's rank among the pollers; `None` if it isn't one. A poller
    /// that hasn't polled for `silence` since it was expected to is replaced by the
    /// next VM, which is expected to poll from then on. So the remaining VMs don't
    /// all take over at once.
    pub fn poller_rank(&self, silence: time::Duration, now: clock::Moment) -> Option<usize> {
        // Since when a VM is expected to poll, for each rank that isn't filled yet.
        let mut expectations = vec![clock::Moment::default(); POLLERS];
        for vm in &self.order {
            expectations.sort_unstable();
            let left = expectations.len();
            let expected = expectations.first_mut()?;
            if *vm == self.own {
                return Some(POLLERS - left);
            }
            let known = &self.known[vm];
            let received = known.polled.unwrap_or_default().max(known.learned);
            let replaced = received.max(*expected) + silence;
            if now < replaced {
                expectations.remove(0);
            } else {
                *expected = replaced;
            }
        }
        None
    }
}
