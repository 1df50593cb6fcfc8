//! The tasks of one connection to an upstream.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::net::tcp;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::pool;
use crate::edge::state;
use crate::h1;
use crate::rate;

/// Longest wait for a connection. One without power doesn't refuse.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// Largest reply that is passed on. Replies are held whole, so that one that
/// breaks off never looks complete.
const MAX_REPLY: rate::Bytes = rate::Bytes(8 << 20);
/// How long sent bytes may stay unacknowledged before the connection fails. A
/// connection may go silent for good while new ones work.
pub(super) const UNACKED: time::Duration = time::Duration::from_millis(1000);
/// Room for a usual reply; a larger one makes the buffer grow.
const BUFFER: usize = 4096;

/// A connection to be opened and then read.
pub(super) struct Opening {
    pub(super) engine: edge::Engine,
    pub(super) link: pool::Link,
    pub(super) address: net::SocketAddr,
    /// Whether the next reply has no body.
    pub(super) head_only: rc::Rc<cell::Cell<bool>>,
}

impl Opening {
    pub(super) async fn run(self) {
        let (reader, writer) = match connect(self.address).await {
            Ok(stream) => stream.into_split(),
            Err(error) => {
                let error = error.to_string();
                return self
                    .engine
                    .with(|state, now| state.unreachable(self.link, &error, now));
            }
        };
        let link = self.link;
        self.engine
            .with(|state, now| state.connected(link, writer, now));
        let why = match self.read(reader).await {
            Ok(()) => return,
            Err(error) => error.to_string(),
        };
        self.engine.with(|state, now| state.ended(link, &why, now));
    }

    /// Reads replies until the connection ends.
    async fn read(&self, mut reader: tcp::OwnedReadHalf) -> Result<(), h1::Error> {
        let mut codec = h1::ReplyCodec::new(*self.engine.names(), MAX_REPLY);
        let mut buffer = bytes::BytesMut::new();
        loop {
            buffer.reserve(BUFFER);
            let count = reader.read_buf(&mut buffer).await?;
            if !self.engine.is_busy(self.link) {
                return Err(h1::Error::Malformed("idle connection ended or spoke"));
            }
            codec.expect(self.head_only.get());
            loop {
                let decoded = if count == 0 {
                    codec.decode_eof(&mut buffer)?
                } else {
                    codec.decode(&mut buffer)?
                };
                let Some(reply) = decoded else {
                    break;
                };
                let more = !buffer.is_empty();
                let link = self.link;
                if !self
                    .engine
                    .with(|state, now| state.replied(link, reply, more, now))
                {
                    return Ok(());
                }
            }
            if buffer.is_empty() {
                // An idle connection keeps no buffer.
                buffer = bytes::BytesMut::new();
            }
            if count == 0 {
                return Err(h1::Error::Malformed("connection ended"));
            }
        }
    }
}

/// Opens a connection to an upstream or another VM.
pub(super) async fn connect(address: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
    let connect = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT, connect).await??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets what every connection of the edge needs.
pub(super) fn prepare(stream: &tokio::net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED))
}

/// Stops calls that nobody waits for, until there are none.
pub(super) async fn sweep(engine: edge::Engine) {
    tokio::time::sleep(state::ORPHAN_GRACE).await;
    while let Some(due) = engine.with(|state, now| state.sweep(now)) {
        tokio::time::sleep_until(engine.clock().instant(due)).await;
    }
}
