//! Chooses the relays that make calls of a search for this VM.
//!
//! A call to another data centre transfers a whole part over the expensive
//! link. A relay in the upstreams' data centre can make all of a search's calls
//! there and return one frame with the greatest records. Small VMs also take
//! long to make the calls of a wide search: at 25 microseconds of a core per
//! call, 90 calls take 19 ms on an eighth of a core, longer than the upstreams
//! themselves.

use std::collections;
use std::net;
use std::time;

use crate::forward;
use crate::ids;
use crate::time as clock;

/// Processor time that a VM spends on one call and its reply.
const CALL_PROCESSOR_TIME: time::Duration = time::Duration::from_micros(28);
/// Time to make a search's own calls above which a VM delegates calls within
/// its data centre to a larger VM. A hop within a data centre and the frames
/// cost about 2 ms.
const MAX_OWN_CALLS_TIME: time::Duration = time::Duration::from_millis(6);
/// Minimum ratio of cores between a relay and a VM of the same data centre that
/// delegates calls to it.
const MIN_LARGER_RATIO: f64 = 2.0;
/// Share of the largest VM's cores from which a VM relays calls.
const MIN_RELAY_CORES_SHARE: f64 = 0.6;
/// Share of an upstream's connections for VMs of its own data centre.
const LOCAL_CONNECTION_SHARE: f64 = 0.6;
/// Share of an upstream's connections for VMs of other data centres.
const REMOTE_CONNECTION_SHARE: f64 = 0.25;
/// Share of an upstream's connections for small VMs. They delegate most calls
/// and need connections only for the few calls that are late.
const SMALL_VM_CONNECTION_SHARE: f64 = 0.15;
/// If less than one VM in this many is known, a VM can't tell which VMs relay
/// calls, and it takes no more connections and extra calls than any VM may.
const MAX_VMS_PER_KNOWN: usize = 10;
/// How long upstream addresses are sent to a relay that didn't know an
/// upstream. Partitions from the store last for seconds.
const SEND_ADDRESSES_WINDOW: time::Duration = time::Duration::from_secs(10);
/// How long a relay may leave a request unanswered before no more are sent to
/// it.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// A VM that may make calls for this one.
#[derive(Debug, Clone, PartialEq)]
pub struct Relay {
    /// The address at which the VM receives messages of other VMs.
    pub address: net::SocketAddr,
    /// The data centre that the VM runs in.
    pub data_centre: ids::DataCentre,
    /// Number of processor cores of the VM.
    pub cores: f64,
}

/// Another VM and the state of the connection to it.
#[derive(Debug, Clone)]
struct Peer {
    relay: Relay,
    /// Whether the VM may relay calls for this one.
    eligible: bool,
    connected: bool,
    waiting_since: Option<clock::Moment>,
    /// Set while a frame of the VM is overdue.
    silent: bool,
    /// Until when upstream addresses are sent along with calls.
    send_addresses_until: clock::Moment,
}

impl Peer {
    fn is_responsive(&self, now: clock::Moment) -> bool {
        let silent = self
            .waiting_since
            .is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT);
        self.connected && !silent
    }
}

/// The other VMs as potential relays.
#[derive(Debug)]
pub struct Relays {
    own_data_centre: ids::DataCentre,
    cores: f64,
    peers: Vec<Peer>,
    next: usize,
    lateness: forward::Lag,
    /// Whether the other VMs were ever set.
    was_set: bool,
}

impl Relays {
    /// Creates an empty set for a VM with `cores` cores in `own_data_centre`.
    pub fn new(own_data_centre: ids::DataCentre, cores: f64) -> Self {
        Self {
            own_data_centre,
            cores,
            peers: Vec::new(),
            next: 0,
            lateness: forward::Lag::p97(),
            was_set: false,
        }
    }

    /// Sets the VMs that may be alive. Keeps the connection state of those that
    /// were known before.
    pub fn set(&mut self, relays: Vec<Relay>) {
        self.was_set = true;
        let before = std::mem::take(&mut self.peers).into_iter();
        let before: collections::HashMap<net::SocketAddr, Peer> =
            before.map(|peer| (peer.relay.address, peer)).collect();
        let peer = |relay: Relay| {
            let same = before.get(&relay.address);
            Peer {
                eligible: false,
                connected: same.is_some_and(|peer| peer.connected),
                waiting_since: same.and_then(|peer| peer.waiting_since),
                silent: same.is_some_and(|peer| peer.silent),
                send_addresses_until: same
                    .map_or_else(Default::default, |peer| peer.send_addresses_until),
                relay,
            }
        };
        self.peers = relays.into_iter().map(peer).collect();
        let max_cores = self.max_cores();
        let eligible = |peer: &Peer| self.eligible(&peer.relay, &max_cores);
        let eligible: Vec<bool> = self.peers.iter().map(eligible).collect();
        for (peer, eligible) in self.peers.iter_mut().zip(eligible) {
            peer.eligible = eligible;
        }
    }

