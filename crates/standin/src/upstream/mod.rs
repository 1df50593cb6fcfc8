//! The stand-in of an upstream server: slots, connections, index versions, and
//! the faults that the product must bear.

mod config;
pub mod corpus;
mod routes;
mod state;

pub use config::Config;
pub use config::Faults;
pub use state::Counts;
pub use state::Run;
pub use state::State;

use std::io;
use std::net;
use std::sync;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::serve;

/// A running upstream; dropping it ends it. A crash closes its port and all its
/// connections; it comes back at the same address after its restart time, cold.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    state: sync::Arc<State>,
    stop: CancellationToken,
}

impl Server {
    /// Binds the configured address and serves.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let listener = serve::bind(config.address).await?;
        let address = listener.local_addr()?;
        let state = sync::Arc::new(State::new(config));
        let stop = CancellationToken::new();
        tokio::spawn(live(listener, sync::Arc::clone(&state), stop.clone()));
        Ok(Self {
            address,
            state,
            stop,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Its faults, counts and log of what it ran.
    pub fn state(&self) -> &State {
        &self.state
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// One life after the other, until `stop`.
async fn live(
    mut listener: tokio::net::TcpListener,
    state: sync::Arc<State>,
    stop: CancellationToken,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let life = stop.child_token();
        state.begin(life.clone());
        let handler = sync::Arc::new(routes::Routes::new(sync::Arc::clone(&state), life.clone()));
        serve::run(listener, handler, life).await;
        if stop.is_cancelled() {
            return;
        }
        let restart = time::Duration::from_millis(state.faults().restart_ms);
        tokio::time::sleep(restart).await;
        let Ok(bound) = serve::bind(address).await else {
            return;
        };
        listener = bound;
    }
}
