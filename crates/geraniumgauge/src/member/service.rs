//! The membership service: runs the state machine on a UDP socket and offers the
//! view and the gossip updates to the rest of the VM.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use opentelemetry::metrics;
use tokio::net as sockets;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::udp;

use crate::ids;
use crate::member;
use crate::member::instruments;
use crate::member::record;
use crate::member::settings;
use crate::member::state;
use crate::member::wire;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Updates that a slow subscriber may lag behind. Beyond that it receives the
/// number it missed and catches up with [`Service::all_updates`].
const MAX_UNREAD_UPDATES: usize = 4096;

/// First delay after a failed read of the platform's list.
const LIST_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Reads of the platform's list per second by all VMs together.
const LIST_READS_PER_SECOND: f64 = 10.0;

/// Maximum number of members whose change is logged for one view.
const MAX_LOGGED_CHANGES: usize = 16;

/// Shortest interval between two successful reads of the list by one VM.
const MIN_LIST_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Configuration of a VM's membership.
#[derive(Debug)]
pub struct Config {
    /// Name of this VM.
    pub vm: ids::Vm,
    /// Incarnation of this VM: a number that rises with each start.
    pub incarnation: ids::Incarnation,
    /// Data centre of this VM.
    pub data_centre: ids::DataCentre,
    /// Address at which other VMs reach this VM's mesh and probes.
    pub address: net::SocketAddr,
    /// UDP socket for probes, bound to `address`.
    pub socket: sockets::UdpSocket,
    /// Addresses of members to ask first, for when the store is unavailable.
    pub seeds: Vec<net::SocketAddr>,
    /// Intervals and limits of the protocol.
    pub settings: settings::Settings,
}

impl Config {
    /// Returns a configuration without seeds and with default settings.
    pub fn new(
        vm: ids::Vm,
        incarnation: ids::Incarnation,
        data_centre: ids::DataCentre,
        address: net::SocketAddr,
        socket: sockets::UdpSocket,
    ) -> Self {
        Self {
            vm,
            incarnation,
            data_centre,
            address,
            socket,
            seeds: Vec::new(),
            settings: settings::Settings::default(),
        }
    }
}

/// Handle of the membership service; clones share it.
#[derive(Debug, Clone)]
pub struct Service {
    view: watch::Receiver<member::SharedView>,
    updates: broadcast::Sender<member::Update>,
    newest: Updates,
    commands: mpsc::UnboundedSender<Command>,
}

type Updates =
    sync::Arc<sync::Mutex<collections::BTreeMap<(member::Topic, String), member::Update>>>;

#[derive(Debug)]
enum Command {
    Publish(member::Update),
    Listed(Vec<store::Vm>),
    Leave(oneshot::Sender<()>),
}

impl Service {
    /// Starts the membership service. Must be called within a tokio runtime.
    pub fn start(
        config: Config,
        store: sync::Arc<dyn store::Api>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let own = record::Record {
            vm: config.vm,
            incarnation: config.incarnation,
            refutation: 0,
            data_centre: config.data_centre,
            address: config.address,
            leaving: false,
            health: record::Health::Alive,
        };
        let tick = config.settings.tick_interval;
        let (seeds, now) = (config.seeds, clock.now());
        let state = state::State::new(own, seeds, config.settings, rand::random(), now);
        let (sender, view) = watch::channel(sync::Arc::new(state.view()));
        let (commands, received) = mpsc::unbounded_channel();
        let service = Self {
            view,
            updates: broadcast::channel(MAX_UNREAD_UPDATES).0,
            newest: Updates::default(),
            commands,
        };
        let worker = Worker {
            state,
            clock,
            socket: udp::UdpFramed::new(config.socket, wire::Codec),
            view: sender,
            updates: service.updates.clone(),
            newest: sync::Arc::clone(&service.newest),
            stats: instruments::register(meter),
            leave_waiters: Vec::new(),
        };
        let ticks = timer.jittered(tick);
        tokio::spawn(worker.run(received, ticks));
        tokio::spawn(read_list(service.clone(), store, timer));
        service
    }

    /// Returns a receiver of the current view and its changes.
    pub fn view(&self) -> watch::Receiver<member::SharedView> {
        self.view.clone()
    }

    /// Publishes an update to all members and to this VM's own subscribers. It is
    /// dropped if its version isn't higher than the one held for its topic and key.
    pub fn publish(&self, update: member::Update) {
        drop(self.commands.send(Command::Publish(update)));
    }

    /// Returns a receiver of updates that are new to this VM from now on.
    pub fn updates(&self) -> broadcast::Receiver<member::Update> {
        self.updates.subscribe()
    }

    /// Returns the newest update for each key of `topic`, for late subscribers.
    pub fn all_updates(&self, topic: member::Topic) -> Vec<member::Update> {
        let newest = self.newest.lock();
        let newest = newest.unwrap_or_else(sync::PoisonError::into_inner);
        let of_topic = newest.values().filter(|update| update.topic == topic);
        of_topic.cloned().collect()
    }

