//! The tasks that serve connections between VMs.

mod messages;

use std::io;
use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::backlog;
use crate::edge::frame;
use crate::edge::link;
use crate::edge::places;
use crate::edge::sender;
use crate::memory;
use crate::spread;
use crate::spread::admission;

/// Delay before reconnecting to a VM, and before accepting again after an error.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(800);

/// Timeout of connecting to a VM for a fetch. A host that is powered off never refuses
/// a connection, and another VM can be asked instead.
const FETCH_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// How long a fetch waits without receiving any byte of the answer. The answer as a
/// whole may take longer: a large one takes a while over a slow link.
const ANSWER_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Buffer space for each read of an answer, in bytes.
const ANSWER_READ_SIZE: usize = 16 << 10;

/// Keeps a connection to a relay open while it is needed.
pub(super) async fn maintain(engine: edge::Engine, address: net::SocketAddr) {
    while engine.needs_peer(address) {
        let error = match link::connect(address).await {
            Ok(stream) => {
                let (reader, writer) = stream.into_split();
                let sender = sender::Sender::new(writer);
                engine.with(|state, now| state.peer_connected(address, sender, now));
                let mut messages = messages::Messages::new(&engine, reader, None);
                read(&mut messages, |kind| match kind {
                    frame::Kind::Report(report) => {
                        engine.with(|state, now| state.report_received(address, report, now));
                    }
                    frame::Kind::GoAway(_) => {
                        engine.with(|state, _| state.peer_going_away(address))
                    }
                    frame::Kind::Spending(spent) => {
                        engine.with(|state, now| state.inherit(&spent, now));
                    }
                    frame::Kind::Batch(_)
                    | frame::Kind::Abandon(_)
                    | frame::Kind::Fetch(_)
                    | frame::Kind::TakeSpending(_)
                    | frame::Kind::Answer(_) => {
                        log::warn!(vm:% = address; "unexpected message from VM");
                    }
                })
                .await
            }
            Err(error) => error,
        };
        let error = error.to_string();
        engine.with(|state, now| state.peer_lost(address, &error, now));
        tokio::time::sleep(RETRY_DELAY).await;
    }
    engine.forget_peer(address);
}

/// Accepts connections of other VMs on `address` until the process ends.
///
/// # Errors
/// If listening on the address fails.
pub(super) async fn listen(engine: edge::Engine, address: net::SocketAddr) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(place) = engine.peer_places().enter() {
                        tokio::task::spawn_local(serve(engine.clone(), stream, place));
                    }
                }
                Err(error) => {
                    log::warn!(error:% = error; "can't accept connection from VM");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

/// Serves one incoming connection of another VM until it ends.
async fn serve(engine: edge::Engine, stream: tokio::net::TcpStream, place: places::Place) {
    if let Err(error) = link::set_socket_options(&stream) {
        log::info!(error:% = error; "can't set socket options on connection from VM");
        return;
    }
    let (reader, writer) = stream.into_split();
    let sender = sender::Sender::new(writer);
    let peer = engine.with(|state, _| state.peer_accepted(sender));
    // The connection of a fetch always ends after it, which isn't worth logging.
    let mut log_end = true;
    let mut slot = None;
    let mut messages = messages::Messages::new(&engine, reader, Some(place));
    let error = read(&mut messages, |kind| match kind {
        frame::Kind::Batch(batch) => {
            engine.with(|state, now| state.batch_received(peer, batch, now))
        }
        frame::Kind::Abandon(abandon) => {
            engine.with(|state, now| state.calls_abandoned(peer, &abandon, now));
        }
        frame::Kind::Fetch(fetch) => {
            log_end = false;
            slot = engine.answer(peer, fetch);
        }
        frame::Kind::Spending(spent) => {
            engine.with(|state, now| state.keep_spending(spent, now));
        }
        frame::Kind::TakeSpending(asked) => {
            engine.with(|state, now| state.tell_spending(peer, &asked, now));
        }
        frame::Kind::Report(_) | frame::Kind::GoAway(_) | frame::Kind::Answer(_) => {
            log::warn!(peer = peer; "unexpected message from VM")
        }
    })
    .await;
    if log_end {
        log::info!(peer = peer, error:% = error; "connection from VM ended");
    }
    drop(slot);
    engine.with(|state, now| state.peer_disconnected(peer, now));
}

/// Fetches the replicated state of the VM at `address` over a new connection.
pub(super) async fn fetch(
    address: net::SocketAddr,
    fetch: &spread::Fetch,
) -> io::Result<spread::Answer> {
    let exchange = async {
        let connect = tokio::time::timeout(FETCH_CONNECT_TIMEOUT, link::connect(address)).await;
        let mut stream = connect.map_err(|_| io::ErrorKind::TimedOut)??;
        let bytes = frame::Frame::bytes(frame::Kind::Fetch(fetch.into()));
        stream.write_all(&bytes).await?;
        read_answer(stream).await
    };
    let answer = tokio::time::timeout(admission::ANSWER_TIMEOUT, exchange).await;
    answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads the answer to a fetch, for as long as bytes keep arriving.
pub(super) async fn read_answer(
    mut stream: impl tokio::io::AsyncRead + Unpin,
) -> io::Result<spread::Answer> {
    let mut codec = frame_codec();
    let mut buffer = bytes::BytesMut::new();
    loop {
        buffer.reserve(ANSWER_READ_SIZE);
        let read = tokio::time::timeout(ANSWER_IDLE_TIMEOUT, stream.read_buf(&mut buffer)).await;
        let count = read.map_err(|_| io::ErrorKind::TimedOut)??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while let Some(bytes) = codec.decode(&mut buffer)? {
            // A VM that is stopping sends `GoAway` first.
            if let Some(frame::Kind::Answer(answer)) = messages::decode(bytes)?.kind {
                return Ok(answer.into());
            }
        }
    }
}

/// Returns a codec for the messages of VMs that this one trusts.
pub(super) fn frame_codec() -> frame::Codec {
    frame::Codec::new(memory::Budget::unlimited())
}

/// Passes messages to `handle` until the connection ends, and returns the cause.
async fn read(messages: &mut messages::Messages, mut handle: impl FnMut(frame::Kind)) -> io::Error {
    let mut kinds = Vec::new();
    loop {
        let ended = messages.receive(&mut kinds).await;
        backlog::prune(&mut kinds);
        if ended.is_err() {
            backlog::remove_calls(&mut kinds);
        }
        for kind in kinds.drain(..) {
            handle(kind);
        }
        if let Err(error) = ended {
            return error;
        }
        messages.handled();
    }
}
