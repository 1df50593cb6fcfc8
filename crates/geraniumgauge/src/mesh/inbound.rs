//! Links that other VMs opened: their frames are read and handed on in order.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use tokio::net as sockets;
use tokio::net::tcp;
use tokio_util::codec as framing;
use tokio_util::sync as signals;

use crate::ids;
use crate::mesh;
use crate::mesh::codec;
use crate::mesh::count;
use crate::mesh::message;
use crate::mesh::outbox;
use crate::mesh::service;

/// How long a link that the peer has replaced may still bring its last frames.
const HANDOVER: time::Duration = time::Duration::from_millis(100);

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// The newest link from each peer.
#[derive(Debug, Default)]
pub(super) struct Inbound {
    links: sync::Mutex<collections::HashMap<ids::Vm, Accepted>>,
}

/// One accepted link.
#[derive(Debug, Clone)]
struct Accepted {
    incarnation: ids::Incarnation,
    address: Option<net::SocketAddr>,
    /// The peer has opened a newer link.
    replaced: signals::CancellationToken,
    /// Its last frame is handed on.
    done: signals::CancellationToken,
}

impl Inbound {
    /// Where `vm` said that it listens.
    pub(super) fn address(&self, vm: &ids::Vm) -> Option<net::SocketAddr> {
        let links = outbox::locked(&self.links);
        links.get(vm).and_then(|accepted| accepted.address)
    }

    /// Makes `accepted` the newest link of `vm` and returns the earlier one.
    fn enter(&self, vm: &ids::Vm, accepted: &Accepted) -> Result<Option<Accepted>, String> {
        let mut links = outbox::locked(&self.links);
        if let Some(newer) = links.get(vm)
            && newer.incarnation > accepted.incarnation
        {
            return Err(format!(
                "{vm} has a link of a later start {}",
                newer.incarnation
            ));
        }
        Ok(links.insert(vm.clone(), accepted.clone()))
    }

    fn leave(&self, vm: &ids::Vm, accepted: &Accepted) {
        accepted.done.cancel();
        let mut links = outbox::locked(&self.links);
        if links
            .get(vm)
            .is_some_and(|newest| newest.done.is_cancelled())
        {
            links.remove(vm);
        }
    }
}

/// Checks a peer's protocol.
pub(super) fn check(hello: &message::Hello) -> Result<(), String> {
    if hello.protocol == mesh::PROTOCOL {
        return Ok(());
    }
    let (theirs, ours) = (hello.protocol, mesh::PROTOCOL);
    Err(format!(
        "{} speaks protocol {theirs}, this VM {ours}",
        hello.vm
    ))
}

/// Accepts links until the mesh stops.
pub(super) async fn accept(mesh: sync::Arc<service::Mesh>, listener: sockets::TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = mesh.stopped().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                let serving = serve(sync::Arc::clone(&mesh), stream, from);
                mesh.inbound_tasks.spawn(serving);
            }
            Err(error) => {
                log::warn!("mesh: accepting a link failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(mesh: sync::Arc<service::Mesh>, stream: sockets::TcpStream, from: net::SocketAddr) {
    let work = receive(&mesh, stream, from);
    let ended = tokio::select! {
        () = mesh.stopped().cancelled() => return,
        ended = work => ended,
    };
    if let Err(reason) = ended {
        log::warn!("mesh: a link from {from} was refused: {reason}");
    }
}

type Reader = framing::FramedRead<tcp::OwnedReadHalf, codec::Codec>;
type Writer = framing::FramedWrite<tcp::OwnedWriteHalf, codec::Codec>;

async fn receive(
    mesh: &sync::Arc<service::Mesh>,
    stream: sockets::TcpStream,
    from: net::SocketAddr,
) -> Result<(), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (read, write) = stream.into_split();
    let limit = mesh.limits.frame;
    let mut reader = framing::FramedRead::new(read, codec::Codec::new(limit));
    let mut writer = framing::FramedWrite::new(write, codec::Codec::new(limit));
    let greeting = greeted(mesh, &mut reader, &mut writer);
    let hello = tokio::time::timeout(mesh.limits.connect, greeting).await;
    let hello = hello.map_err(|_| "no greeting came".to_owned())??;
    let vm: ids::Vm = hello.vm.parse().map_err(|e: ids::Error| e.to_string())?;
    let accepted = Accepted {
        incarnation: ids::Incarnation(hello.incarnation),
        address: listens(&hello, from),
        replaced: signals::CancellationToken::new(),
        done: signals::CancellationToken::new(),
    };
    let earlier = mesh.inbound.enter(&vm, &accepted)?;
    // Whatever way this task ends, the next link of the peer must not wait.
    let leaving = accepted.done.clone().drop_guard();
    mesh.restarted(&vm, accepted.incarnation);
    if let Some(earlier) = earlier {
        earlier.replaced.cancel();
        earlier.done.cancelled().await;
    }
    count::up(&mesh.count.accepted);
    let open = mesh.opened();
    let ended = tokio::select! {
        ended = read_frames(mesh, &vm, &mut reader, &mut writer) => ended,
        () = overdue(&accepted.replaced) => Err("the peer has opened another".to_owned()),
    };
    drop(open);
    if let Err(reason) = ended {
        mesh.lost(&vm, "from", &reason);
    }
    mesh.inbound.leave(&vm, &accepted);
    drop(leaving);
    Ok(())
}

async fn overdue(replaced: &signals::CancellationToken) {
    replaced.cancelled().await;
    tokio::time::sleep(HANDOVER).await;
}

async fn greeted(
    mesh: &service::Mesh,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<message::Hello, String> {
    let hello = match reader.next().await {
        Some(Ok(Some(message::Body::Hello(hello)))) => hello,
        Some(Ok(_)) => return Err("the first frame was no greeting".to_owned()),
        Some(Err(error)) => return Err(error.to_string()),
        None => return Err("closed before a greeting".to_owned()),
    };
    let ours = message::Body::Hello(mesh.hello.clone());
    writer
        .send(&ours)
        .await
        .map_err(|error| error.to_string())?;
    check(&hello)?;
    Ok(hello)
}

/// Where the opener listens. A VM bound to all its addresses doesn't know
/// which one others see, so the one that it connected from is taken.
fn listens(hello: &message::Hello, from: net::SocketAddr) -> Option<net::SocketAddr> {
    let mut address: net::SocketAddr = hello.address.parse().ok()?;
    if address.ip().is_unspecified() {
        address.set_ip(from.ip());
    }
    Some(address)
}

/// Hands frames on until the peer says goodbye; an error says what else ended it.
async fn read_frames(
    mesh: &service::Mesh,
    vm: &ids::Vm,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), String> {
    loop {
        match reader.next().await {
            Some(Ok(Some(message::Body::Beat(beat)))) => {
                let reply = message::Body::BeatReply(beat);
                let sent = writer.send(&reply).await;
                sent.map_err(|error| error.to_string())?;
            }
            Some(Ok(Some(message::Body::Bye(_)))) => return Ok(()),
            Some(Ok(Some(message::Body::Hello(_) | message::Body::BeatReply(_)) | None)) => {}
            Some(Ok(Some(body))) => {
                count::up(&mesh.count.frames_received);
                mesh.receive.receive(vm, body);
            }
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("the peer closed it out of order".to_owned()),
        }
    }
}
