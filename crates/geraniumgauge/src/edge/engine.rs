//! The handle by which tasks reach the edge's state.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use tokio::sync;
use tokio::sync::watch;

use crate::edge;
use crate::edge::frame;
use crate::edge::link;
use crate::edge::peers;
use crate::edge::pool;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::route;
use crate::spread;
use crate::spread::wire;
use crate::time as clock;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Before the first configuration: not ready.
    Starting,
    /// Ready.
    Serving,
    /// Not ready any more, but every request is still served: the balancer
    /// needs a while to notice.
    Leaving,
    /// Requests under way are finished, no new one is read.
    Closing,
}

/// The edge of one VM; cheap to clone. Use it from one local set only.
#[derive(Clone, derive_more::Debug)]
pub struct Engine {
    state: rc::Rc<cell::RefCell<state::State>>,
    phase: rc::Rc<watch::Sender<Phase>>,
    clock: clock::Clock,
    names: h1::Names,
    count: edge::Count,
    /// Other VMs to which a connection is kept.
    peers: rc::Rc<cell::RefCell<collections::HashSet<net::SocketAddr>>>,
    blames: Once<sync::mpsc::UnboundedReceiver<ids::Fingerprint>>,
    #[debug(skip)]
    teller: rc::Rc<cell::RefCell<Option<Teller>>>,
}

/// Answers other VMs that ask what this one knows; the answer's part of the link
/// is given back when the connection ends.
pub type Teller = Box<dyn Fn(&spread::Fetch) -> (spread::Answer, Option<spread::Slot>)>;

/// Something that one part takes.
type Once<T> = rc::Rc<cell::RefCell<Option<T>>>;

