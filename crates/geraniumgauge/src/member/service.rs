//! The membership of one VM as its other parts use it.

use std::net;
use std::sync;
use std::time as spans;

use opentelemetry::metrics;
use tokio::net as sockets;
use tokio::sync::broadcast;
use tokio::sync::watch;

use crate::ids;
use crate::member;
use crate::store;
use crate::time;
use crate::timer;

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
        }
    }
}

/// The membership's handle; clones share it.
#[derive(Debug, Clone)]
pub struct Service {
    view: watch::Receiver<member::Shared>,
    rumours: broadcast::Sender<member::Rumour>,
    held: sync::Arc<sync::Mutex<Vec<member::Rumour>>>,
}

impl Service {
    /// Starts the membership. Call within a tokio runtime.
    pub fn start(
        config: Config,
        store: sync::Arc<dyn store::Api>,
        _clock: time::Clock,
        timer: timer::Service,
        _meter: &metrics::Meter,
    ) -> Self {
        let local = member::Member {
            vm: config.vm.clone(),
            incarnation: config.incarnation,
            data_centre: config.data_centre.clone(),
            address: config.address,
            state: member::State::Alive,
        };
        let first = member::View::new(config.vm.clone(), vec![local.clone()]);
        let (sender, view) = watch::channel(sync::Arc::new(first));
        let mut ticks = timer.jittered(spans::Duration::from_secs(1));
        tokio::spawn(async move {
            while ticks.tick().await.is_some() {
                let Ok(vms) = store.vms().await else { continue };
                let others = vms.into_iter().filter(|vm| vm.vm != local.vm);
                let mut members: Vec<_> = others.map(listed).collect();
                members.push(local.clone());
                let view = member::View::new(local.vm.clone(), members);
                sender.send_replace(sync::Arc::new(view));
            }
        });
        Self {
            view,
            rumours: broadcast::channel(1024).0,
            held: sync::Arc::default(),
        }
    }

    /// The view, and its changes.
    pub fn view(&self) -> watch::Receiver<member::Shared> {
        self.view.clone()
    }

    /// Spreads a rumour; this VM's own subscribers hear it too.
    pub fn publish(&self, rumour: member::Rumour) {
        let held = self.held.lock();
        let mut held = held.unwrap_or_else(sync::PoisonError::into_inner);
        held.push(rumour.clone());
        drop(self.rumours.send(rumour));
    }

    /// Rumours that are new to this VM, from now on.
    pub fn rumours(&self) -> broadcast::Receiver<member::Rumour> {
        self.rumours.subscribe()
    }

    /// The newest rumours of `topic`, for those who subscribe late.
    pub fn all_rumours(&self, topic: member::Topic) -> Vec<member::Rumour> {
        let held = self.held.lock();
        let held = held.unwrap_or_else(sync::PoisonError::into_inner);
        let of_topic = held.iter().filter(|rumour| rumour.topic == topic);
        of_topic.cloned().collect()
    }

    /// Announces that this VM stops; returns once enough members were told.
    pub async fn leave(&self) {}
}

fn listed(vm: store::Vm) -> member::Member {
    let state = match vm.leaving {
        true => member::State::Leaving,
        false => member::State::Alive,
    };
    member::Member {
        vm: vm.vm,
        incarnation: ids::Incarnation(0),
        data_centre: vm.data_centre,
        address: vm.address,
        state,
    }
}