    /// Announces that this VM is leaving. Returns once three members have
    /// confirmed it, or all if there are fewer, and after two seconds at the latest.
    pub async fn leave(&self) {
        let (done, announced) = oneshot::channel();
        drop(self.commands.send(Command::Leave(done)));
        // An error means that the service has already stopped.
        drop(announced.await);
    }
}

/// Runs the state machine and performs its actions.
struct Worker {
    state: state::State,
    clock: clock::Clock,
    socket: udp::UdpFramed<wire::Codec>,
    view: watch::Sender<member::SharedView>,
    updates: broadcast::Sender<member::Update>,
    newest: Updates,
    stats: instruments::Shared,
    leave_waiters: Vec<oneshot::Sender<()>>,
}

impl Worker {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut ticks: timer::Subscription,
    ) {
        loop {
            // Datagrams first: after a pause, those that arrived during it must be
            // processed before any timer expires.
            let event = tokio::select! {
                biased;
                datagram = self.socket.next() => match datagram {
                    Some(Ok((datagram, from))) => state::Event::Datagram { from, datagram },
                    Some(Err(error)) => {
                        log::debug!("membership: dropped a received datagram: {error}");
                        continue;
                    }
                    None => return,
                },
                command = commands.recv() => match command {
                    Some(Command::Publish(update)) => state::Event::Publish(update),
                    Some(Command::Listed(vms)) => state::Event::Listed(vms),
                    Some(Command::Leave(done)) => {
                        self.leave_waiters.push(done);
                        state::Event::Leave
                    }
                    None => return,
                },
                tick = ticks.tick() => match tick {
                    Some(()) => state::Event::Tick,
                    None => return,
                },
            };
            let ticked = matches!(event, state::Event::Tick);
            let actions = self.state.handle(event, self.clock.now());
            for action in actions {
                self.perform(action).await;
            }
            if ticked {
                let stats = self.stats.lock();
                *stats.unwrap_or_else(sync::PoisonError::into_inner) = self.state.stats();
            }
        }
    }

    async fn perform(&mut self, action: state::Action) {
        match action {
            state::Action::Send { to, datagram } => {
                if let Err(error) = self.socket.send((datagram, to)).await {
                    log::debug!("membership: failed to send a datagram to {to}: {error}");
                }
            }
            state::Action::View(view) => {
                log_changes(&self.view.borrow(), &view);
                drop(self.view.send_replace(view));
            }
            state::Action::Received(update) => self.deliver(update),
            state::Action::Announced => {
                for done in self.leave_waiters.drain(..) {
                    // An error means that the caller no longer waits.
                    let _ = done.send(());
                }
            }
            state::Action::DuplicateName(address) => log::error!(
                "membership: another VM at {address} has the same name as this one and started \
                 later; VM names must be unique"
            ),
        }
    }

    fn deliver(&mut self, update: member::Update) {
        let newest = self.newest.lock();
        let mut newest = newest.unwrap_or_else(sync::PoisonError::into_inner);
        newest.insert((update.topic, update.key.clone()), update.clone());
        drop(newest);
        // An error means that there are no subscribers.
        drop(self.updates.send(update));
    }
}

/// Logs which members came, changed their state or are gone.
fn log_changes(before: &member::View, now: &member::View) {
    let state = |view: &member::View, vm| view.get(vm).map(|member| member.state);
    let all = now.members.iter().chain(&before.members);
    let vms: collections::BTreeSet<_> = all.map(|member| &member.vm).collect();
    let changed = vms
        .iter()
        .map(|vm| (vm, state(before, vm), state(now, vm)))
        .filter(|(_, before, now)| before != now);
    for (vm, before, now) in changed.take(MAX_LOGGED_CHANGES) {
        let name = |state: Option<member::State>| {
            state.map_or_else(|| "no member".to_owned(), |state| state.to_string())
        };
        let (before, now) = (name(before), name(now));
        log::info!("membership: VM {vm} is now {now}, was {before}");
    }
}

/// Reads the platform's list at the start and then at an interval that grows with
/// the number of VMs, so that all together stay within [`LIST_READS_PER_SECOND`].
async fn read_list(service: Service, store: sync::Arc<dyn store::Api>, timer: timer::Service) {
    let mut delay = time::Duration::ZERO;
    while timer.sleep(delay).await {
        let listed = store.vms().await;
        let members = service.view.borrow().members.len();
        let interval = time::Duration::from_secs_f64(members as f64 / LIST_READS_PER_SECOND)
            .max(MIN_LIST_INTERVAL);
        let next = match listed {
            Ok(vms) => {
                if service.commands.send(Command::Listed(vms)).is_err() {
                    return;
                }
                interval
            }
            Err(error) => {
                log::debug!("membership: failed to read the platform's list of VMs: {error}");
                (delay * 2).clamp(LIST_RETRY_INTERVAL, interval)
            }
        };
        delay = next.mul_f64(rand::random_range(0.75..1.25));
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
