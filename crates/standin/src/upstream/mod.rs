//! Stand-in for an upstream server, with limited slots and connections, index versions,
//! and the faults that the query tier must tolerate.

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

/// A running upstream; dropping it stops it. A crash closes its port and all its
/// connections; it listens again at the same address after `restart_ms`, and runs requests
/// more slowly at first (`cold_factor`).
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    state: sync::Arc<State>,
    stop: CancellationToken,
}

impl Server {
    /// Binds the configured address and starts to serve requests.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let listener = serve::bind(config.address).await?;
        let address = listener.local_addr()?;
        let state = sync::Arc::new(State::new(config));
        let stop = CancellationToken::new();
        tokio::spawn(run_with_restarts(
            listener,
            sync::Arc::clone(&state),
            stop.clone(),
        ));
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

    /// Returns its faults, counts and log of registrations that ran.
    pub fn state(&self) -> &State {
        &self.state
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves until `stop` is cancelled, restarting after each crash.
async fn run_with_restarts(
    mut listener: tokio::net::TcpListener,
    state: sync::Arc<State>,
    stop: CancellationToken,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let process_stop = stop.child_token();
        state.restart(process_stop.clone());
        let handler = sync::Arc::new(routes::Routes::new(
            sync::Arc::clone(&state),
            process_stop.clone(),
        ));
        serve::run(listener, handler, process_stop).await;
        if stop.is_cancelled() {
            return;
        }
        let restart_delay = time::Duration::from_millis(state.faults().restart_ms);
        tokio::time::sleep(restart_delay).await;
        let Ok(bound) = serve::bind(address).await else {
            return;
        };
        listener = bound;
    }
}
