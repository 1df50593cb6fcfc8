//! A VM with all of its components. The daemon runs one; tests and simulators run
//! several in one process, each on its own runtime.

mod backend;
mod config;
mod dispatch;
mod wiring;

pub use config::Config;

use std::io;
use std::net;
use std::sync;
use std::time;

use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::document;
use crate::home;
use crate::http;
use crate::ledger;
use crate::member;
use crate::mesh;
use crate::metrics;
use crate::query;
use crate::slo;
use crate::store;

/// Attempts to find a port that is free for both TCP and UDP when the address has
/// port 0.
const MAX_BIND_ATTEMPTS: u32 = 20;

/// Failure to start a VM.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The VM can't listen on the mesh address.
    #[from(ignore)]
    #[display("can't listen for other VMs on {address}: {error}; is another process using it?")]
    #[error(ignore)]
    Mesh {
        /// The address.
        address: net::SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The HTTP server for callers or the one for operators can't start.
    #[display("{_0}")]
    Http(http::Error),
    /// Metrics can't be set up.
    #[display("{_0}")]
    Metrics(metrics::Error),
    /// The store's client can't be set up.
    #[display("{_0}")]
    Store(store::Error),
}

/// Addresses on which a VM listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP address for callers.
    pub callers: net::SocketAddr,
    /// HTTP address for operators.
    pub operators: net::SocketAddr,
    /// TCP and UDP address for other VMs.
    pub mesh: net::SocketAddr,
}

/// A running VM. Dropping it ends its tasks without a graceful stop.
pub struct Vm {
    config: Config,
    stop: DropGuard,
    gate: http::Gate,
    callers: http::Server,
    operators: http::Server,
    mesh_address: net::SocketAddr,
    components: sync::Arc<Components>,
}

/// Handles of a VM's components.
pub(crate) struct Components {
    pub(crate) mesh: sync::Arc<mesh::Mesh>,
    pub(crate) member: member::Service,
    pub(crate) home: home::Service,
    pub(crate) query: query::Service,
    pub(crate) ledger: ledger::Service,
    pub(crate) document: document::Service,
    pub(crate) slo: slo::Service,
    pub(crate) metrics: metrics::Metrics,
}

impl Vm {
    /// Binds the addresses and starts all components. The VM listens immediately;
    /// `/readyz` reports when it is ready for requests.
    ///
    /// # Errors
    /// When the VM can't listen on an address or a component can't be set up.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let (listener, socket) = bind(config.mesh).await?;
        let mesh_address = listener
            .local_addr()
            .map_err(|e| mesh_error(config.mesh, e))?;
        let stop = CancellationToken::new();
        let wiring = wiring::Wiring::new(&config, stop.clone())?;
        let components = sync::Arc::new(wiring.start(listener, socket, mesh_address));
        let gate = http::Gate::new(config.limits.requests);
        let backend = backend::Backend::new(&config, &components, gate.clone(), wiring.clock());
        let backend: http::Shared = sync::Arc::new(backend);
        let callers = http::Server::callers(
            config.callers,
            sync::Arc::clone(&backend),
            gate.clone(),
            config.limits,
        );
        let callers = callers.await?;
        let operators = http::Server::operators(config.operators, backend, gate.clone()).await?;
        Ok(Self {
            config,
            stop: stop.drop_guard(),
            gate,
            callers,
            operators,
            mesh_address,
            components,
        })
    }

    /// Returns the addresses on which the VM listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            callers: self.callers.address(),
            operators: self.operators.address(),
            mesh: self.mesh_address,
        }
    }

    /// Stops gracefully: running requests are finished.
    ///
    /// The order matters. First `/readyz` reports that the VM is not ready and other
    /// VMs are notified, while everything still works: the balancer needs time to
    /// notice, and requests that it sends meanwhile are answered. Only then
    /// does the VM wait for its own requests to end. Homes and claims finish after
    /// them, since other coordinators may still wait for them. The mesh closes last.
    pub async fn stop(self) {
        log::info!(target: "vm", "stopping: the VM is no longer ready");
        self.gate.stop();
        self.components.member.leave().await;
        self.components.home.leave();
        self.components.ledger.leave();
        tokio::time::sleep(self.config.balancer_wait).await;
        let finish = async {
            self.gate.idle().await;
            self.components.ledger.drained().await;
            self.components.home.drained().await;
        };
        if tokio::time::timeout(self.config.drain_timeout, finish)
            .await
            .is_err()
        {
            log::warn!(target: "vm", "requests were still running after the grace period");
        }
        self.callers.stop().await;
        self.components.slo.flush().await;
        self.components.mesh.close().await;
        self.operators.stop().await;
        drop(self.stop);
        log::info!(target: "vm", "stopped");
    }
}

/// Binds a TCP listener and a UDP socket on the same port.
async fn bind(
    address: net::SocketAddr,
) -> Result<(tokio::net::TcpListener, tokio::net::UdpSocket), Error> {
    let attempts = if address.port() == 0 {
        MAX_BIND_ATTEMPTS
    } else {
        1
    };
    let mut last_error = io::Error::other("no attempt to bind was made");
    for _ in 0..attempts {
        let listener = tokio::net::TcpListener::bind(address).await;
        let listener = listener.map_err(|error| mesh_error(address, error))?;
        let bound = listener
            .local_addr()
            .map_err(|error| mesh_error(address, error))?;
        match tokio::net::UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last_error = error,
        }
    }
    Err(mesh_error(address, last_error))
}

fn mesh_error(address: net::SocketAddr, error: io::Error) -> Error {
    Error::Mesh { address, error }
}

/// Default of [`Config::balancer_wait`].
pub const DEFAULT_BALANCER_WAIT: time::Duration = time::Duration::from_secs(5);
/// Default of [`Config::drain_timeout`].
pub const DEFAULT_DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(30);