    /// Returns the addresses of the VMs that may relay calls for this one. The
    /// VM keeps a connection to each of them.
    pub fn relay_addresses(&self) -> Vec<net::SocketAddr> {
        let eligible = self.peers.iter().filter(|peer| peer.eligible);
        eligible.map(|peer| peer.relay.address).collect()
    }

    /// Returns the relay for calls to upstreams of `data_centre`, for a search
    /// of `all` calls. Returns `None` if this VM makes the calls itself.
    pub fn choose(
        &mut self,
        data_centre: &ids::DataCentre,
        all: usize,
        now: clock::Moment,
    ) -> Option<net::SocketAddr> {
        if *data_centre == self.own_data_centre && !self.exceeds_own_capacity(all) {
            return None;
        }
        self.pick(|peer| peer.relay.data_centre == *data_centre, now)
    }

    /// Returns the relay that is asked to pay for an extra call to an upstream of
    /// `data_centre`: one of that data centre, or else any. Returns `None` if none can be asked.
    pub fn choose_payer(
        &mut self,
        data_centre: &ids::DataCentre,
        now: clock::Moment,
    ) -> Option<net::SocketAddr> {
        self.pick(|peer| peer.relay.data_centre == *data_centre, now)
            .or_else(|| self.pick(|_| true, now))
    }

    /// Returns one relay after another of those that respond and that `fits` is true for.
    fn pick(
        &mut self,
        fits: impl Fn(&Peer) -> bool,
        now: clock::Moment,
    ) -> Option<net::SocketAddr> {
        self.next = self.next.wrapping_add(1);
        let peers = self.peers.iter().filter(|peer| fits(peer));
        let mut candidates: Vec<&Peer> = peers
            .filter(|peer| peer.eligible && peer.is_responsive(now))
            .collect();
        // A silent relay may just have sent a frame late, which is still better
        // than making many calls on a small VM.
        if candidates.iter().any(|peer| !peer.silent) {
            candidates.retain(|peer| !peer.silent);
        }
        let chosen = candidates.get(self.next % candidates.len().max(1))?;
        Some(chosen.relay.address)
    }

    /// Returns the VMs that may relay calls for this one and that it is connected to.
    pub fn connected(&self) -> Vec<net::SocketAddr> {
        let connected = self
            .peers
            .iter()
            .filter(|peer| peer.eligible && peer.connected);
        connected.map(|peer| peer.relay.address).collect()
    }

    /// Records that a connection to a VM was opened.
    pub fn set_connected(&mut self, address: net::SocketAddr) {
        if let Some(peer) = self.peer_mut(address) {
            peer.connected = true;
            peer.waiting_since = None;
            peer.silent = false;
        }
    }

    /// Records that the connection to a VM was lost.
    pub fn link_lost(&mut self, address: net::SocketAddr) {
        if let Some(peer) = self.peer_mut(address) {
            peer.connected = false;
            peer.waiting_since = None;
            peer.silent = false;
        }
    }

    /// Records that a VM was asked to make calls.
    pub fn asked(&mut self, address: net::SocketAddr, now: clock::Moment) {
        if let Some(peer) = self.peer_mut(address) {
            peer.waiting_since.get_or_insert(now);
        }
    }

    /// Records that a frame of a VM is overdue. Other relays are preferred
    /// until it answers, since each search that asks a frozen VM would wait for
    /// as long.
    pub fn mark_silent(&mut self, address: net::SocketAddr) {
        if let Some(peer) = self.peer_mut(address) {
            peer.silent = true;
        }
    }

    /// Records by how much a frame missed its due time.
    pub fn record_lateness(&mut self, late: time::Duration) {
        self.lateness.add(late);
    }

    /// Returns the lateness that nearly all frames of other VMs stay within:
    /// the round trip and the lag of both VMs.
    pub fn lateness(&self) -> time::Duration {
        self.lateness.get()
    }

    /// Records that a VM answered.
    pub fn answered(&mut self, address: net::SocketAddr) {
        if let Some(peer) = self.peer_mut(address) {
            peer.waiting_since = None;
            peer.silent = false;
        }
    }

    /// Returns the number of connections that this VM may have to one upstream
    /// of `data_centre`, if all of `vms` VMs together may have `limit`. VMs in
    /// the upstream's data centre make most of the calls to it, their own and
    /// those of VMs elsewhere. Among them, the larger VMs make the calls of the
    /// smaller ones. VMs that aren't known may be among these.
    pub fn max_connections(&self, data_centre: &ids::DataCentre, limit: u32, vms: usize) -> f64 {
        let limit = f64::from(limit);
        if self.knows_few(vms) || self.has_larger_local() {
            return SMALL_VM_CONNECTION_SHARE * limit / vms.max(1) as f64;
        }
        let smaller = |peer: &&Peer| peer.relay.cores * MIN_LARGER_RATIO <= self.cores;
        let local = |peer: &&Peer| peer.relay.data_centre == self.own_data_centre;
        let unknown = vms.saturating_sub(self.known_vms());
        let sharing = self.peers.iter().filter(|peer| !smaller(peer));
        if *data_centre == self.own_data_centre {
            return LOCAL_CONNECTION_SHARE * limit
                / (sharing.filter(local).count() + unknown + 1) as f64;
        }
        REMOTE_CONNECTION_SHARE * limit / (sharing.count() + unknown + 1) as f64
    }

