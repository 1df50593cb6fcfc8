//! A VM that runs on its own thread and runtime.

use std::net;
use std::thread;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::vm;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::site;

/// A running VM; dropping it kills it.
#[derive(Debug)]
pub struct RunningVm {
    id: ids::Vm,
    data_centre: ids::DataCentre,
    addresses: vm::Addresses,
    commands: mpsc::UnboundedSender<Command>,
}

/// What the VM's thread is asked to do.
#[derive(Debug)]
enum Command {
    Kill,
    Freeze(time::Duration),
    Stop(oneshot::Sender<()>),
}

impl RunningVm {
    /// Starts a VM and returns once it listens, before it is ready.
    ///
    /// # Errors
    /// If the VM can't start.
    pub async fn start(config: vm::Config) -> Result<Self, site::Error> {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (started_sender, started) = oneshot::channel();
        let (id, data_centre) = (config.vm.clone(), config.data_centre.clone());
        let run = move || run_thread(config, receiver, started_sender);
        thread::Builder::new().name(id.to_string()).spawn(run)?;
        let thread_ended = || std::io::Error::other("the VM's thread ended while starting");
        let addresses = started.await.map_err(|_| thread_ended())??;
        Ok(Self {
            id,
            data_centre,
            addresses,
            commands,
        })
    }

    /// Returns the VM's name.
    pub fn id(&self) -> &ids::Vm {
        &self.id
    }

    /// Returns the data centre that it runs in.
    pub fn data_centre(&self) -> &ids::DataCentre {
        &self.data_centre
    }

    /// Returns the address for callers.
    pub fn callers_address(&self) -> net::SocketAddr {
        self.addresses.callers
    }

    /// Returns the address for operators.
    pub fn operators_address(&self) -> net::SocketAddr {
        self.addresses.operators
    }

    /// Returns the address for other VMs.
    pub fn mesh_address(&self) -> net::SocketAddr {
        self.addresses.mesh
    }

    /// Kills the VM: its sockets close at once, with no notice to others.
    pub fn kill(self) {
        let _ = self.commands.send(Command::Kill);
    }

    /// Pauses the VM for `duration`: none of its tasks run, its sockets stay open.
    pub fn freeze(&self, duration: time::Duration) {
        let _ = self.commands.send(Command::Freeze(duration));
    }

    /// Stops the VM gracefully and returns when it has ended.
    pub async fn stop(self) {
        let (done, ended) = oneshot::channel();
        let _ = self.commands.send(Command::Stop(done));
        let _ = ended.await;
    }
}

fn run_thread(
    config: vm::Config,
    commands: mpsc::UnboundedReceiver<Command>,
    started: oneshot::Sender<Result<vm::Addresses, vm::Error>>,
) {
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = built else { return };
    runtime.block_on(run_vm(config, commands, started));
    // Dropping the runtime would wait for blocking tasks, but a killed VM ends at once.
    runtime.shutdown_background();
}

/// Starts the VM, reports the result to `started` and runs it until it is killed or stopped.
async fn run_vm(
    config: vm::Config,
    mut commands: mpsc::UnboundedReceiver<Command>,
    started: oneshot::Sender<Result<vm::Addresses, vm::Error>>,
) {
    let vm = match vm::Vm::start(config).await {
        Ok(vm) => vm,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(vm.addresses()));
    loop {
        match commands.recv().await {
            Some(Command::Freeze(duration)) => thread::sleep(duration),
            Some(Command::Stop(done)) => {
                vm.stop().await;
                let _ = done.send(());
                return;
            }
            Some(Command::Kill) | None => return,
        }
    }
}
