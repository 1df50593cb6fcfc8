//! A VM on a thread and runtime of its own.

use std::net;
use std::thread;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::vm;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::site;

/// A running VM. Dropping it kills it.
#[derive(Debug)]
pub struct Node {
    vm: ids::Vm,
    data_centre: ids::DataCentre,
    addresses: vm::Addresses,
    orders: mpsc::UnboundedSender<Order>,
}

#[derive(Debug)]
enum Order {
    Kill,
    Freeze(time::Duration),
    Stop(oneshot::Sender<()>),
}

impl Node {
    /// Starts a VM; returns once it listens, before it is ready.
    ///
    /// # Errors
    /// Where it can't start.
    pub async fn start(config: vm::Config) -> Result<Self, site::Error> {
        let (orders, taken) = mpsc::unbounded_channel();
        let (told, started) = oneshot::channel();
        let (vm, data_centre) = (config.vm.clone(), config.data_centre.clone());
        let run = move || run(config, taken, told);
        thread::Builder::new().name(vm.to_string()).spawn(run)?;
        let gone = || std::io::Error::other("the VM's thread ended while starting");
        let addresses = started.await.map_err(|_| gone())??;
        Ok(Self {
            vm,
            data_centre,
            addresses,
            orders,
        })
    }

    /// Its name.
    pub fn vm(&self) -> &ids::Vm {
        &self.vm
    }

    /// Where it runs.
    pub fn data_centre(&self) -> &ids::DataCentre {
        &self.data_centre
    }

    /// Where callers reach it.
    pub fn callers(&self) -> net::SocketAddr {
        self.addresses.callers
    }

    /// Where operators reach it.
    pub fn operators(&self) -> net::SocketAddr {
        self.addresses.operators
    }

    /// Where other VMs reach it.
    pub fn mesh(&self) -> net::SocketAddr {
        self.addresses.mesh
    }

    /// Ends it at once: its sockets close and nothing is said.
    pub fn kill(self) {
        let _ = self.orders.send(Order::Kill);
    }

    /// Stops its clock for `span`: nothing of it runs, its sockets stay open.
    pub fn freeze(&self, span: time::Duration) {
        let _ = self.orders.send(Order::Freeze(span));
    }

    /// Stops it gracefully, and returns when it has ended.
    pub async fn stop(self) {
        let (done, ended) = oneshot::channel();
        let _ = self.orders.send(Order::Stop(done));
        let _ = ended.await;
    }
}

fn run(
    config: vm::Config,
    orders: mpsc::UnboundedReceiver<Order>,
    told: oneshot::Sender<Result<vm::Addresses, vm::Error>>,
) {
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = built else { return };
    runtime.block_on(obey(config, orders, told));
    // Dropping the runtime would wait for blocking tasks; a killed VM doesn't.
    runtime.shutdown_background();
}

async fn obey(
    config: vm::Config,
    mut orders: mpsc::UnboundedReceiver<Order>,
    told: oneshot::Sender<Result<vm::Addresses, vm::Error>>,
) {
    let vm = match vm::Vm::start(config).await {
        Ok(vm) => vm,
        Err(error) => {
            let _ = told.send(Err(error));
            return;
        }
    };
    let _ = told.send(Ok(vm.addresses()));
    loop {
        match orders.recv().await {
            Some(Order::Freeze(span)) => thread::sleep(span),
            Some(Order::Stop(done)) => {
                vm.stop().await;
                let _ = done.send(());
                return;
            }
            Some(Order::Kill) | None => return,
        }
    }
}
