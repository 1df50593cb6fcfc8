//! Links opened by other VMs: reads their frames and delivers them in order.

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
use crate::mesh::instruments;
use crate::mesh::message;
use crate::mesh::outbox;
use crate::mesh::service;

/// Time for which a link that the peer has replaced may still deliver its last
/// frames.
const REPLACED_LINK_GRACE: time::Duration = time::Duration::from_millis(100);

/// Delay after a failed accept, for example when no file descriptor is available.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// The newest accepted link of each peer.
#[derive(Debug, Default)]
pub(super) struct Inbound {
    links: sync::Mutex<collections::HashMap<ids::Vm, Accepted>>,
}

/// An accepted link.
#[derive(Debug, Clone)]
struct Accepted {
    incarnation: ids::Incarnation,
    address: Option<net::SocketAddr>,
    /// Cancelled when the peer has opened a newer link.
    replaced: signals::CancellationToken,
    /// Cancelled when the last frame of the link has been delivered.
    done: signals::CancellationToken,
}

impl Inbound {
    /// Returns the listen address from the hello of `vm`.
    pub(super) fn address(&self, vm: &ids::Vm) -> Option<net::SocketAddr> {
        let links = outbox::lock(&self.links);
        links.get(vm).and_then(|accepted| accepted.address)
    }

    /// Makes `accepted` the newest link of `vm` and returns the one before, or an
    /// error if that one is of a later incarnation.
    fn register(&self, vm: &ids::Vm, accepted: &Accepted) -> Result<Option<Accepted>, String> {
        let mut links = outbox::lock(&self.links);
        if let Some(newer) = links.get(vm)
            && newer.incarnation > accepted.incarnation
        {
            return Err(format!(
                "VM {vm} already has a link from its later incarnation {}",
                newer.incarnation
            ));
        }
        Ok(links.insert(vm.clone(), accepted.clone()))
    }

    fn unregister(&self, vm: &ids::Vm, accepted: &Accepted) {
        accepted.done.cancel();
        let mut links = outbox::lock(&self.links);
        if links
            .get(vm)
            .is_some_and(|newest| newest.done.is_cancelled())
        {
            links.remove(vm);
        }
    }
}

/// Checks a peer's protocol version.
pub(super) fn check_protocol(hello: &message::Hello) -> Result<(), String> {
    if hello.protocol == mesh::PROTOCOL {
        return Ok(());
    }
    let (theirs, ours) = (hello.protocol, mesh::PROTOCOL);
    Err(format!(
        "VM {} has protocol version {theirs}, this VM has {ours}",
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
                log::warn!("mesh: failed to accept a link: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(mesh: sync::Arc<service::Mesh>, stream: sockets::TcpStream, from: net::SocketAddr) {
    let work = serve_link(&mesh, stream, from);
    let ended = tokio::select! {
        () = mesh.stopped().cancelled() => return,
        ended = work => ended,
    };
    if let Err(reason) = ended {
        log::warn!("mesh: refused a link from {from}: {reason}");
    }
}

type Reader = framing::FramedRead<tcp::OwnedReadHalf, codec::Codec>;
type Writer = framing::FramedWrite<tcp::OwnedWriteHalf, codec::Codec>;

async fn serve_link(
    mesh: &sync::Arc<service::Mesh>,
    stream: sockets::TcpStream,
    from: net::SocketAddr,
) -> Result<(), String> {
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (read, write) = stream.into_split();
    let limit = mesh.limits.max_frame_bytes;
    let mut reader = framing::FramedRead::new(read, codec::Codec::new(limit));
    let mut writer = framing::FramedWrite::new(write, codec::Codec::new(limit));
    let handshake = exchange_hello(mesh, &mut reader, &mut writer);
    let hello = tokio::time::timeout(mesh.limits.connect_timeout, handshake).await;
    let hello = hello.map_err(|_| "no hello arrived in time".to_owned())??;
    let vm: ids::Vm = hello.vm.parse().map_err(|e: ids::Error| e.to_string())?;
    let accepted = Accepted {
        incarnation: ids::Incarnation(hello.incarnation),
        address: listen_address(&hello, from),
        replaced: signals::CancellationToken::new(),
        done: signals::CancellationToken::new(),
    };
    let earlier = mesh.inbound.register(&vm, &accepted)?;
    // However this task ends, the peer's next link must not wait for it.
    let done_guard = accepted.done.clone().drop_guard();
    mesh.peer_restarted(&vm, accepted.incarnation);
    if let Some(earlier) = earlier {
        earlier.replaced.cancel();
        earlier.done.cancelled().await;
    }
    instruments::increment(&mesh.instruments.accepted);
    let open = mesh.count_open();
    let ended = tokio::select! {
        ended = read_frames(mesh, &vm, &mut reader, &mut writer) => ended,
        () = grace_expired(&accepted.replaced) => Err("the peer has opened a new link".to_owned()),
    };
    drop(open);
    if let Err(reason) = ended {
        mesh.link_lost(&vm, "from", &reason);
    }
    mesh.inbound.unregister(&vm, &accepted);
    drop(done_guard);
    Ok(())
}

/// Waits until the link has been replaced and its grace period is over.
async fn grace_expired(replaced: &signals::CancellationToken) {
    replaced.cancelled().await;
    tokio::time::sleep(REPLACED_LINK_GRACE).await;
}

/// Reads the opener's hello, answers with this VM's and checks the version.
async fn exchange_hello(
    mesh: &service::Mesh,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<message::Hello, String> {
    let hello = match reader.next().await {
        Some(Ok(Some(message::Body::Hello(hello)))) => hello,
        Some(Ok(_)) => return Err("the first frame was not a hello".to_owned()),
        Some(Err(error)) => return Err(error.to_string()),
        None => return Err("the peer closed the link before its hello".to_owned()),
    };
    let ours = message::Body::Hello(mesh.hello.clone());
    writer
        .send(&ours)
        .await
        .map_err(|error| error.to_string())?;
    check_protocol(&hello)?;
    Ok(hello)
}

/// Returns the address at which the opener listens. If it is bound to all its
/// addresses, the one that it connected from is used.
fn listen_address(hello: &message::Hello, from: net::SocketAddr) -> Option<net::SocketAddr> {
    let mut address: net::SocketAddr = hello.address.parse().ok()?;
    if address.ip().is_unspecified() {
        address.set_ip(from.ip());
    }
    Some(address)
}

/// Delivers frames until the peer's bye. Any other end is an error.
async fn read_frames(
    mesh: &service::Mesh,
    vm: &ids::Vm,
    reader: &mut Reader,
    writer: &mut Writer,
) -> Result<(), String> {
    loop {
        match reader.next().await {
            Some(Ok(Some(message::Body::Heartbeat(number)))) => {
                let reply = message::Body::HeartbeatReply(number);
                let sent = writer.send(&reply).await;
                sent.map_err(|error| error.to_string())?;
            }
            Some(Ok(Some(message::Body::Bye(_)))) => return Ok(()),
            Some(Ok(Some(message::Body::Hello(_) | message::Body::HeartbeatReply(_)) | None)) => {}
            Some(Ok(Some(body))) => {
                instruments::increment(&mesh.instruments.frames_received);
                mesh.receiver.receive(vm, body);
            }
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("the peer closed the link without a bye".to_owned()),
        }
    }
}
