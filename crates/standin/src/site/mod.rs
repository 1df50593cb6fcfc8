//! A complete site in one process: the platform, upstreams, VMs and a load balancer.
//!
//! Each VM runs on its own thread and runtime, so that it can be killed abruptly or
//! frozen like a paused machine.

mod balancer;
mod open_files;
mod preset;
mod running_vm;
mod service;
mod upstreams;

pub use balancer::Balancer;
pub use open_files::OpenFiles;
pub use preset::Preset;
pub use preset::VM_COUNT;
pub use running_vm::RunningVm;
pub use service::Service;
pub use service::Spec;
pub use service::parse_id;
pub use service::shard_id;
pub use upstreams::start_upstreams;

use std::io;
use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::query;
use geraniumgauge::store;
use geraniumgauge::vm;

use crate::platform;

/// Time limit for all VMs of a site to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Reasons why a site can't be started.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// A stand-in can't listen.
    #[display("a stand-in can't listen: {_0}")]
    Listen(io::Error),
    /// A VM can't start.
    #[display("a VM can't start: {_0}")]
    Vm(vm::Error),
    /// A VM wasn't ready in time.
    #[from(ignore)]
    #[display("{vm} isn't ready after {} s; {open_files}", READY_TIMEOUT.as_secs())]
    #[error(ignore)]
    NotReady {
        /// The VM.
        vm: ids::Vm,
        /// The files that were open then.
        open_files: OpenFiles,
    },
}

/// Configuration of a site.
#[derive(Debug, Clone)]
pub struct Config {
    /// Services of the site.
    pub services: Vec<Spec>,
    /// Number of VMs at the start.
    pub vms: usize,
    /// Number of data centres, over which VMs and upstreams are spread in turn.
    pub data_centres: usize,
    /// Policy by which VMs run searches.
    pub policy: query::Policy,
    /// Seed of the upstreams' random number generators.
    pub seed: u64,
    /// Time that a stopping VM gives the balancer to notice that it isn't ready any more.
    pub balancer_wait: time::Duration,
}

impl Config {
    /// Returns the configuration of a site with `services` and 3 VMs in 3 data centres.
    pub fn new(services: Vec<Spec>) -> Self {
        Self {
            services,
            vms: 3,
            data_centres: 3,
            policy: query::Policy::Full,
            seed: 1,
            balancer_wait: time::Duration::from_millis(600),
        }
    }
}

/// A running site; dropping it stops everything in it.
#[derive(Debug)]
pub struct Site {
    /// Stand-in for the platform.
    pub platform: platform::Server,
    /// Services with their upstreams.
    pub services: Vec<Service>,
    /// VMs that were started and neither stopped nor killed.
    pub vms: Vec<RunningVm>,
    /// Load balancer that picks the VM for a caller's request.
    pub balancer: sync::Arc<Balancer>,
    config: Config,
    /// Number of VMs started so far, which numbers the next one.
    started: usize,
}

/// Returns the `number`th data centre, wrapping around after `count`.
pub fn data_centre(number: usize, count: usize) -> ids::DataCentre {
    service::parse_id(format!("dc-{}", number % count.max(1)))
}

impl Site {
    /// Starts everything and waits until every VM is ready.
    ///
    /// # Errors
    /// If a part can't start or a VM isn't ready in time.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::Server::start(any).await?;
        let mut services = Vec::new();
        for (number, spec) in config.services.iter().enumerate() {
            let seed = config.seed.wrapping_mul(1009).wrapping_add(number as u64);
            let service = Service::start(spec.clone(), config.data_centres, seed, None).await?;
            service.publish(&platform);
            services.push(service);
        }
        let balancer = Balancer::start();
        let mut site = Self {
            platform,
            services,
            vms: Vec::new(),
            balancer,
            config,
            started: 0,
        };
        for _ in 0..site.config.vms {
            site.add().await?;
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// Starts one more VM under a new name and returns before it is ready.
    ///
    /// # Errors
    /// If the VM can't start.
    pub async fn add(&mut self) -> Result<(), Error> {
        let number = self.started;
        self.started += 1;
        let config = self.vm_config(number);
        let vm = RunningVm::start(config).await?;
        self.vms.push(vm);
        self.publish_vms();
        Ok(())
    }

    /// Waits until the balancer has seen that every VM is ready.
    ///
    /// # Errors
    /// If a VM isn't ready in time.
    pub async fn wait_until_ready(&self) -> Result<(), Error> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for vm in &self.vms {
            while !self.balancer.is_ready(vm.id()) {
                if tokio::time::Instant::now() > deadline {
                    return Err(Error::NotReady {
                        vm: vm.id().clone(),
                        open_files: OpenFiles::count(),
                    });
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Kills the VM at `index` abruptly and removes it from the site. The platform lists
    /// the change after its lag, and the balancer notices at its next probe.
    pub fn kill(&mut self, index: usize) -> ids::Vm {
        let vm = self.vms.remove(index);
        let id = vm.id().clone();
        vm.kill();
        self.publish_vms();
        id
    }

    /// Removes the VM at `index` and stops it gracefully; the returned task ends when it
    /// has stopped.
    pub fn stop(&mut self, index: usize) -> tokio::task::JoinHandle<()> {
        let vm = self.vms.remove(index);
        self.publish_vms();
        let balancer = sync::Arc::clone(&self.balancer);
        tokio::spawn(async move {
            let id = vm.id().clone();
            vm.stop().await;
            balancer.remove(&id);
        })
    }

    /// Returns the service named `id`.
    ///
    /// # Panics
    /// If the site has no service of that name.
    #[expect(
        clippy::expect_used,
        reason = "scenarios only ask for services that they configured"
    )]
    pub fn service(&self, id: &str) -> &Service {
        let found = self
            .services
            .iter()
            .find(|service| service.id().as_str() == id);
        found.expect("a service of this site")
    }

    /// Returns a client of the platform's store.
    ///
    /// # Errors
    /// If the client can't be set up.
    pub fn store(&self) -> Result<store::Client, store::Error> {
        let metrics = geraniumgauge::metrics::Metrics::new();
        let metrics = metrics.map_err(|e| store::Error::Unavailable {
            reason: e.to_string(),
        })?;
        let clock = geraniumgauge::time::Clock::start();
        store::Client::new(self.platform.url(), clock, &metrics.meter())
    }

    fn vm_config(&self, number: usize) -> vm::Config {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = vm::Config::new(
            service::parse_id(format!("vm-{number}")),
            data_centre(number, self.config.data_centres),
            self.platform.url(),
        );
        config.callers = any;
        config.operators = any;
        config.mesh = any;
        config.seeds = self.vms.iter().map(RunningVm::mesh_address).collect();
        config.policy = self.config.policy;
        config.balancer_wait = self.config.balancer_wait;
        config
    }

    /// Sends the current list of VMs to the platform and adds new ones to the balancer.
    fn publish_vms(&self) {
        let entry = |vm: &RunningVm| store::Vm {
            vm: vm.id().clone(),
            address: vm.mesh_address(),
            data_centre: vm.data_centre().clone(),
            leaving: false,
        };
        self.platform
            .state()
            .set_vms(self.vms.iter().map(entry).collect());
        for vm in &self.vms {
            self.balancer
                .add(vm.id(), vm.callers_address(), vm.operators_address());
        }
    }
}