    /// Returns whether hardly any of `vms` VMs are known.
    fn knows_few(&self, vms: usize) -> bool {
        self.known_vms() * MAX_VMS_PER_KNOWN < vms
    }

    /// Returns the number of VMs that are known, this one included.
    pub fn known_vms(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns this VM's shares of the fleet's allowance for extra calls. There
    /// are `vms` VMs, which may be more than are known. Any of the others may be
    /// large and hold a share of what large VMs lend.
    pub fn shares(&self, vms: usize) -> forward::Shares {
        if self.knows_few(vms) {
            return forward::Shares::of_start();
        }
        let mut max_cores = self.max_cores();
        let own = max_cores.entry(&self.own_data_centre).or_default();
        *own = own.max(self.cores);
        let all_cores = self.peers.iter().map(|peer| peer.relay.cores);
        let smallest = all_cores.fold(self.cores, f64::min);
        // Depends on cores only, so each VM classifies all VMs alike.
        let is_large = |data_centre: &ids::DataCentre, cores: f64| {
            cores >= MIN_RELAY_CORES_SHARE * max_cores[data_centre]
                && cores >= MIN_LARGER_RATIO * smallest
        };
        let others = self.peers.iter().map(|peer| &peer.relay);
        let large = others.filter(|relay| is_large(&relay.data_centre, relay.cores));
        let own_is_large = is_large(&self.own_data_centre, self.cores);
        let unknown = vms.saturating_sub(self.known_vms());
        let large = large.count() + usize::from(own_is_large) + unknown;
        let size_class = match (own_is_large, large) {
            (_, 0) => forward::SizeClass::Equal,
            (true, _) => forward::SizeClass::Large,
            (false, _) => forward::SizeClass::Small,
        };
        forward::Shares::new(size_class, vms.max(self.known_vms()), large)
    }

    /// Returns the cores of the largest other VM in each data centre.
    fn max_cores(&self) -> MaxCores<'_> {
        let mut max_cores = MaxCores::new();
        for Peer { relay, .. } in &self.peers {
            let max = max_cores.entry(&relay.data_centre).or_default();
            *max = max.max(relay.cores);
        }
        max_cores
    }

    /// Returns whether this VM makes the calls of its searches itself, judging
    /// by the VMs it knows. Returns `None` before the other VMs were set.
    pub fn makes_own_calls(&self) -> Option<bool> {
        self.was_set.then(|| !self.has_larger_local())
    }

    /// Returns whether a larger VM of this data centre relays calls when there
    /// are many.
    fn has_larger_local(&self) -> bool {
        let mut local = self.in_data_centre(&self.own_data_centre);
        local.any(|peer| peer.relay.cores >= MIN_LARGER_RATIO * self.cores)
    }

    /// Returns the other VMs in a data centre.
    fn in_data_centre<'s>(
        &'s self,
        data_centre: &'s ids::DataCentre,
    ) -> impl Iterator<Item = &'s Peer> {
        let is_there = move |peer: &&Peer| peer.relay.data_centre == *data_centre;
        self.peers.iter().filter(is_there)
    }

    fn peer_mut(&mut self, address: net::SocketAddr) -> Option<&mut Peer> {
        self.peers
            .iter_mut()
            .find(|peer| peer.relay.address == address)
    }

    /// Records that a VM didn't know an upstream that it was asked to call.
    pub fn lacked_upstream(&mut self, address: net::SocketAddr, now: clock::Moment) {
        if let Some(peer) = self.peer_mut(address) {
            peer.send_addresses_until = now + SEND_ADDRESSES_WINDOW;
        }
    }

    /// Returns whether upstream addresses must be sent to a VM because it
    /// recently didn't know an upstream.
    pub fn needs_addresses(&mut self, address: net::SocketAddr, now: clock::Moment) -> bool {
        self.peer_mut(address)
            .is_some_and(|peer| now < peer.send_addresses_until)
    }

    /// Returns whether this VM would take too long to make a search's calls.
    pub fn exceeds_own_capacity(&self, calls: usize) -> bool {
        CALL_PROCESSOR_TIME.mul_f64(calls as f64 / self.cores.max(0.01)) > MAX_OWN_CALLS_TIME
    }

    /// Returns whether a VM may relay calls for this one. `max_cores` are the
    /// cores of the largest other VMs.
    fn eligible(&self, relay: &Relay, max_cores: &MaxCores<'_>) -> bool {
        let is_large = relay.cores >= MIN_RELAY_CORES_SHARE * max_cores[&relay.data_centre];
        let is_local = relay.data_centre == self.own_data_centre;
        is_large && (!is_local || relay.cores >= MIN_LARGER_RATIO * self.cores)
    }
}

/// The cores of the largest VM in each data centre.
type MaxCores<'n> = collections::BTreeMap<&'n ids::DataCentre, f64>;
