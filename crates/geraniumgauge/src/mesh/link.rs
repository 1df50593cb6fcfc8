//! A link opened by this VM: connects, exchanges hellos, writes the queued frames,
//! and reads the peer's replies to heartbeats.

use std::net;
use std::sync;
use std::time;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as sockets;
use tokio::net::tcp;
use tokio_util::codec as framing;
use tokio_util::sync as signals;

use crate::ids;
use crate::mesh::codec;
use crate::mesh::heartbeat;
use crate::mesh::instruments;
use crate::mesh::message;
use crate::mesh::outbox;

/// Reason why a link ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub(super) enum End {
    /// All queued frames were written, followed by a bye.
    #[display("closed")]
    Closed,
    /// The peer is no longer a member.
    #[display("VM {_0} is no longer a member")]
    NotMember(ids::Vm),
    /// The peer has not answered heartbeats in time.
    #[display("the peer did not answer heartbeats")]
    Silent,
    /// The peer has restarted; this link was to its earlier process.
    #[display("the peer has restarted")]
    Restarted,
    /// Connecting or exchanging hellos failed; no queued frame was written.
    #[display("{_0}")]
    NotOpened(String),
    /// Reading or writing failed.
    #[display("{_0}")]
    Failed(String),
}

/// Address, hello, timeouts and limits of a link.
#[derive(Debug, Clone)]
pub(super) struct Settings {
    pub(super) address: net::SocketAddr,
    pub(super) hello: message::Hello,
    /// Timeout of connecting, and again of the peer's hello.
    pub(super) connect_timeout: time::Duration,
    pub(super) queue: outbox::Limits,
    pub(super) heartbeat: heartbeat::Limits,
}

/// One link, shared by its task and the senders.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: ids::Vm,
    settings: Settings,
    pub(super) outbox: outbox::Outbox,
    heartbeat: sync::Mutex<heartbeat::Monitor>,
    aborted: signals::CancellationToken,
    end: sync::OnceLock<End>,
    /// The peer's incarnation, set once its hello has arrived.
    peer_incarnation: sync::OnceLock<ids::Incarnation>,
    instruments: sync::Arc<instruments::Instruments>,
}

type Reader = framing::FramedRead<tcp::OwnedReadHalf, codec::Codec>;

impl Link {
    pub(super) fn new(
        peer: ids::Vm,
        settings: Settings,
        instruments: sync::Arc<instruments::Instruments>,
    ) -> Self {
        Self {
            peer,
            outbox: outbox::Outbox::new(settings.queue),
            heartbeat: sync::Mutex::new(heartbeat::Monitor::new(settings.heartbeat)),
            aborted: signals::CancellationToken::new(),
            end: sync::OnceLock::new(),
            peer_incarnation: sync::OnceLock::new(),
            settings,
            instruments,
        }
    }

    /// Queues a frame.
    pub(super) fn send(&self, body: &message::Body, size: usize) -> Result<(), outbox::Refusal> {
        self.outbox.push(body, size)?;
        outbox::lock(&self.heartbeat).handle(heartbeat::Event::FrameQueued);
        Ok(())
    }

    /// Handles a tick of the heartbeat timer.
    pub(super) fn tick(&self) {
        let action = outbox::lock(&self.heartbeat).handle(heartbeat::Event::Tick);
        match action {
            Some(heartbeat::Action::Send(number)) => self.send_heartbeat(number),
            Some(heartbeat::Action::Silent) => self.abort(End::Silent),
            Some(heartbeat::Action::Idle) => drop(self.outbox.close_if_empty()),
            None => {}
        }
    }

    /// Queues a heartbeat. If the queue is full, the heartbeat is dropped and so goes
    /// unanswered; a link whose queue stays full that long counts as silent too.
    fn send_heartbeat(&self, number: u64) {
        let body = message::Body::Heartbeat(number);
        drop(self.outbox.push(&body, body.encoded_len()));
    }

    /// Ends the link at once; queued frames are lost.
    pub(super) fn abort(&self, end: End) {
        drop(self.end.set(end));
        self.aborted.cancel();
    }

    /// Whether the peer of this link has an earlier incarnation than `incarnation`.
    pub(super) fn is_older(&self, incarnation: ids::Incarnation) -> bool {
        self.peer_incarnation
            .get()
            .is_some_and(|known| *known < incarnation)
    }

