//! The tasks of connections between VMs.

use std::io;
use std::net;
use std::time;

use futures_util::FutureExt as _;
use futures_util::StreamExt as _;
use prost::Message as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;
use tokio_util::codec;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::backlog;
use crate::edge::frame;
use crate::edge::link;
use crate::edge::sender;
use crate::spread;
use crate::spread::admission;

/// Pause before a VM is connected to again.
const RETRY: time::Duration = time::Duration::from_millis(800);

/// Longest wait for a connection on which a question is asked. A VM without
/// power doesn't refuse, and others are there to ask.
const CONNECT: time::Duration = time::Duration::from_millis(100);
/// Longest silence before and within the answer to a question. Not the longest
/// answer: a large one takes a narrow link for a while.
const SILENCE: time::Duration = time::Duration::from_millis(1000);
/// Room for what is read of an answer at a time.
const BUFFER: usize = 16 << 10;

/// Keeps a connection to another VM while it is wanted.
pub(super) async fn keep(engine: edge::Engine, address: net::SocketAddr) {
    while engine.wants_peer(address) {
        let error = match link::connect(address).await {
            Ok(stream) => {
                let (reader, writer) = stream.into_split();
                let sender = sender::Sender::new(writer);
                engine.with(|state, _| state.peer_up(address, sender));
                read(reader, |kind| match kind {
                    frame::Kind::Told(told) => {
                        engine.with(|state, now| state.told(address, told, now));
                    }
                    frame::Kind::Bye(_) => engine.with(|state, _| state.declined(address)),
                    frame::Kind::Ask(_)
                    | frame::Kind::Leave(_)
                    | frame::Kind::Fetch(_)
                    | frame::Kind::Answer(_) => {
                        log::warn!(vm:% = address; "unexpected message of a VM");
                    }
                })
                .await
            }
            Err(error) => error,
        };
        let error = error.to_string();
        engine.with(|state, now| state.peer_lost(address, &error, now));
        tokio::time::sleep(RETRY).await;
    }
    engine.forget_peer(address);
}

/// Accepts other VMs on `address` until the process ends.
///
/// # Errors
/// Where the address can't be listened on.
pub(super) async fn listen(engine: edge::Engine, address: net::SocketAddr) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(engine.clone(), stream));
                }
                Err(error) => {
                    log::warn!(error:% = error; "VM not accepted");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve(engine: edge::Engine, stream: tokio::net::TcpStream) {
    if let Err(error) = link::prepare(&stream) {
        log::info!(error:% = error; "connection of a VM can't be set up");
        return;
    }
    let (reader, writer) = stream.into_split();
    let sender = sender::Sender::new(writer);
    let peer = engine.with(|state, _| state.peer_came(sender));
    // A question ends with its connection, which is nothing to tell.
    let mut asks = true;
    let mut slot = None;
    let error = read(reader, |kind| match kind {
        frame::Kind::Ask(ask) => engine.with(|state, now| state.asked(peer, ask, now)),
        frame::Kind::Leave(leave) => {
            engine.with(|state, now| state.left(peer, &leave.calls, now));
        }
        frame::Kind::Fetch(fetch) => {
            asks = false;
            slot = engine.answer(peer, fetch);
        }
        frame::Kind::Told(_) | frame::Kind::Bye(_) | frame::Kind::Answer(_) => {
            log::warn!(peer = peer; "unexpected message of a VM")
        }
    })
    .await;
    if asks {
        log::info!(peer = peer, error:% = error; "connection of a VM ended");
    }
    drop(slot);
    engine.with(|state, now| state.peer_left(peer, now));
}

/// Asks the VM at `address` what it knows, on a connection of its own.
pub(super) async fn fetch(
    address: net::SocketAddr,
    fetch: &spread::Fetch,
) -> io::Result<spread::Answer> {
    let asked = async {
        let connect = tokio::time::timeout(CONNECT, link::connect(address)).await;
        let mut stream = connect.map_err(|_| io::ErrorKind::TimedOut)??;
        let bytes = frame::Frame::bytes(frame::Kind::Fetch(fetch.into()));
        stream.write_all(&bytes).await?;
        read_answer(stream).await
    };
    let answer = tokio::time::timeout(admission::ANSWER_TIMEOUT, asked).await;
    answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads the answer to a question, for as long as some of it comes.
pub(super) async fn read_answer(
    mut stream: impl tokio::io::AsyncRead + Unpin,
) -> io::Result<spread::Answer> {
    let mut codec = frame_codec();
    let mut buffer = bytes::BytesMut::new();
    loop {
        buffer.reserve(BUFFER);
        let read = tokio::time::timeout(SILENCE, stream.read_buf(&mut buffer)).await;
        let count = read.map_err(|_| io::ErrorKind::TimedOut)??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while let Some(bytes) = codec.decode(&mut buffer)? {
            // A VM that is stopping says so first.
            if let Some(frame::Kind::Answer(answer)) = decode(bytes)?.kind {
                return Ok(answer.into());
            }
        }
    }
}

fn frame_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(frame::MAX)
        .new_codec()
}

fn decode(bytes: bytes::BytesMut) -> io::Result<frame::Frame> {
    let decoded = frame::Frame::decode(bytes);
    decoded.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Reads messages until the connection ends; why it did.
async fn read(reader: tcp::OwnedReadHalf, mut take: impl FnMut(frame::Kind)) -> io::Error {
    let mut frames = codec::FramedRead::new(reader, frame_codec());
    let mut batch = Vec::new();
    loop {
        let ended = gather(&mut frames, &mut batch).await;
        backlog::prune(&mut batch);
        for kind in batch.drain(..) {
            take(kind);
        }
        if let Some(error) = ended {
            return error;
        }
    }
}

type Frames = codec::FramedRead<tcp::OwnedReadHalf, codec::LengthDelimitedCodec>;

/// Waits for a message, and takes all that have come with it; the error that
/// ends the connection, if one does.
async fn gather(frames: &mut Frames, batch: &mut Vec<frame::Kind>) -> Option<io::Error> {
    let mut next = frames.next().await;
    loop {
        let bytes = match next {
            Some(Ok(bytes)) => bytes,
            Some(Err(error)) => return Some(error),
            None => return Some(io::ErrorKind::UnexpectedEof.into()),
        };
        match decode(bytes) {
            Ok(frame) => batch.extend(frame.kind),
            Err(error) => return Some(error),
        }
        // Mostly one message comes at a time, and asking for more would cost
        // another look at the socket for nothing.
        if frames.read_buffer().is_empty() {
            return None;
        }
        next = match frames.next().now_or_never() {
            Some(next) => next,
            None => return None,
        };
    }
}
