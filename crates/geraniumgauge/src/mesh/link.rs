//! A link that this VM opened: it connects, greets, writes what its queue
//! holds, and reads the peer's replies to heartbeats.

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
use crate::mesh::count;
use crate::mesh::message;
use crate::mesh::outbox;
use crate::mesh::pulse;

/// How a link ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub(super) enum End {
    /// Everything queued was written and the peer told.
    #[display("closed in order")]
    Orderly,
    /// The peer is no member any more.
    #[display("{_0} is no member any more")]
    Gone(ids::Vm),
    /// The peer has not answered heartbeats.
    #[display("silent: heartbeats were not answered")]
    Silent,
    /// The peer has started again, so this link leads to nobody.
    #[display("the peer has started again")]
    Restarted,
    /// Connecting, greeting, reading or writing failed.
    #[display("{_0}")]
    Broken(String),
}

/// Where a link leads and how patient it is.
#[derive(Debug, Clone)]
pub(super) struct Settings {
    pub(super) address: net::SocketAddr,
    pub(super) hello: message::Hello,
    /// For connecting, and again for the peer's greeting.
    pub(super) connect: time::Duration,
    pub(super) queue: outbox::Limits,
    pub(super) pulse: pulse::Limits,
}

/// One link, shared by its task and the senders.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) peer: ids::Vm,
    settings: Settings,
    pub(super) outbox: outbox::Outbox,
    pulse: sync::Mutex<pulse::Pulse>,
    killed: signals::CancellationToken,
    end: sync::OnceLock<End>,
    /// The peer's start, once it has greeted.
    started: sync::OnceLock<ids::Incarnation>,
    count: sync::Arc<count::Count>,
}

impl Link {
    pub(super) fn new(peer: ids::Vm, settings: Settings, count: sync::Arc<count::Count>) -> Self {
        Self {
            peer,
            outbox: outbox::Outbox::new(settings.queue),
            pulse: sync::Mutex::new(pulse::Pulse::new(settings.pulse)),
            killed: signals::CancellationToken::new(),
            end: sync::OnceLock::new(),
            started: sync::OnceLock::new(),
            settings,
            count,
        }
    }

    /// Queues a frame.
    pub(super) fn send(&self, body: &message::Body, size: usize) -> Result<(), outbox::Refusal> {
        self.outbox.push(body, size)?;
        outbox::locked(&self.pulse).handle(pulse::Event::Sent);
        Ok(())
    }

    /// Lets a tick pass.
    pub(super) fn tick(&self) {
        let action = outbox::locked(&self.pulse).handle(pulse::Event::Tick);
        match action {
            Some(pulse::Action::Beat(beat)) => self.beat(beat),
            Some(pulse::Action::Silent) => self.kill(End::Silent),
            Some(pulse::Action::Idle) => drop(self.outbox.retire()),
            None => {}
        }
    }

    /// A heartbeat that finds the queue full isn't sent and so not answered:
    /// a queue that stays full for that long belongs to a silent link as well.
    fn beat(&self, beat: u64) {
        let body = message::Body::Beat(beat);
        drop(self.outbox.push(&body, body.encoded_len()));
    }

    /// Ends the link at once; what waits is lost.
    pub(super) fn kill(&self, end: End) {
        drop(self.end.set(end));
        self.killed.cancel();
    }

    /// Whether the peer greeted over this link in an earlier start than `now`.
    pub(super) fn is_older(&self, now: ids::Incarnation) -> bool {
        self.started.get().is_some_and(|started| *started < now)
    }

    /// Runs the link to its end.
    pub(super) async fn run(&self) -> End {
        let ended = tokio::select! {
            biased;
            () = self.killed.cancelled() => None,
            ended = self.converse() => ended.err().map(End::Broken),
        };
        self.outbox.abandon();
        let killed = self.end.get().cloned();
        killed.or(ended).unwrap_or(End::Orderly)
    }

    async fn converse(&self) -> Result<(), String> {
        let patience = self.settings.connect;
        let connect = sockets::TcpStream::connect(self.settings.address);
        let connected = tokio::time::timeout(patience, connect).await;
        let stream = connected.map_err(|_| "connecting took too long".to_owned())?;
        let stream = stream.map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        let (read, mut write) = stream.into_split();
        let codec = codec::Codec::new(self.settings.queue.frame);
        let mut reader = framing::FramedRead::new(read, codec);
        let greeting = self.greet(&mut reader, &mut write);
        let greeted = tokio::time::timeout(patience, greeting).await;
        greeted.map_err(|_| "no greeting came".to_owned())??;
        count::up(&self.count.opened);
        let reading = self.read(reader);
        tokio::pin!(reading);
        tokio::select! {
            ended = &mut reading => return Err(ended),
            written = self.write(&mut write) => written.map_err(text)?,
        }
        // The peer closes after the last frame. Closing earlier, with its
        // replies unread, would reset the connection and drop what is in flight.
        drop(tokio::time::timeout(patience, reading).await);
        Ok(())
    }

    /// Frames wait until the peer has said who it is: an address that a new VM
    /// took over must not be sent what was meant for the old one.
    async fn greet(
        &self,
        reader: &mut framing::FramedRead<tcp::OwnedReadHalf, codec::Codec>,
        write: &mut tcp::OwnedWriteHalf,
    ) -> Result<(), String> {
        let codec = codec::Codec::new(self.settings.queue.frame);
        let mut writer = framing::FramedWrite::new(write, codec);
        let hello = message::Body::Hello(self.settings.hello.clone());
        writer.send(&hello).await.map_err(text)?;
        let hello = match reader.next().await {
            Some(Ok(Some(message::Body::Hello(hello)))) => hello,
            Some(Ok(_)) => return Err("the first frame was no greeting".to_owned()),
            Some(Err(error)) => return Err(text(error)),
            None => return Err("closed before a greeting".to_owned()),
        };
        super::inbound::check(&hello)?;
        if hello.vm != self.peer.as_str() {
            return Err(format!("{} answers there", hello.vm));
        }
        let _ = self.started.set(ids::Incarnation(hello.incarnation));
        Ok(())
    }

    async fn write(&self, write: &mut tcp::OwnedWriteHalf) -> std::io::Result<()> {
        let mut batch = bytes::BytesMut::new();
        while let Some(frames) = self.outbox.take(&mut batch).await {
            write.write_all(&batch).await?;
            count::up(&self.count.writes);
            count::add(&self.count.frames_sent, frames as u64);
            count::add(&self.count.bytes_sent, batch.len() as u64);
        }
        let bye = message::Body::Bye(message::Bye {});
        let limit = self.settings.queue.frame;
        batch.clear();
        if codec::put(&bye, bye.encoded_len(), limit, &mut batch).is_ok() {
            write.write_all(&batch).await?;
        }
        write.shutdown().await
    }

    /// Reads until the stream ends and says why.
    async fn read(
        &self,
        mut reader: framing::FramedRead<tcp::OwnedReadHalf, codec::Codec>,
    ) -> String {
        loop {
            match reader.next().await {
                Some(Ok(Some(message::Body::BeatReply(beat)))) => {
                    outbox::locked(&self.pulse).handle(pulse::Event::Answered(beat));
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return text(error),
                None => return "the peer closed it".to_owned(),
            }
        }
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
