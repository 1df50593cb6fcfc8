//! The listener for callers' connections.

use std::cell;
use std::net;
use std::rc;
use std::time;

use crate::edge;
use crate::edge::caller;
use crate::edge::engine;

/// Delay before accepting again after an error, such as too many open descriptors,
/// which retrying at once wouldn't solve.
pub(super) const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts callers' connections and serves each in its own task.
#[derive(Debug)]
pub struct Server {
    engine: edge::Engine,
    listener: tokio::net::TcpListener,
    open: rc::Rc<cell::Cell<usize>>,
    max_connections: usize,
}

impl Server {
    /// Listens on `address` for at most `max_connections` at the same time.
    ///
    /// # Errors
    /// If listening on the address fails.
    pub async fn bind(
        engine: edge::Engine,
        address: net::SocketAddr,
        max_connections: usize,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        Ok(Self {
            engine,
            listener,
            open: rc::Rc::new(cell::Cell::new(0)),
            max_connections,
        })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    /// If the system doesn't return the address.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the shared count of open connections.
    pub fn open(&self) -> rc::Rc<cell::Cell<usize>> {
        self.open.clone()
    }

    /// Accepts connections until the edge is closing.
    pub async fn run(self) {
        let mut phases = self.engine.phases();
        loop {
            let closing = phases.wait_for(|phase| *phase >= engine::Phase::Closing);
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = closing => return,
            };
            match accepted {
                Ok((stream, _)) if self.open.get() < self.max_connections => self.serve(stream),
                // Dropping the stream closes it before any request is read.
                Ok(_) => log::warn!(open = self.open.get(); "too many connections; one closed"),
                Err(error) => {
                    log::warn!(error:% = error; "connection not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, stream: tokio::net::TcpStream) {
        let open = self.open.clone();
        open.set(open.get() + 1);
        let connection = caller::Connection::new(self.engine.clone(), stream);
        tokio::task::spawn_local(async move {
            connection.run().await;
            open.set(open.get() - 1);
        });
    }
}
