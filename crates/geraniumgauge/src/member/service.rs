//! The membership of one VM as its other parts use it.

use std::collections;
use std::net;
use std::sync;
use std::time as spans;

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
use crate::member::count;
use crate::member::record;
use crate::member::settings;
use crate::member::state;
use crate::member::wire;
use crate::store;
use crate::time;
use crate::timer;

/// Rumours a slow subscriber may lag behind; it's told how many it missed and
/// catches up with [`Service::all_rumours`].
const RUMOURS: usize = 4096;

/// How often the platform's list is read while that has not worked yet.
const FIRST_LIST: spans::Duration = spans::Duration::from_secs(1);

/// Reads of the platform's list a second by all VMs together.
const LISTS_A_SECOND: f64 = 10.0;

/// Shortest time between two reads of the list by one VM.
const LIST: spans::Duration = spans::Duration::from_secs(10);

/// How the membership of a VM is set up.
#[derive(Debug)]
pub struct Config {
    /// This VM.
    pub vm: ids::Vm,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Where others reach its mesh and its probes.
    pub address: net::SocketAddr,
    /// The socket for probes, bound to `address`.
    pub socket: sockets::UdpSocket,
    /// Members to start with, when the store is out.
    pub seeds: Vec<net::SocketAddr>,
    /// Intervals and bounds.
    pub settings: settings::Settings,
}

impl Config {
    /// Defaults for a VM without seeds.
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

/// The membership's handle; clones share it.
#[derive(Debug, Clone)]
pub struct Service {
    view: watch::Receiver<member::Shared>,
    rumours: broadcast::Sender<member::Rumour>,
    held: Held,
    commands: mpsc::UnboundedSender<Command>,
}

type Held = sync::Arc<sync::Mutex<collections::BTreeMap<(member::Topic, String), member::Rumour>>>;

#[derive(Debug)]
enum Command {
    Publish(member::Rumour),
    Listed(Vec<store::Vm>),
    Leave(oneshot::Sender<()>),
}

impl Service {
    /// Starts the membership. Call within a tokio runtime.
    pub fn start(
        config: Config,
        store: sync::Arc<dyn store::Api>,
        clock: time::Clock,
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
        let tick = config.settings.tick;
        let (seeds, now) = (config.seeds, clock.now());
        let state = state::State::new(own, seeds, config.settings, rand::random(), now);
        let (sender, view) = watch::channel(sync::Arc::new(state.view()));
        let (commands, received) = mpsc::unbounded_channel();
        let service = Self {
            view,
            rumours: broadcast::channel(RUMOURS).0,
            held: Held::default(),
            commands,
        };
        let worker = Worker {
            state,
            clock,
            socket: udp::UdpFramed::new(config.socket, wire::Codec),
            view: sender,
            rumours: service.rumours.clone(),
            held: sync::Arc::clone(&service.held),
            figures: count::shown(meter),
            leaving: Vec::new(),
        };
        let ticks = timer.jittered(tick);
        tokio::spawn(worker.run(received, ticks));
        tokio::spawn(read_list(service.clone(), store, timer));
        service
    }

    /// The view, and its changes.
    pub fn view(&self) -> watch::Receiver<member::Shared> {
        self.view.clone()
    }

    /// Spreads a rumour; this VM's own subscribers hear it too. One that is no
    /// newer than what is held for its topic and key is dropped.
    pub fn publish(&self, rumour: member::Rumour) {
        drop(self.commands.send(Command::Publish(rumour)));
    }

    /// Rumours that are new to this VM, from now on.
    pub fn rumours(&self) -> broadcast::Receiver<member::Rumour> {
        self.rumours.subscribe()
    }

    /// The newest rumours of `topic`, for those who subscribe late.
    pub fn all_rumours(&self, topic: member::Topic) -> Vec<member::Rumour> {
        let held = self.held.lock();
        let held = held.unwrap_or_else(sync::PoisonError::into_inner);
        let of_topic = held.values().filter(|rumour| rumour.topic == topic);
        of_topic.cloned().collect()
    }

    /// Announces that this VM stops; returns once three members, or all there
    /// are, have confirmed it, after two seconds at the latest.
    pub async fn leave(&self) {
        let (told, announced) = oneshot::channel();
        drop(self.commands.send(Command::Leave(told)));
        // An error means that the membership has stopped already.
        drop(announced.await);
    }
}

/// Carries the state machine's actions out.
struct Worker {
    state: state::State,
    clock: time::Clock,
    socket: udp::UdpFramed<wire::Codec>,
    view: watch::Sender<member::Shared>,
    rumours: broadcast::Sender<member::Rumour>,
    held: Held,
    figures: count::Shared,
    leaving: Vec<oneshot::Sender<()>>,
}

impl Worker {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut ticks: timer::Subscription,
    ) {
        loop {
            // Datagrams first: after a pause, what has come in meanwhile must
            // be read before time is looked at.
            let event = tokio::select! {
                biased;
                datagram = self.socket.next() => match datagram {
                    Some(Ok((datagram, from))) => state::Event::Datagram { from, datagram },
                    Some(Err(error)) => {
                        log::debug!("membership: a datagram was dropped: {error}");
                        continue;
                    }
                    None => return,
                },
                command = commands.recv() => match command {
                    Some(Command::Publish(rumour)) => state::Event::Publish(rumour),
                    Some(Command::Listed(vms)) => state::Event::Listed(vms),
                    Some(Command::Leave(told)) => {
                        self.leaving.push(told);
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
                self.carry_out(action).await;
            }
            if ticked {
                let figures = self.figures.lock();
                *figures.unwrap_or_else(sync::PoisonError::into_inner) = self.state.figures();
            }
        }
    }

    async fn carry_out(&mut self, action: state::Action) {
        match action {
            state::Action::Send { to, datagram } => {
                if let Err(error) = self.socket.send((datagram, to)).await {
                    log::debug!("membership: a datagram to {to} was not sent: {error}");
                }
            }
            state::Action::View(view) => drop(self.view.send_replace(view)),
            state::Action::Heard(rumour) => self.hear(rumour),
            state::Action::Announced => {
                for told in self.leaving.drain(..) {
                    // An error means that the caller waits no more.
                    let _ = told.send(());
                }
            }
            state::Action::Twin(address) => log::error!(
                "membership: another VM at {address} bears this VM's name and started later; \
                 give each VM a name of its own"
            ),
        }
    }

    fn hear(&mut self, rumour: member::Rumour) {
        let held = self.held.lock();
        let mut held = held.unwrap_or_else(sync::PoisonError::into_inner);
        held.insert((rumour.topic, rumour.key.clone()), rumour.clone());
        drop(held);
        // An error means that nobody subscribes.
        drop(self.rumours.send(rumour));
    }
}

/// Reads the platform's list: at once and then slowly, the slower the more VMs
/// there are, so that all together stay within [`LISTS_A_SECOND`].
async fn read_list(service: Service, store: sync::Arc<dyn store::Api>, timer: timer::Service) {
    let mut wait = spans::Duration::ZERO;
    while timer.sleep(wait).await {
        let listed = store.vms().await;
        let members = service.view.borrow().members.len();
        let slow = spans::Duration::from_secs_f64(members as f64 / LISTS_A_SECOND).max(LIST);
        let next = match listed {
            Ok(vms) => {
                if service.commands.send(Command::Listed(vms)).is_err() {
                    return;
                }
                slow
            }
            Err(error) => {
                log::debug!("membership: the platform's list was not read: {error}");
                (wait * 2).clamp(FIRST_LIST, slow)
            }
        };
        wait = next.mul_f64(rand::random_range(0.75..1.25));
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
