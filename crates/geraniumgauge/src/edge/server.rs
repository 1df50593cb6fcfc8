//! The listener for callers' connections.

use std::cell;
use std::net;
use std::rc;
use std::time;

use crate::edge;
use crate::edge::caller;
use crate::edge::engine;
use crate::rate;

/// Delay before accepting again after an error, such as too many open descriptors,
/// which retrying at once wouldn't solve.
pub(super) const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts callers' connections and serves each in its own task.
#[derive(Debug)]
pub struct Server {
    engine: edge::Engine,
    listener: tokio::net::TcpListener,
    open: rc::Rc<cell::Cell<usize>>,
}

impl Server {
    /// Listens on `address`.
    ///
    /// # Errors
    /// If listening on the address fails.
    pub async fn bind(engine: edge::Engine, address: net::SocketAddr) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        limit_buffers(&listener, engine.capacity().socket_buffer);
        Ok(Self {
            engine,
            listener,
            open: rc::Rc::new(cell::Cell::new(0)),
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
                Ok((stream, _)) => self.serve(stream),
                Err(error) => {
                    log::warn!(error:% = error; "connection not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection. If there is no place for it, it is closed before any request is
    /// read.
    fn serve(&self, stream: tokio::net::TcpStream) {
        let Some(place) = self.engine.places().enter() else {
            return;
        };
        let open = self.open.clone();
        open.set(open.get() + 1);
        let connection = caller::Connection::new(self.engine.clone(), stream, place);
        tokio::task::spawn_local(async move {
            connection.run().await;
            open.set(open.get() - 1);
        });
    }
}

/// Limits the buffers of the connections that are accepted. The system's default grows to
/// megabytes for each connection that isn't read.
pub(super) fn limit_buffers(listener: &tokio::net::TcpListener, size: rate::Bytes) {
    let socket = socket2::SockRef::from(listener);
    let size = usize::try_from(size.0).unwrap_or(usize::MAX);
    let limited = socket.set_recv_buffer_size(size);
    if let Err(error) = limited.and_then(|()| socket.set_send_buffer_size(size)) {
        log::warn!(error:% = error, bytes = size; "can't limit the buffers of connections");
    }
}
