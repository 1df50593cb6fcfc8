//! Calls to one server, one at a time, over a persistent connection.

use std::io;
use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;

use crate::h1;
use crate::rate;
use crate::time as clock;

/// Timeout of connecting to the server.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// TCP keepalive time and interval. A connection whose other end has disappeared fails
/// within three intervals, without a call to detect it, which would be charged for.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// How much longer than its first byte a whole reply may take.
const MAX_REPLY_TIME: time::Duration = time::Duration::from_secs(3);
/// Largest reply head and largest reply body.
const MAX_REPLY: rate::Bytes = rate::Bytes(8 << 20);

/// The reason why a call has no reply.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    #[display("no connection: {_0}")]
    NotSent(io::Error),
    /// The call was sent and may have been carried out.
    #[display("no reply: {_0}")]
    NoReply(h1::Error),
    /// The call was sent and no reply was received in time.
    #[display("no reply in time")]
    Silent,
}

/// A client of one server that makes one call at a time.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    names: h1::Names,
    stream: Option<tokio::net::TcpStream>,
    last_received: clock::Latest,
}

impl Client {
    /// Creates a client of the server at `address`. It connects on the first call.
    pub fn new(address: net::SocketAddr, names: h1::Names) -> Self {
        Self {
            address,
            names,
            stream: None,
            last_received: clock::Latest::default(),
        }
    }

    /// Returns the shared time at which bytes were last received from the server.
    pub fn last_received(&self) -> clock::Latest {
        self.last_received.clone()
    }

    /// Sends `request`, a whole message, and waits for its reply. Fails if no byte is
    /// received for `wait`. A `repeatable` call that fails otherwise on a reused
    /// connection is sent once more, as the server may have closed that connection.
    ///
    /// # Errors
    /// If there is no reply. The next call then uses a new connection.
    pub async fn call(
        &mut self,
        request: &[u8],
        wait: time::Duration,
        repeatable: bool,
    ) -> Result<h1::Reply, Failure> {
        let reused = self.stream.is_some();
        match self.call_once(request, wait).await {
            Err(Failure::NoReply(_)) if reused && repeatable => self.call_once(request, wait).await,
            result => result,
        }
    }

    async fn call_once(
        &mut self,
        request: &[u8],
        wait: time::Duration,
    ) -> Result<h1::Reply, Failure> {
        // Taken out of `self`, so that dropping this future in the middle of a call also
        // drops the connection.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await.map_err(Failure::NotSent)?,
        };
        let (reply, extra_bytes) =
            exchange(&mut stream, request, wait, self.names, &self.last_received).await?;
        if !reply.close && !extra_bytes {
            self.stream = Some(stream);
        }
        Ok(reply)
    }

    async fn connect(&self) -> io::Result<tokio::net::TcpStream> {
        let connect = tokio::net::TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        let probes = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(KEEPALIVE_INTERVAL * MAX_KEEPALIVE_PROBES))?;
        Ok(stream)
    }
}

/// Sends `request` and reads its reply. Returns the reply and whether more bytes were
/// received after it. Fails if no byte is received for `wait`, or if the whole reply
/// takes longer than `wait` and [`MAX_REPLY_TIME`] together.
pub(super) async fn exchange(
    stream: &mut (impl tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin),
    request: &[u8],
    wait: time::Duration,
    names: h1::Names,
    last_received: &clock::Latest,
) -> Result<(h1::Reply, bool), Failure> {
    let end = tokio::time::Instant::now() + wait + MAX_REPLY_TIME;
    let sent = tokio::time::timeout(wait, stream.write_all(request)).await;
    sent.map_err(|_| Failure::Silent)?
        .map_err(|error| Failure::NoReply(error.into()))?;
    let mut codec = h1::ReplyCodec::new(names, MAX_REPLY);
    let mut buffer = bytes::BytesMut::new();
    loop {
        let until = end.min(tokio::time::Instant::now() + wait);
        let read = tokio::time::timeout_at(until, stream.read_buf(&mut buffer)).await;
        let read = read.map_err(|_| Failure::Silent)?;
        let count = read.map_err(|error| Failure::NoReply(error.into()))?;
        last_received.note();
        let decoded = if count == 0 {
            codec.decode_eof(&mut buffer)
        } else {
            codec.decode(&mut buffer)
        };
        match decoded.map_err(Failure::NoReply)? {
            Some(reply) => return Ok((reply, !buffer.is_empty())),
            None if count == 0 => {
                return Err(Failure::NoReply(h1::Error::Malformed("connection ended")));
            }
            None => {}
        }
    }
}
