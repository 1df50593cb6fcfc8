//! A whole site in one process: the platform, upstreams, VMs, and a balancer.
//!
//! Each VM runs on a thread and runtime of its own, so that it can be killed
//! without a word or frozen as a paused machine is.

mod balancer;
mod node;
mod serve;
mod service;
mod sites;

pub use balancer::Balancer;
pub use node::Node;
pub use serve::serve;
pub use service::Service;
pub use service::Spec;
pub use service::named;
pub use service::shard_id;
pub use sites::Name;
pub use sites::VMS;

use std::io;
use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::query;
use geraniumgauge::store;
use geraniumgauge::vm;

use crate::platform;

/// Longest wait for a site's VMs to become ready.
const START: time::Duration = time::Duration::from_secs(30);

/// Why a site can't be had.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// A stand-in can't listen.
    #[display("a stand-in can't listen: {_0}")]
    Listen(io::Error),
    /// A VM can't start.
    #[display("a VM can't start: {_0}")]
    Vm(vm::Error),
    /// A VM isn't ready in time.
    #[from(ignore)]
    #[display("{vm} isn't ready after {} s", START.as_secs())]
    #[error(ignore)]
    Unready {
        /// The VM.
        vm: ids::Vm,
    },
}

/// What a site is made of.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its services.
    pub services: Vec<Spec>,
    /// How many VMs it has at its start.
    pub vms: usize,
    /// Data centres, over which VMs and upstreams are spread in turn.
    pub data_centres: usize,
    /// How fan-outs are run.
    pub policy: query::Policy,
    /// Seeds the upstreams' random numbers.
    pub seed: u64,
    /// How long a stopping VM waits for the balancer.
    pub balancer_wait: time::Duration,
}

impl Config {
    /// A site of `services` with 3 VMs in 3 data centres.
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

/// A running site; dropping it ends everything in it.
#[derive(Debug)]
pub struct Site {
    /// The platform's stand-in.
    pub platform: platform::Server,
    /// The services with their upstreams.
    pub services: Vec<Service>,
    /// The VMs that were started and not taken out.
    pub nodes: Vec<Node>,
    /// Where callers' requests go.
    pub balancer: sync::Arc<Balancer>,
    config: Config,
    started: usize,
}

/// The `number`th of `count` data centres.
pub fn data_centre(number: usize, count: usize) -> ids::DataCentre {
    service::named(format!("dc-{}", number % count.max(1)))
}

impl Site {
    /// Starts everything and waits until every VM is ready.
    ///
    /// # Errors
    /// Where something can't start.
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
            nodes: Vec::new(),
            balancer,
            config,
            started: 0,
        };
        for _ in 0..site.config.vms {
            site.add().await?;
        }
        site.ready().await?;
        Ok(site)
    }

    /// Starts one more VM, under a name not used before. It isn't ready yet.
    ///
    /// # Errors
    /// Where it can't start.
    pub async fn add(&mut self) -> Result<(), Error> {
        let number = self.started;
        self.started += 1;
        let config = self.vm(number);
        let node = Node::start(config).await?;
        self.nodes.push(node);
        self.list();
        Ok(())
    }

    /// Waits until every VM is ready and the balancer has seen it.
    ///
    /// # Errors
    /// Where one isn't in time.
    pub async fn ready(&self) -> Result<(), Error> {
        let until = tokio::time::Instant::now() + START;
        for node in &self.nodes {
            while !self.balancer.is_ready(node.vm()) {
                if tokio::time::Instant::now() > until {
                    return Err(Error::Unready {
                        vm: node.vm().clone(),
                    });
                }
                tokio::time::sleep(time::Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Kills a VM without a word and takes it out; the platform's list and the
    /// balancer learn of it in their own time.
    pub fn kill(&mut self, at: usize) -> ids::Vm {
        let node = self.nodes.remove(at);
        let vm = node.vm().clone();
        node.kill();
        self.list();
        vm
    }

    /// Stops a VM gracefully; it is out once the returned handle is done.
    pub fn stop(&mut self, at: usize) -> tokio::task::JoinHandle<()> {
        let node = self.nodes.remove(at);
        self.list();
        let balancer = sync::Arc::clone(&self.balancer);
        tokio::spawn(async move {
            let vm = node.vm().clone();
            node.stop().await;
            balancer.remove(&vm);
        })
    }

    /// The service named `id`.
    ///
    /// # Panics
    /// Where the site has none of that name.
    #[expect(clippy::expect_used, reason = "scenarios ask for services they made")]
    pub fn service(&self, id: &str) -> &Service {
        let found = self
            .services
            .iter()
            .find(|service| service.id().as_str() == id);
        found.expect("a service of this site")
    }

    /// A client of the platform's store, as operators use it.
    ///
    /// # Errors
    /// Where the client can't be set up.
    pub fn store(&self) -> Result<store::Client, store::Error> {
        let metrics = geraniumgauge::metrics::Metrics::new();
        let metrics = metrics.map_err(|e| store::Error::Unavailable {
            reason: e.to_string(),
        })?;
        let clock = geraniumgauge::time::Clock::start();
        store::Client::new(self.platform.url(), clock, &metrics.meter())
    }

    fn vm(&self, number: usize) -> vm::Config {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = vm::Config::new(
            service::named(format!("vm-{number}")),
            data_centre(number, self.config.data_centres),
            self.platform.url(),
        );
        config.callers = any;
        config.operators = any;
        config.mesh = any;
        config.seeds = self.nodes.iter().map(Node::mesh).collect();
        config.policy = self.config.policy;
        config.balancer_wait = self.config.balancer_wait;
        config
    }

    /// Tells the platform and the balancer which VMs there are.
    fn list(&self) {
        let entry = |node: &Node| store::Vm {
            vm: node.vm().clone(),
            address: node.mesh(),
            data_centre: node.data_centre().clone(),
            leaving: false,
        };
        self.platform
            .state()
            .set_vms(self.nodes.iter().map(entry).collect());
        for node in &self.nodes {
            self.balancer
                .add(node.vm(), node.callers(), node.operators());
        }
    }
}