    /// Runs the link until it ends.
    pub(super) async fn run(&self) -> End {
        let ended = tokio::select! {
            biased;
            () = self.aborted.cancelled() => None,
            ended = self.run_connection() => ended.err(),
        };
        self.outbox.discard();
        let abort_reason = self.end.get().cloned();
        abort_reason.or(ended).unwrap_or(End::Closed)
    }

    async fn run_connection(&self) -> Result<(), End> {
        let (reader, mut write) = self.open().await.map_err(End::NotOpened)?;
        instruments::increment(&self.instruments.opened);
        let reading = self.read(reader);
        tokio::pin!(reading);
        tokio::select! {
            ended = &mut reading => return Err(End::Failed(ended)),
            written = self.write(&mut write) => {
                written.map_err(|error| End::Failed(text(error)))?;
            }
        }
        // The peer closes after the last frame. Closing first, with its replies
        // unread, would reset the connection and drop frames in flight.
        drop(tokio::time::timeout(self.settings.connect_timeout, reading).await);
        Ok(())
    }

    /// Connects and exchanges hellos.
    async fn open(&self) -> Result<(Reader, tcp::OwnedWriteHalf), String> {
        let timeout = self.settings.connect_timeout;
        let connect = sockets::TcpStream::connect(self.settings.address);
        let connected = tokio::time::timeout(timeout, connect).await;
        let stream = connected.map_err(|_| "connecting timed out".to_owned())?;
        let stream = stream.map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let (read, mut write) = stream.into_split();
        let codec = codec::Codec::new(self.settings.queue.max_frame_bytes);
        let mut reader = framing::FramedRead::new(read, codec);
        let handshake = self.exchange_hello(&mut reader, &mut write);
        let done = tokio::time::timeout(timeout, handshake).await;
        done.map_err(|_| "no hello arrived in time".to_owned())??;
        Ok((reader, write))
    }

    /// Exchanges hellos and checks the peer's name. Frames are held back until then,
    /// since the address may have been taken over by another VM.
    async fn exchange_hello(
        &self,
        reader: &mut Reader,
        write: &mut tcp::OwnedWriteHalf,
    ) -> Result<(), String> {
        let codec = codec::Codec::new(self.settings.queue.max_frame_bytes);
        let mut writer = framing::FramedWrite::new(write, codec);
        let hello = message::Body::Hello(self.settings.hello.clone());
        writer.send(&hello).await.map_err(text)?;
        let hello = match reader.next().await {
            Some(Ok(Some(message::Body::Hello(hello)))) => hello,
            Some(Ok(_)) => return Err("the first frame was not a hello".to_owned()),
            Some(Err(error)) => return Err(text(error)),
            None => return Err("the peer closed the link before its hello".to_owned()),
        };
        super::inbound::check_protocol(&hello)?;
        if hello.vm != self.peer.as_str() {
            return Err(format!("the peer at this address is VM {}", hello.vm));
        }
        let _ = self
            .peer_incarnation
            .set(ids::Incarnation(hello.incarnation));
        Ok(())
    }

    /// Writes queued frames until the queue is closed and empty, and then a bye.
    async fn write(&self, write: &mut tcp::OwnedWriteHalf) -> std::io::Result<()> {
        let mut batch = bytes::BytesMut::new();
        while let Some(frames) = self.outbox.take(&mut batch).await {
            write.write_all(&batch).await?;
            instruments::increment(&self.instruments.writes);
            instruments::add(&self.instruments.frames_sent, frames as u64);
            instruments::add(&self.instruments.bytes_sent, batch.len() as u64);
        }
        let bye = message::Body::Bye(message::Bye {});
        let limit = self.settings.queue.max_frame_bytes;
        batch.clear();
        if codec::encode_frame(&bye, bye.encoded_len(), limit, &mut batch).is_ok() {
            write.write_all(&batch).await?;
        }
        write.shutdown().await
    }

    /// Reads replies to heartbeats until the stream ends. Returns the reason.
    async fn read(&self, mut reader: Reader) -> String {
        loop {
            match reader.next().await {
                Some(Ok(Some(message::Body::HeartbeatReply(number)))) => {
                    outbox::lock(&self.heartbeat).handle(heartbeat::Event::Answered(number));
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return text(error),
                None => return "the peer closed the link".to_owned(),
            }
        }
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
