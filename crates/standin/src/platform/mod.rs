//! Stand-in for the platform: its object API and its list of VMs.

mod faults;
mod routes;
mod state;

pub use faults::Faults;
pub use state::Counts;
pub use state::State;

use std::io;
use std::net;
use std::sync;

use tokio_util::sync::CancellationToken;

use crate::serve;

/// A running platform; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    state: sync::Arc<State>,
    stop: CancellationToken,
}

impl Server {
    /// Binds `address` and starts to serve requests.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start(address: net::SocketAddr) -> io::Result<Self> {
        let listener = serve::bind(address).await?;
        let address = listener.local_addr()?;
        let state = sync::Arc::new(State::default());
        let stop = CancellationToken::new();
        let handler = sync::Arc::new(routes::Routes::new(sync::Arc::clone(&state)));
        tokio::spawn(serve::run(listener, handler, stop.clone()));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the base URL of its paths.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns its objects, list of VMs, faults and counts.
    pub fn state(&self) -> &State {
        &self.state
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
