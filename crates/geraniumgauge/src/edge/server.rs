//! Accepts callers' connections.

use std::cell;
use std::net;
use std::rc;
use std::time;

use crate::edge;
use crate::edge::caller;
use crate::edge::engine;

/// Pause after a connection couldn't be accepted, such as for want of
/// descriptors: trying again at once would only burn time.
pub(super) const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Accepts callers and serves each in a task of its own.
#[derive(Debug)]
pub struct Server {
    engine: edge::Engine,
    listener: tokio::net::TcpListener,
    open: rc::Rc<cell::Cell<usize>>,
    most: usize,
}

impl Server {
    /// Listens on `address` for at most `most` connections at once.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub async fn bind(
        engine: edge::Engine,
        address: net::SocketAddr,
        most: usize,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        Ok(Self {
            engine,
            listener,
            open: rc::Rc::new(cell::Cell::new(0)),
            most,
        })
    }

    /// The address that callers connect to.
    ///
    /// # Errors
    /// Where the system doesn't tell it.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Connections open, shared with whoever waits for their end.
    pub fn open(&self) -> rc::Rc<cell::Cell<usize>> {
        self.open.clone()
    }

    /// Accepts until the edge closes.
    pub async fn run(self) {
        let mut phases = self.engine.phases();
        loop {
            let closing = phases.wait_for(|phase| *phase >= engine::Phase::Closing);
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = closing => return,
            };
            match accepted {
                Ok((stream, _)) if self.open.get() < self.most => self.serve(stream),
                // Dropping it closes it: nothing was read.
                Ok(_) => log::warn!(open = self.open.get(); "too many connections; one closed"),
                Err(error) => {
                    log::warn!(error:% = error; "connection not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
