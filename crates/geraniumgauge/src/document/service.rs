//! Carries out the machines' actions: one VM's document service.

use std::sync;
use std::time;

use opentelemetry::metrics;
use tokio::sync as channel;

use crate::document;
use crate::document::held;
use crate::document::instruments;
use crate::document::keep;
use crate::document::load;
use crate::document::roles;
use crate::document::spread;
use crate::ids;
use crate::member;
use crate::mesh;
use crate::mesh::message;
use crate::store;
use crate::time as clock;
use crate::timer;

/// How often the machines are given the time.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Reads of the store that may wait; more are dropped and asked for again.
const FETCHES: usize = 256;

/// Which VM this is.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub vm: ids::Vm,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
}

/// Passes rumours on; the membership service does.
pub trait Gossip: Send + Sync {
    /// Starts a rumour at this VM.
    fn publish(&self, rumour: member::Update);

    /// Rumours that this VM hears for the first time.
    fn rumours(&self) -> channel::broadcast::Receiver<member::Update>;
}

/// One VM's document service; clones share it. It ends with its timer service.
#[derive(Clone)]
pub struct Service {
    inner: sync::Arc<Inner>,
}

/// What the tasks share.
pub(super) struct Inner {
    pub(super) config: Config,
    pub(super) catalog: document::Catalog,
    pub(super) store: sync::Arc<dyn store::Api>,
    pub(super) clock: clock::Clock,
    pub(super) timer: timer::Service,
    pub(super) instruments: instruments::Instruments,
    pub(super) reads: load::Reads,
    /// Services whose record the store lacks or holds in an older state.
    pub(super) looks: channel::mpsc::Sender<ids::Service>,
    post: sync::Arc<dyn mesh::Sender>,
    gossip: sync::Arc<dyn Gossip>,
    spread: sync::Mutex<spread::Spread>,
    ready: channel::watch::Sender<bool>,
    fetches: channel::mpsc::Sender<ids::Service>,
}

/// What a service is started with.
pub struct Parts {
    /// What is in force on this VM; the service fills it.
    pub catalog: document::Catalog,
    /// The membership.
    pub view: channel::watch::Receiver<member::SharedView>,
    /// Frames to other VMs.
    pub post: sync::Arc<dyn mesh::Sender>,
    /// Rumours to and from other VMs.
    pub gossip: sync::Arc<dyn Gossip>,
    /// The platform's object API.
    pub store: sync::Arc<dyn store::Api>,
    /// Both clocks.
    pub clock: clock::Clock,
    /// Ends the service when it is stopped.
    pub timer: timer::Service,
}

impl Service {
    /// Starts the tasks. Call within a tokio runtime.
    pub fn start(config: Config, parts: Parts, meter: &metrics::Meter) -> Self {
        let (ready, _) = channel::watch::channel(false);
        let (fetches, to_fetch) = channel::mpsc::channel(FETCHES);
        let (looks, to_look) = channel::mpsc::channel(FETCHES);
        let now = parts.clock.now();
        let seed = rand::random();
        let spread = spread::Spread::new(config.vm.clone(), seed, now);
        let inner = sync::Arc::new(Inner {
            instruments: instruments::Instruments::new(meter, &parts.catalog),
            config,
            catalog: parts.catalog,
            store: parts.store,
            clock: parts.clock,
            timer: parts.timer,
            reads: load::Reads::default(),
            looks,
            post: parts.post,
            gossip: parts.gossip,
            spread: sync::Mutex::new(spread),
            ready,
            fetches,
        });
        inner.view(&parts.view.borrow());
        tokio::spawn(drive(inner.clone(), parts.view));
        tokio::spawn(load::fetch_wanted(inner.clone(), to_fetch));
        tokio::spawn(load::poll(inner.clone()));
        tokio::spawn(load::watch(inner.clone(), held::Kind::Document));
        tokio::spawn(load::watch(inner.clone(), held::Kind::Layout));
        keep::start(&inner, to_look);
        Self { inner }
    }

    /// Takes a peer's question. Doesn't block.
    pub fn pull(&self, from: &ids::Vm, pull: message::Pull) {
        self.inner.handle(spread::Event::Pull(from.clone(), pull));
    }

    /// Takes a peer's answer. Doesn't block.
    pub fn pulled(&self, from: &ids::Vm, pulled: message::Pulled) {
        self.inner
            .handle(spread::Event::Pulled(from.clone(), pulled));
    }

    /// True once this VM holds the accepted set.
    pub fn ready(&self) -> channel::watch::Receiver<bool> {
        self.inner.ready.subscribe()
    }
}

impl Inner {
    /// Gives the machine one event and carries its actions out.
    pub(super) fn handle(&self, event: spread::Event) {
        let actions = self.lock().handle(event, self.clock.now());
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Looks at the machine.
    pub(super) fn with<T>(&self, look: impl FnOnce(&spread::Spread) -> T) -> T {
        look(&self.lock())
    }

    /// This VM's place among the watchers; 0 is the keeper.
    pub(super) fn rank(&self) -> Option<usize> {
        self.with(|spread| spread.roles().rank(&self.config.vm))
    }

    fn lock(&self) -> sync::MutexGuard<'_, spread::Spread> {
        self.spread
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn view(&self, view: &member::View) {
        let roles = roles::Roles::of(view, &self.config.data_centre);
        self.handle(spread::Event::View(roles));
    }

    fn carry_out(&self, action: spread::Action) {
        match action {
            spread::Action::Apply(service, content) => self.apply(&service, content),
            spread::Action::Send(to, body) => {
                // A frame that isn't taken is sent again: every question has a retry.
                if let Err(error) = self.post.send(&to, body) {
                    log::debug!("{error}");
                }
            }
            spread::Action::Publish(rumour) => self.gossip.publish(rumour),
            spread::Action::Fetch(service) => {
                // A full queue drops it; the machine asks again.
                let _ = self.fetches.try_send(service);
            }
            spread::Action::Ready(source) => {
                log::info!("the accepted documents were had from {source}");
                self.ready.send_replace(true);
            }
        }
    }

    fn apply(&self, service: &ids::Service, content: held::Content) {
        match content {
            held::Content::Document(generation, document) => {
                if self.catalog.put_document(service, generation, *document) {
                    self.instruments.applied(held::Kind::Document);
                    log::info!("{service}: document generation {generation} is in force");
                }
            }
            held::Content::Layout(layout) => {
                let version = layout.version;
                if self.catalog.put_layout(service, layout) {
                    self.instruments.applied(held::Kind::Layout);
                    log::info!("{service}: layout version {version} is in force");
                }
            }
        }
    }
}

async fn drive(inner: sync::Arc<Inner>, mut view: channel::watch::Receiver<member::SharedView>) {
    let mut ticks = inner.timer.every(TICK, TICK.mul_f64(rand::random()));
    let mut rumours = inner.gossip.rumours();
    let mut views = true;
    let mut gossip = true;
    loop {
        tokio::select! {
            tick = ticks.tick() => {
                let Some(()) = tick else { return };
                inner.handle(spread::Event::Tick);
            }
            changed = view.changed(), if views => {
                views = changed.is_ok();
                let newest = view.borrow_and_update().clone();
                inner.view(&newest);
            }
            heard = rumours.recv(), if gossip => match heard {
                Ok(rumour) => inner.handle(spread::Event::Rumour(rumour)),
                // What was missed is found by comparing with peers.
                Err(channel::broadcast::error::RecvError::Lagged(_)) => {}
                Err(channel::broadcast::error::RecvError::Closed) => gossip = false,
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
