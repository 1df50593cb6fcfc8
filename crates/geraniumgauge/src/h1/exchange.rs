//! Single calls to one server over a kept connection.

use std::io;
use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;

use crate::h1;
use crate::rate;
use crate::time as clock;

/// Longest wait for a connection.
const CONNECT: time::Duration = time::Duration::from_millis(700);
/// Silence after which the system probes a connection, and between probes: one
/// that lost its other end without a word is found out within three of them,
/// without a call that is paid for.
const PROBE: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer after which a connection has failed.
const PROBES: u32 = 2;
/// How much longer a whole reply may take than its first byte.
const LONGEST: time::Duration = time::Duration::from_secs(3);
/// Largest reply.
const MAX_REPLY: rate::Bytes = rate::Bytes(8 << 20);

/// Why a call has no reply.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// Nothing was sent.
    #[display("no connection: {_0}")]
    NotSent(io::Error),
    /// It was sent, and may have been carried out.
    #[display("no reply: {_0}")]
    NoReply(h1::Error),
    /// It was sent, and no reply came in time.
    #[display("no reply in time")]
    Silent,
}

/// Calls one server, one call at a time.
#[derive(Debug)]
pub struct Exchange {
    address: net::SocketAddr,
    names: h1::Names,
    stream: Option<tokio::net::TcpStream>,
    heard: clock::Latest,
}

impl Exchange {
    /// For the server at `address`; connects with the first call.
    pub fn new(address: net::SocketAddr, names: h1::Names) -> Self {
        Self {
            address,
            names,
            stream: None,
            heard: clock::Latest::default(),
        }
    }

    /// When bytes of the server came last.
    pub fn heard(&self) -> clock::Latest {
        self.heard.clone()
    }

    /// Sends `request`, a whole message, and waits for its reply, which may be
    /// silent for `wait` at most. Where a kept connection turns out closed before
    /// any byte of the reply, `repeatable` says whether the call may go out once
    /// more.
    ///
    /// # Errors
    /// Where no reply came; the next call then uses a new connection.
    pub async fn call(
        &mut self,
        request: &[u8],
        wait: time::Duration,
        repeatable: bool,
    ) -> Result<h1::Reply, Failure> {
        let kept = self.stream.is_some();
        match self.once(request, wait).await {
            Err(Failure::NoReply(_)) if kept && repeatable => self.once(request, wait).await,
            result => result,
        }
    }

    async fn once(&mut self, request: &[u8], wait: time::Duration) -> Result<h1::Reply, Failure> {
        // Taken out, so that a call that is dropped half way drops it too.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await.map_err(Failure::NotSent)?,
        };
        let (reply, more) = exchange(&mut stream, request, wait, self.names, &self.heard).await?;
        if !reply.close && !more {
            self.stream = Some(stream);
        }
        Ok(reply)
    }

    async fn connect(&self) -> io::Result<tokio::net::TcpStream> {
        let connect = tokio::net::TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT, connect).await??;
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(&stream);
        let probes = socket2::TcpKeepalive::new()
            .with_time(PROBE)
            .with_interval(PROBE)
            .with_retries(PROBES);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(PROBE * PROBES))?;
        Ok(stream)
    }
}

/// Sends `request` and reads its reply, which may be silent for `wait` before
/// and within it, and take [`LONGEST`] beyond that.
pub(super) async fn exchange(
    stream: &mut (impl tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin),
    request: &[u8],
    wait: time::Duration,
    names: h1::Names,
    heard: &clock::Latest,
) -> Result<(h1::Reply, bool), Failure> {
    let end = tokio::time::Instant::now() + wait + LONGEST;
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
        heard.note();
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
