//! One VM: every duty, wired. The daemon runs one; tests and the stand-ins run
//! several in one process, each on a runtime of its own.

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

/// Tries for a port that is free for both TCP and UDP, where any will do.
const PORT_TRIES: u32 = 20;

/// Why a VM can't start.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From, derive_more::Error)]
pub enum Error {
    /// The mesh address can't be had.
    #[from(ignore)]
    #[display("can't listen for other VMs on {address}: {error}; is another process using it?")]
    #[error(ignore)]
    Mesh {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// A server for callers or operators can't start.
    #[display("{_0}")]
    Http(http::Error),
    /// Metrics can't be set up.
    #[display("{_0}")]
    Metrics(metrics::Error),
    /// The store's client can't be set up.
    #[display("{_0}")]
    Store(store::Error),
}

/// Where a VM listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers, HTTP.
    pub callers: net::SocketAddr,
    /// For operators, HTTP.
    pub operators: net::SocketAddr,
    /// For other VMs, TCP and UDP.
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
    duties: sync::Arc<Duties>,
}

/// Every duty's handle.
pub(crate) struct Duties {
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
    /// Binds the addresses and starts every duty. The VM listens at once, and
    /// `/readyz` says when it should get requests.
    ///
    /// # Errors
    /// Where an address can't be had or a part can't be set up.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let (listener, socket) = bind(config.mesh).await?;
        let mesh_address = listener
            .local_addr()
            .map_err(|e| mesh_error(config.mesh, e))?;
        let stop = CancellationToken::new();
        let wiring = wiring::Wiring::new(&config, stop.clone())?;
        let duties = sync::Arc::new(wiring.start(listener, socket, mesh_address));
        let gate = http::Gate::new(config.limits.requests);
        let backend = backend::Backend::new(&config, &duties, gate.clone(), wiring.clock());
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
            duties,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            callers: self.callers.address(),
            operators: self.operators.address(),
            mesh: self.mesh_address,
        }
    }

    /// Stops gracefully: whatever has begun is finished.
    ///
    /// The order matters. Readiness goes off and other VMs are told first, while
    /// everything still works: the balancer needs its time, and requests that it
    /// sends meanwhile are answered. Only then is nothing new let in. Homes and
    /// claims finish what they have after the last request of ours, since other
    /// entries may still wait for them. The mesh closes last.
    pub async fn stop(self) {
        log::info!(target: "vm", "stopping: readiness is off");
        self.gate.stop();
        self.duties.member.leave().await;
        self.duties.home.leave();
        self.duties.ledger.leave();
        tokio::time::sleep(self.config.balancer_wait).await;
        let finish = async {
            self.gate.idle().await;
            self.duties.ledger.drained().await;
            self.duties.home.drained().await;
        };
        if tokio::time::timeout(self.config.grace, finish)
            .await
            .is_err()
        {
            log::warn!(target: "vm", "requests were still running after the grace period");
        }
        self.callers.stop().await;
        self.duties.slo.flush().await;
        self.duties.mesh.close().await;
        self.operators.stop().await;
        drop(self.stop);
        log::info!(target: "vm", "stopped");
    }
}

/// Binds TCP and UDP on the same port.
async fn bind(
    address: net::SocketAddr,
) -> Result<(tokio::net::TcpListener, tokio::net::UdpSocket), Error> {
    let tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    let mut failed = io::Error::other("no try was made");
    for _ in 0..tries {
        let listener = tokio::net::TcpListener::bind(address).await;
        let listener = listener.map_err(|error| mesh_error(address, error))?;
        let taken = listener
            .local_addr()
            .map_err(|error| mesh_error(address, error))?;
        match tokio::net::UdpSocket::bind(taken).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => failed = error,
        }
    }
    Err(mesh_error(address, failed))
}

fn mesh_error(address: net::SocketAddr, error: io::Error) -> Error {
    Error::Mesh { address, error }
}

/// Time a stopping VM gives the balancer, where the settings name none.
pub const BALANCER_WAIT: time::Duration = time::Duration::from_secs(5);
/// Longest wait for requests under way after that.
pub const GRACE: time::Duration = time::Duration::from_secs(30);
