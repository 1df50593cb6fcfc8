//! The handle through which tasks access the edge's state.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use tokio::sync;
use tokio::sync::watch;

use crate::edge;
use crate::edge::frame;
use crate::edge::link;
use crate::edge::overload;
use crate::edge::peers;
use crate::edge::places;
use crate::edge::pool;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::memory;
use crate::registry;
use crate::route;
use crate::spread;
use crate::spread::wire;
use crate::time as clock;

/// A phase of a VM's life, from start to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not ready: the configuration and the upstreams aren't known yet.
    Starting,
    /// Ready for requests.
    Serving,
    /// No longer ready, but still serving every request, since the load balancer
    /// takes a while to notice.
    Leaving,
    /// Finishing the requests in progress; new ones aren't read.
    Closing,
}

/// Serves one VM's callers, upstream connections and requests from other VMs, and
/// carries out the actions of [`forward`](crate::forward). Clones share its state and
/// are cheap; all of them must be used from one local set.
#[derive(Clone, derive_more::Debug)]
pub struct Engine {
    state: rc::Rc<cell::RefCell<state::State>>,
    phase: rc::Rc<watch::Sender<Phase>>,
    clock: clock::Clock,
    names: h1::Names,
    instruments: edge::Instruments,
    places: places::Places,
    peer_places: places::Places,
    capacity: edge::Capacity,
    /// Relays to which a task keeps a connection open.
    peers: rc::Rc<cell::RefCell<collections::HashSet<net::SocketAddr>>>,
    crash_suspects: TakeOnce<sync::mpsc::UnboundedReceiver<ids::Fingerprint>>,
    #[debug(skip)]
    responder: rc::Rc<cell::RefCell<Option<Responder>>>,
}

/// Answers other VMs' fetches of this VM's replicated state. The slot limits how many
/// answers are sent at the same time and is released when the connection ends.
pub type Responder = Box<dyn Fn(&spread::Fetch) -> (spread::Answer, Option<spread::Slot>)>;

/// A value shared by all clones that one of them takes.
type TakeOnce<T> = rc::Rc<cell::RefCell<Option<T>>>;

