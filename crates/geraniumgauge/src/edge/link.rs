//! The tasks that open and read connections to upstreams.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::pool;
use crate::edge::receiver;
use crate::edge::state;
use crate::h1;
use crate::memory;
use crate::rate;

/// Timeout of connecting to an upstream or a VM. A host that is powered off never
/// refuses a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Largest head and largest body of a reply that is passed on. Replies are buffered whole, so
/// that a truncated one never looks complete.
pub(super) const MAX_REPLY: rate::Bytes = rate::Bytes(8 << 20);
/// How long sent bytes may stay unacknowledged before the connection fails. A
/// connection may stay dead while new ones to the same host work.
pub(super) const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// How long, and how often at most, a reply waits for memory before its call fails.
const ROOM_WAIT: time::Duration = time::Duration::from_millis(10);
const MAX_ROOM_WAITS: u32 = 100;
/// Send buffer of a connection to an upstream, in bytes.
const SEND_BUFFER_SIZE: usize = 64 << 10;
/// Initial size of the read buffer, enough for a typical reply.
const READ_BUFFER_SIZE: usize = 4096;
/// Largest buffer space for a read of a body.
const MAX_READ_SIZE: usize = 16 << 10;

/// A connection to an upstream that is to be opened and then read.
pub(super) struct Opening {
    pub(super) engine: edge::Engine,
    pub(super) link: pool::Link,
    pub(super) address: net::SocketAddr,
    /// Whether the next reply answers a HEAD request and so has no body.
    pub(super) head_only: rc::Rc<cell::Cell<bool>>,
}

impl Opening {
    /// Opens the connection and serves it until it ends.
    pub(super) async fn run(self) {
        let (receiver, sender) = match connect(self.address).await {
            Ok(stream) => {
                limit_send_buffer(&stream);
                receiver::Receiver::split(stream)
            }
            Err(error) => {
                return self
                    .engine
                    .with(|state, now| state.unreachable(self.link, &error, now));
            }
        };
        let link = self.link;
        self.engine
            .with(|state, now| state.connected(link, sender, now));
        let why = match self.read(receiver).await {
            Ok(()) => return,
            Err(error) => error.to_string(),
        };
        self.engine.with(|state, now| state.ended(link, &why, now));
    }

    /// Reads replies until the connection ends.
    async fn read(&self, mut receiver: receiver::Receiver) -> Result<(), h1::Error> {
        let budget = self.engine.places().budget().clone();
        let codec = h1::ReplyCodec::new(*self.engine.names(), MAX_REPLY);
        let mut codec = codec.with_budget(budget);
        let mut buffer = bytes::BytesMut::new();
        loop {
            buffer.reserve(codec.missing().clamp(READ_BUFFER_SIZE, MAX_READ_SIZE));
            let count = receiver.read(&mut buffer).await?;
            if !self.engine.is_busy(self.link) {
                return Err(h1::Error::Malformed(
                    "idle connection closed, or sent unexpected data",
                ));
            }
            codec.expect(self.head_only.get());
            loop {
                let decoded = if count == 0 {
                    codec.decode_eof(&mut buffer)
                } else {
                    codec.decode(&mut buffer)
                };
                let reply = match decoded {
                    Ok(Some(reply)) => reply,
                    Ok(None) => break,
                    Err(h1::Error::NoMemory(exhausted)) if self.wait_for_room(exhausted).await => {
                        continue;
                    }
                    Err(error) => return Err(error),
                };
                let extra_bytes = !buffer.is_empty();
                let link = self.link;
                if !self
                    .engine
                    .with(|state, now| state.replied(link, reply, extra_bytes, now))
                {
                    return Ok(());
                }
            }
            if buffer.is_empty() {
                // Frees the buffer while the connection is idle.
                buffer = bytes::BytesMut::new();
            }
            if count == 0 {
                return Err(h1::Error::Malformed("connection ended"));
            }
        }
    }
}

impl Opening {
    /// Waits until there is memory for a reply, while others' answers go. Returns whether there
    /// may be.
    async fn wait_for_room(&self, exhausted: memory::Exhausted) -> bool {
        let places = self.engine.places();
        for _ in 0..MAX_ROOM_WAITS {
            let room_made = places.make_room(None, exhausted.missing).await;
            if room_made || places.budget().has_room_for(exhausted.missing) {
                return true;
            }
            tokio::time::sleep(ROOM_WAIT).await;
        }
        false
    }
}

/// Opens a connection to an upstream or another VM.
pub(super) async fn connect(address: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
    let connect = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Limits what the system buffers for an upstream that doesn't read. Its default grows to
/// megabytes.
fn limit_send_buffer(stream: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_send_buffer_size(SEND_BUFFER_SIZE) {
        log::warn!(error:% = error; "can't limit the send buffer to an upstream");
    }
}

/// Sets the socket options that every connection of the edge needs.
pub(super) fn set_socket_options(stream: &tokio::net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Stops abandoned calls after their grace period, until there are none.
pub(super) async fn sweep(engine: edge::Engine) {
    tokio::time::sleep(state::ABANDONED_CALL_GRACE).await;
    while let Some(due) = engine.with(|state, now| state.sweep(now)) {
        tokio::time::sleep_until(engine.clock().instant(due)).await;
    }
}