impl Engine {
    /// An edge without a configuration.
    pub fn new(
        fleet: forward::Fleet,
        relays: forward::Relays,
        names: h1::Names,
        clock: clock::Clock,
        count: edge::Count,
    ) -> Self {
        let (blamed, blames) = sync::mpsc::unbounded_channel();
        let state = state::State::new(fleet, relays, names, count.clone(), blamed);
        Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            phase: rc::Rc::new(watch::Sender::new(Phase::Starting)),
            clock,
            names,
            count,
            peers: rc::Rc::default(),
            blames: rc::Rc::new(cell::RefCell::new(Some(blames))),
            teller: rc::Rc::default(),
        }
    }

    /// Sets how other VMs are answered that ask what this one knows.
    pub fn answer_by(&self, teller: Teller) {
        self.teller.replace(Some(teller));
    }

    /// Asks the VM at `address` what it knows.
    ///
    /// # Errors
    /// Where it can't be connected to, or doesn't answer.
    pub async fn fetch(
        &self,
        address: net::SocketAddr,
        fetch: &spread::Fetch,
    ) -> std::io::Result<spread::Answer> {
        peers::fetch(address, fetch).await
    }

    /// Answers a VM that asks what this one knows.
    pub(super) fn answer(&self, peer: u64, fetch: wire::Fetch) -> Option<spread::Slot> {
        let Some(fetch) = fetch.read() else {
            log::warn!(peer = peer; "question of a VM can't be read");
            return None;
        };
        let teller = self.teller.borrow();
        let (answer, slot) = teller.as_ref().map(|answer| answer(&fetch))?;
        let config = answer.config.as_ref().map(String::len);
        let kind = frame::Kind::Answer(answer.into());
        let mut state = self.state.borrow_mut();
        state.send_to(peer, kind);
        if let Some(bytes) = config {
            log::info!(
                vm:% = fetch.member.vm, config_bytes = bytes, sending = state.sending();
                "configuration told to another VM"
            );
        }
        slot
    }

    /// The registration of an upstream.
    pub fn registration(&self, name: &str) -> Option<registry::Entry> {
        let id = name.parse().ok()?;
        let state = self.state.borrow();
        state.fleet.registry.registration(&id).cloned()
    }

    /// The requests that this VM blames for crashes, for the other VMs to be
    /// told; `None` where they were taken before.
    pub fn blames(&self) -> Option<sync::mpsc::UnboundedReceiver<ids::Fingerprint>> {
        self.blames.borrow_mut().take()
    }

    /// Another VM blames a request for a crash.
    pub fn blame(&self, request: ids::Fingerprint) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.fleet.suspects.report_crash(request, now) {
            let refused = state.fleet.suspects.is_quarantined(request, now);
            log::warn!(fingerprint:% = request, refused = refused; "another VM blames a request");
        }
    }

    /// Takes calls of other VMs on `address` until the process ends.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub async fn listen(&self, address: net::SocketAddr) -> std::io::Result<()> {
        peers::listen(self.clone(), address).await
    }

    /// Takes how many VMs may be alive, where that is known, and which are known;
    /// connects to those that may make calls for this one.
    pub fn set_fleet(&self, vms: Option<usize>, helpers: Vec<forward::Relay>) {
        let wanted = {
            let mut state = self.state.borrow_mut();
            let before = state.fleet.vms();
            let vms = vms.unwrap_or(before);
            if vms != before {
                log::info!(vms = vms, before = before; "number of VMs changed");
                state.fleet.set_vms(vms);
            }
            let first = state.relays.makes_own_calls().is_none();
            state.relays.set(helpers);
            let shares = state.relays.shares(vms);
            state.fleet.set_shares(shares);
            if first {
                state.warm_all();
            }
            let wanted = state.relays.relay_addresses();
            self.carry_out(state);
            wanted
        };
        for address in wanted {
            if self.peers.borrow_mut().insert(address) {
                tokio::task::spawn_local(peers::keep(self.clone(), address));
            }
        }
    }

    pub(super) fn wants_peer(&self, address: net::SocketAddr) -> bool {
        self.state
            .borrow()
            .relays
            .relay_addresses()
            .contains(&address)
    }

    pub(super) fn forget_peer(&self, address: net::SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    /// Takes a configuration. An older one than that in force changes nothing:
    /// what was in force for one request must not be undone for the next.
    pub fn configure(&self, config: route::Config) {
        let mut state = self.state.borrow_mut();
        let current = state.table.as_ref().map(|table| table.version());
        if current.is_some_and(|current| current >= config.version) {
            log::info!(version:% = config.version, current:? = current; "configuration not newer");
            return;
        }
        let table = route::Table::new(config);
        log::info!(
            version:% = table.version(), before:? = current, routes = table.len();
            "configuration in force"
        );
        state.fleet.keep_routes(&table);
        state.table = Some(rc::Rc::new(table));
        drop(state);
        self.serve_if_known();
    }

    /// The registrations were listed, so that those missing are truly missing.
    pub fn listed(&self) {
        self.state.borrow_mut().listed = true;
        self.serve_if_known();
    }

    /// Gets ready once both the configuration and the upstreams are known. A VM
    /// that knew routes alone would refuse what any other VM can serve.
    fn serve_if_known(&self) {
        if self.table().is_some() && self.phase() == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// The version in force.
    pub fn version(&self) -> Option<ids::Generation> {
        let state = self.state.borrow();
        state.table.as_ref().map(|table| table.version())
    }

    /// Changes which upstreams there are.
    pub fn upstreams(
        &self,
        change: impl FnOnce(&mut registry::Registry, clock::Moment) -> Vec<registry::Change>,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let changes = change(&mut state.fleet.registry, now);
        state.changed(&changes, now);
        self.carry_out(state);
    }

    /// How many VMs may be alive.
    pub fn vms(&self) -> usize {
        self.state.borrow().fleet.vms()
    }

    /// How far a stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Goes on to a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
        if phase == Phase::Leaving {
            self.with(|state, _| state.decline());
        }
    }

    /// Follows the phases.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Requests under way.
    pub fn running(&self) -> usize {
        self.state.borrow().running()
    }

    /// The ids of upstreams, for logs.
    pub(super) fn names_of(&self, upstreams: &[registry::Handle]) -> String {
        let state = self.state.borrow();
        let ids = upstreams
            .iter()
            .map(|upstream| state.fleet.registry.get(*upstream));
        let ids: Vec<&str> = ids.map(|known| known.entry.id.as_str()).collect();
        ids.join(" ")
    }

    /// Calls that this VM made for others.
    pub fn calls_for_others(&self) -> u64 {
        self.state.borrow().calls_for_others()
    }

    /// Upstreams registered.
    pub fn known(&self) -> usize {
        self.state.borrow().fleet.registry.len()
    }

    /// Upstreams registered that may get requests.
    pub fn usable(&self) -> usize {
        let now = self.clock.now();
        let state = self.state.borrow();
        let registry = &state.fleet.registry;
        registry
            .iter()
            .filter(|known| known.usable(now) == registry::Use::Full)
            .count()
    }

    /// The edge's clock.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    pub(super) fn names(&self) -> &h1::Names {
        &self.names
    }

    pub(super) fn count(&self) -> &edge::Count {
        &self.count
    }

    /// The configuration in force, once the upstreams are known too.
    pub(super) fn table(&self) -> Option<route::Shared> {
        let state = self.state.borrow();
        state.table.clone().filter(|_| state.listed)
    }

    /// Whether a call waits for its reply on a connection. Asked for each reply:
    /// unlike [`Self::with`], it reads no clock.
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

    /// Changes the state, then does what only tasks can.
    pub(super) fn with<T>(&self, change: impl FnOnce(&mut state::State, clock::Moment) -> T) -> T {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let result = change(&mut state, now);
        self.carry_out(state);
        result
    }

    fn carry_out(&self, mut state: cell::RefMut<'_, state::State>) {
        if state.orders.is_empty() {
            return;
        }
        for order in std::mem::take(&mut state.orders) {
            match order {
                state::Order::Open {
                    link,
                    address,
                    head_only,
                } => {
                    let opened = link::Opening {
                        engine: self.clone(),
                        link,
                        address,
                        head_only,
                    };
                    let task = tokio::task::spawn_local(opened.run());
                    state.started(link, task.abort_handle());
                }
                state::Order::Sweep => {
                    tokio::task::spawn_local(link::sweep(self.clone()));
                }
                state::Order::Merge { ask, at } => {
                    let engine = self.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep_until(engine.clock.instant(at)).await;
                        engine.with(|state, _| state.merge(ask));
                    });
                }
            }
        }
    }
}