impl Engine {
    /// Creates an edge without a configuration.
    pub fn new(
        fleet: forward::Fleet,
        relays: forward::Relays,
        names: h1::Names,
        clock: clock::Clock,
        instruments: edge::Instruments,
        capacity: edge::Capacity,
    ) -> Self {
        let overload = overload::Overload::new(instruments.clone());
        let new_places = |connections, bytes| {
            places::Places::new(connections, memory::Budget::new(bytes), overload.clone())
        };
        let (suspects_sender, suspects_receiver) = sync::mpsc::unbounded_channel();
        let state = state::State::new(fleet, relays, names, instruments.clone(), suspects_sender);
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            phase: rc::Rc::new(watch::Sender::new(Phase::Starting)),
            clock,
            names,
            instruments,
            places: new_places(capacity.connections, capacity.messages),
            peer_places: new_places(capacity.peer_connections, capacity.peer_messages),
            capacity,
            peers: rc::Rc::default(),
            crash_suspects: rc::Rc::new(cell::RefCell::new(Some(suspects_receiver))),
            responder: rc::Rc::default(),
        }
    }

    /// Sets the responder to other VMs' fetches. Without one they aren't answered.
    pub fn set_responder(&self, responder: Responder) {
        self.responder.replace(Some(responder));
    }

    /// Fetches the replicated state that the VM at `address` has.
    ///
    /// # Errors
    /// If it can't be connected to or doesn't answer.
    pub async fn fetch(
        &self,
        address: net::SocketAddr,
        fetch: &spread::Fetch,
    ) -> std::io::Result<spread::Answer> {
        peers::fetch(address, fetch).await
    }

    /// Answers a VM's fetch over the connection `peer`.
    pub(super) fn answer(&self, peer: u64, fetch: wire::Fetch) -> Option<spread::Slot> {
        let Some(fetch) = fetch.read() else {
            log::warn!(peer = peer; "malformed fetch from VM");
            return None;
        };
        let responder = self.responder.borrow();
        let (answer, slot) = responder.as_ref().map(|answer| answer(&fetch))?;
        let config = answer.config.as_ref().map(String::len);
        let kind = frame::Kind::Answer(answer.into());
        let mut state = self.state.borrow_mut();
        state.send_to(peer, kind);
        if let Some(bytes) = config {
            log::info!(
                vm:% = fetch.member.vm, config_bytes = bytes, sending = state.senders_writing();
                "configuration sent to another VM"
            );
        }
        slot
    }

    /// Returns the registration of the upstream with id `name`.
    pub fn registration(&self, name: &str) -> Option<registry::Entry> {
        let id = name.parse().ok()?;
        let state = self.state.borrow();
        state.fleet.registry.registration(&id).cloned()
    }

    /// Takes the receiver of this VM's crash suspects, which are to be reported to the
    /// other VMs. Returns `None` if it was taken before.
    pub fn crash_suspects(&self) -> Option<sync::mpsc::UnboundedReceiver<ids::Fingerprint>> {
        self.crash_suspects.borrow_mut().take()
    }

    /// Records a crash suspect that another VM reported.
    pub fn add_crash_suspect(&self, request: ids::Fingerprint) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.fleet.suspects.report_crash(request, now) {
            let refused = state.fleet.suspects.is_quarantined(request, now);
            log::warn!(
                fingerprint:% = request, refused = refused;
                "crash suspect reported by another VM"
            );
        }
    }

    /// Accepts connections of other VMs on `address` until the process ends.
    ///
    /// # Errors
    /// If listening on the address fails.
    pub async fn listen(&self, address: net::SocketAddr) -> std::io::Result<()> {
        self.state.borrow_mut().own_address = Some(address);
        peers::listen(self.clone(), address).await
    }

    /// Tells another VM what this one has spent of the allowance for extra calls, for this
    /// VM's next start. To be called last: no extra calls are made any more.
    pub fn hand_over(&self) {
        self.with(|state, now| state.hand_over(now));
    }

    /// Sets how many VMs may be alive, if known, and which other VMs are known. Connects
    /// to those that suit as relays.
    pub fn set_fleet(&self, vms: Option<usize>, relays: Vec<forward::Relay>) {
        let now = self.clock.now();
        let needed = {
            let mut state = self.state.borrow_mut();
            let before = state.fleet.vms();
            let vms = vms.unwrap_or(before);
            if vms != before {
                log::info!(vms = vms, before = before; "number of VMs changed");
                state.fleet.set_vms(vms);
            }
            let first_update = state.relays.makes_own_calls().is_none();
            state.relays.set(relays);
            let parts = state.relays.shares(vms);
            state.fleet.set_shares(parts, now);
            if first_update {
                state.preconnect_all();
            }
            let needed = state.relays.relay_addresses();
            self.run_effects(state);
            needed
        };
        for address in needed {
            if self.peers.borrow_mut().insert(address) {
                tokio::task::spawn_local(peers::maintain(self.clone(), address));
            }
        }
    }

    /// Returns whether a connection to the relay at `address` is still needed.
    pub(super) fn needs_peer(&self, address: net::SocketAddr) -> bool {
        self.state
            .borrow()
            .relays
            .relay_addresses()
            .contains(&address)
    }

    /// Notes that no task keeps a connection to `address` open any more.
    pub(super) fn forget_peer(&self, address: net::SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    /// Applies a configuration unless the current one is at least as new, so that the
    /// configuration never goes back between two requests.
    pub fn configure(&self, config: route::Config) {
        let mut state = self.state.borrow_mut();
        let current = state.table.as_ref().map(|table| table.version());
        if current.is_some_and(|current| current >= config.version) {
            log::info!(
                version:% = config.version, current:? = current;
                "configuration ignored: not newer than the current one"
            );
            return;
        }
        let table = route::Table::new(config);
        log::info!(
            version:% = table.version(), before:? = current, routes = table.len();
            "configuration in force"
        );
        state.fleet.keep_routes(&table);
        let before = state.table.replace(rc::Rc::new(table));
        state.preconnect_new_services(before.as_deref());
        self.run_effects(state);
        self.serve_if_configured();
    }

    /// Notes that the upstreams' registrations were listed completely, so that an
    /// upstream without one doesn't exist.
    pub fn set_registrations_listed(&self) {
        self.state.borrow_mut().registrations_listed = true;
        self.serve_if_configured();
    }

    /// Becomes ready once both the configuration and the upstreams are known. A VM that
    /// knew only the routes would refuse requests that other VMs can serve.
    fn serve_if_configured(&self) {
        if self.table().is_some() && self.phase() == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// Returns the version of the current configuration.
    pub fn config_version(&self) -> Option<ids::Generation> {
        let state = self.state.borrow();
        state.table.as_ref().map(|table| table.version())
    }

    /// Applies `change` to the registry of upstreams and handles the changes that it
    /// returns.
    pub fn change_upstreams(
        &self,
        change: impl FnOnce(&mut registry::Registry, clock::Moment) -> Vec<registry::Change>,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let changes = change(&mut state.fleet.registry, now);
        state.upstreams_changed(&changes, now);
        self.run_effects(state);
    }

    /// Returns how many VMs may be alive.
    pub fn vms(&self) -> usize {
        self.state.borrow().fleet.vms()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to a later phase; an earlier one is ignored.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
        if phase == Phase::Leaving {
            self.with(|state, _| state.decline_calls());
        }
    }

    /// Subscribes to changes of the phase.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns the number of requests in progress, of callers and of other VMs.
    pub fn running(&self) -> usize {
        self.state.borrow().running()
    }

    /// Returns the ids of upstreams, separated by spaces, for logs.
    pub(super) fn upstream_ids(&self, upstreams: &[registry::Handle]) -> String {
        let state = self.state.borrow();
        let ids = upstreams
            .iter()
            .map(|upstream| state.fleet.registry.get(*upstream));
        let ids: Vec<&str> = ids.map(|upstream| upstream.entry.id.as_str()).collect();
        ids.join(" ")
    }

    /// Returns the number of calls made for other VMs since this process started.
    pub fn calls_for_others(&self) -> u64 {
        self.state.borrow().calls_for_others()
    }

    /// Returns the number of registered upstreams.
    pub fn registered_upstreams(&self) -> usize {
        self.state.borrow().fleet.registry.len()
    }

    /// Returns the number of registered upstreams that may get requests.
    pub fn usable_upstreams(&self) -> usize {
        let now = self.clock.now();
        let state = self.state.borrow();
        let registry = &state.fleet.registry;
        registry
            .iter()
            .filter(|upstream| upstream.eligibility(now) == registry::Eligibility::Full)
            .count()
    }

    /// Returns the edge's clock.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// Returns the places of callers' connections.
    pub(super) fn places(&self) -> &places::Places {
        &self.places
    }

    /// Returns the places of the connections that other VMs open.
    pub(super) fn peer_places(&self) -> &places::Places {
        &self.peer_places
    }

    /// Returns what callers may use of this VM.
    pub(super) fn capacity(&self) -> &edge::Capacity {
        &self.capacity
    }

    pub(super) fn names(&self) -> &h1::Names {
        &self.names
    }

    pub(super) fn instruments(&self) -> &edge::Instruments {
        &self.instruments
    }

    /// Returns the current configuration; `None` until the upstreams are known too.
    pub(super) fn table(&self) -> Option<route::Shared> {
        let state = self.state.borrow();
        state.table.clone().filter(|_| state.registrations_listed)
    }

    /// Returns whether a connection has a call that waits for its reply. Doesn't read
    /// the clock, unlike [`Self::with`], since it is called for every read.
    pub(super) fn is_busy(&self, link: pool::Link) -> bool {
        self.state.borrow().is_busy(link)
    }

    pub(super) fn submit(
        &self,
        entry: rc::Rc<route::table::Entry>,
        request: h1::Request,
        done: rc::Rc<sync::Notify>,
    ) -> u64 {
        self.with(|state, now| state.submit(entry, request, done, now))
    }

    pub(super) fn take(&self, id: u64) -> Option<(forward::Outcome, forward::Job)> {
        self.with(|state, now| state.take(id, now))
    }

    pub(super) fn wake_at(&self, id: u64) -> Option<clock::Moment> {
        self.state.borrow().wake_at(id)
    }

    pub(super) fn tick(&self, id: u64) {
        self.with(|state, now| state.tick(id, now));
    }

    pub(super) fn cancel(&self, id: u64) {
        self.with(|state, now| state.cancel(id, now));
    }

    /// Runs `change` on the state, then carries out the resulting effects.
    pub(super) fn with<T>(&self, change: impl FnOnce(&mut state::State, clock::Moment) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let result = change(&mut state, now);
        self.run_effects(state);
        result
    }

    /// Carries out the state's pending effects by spawning tasks.
    fn run_effects(&self, mut state: cell::RefMut<'_, state::State>) {
        if state.effects.is_empty() {
            return;
        }
        for order in std::mem::take(&mut state.effects) {
            match order {
                state::Effect::Open {
                    link,
                    address,
                    head_only,
                } => {
                    let opening = link::Opening {
                        engine: self.clone(),
                        link,
                        address,
                        head_only,
                    };
                    let task = tokio::task::spawn_local(opening.run());
                    state.task_started(link, task.abort_handle());
                }
                state::Effect::CheckOverdue { link, at } => {
                    let engine = self.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep_until(engine.clock.instant(at)).await;
                        engine.with(|state, now| state.check_overdue(link, now));
                    });
                }
                state::Effect::Sweep => {
                    tokio::task::spawn_local(link::sweep(self.clone()));
                }
                state::Effect::Merge { batch, at } => {
                    let engine = self.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep_until(engine.clock.instant(at)).await;
                        engine.with(|state, _| state.merge_due(batch));
                    });
                }
            }
        }
    }
}
