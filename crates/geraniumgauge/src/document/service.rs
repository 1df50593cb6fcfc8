//! The document service of one VM, which runs the state machine and the tasks.

use std::sync;
use std::time;

use opentelemetry::metrics;
use tokio::sync as channel;

use crate::document;
use crate::document::held;
use crate::document::instruments;
use crate::document::keeper_task;
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

/// Time between two ticks of the state machine.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Services that may wait for a read of the store or for a check. Further ones are
/// dropped and requested again.
const QUEUE_CAPACITY: usize = 256;

/// Identity of this VM.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Data centre in which the VM runs.
    pub data_centre: ids::DataCentre,
}

/// Publishes and receives gossip updates; implemented by the membership service.
pub trait Gossip: Send + Sync {
    /// Publishes an update to all VMs.
    fn publish(&self, update: member::Update);

    /// Subscribes to the updates that this VM receives for the first time.
    fn updates(&self) -> channel::broadcast::Receiver<member::Update>;
}

/// One VM's document service; clones share its state. It stops with its timer
/// service.
#[derive(Clone)]
pub struct Service {
    inner: sync::Arc<Inner>,
}

/// State shared by the tasks.
pub(super) struct Inner {
    pub(super) config: Config,
    pub(super) catalog: document::Catalog,
    pub(super) store: sync::Arc<dyn store::Api>,
    pub(super) clock: clock::Clock,
    pub(super) timer: timer::Service,
    pub(super) instruments: instruments::Instruments,
    pub(super) reads: load::Reads,
    /// Services that the keeper has to check, because their record in the store is
    /// missing or outdated.
    pub(super) checks: channel::mpsc::Sender<ids::Service>,
    sender: sync::Arc<dyn mesh::Sender>,
    gossip: sync::Arc<dyn Gossip>,
    spread: sync::Mutex<spread::Spread>,
    ready: channel::watch::Sender<bool>,
    fetches: channel::mpsc::Sender<ids::Service>,
}

/// Dependencies of the service.
pub struct Dependencies {
    /// Documents and layouts in force on this VM; the service updates it.
    pub catalog: document::Catalog,
    /// The membership view.
    pub view: channel::watch::Receiver<member::SharedView>,
    /// Sends frames to other VMs.
    pub sender: sync::Arc<dyn mesh::Sender>,
    /// Exchanges gossip updates with other VMs.
    pub gossip: sync::Arc<dyn Gossip>,
    /// The platform's object API.
    pub store: sync::Arc<dyn store::Api>,
    /// Wall clock and monotonic clock.
    pub clock: clock::Clock,
    /// Provides the service's ticks. When the timer service is stopped, this service
    /// stops too.
    pub timer: timer::Service,
}

impl Service {
    /// Starts the tasks. Call within a tokio runtime.
    pub fn start(config: Config, dependencies: Dependencies, meter: &metrics::Meter) -> Self {
        let (ready, _) = channel::watch::channel(false);
        let (fetches, to_fetch) = channel::mpsc::channel(QUEUE_CAPACITY);
        let (checks, to_check) = channel::mpsc::channel(QUEUE_CAPACITY);
        let now = dependencies.clock.now();
        let seed = rand::random();
        let spread = spread::Spread::new(config.vm.clone(), seed, now);
        let inner = sync::Arc::new(Inner {
            instruments: instruments::Instruments::new(meter, &dependencies.catalog),
            config,
            catalog: dependencies.catalog,
            store: dependencies.store,
            clock: dependencies.clock,
            timer: dependencies.timer,
            reads: load::Reads::default(),
            checks,
            sender: dependencies.sender,
            gossip: dependencies.gossip,
            spread: sync::Mutex::new(spread),
            ready,
            fetches,
        });
        inner.update_view(&dependencies.view.borrow());
        tokio::spawn(run(inner.clone(), dependencies.view));
        tokio::spawn(load::fetch_missing(inner.clone(), to_fetch));
        tokio::spawn(load::poll(inner.clone()));
        tokio::spawn(load::watch(inner.clone(), held::Kind::Document));
        tokio::spawn(load::watch(inner.clone(), held::Kind::Layout));
        keeper_task::start(&inner, to_check);
        Self { inner }
    }

    /// Handles a request or digest of a peer. Doesn't block.
    pub fn pull(&self, from: &ids::Vm, pull: message::Pull) {
        self.inner.handle(spread::Event::Pull(from.clone(), pull));
    }

    /// Handles an answer of a peer. Doesn't block.
    pub fn pulled(&self, from: &ids::Vm, pulled: message::Pulled) {
        self.inner
            .handle(spread::Event::Pulled(from.clone(), pulled));
    }

    /// Returns a receiver that turns true once this VM may accept requests.
    pub fn ready(&self) -> channel::watch::Receiver<bool> {
        self.inner.ready.subscribe()
    }
}

impl Inner {
    /// Passes an event to the state machine and carries its actions out.
    pub(super) fn handle(&self, event: spread::Event) {
        let actions = self.lock().handle(event, self.clock.now());
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Calls `read` with the state machine.
    pub(super) fn with<T>(&self, read: impl FnOnce(&spread::Spread) -> T) -> T {
        read(&self.lock())
    }

    /// Returns this VM's index among the watchers; 0 is the keeper.
    pub(super) fn rank(&self) -> Option<usize> {
        self.with(|spread| spread.roles().rank(&self.config.vm))
    }

    fn lock(&self) -> sync::MutexGuard<'_, spread::Spread> {
        self.spread
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn update_view(&self, view: &member::View) {
        let roles = roles::Roles::of(view, &self.config.data_centre);
        self.handle(spread::Event::View(roles));
    }

    fn carry_out(&self, action: spread::Action) {
        match action {
            spread::Action::Apply(service, content) => self.apply(&service, content),
            spread::Action::Send(to, body) => {
                // Every request is retried, so a frame that can't be sent is dropped.
                if let Err(error) = self.sender.send(&to, body) {
                    log::debug!("{error}");
                }
            }
            spread::Action::Publish(update) => self.gossip.publish(update),
            spread::Action::Fetch(service) => {
                // If the queue is full, the state machine requests the read again.
                let _ = self.fetches.try_send(service);
            }
            spread::Action::Ready(source) => {
                log::info!("ready: documents and layouts were confirmed by {source}");
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

async fn run(inner: sync::Arc<Inner>, mut view: channel::watch::Receiver<member::SharedView>) {
    let mut ticks = inner
        .timer
        .every(TICK_INTERVAL, TICK_INTERVAL.mul_f64(rand::random()));
    let mut updates = inner.gossip.updates();
    let mut views_open = true;
    let mut gossip_open = true;
    loop {
        tokio::select! {
            tick = ticks.tick() => {
                let Some(()) = tick else { return };
                inner.handle(spread::Event::Tick);
            }
            changed = view.changed(), if views_open => {
                views_open = changed.is_ok();
                let newest = view.borrow_and_update().clone();
                inner.update_view(&newest);
            }
            received = updates.recv(), if gossip_open => match received {
                Ok(update) => inner.handle(spread::Event::Update(update)),
                // Missed updates are found by comparing digests with peers.
                Err(channel::broadcast::error::RecvError::Lagged(_)) => {}
                Err(channel::broadcast::error::RecvError::Closed) => gossip_open = false,
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
