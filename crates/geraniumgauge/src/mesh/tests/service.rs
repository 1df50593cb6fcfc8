use super::*;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use tokio_util::codec as framing;

use crate::mesh::Post as _;
use crate::mesh::codec;
use crate::metrics;

/// What a receiver was called with.
#[derive(Debug, Clone, PartialEq)]
enum Call {
    Frame(ids::Vm, message::Body),
    Lost(ids::Vm),
}

struct Calls(mpsc::UnboundedSender<Call>);

impl mesh::Receive for Calls {
    fn receive(&self, from: &ids::Vm, body: message::Body) {
        drop(self.0.send(Call::Frame(from.clone(), body)));
    }

    fn lost(&self, vm: &ids::Vm) {
        drop(self.0.send(Call::Lost(vm.clone())));
    }
}

fn vm(name: &str) -> ids::Vm {
    name.parse().unwrap()
}

fn pull(service: impl ToString) -> message::Body {
    message::Body::Pull(message::Pull {
        services: vec![service.to_string()],
        ..message::Pull::default()
    })
}

/// A VM of the tests: its mesh, its view and what it received.
struct Node {
    vm: ids::Vm,
    address: net::SocketAddr,
    mesh: sync::Arc<Mesh>,
    view: watch::Sender<member::Shared>,
    calls: mpsc::UnboundedReceiver<Call>,
}

async fn node(name: &str, incarnation: u64, adjust: impl FnOnce(&mut Config)) -> Node {
    let listen = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listen.local_addr().unwrap();
    let mut config = Config::new(vm(name), ids::Incarnation(incarnation), listen);
    config.beat = time::Duration::from_millis(10);
    adjust(&mut config);
    let empty = member::View::new(vm(name), Vec::new());
    let (view, seen) = watch::channel(sync::Arc::new(empty));
    let (sender, calls) = mpsc::unbounded_channel();
    let timer = timer::Service::new(signals::CancellationToken::new());
    let meter = metrics::Metrics::new().unwrap().meter();
    let mesh = Mesh::start(config, seen, sync::Arc::new(Calls(sender)), timer, &meter);
    Node {
        vm: vm(name),
        address,
        mesh,
        view,
        calls,
    }
}

impl Node {
    fn knows(&self, others: &[(&str, net::SocketAddr)]) {
        let member = |(name, address): &(&str, net::SocketAddr)| member::Member {
            vm: vm(name),
            incarnation: ids::Incarnation(1),
            data_centre: "dc-1".parse().unwrap(),
            address: *address,
            state: member::State::Alive,
        };
        let members = others.iter().map(member).collect();
        let view = member::View::new(self.vm.clone(), members);
        self.view.send_replace(sync::Arc::new(view));
    }

    async fn next(&mut self) -> Call {
        self.calls.recv().await.unwrap()
    }
}

async fn pair() -> (Node, Node) {
    let a = node("a", 1, |_| {}).await;
    let b = node("b", 1, |_| {}).await;
    a.knows(&[("b", b.address)]);
    b.knows(&[("a", a.address)]);
    (a, b)
}

#[tokio::test]
async fn frames_arrive_in_order_in_both_directions() {
    let (mut a, mut b) = pair().await;
    for number in 0..1000 {
        a.mesh.send(&b.vm, pull(number)).unwrap();
        b.mesh.send(&a.vm, pull(number)).unwrap();
    }
    for number in 0..1000 {
        assert_eq!(b.next().await, Call::Frame(vm("a"), pull(number)));
        assert_eq!(a.next().await, Call::Frame(vm("b"), pull(number)));
    }
}

#[tokio::test]
async fn frames_to_the_vm_itself_arrive_in_order_without_a_link() {
    let mut a = node("a", 1, |_| {}).await;
    for number in 0..100 {
        a.mesh.send(&a.vm, pull(number)).unwrap();
    }
    for number in 0..100 {
        assert_eq!(a.next().await, Call::Frame(vm("a"), pull(number)));
    }
    assert_eq!(a.mesh.links(), 0);
}

#[tokio::test]
async fn what_cannot_be_sent_is_refused_at_once() {
    let a = node("a", 1, |config| {
        config.frame_bytes = 100;
        config.queue_frames = 3;
    })
    .await;
    let gone = a.mesh.send(&vm("z"), pull(1));
    assert_eq!(gone, Err(mesh::Error::Unknown { vm: vm("z") }));
    // Nobody accepts there, so frames wait in the queue.
    let silent = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", silent.local_addr().unwrap())]);
    let large = a.mesh.send(&vm("b"), pull("x".repeat(100)));
    assert!(matches!(large, Err(mesh::Error::Large { limit: 100, .. })));
    let sent = (0..4).map(|number| a.mesh.send(&vm("b"), pull(number)));
    let full = mesh::Error::Full { vm: vm("b") };
    assert_eq!(
        sent.collect::<Vec<_>>(),
        [Ok(()), Ok(()), Ok(()), Err(full)]
    );
}

/// Story: a VM stops while replies for other VMs still wait in its queues.
/// Callers would see them missing. A close writes them out first, and the
/// peers see an orderly end, not a loss.
#[tokio::test]
async fn a_close_delivers_what_waits_and_is_no_loss() {
    let (a, mut b) = pair().await;
    for number in 0..5000 {
        a.mesh.send(&b.vm, pull(number)).unwrap();
    }
    a.mesh.close().await;
    for number in 0..5000 {
        assert_eq!(b.next().await, Call::Frame(vm("a"), pull(number)));
    }
    let closed = a.mesh.send(&b.vm, pull(1));
    assert_eq!(closed, Err(mesh::Error::Closed { vm: vm("b") }));
    b.mesh.close().await;
    assert!(b.calls.try_recv().is_err());
}

type Framed = framing::Framed<sockets::TcpStream, codec::Codec>;

/// Accepts one link as a peer under `name` would, and reads its greeting.
async fn accept(listener: &sockets::TcpListener, name: &str, incarnation: u64) -> Framed {
    let (stream, _) = listener.accept().await.unwrap();
    let mut framed = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    let hello = framed.next().await.unwrap().unwrap();
    assert!(matches!(hello, Some(message::Body::Hello(_))));
    framed.send(&greeting(name, incarnation)).await.unwrap();
    framed
}

fn greeting(name: &str, incarnation: u64) -> message::Body {
    message::Body::Hello(message::Hello {
        vm: name.to_owned(),
        incarnation,
        protocol: mesh::PROTOCOL,
        address: String::new(),
    })
}

/// Story: a connection between two VMs goes silent for good while new ones
/// work. Searches over it would wait for their deadlines until the process
/// restarts. The link is given up and the peer greeted again at once, so that
/// both ends know.
#[tokio::test]
async fn a_silent_link_is_lost_and_a_fresh_one_opened() {
    let mut a = node("a", 1, |_| {}).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let _silent = accept(&listener, "b", 1).await;
    assert_eq!(a.next().await, Call::Lost(vm("b")));
    let mut fresh = accept(&listener, "b", 1).await;
    a.mesh.send(&vm("b"), pull(2)).unwrap();
    assert_eq!(fresh.next().await.unwrap().unwrap(), Some(pull(2)));
}

/// Story: a paused VM is replaced under its name and address; a late frame for
/// the first one must not reach a VM that never heard of the request.
#[tokio::test]
async fn a_peer_under_another_name_is_sent_nothing() {
    let mut a = node("a", 1, |_| {}).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let mut other = accept(&listener, "c", 1).await;
    assert!(other.next().await.is_none());
    assert_eq!(a.next().await, Call::Lost(vm("b")));
}

/// Story: a VM dies and starts again under its name at once. The link to its
/// first start may hang for long; calls over it would wait for nothing. Its new
/// greeting ends the old link.
#[tokio::test]
async fn a_greeting_of_a_later_start_ends_links_to_the_earlier() {
    let mut a = node("a", 1, |config| config.silent_beats = u32::MAX).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let mut first = accept(&listener, "b", 1).await;
    assert_eq!(first.next().await.unwrap().unwrap(), Some(pull(1)));
    let stream = sockets::TcpStream::connect(a.address).await.unwrap();
    let mut second = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    second.send(&greeting("b", 2)).await.unwrap();
    assert_eq!(a.next().await, Call::Lost(vm("b")));
}

/// Story: a peer dies without a word. Its kernel closes the connection as it
/// does for an orderly close, but what it had queued is gone.
#[tokio::test]
async fn an_end_without_goodbye_is_a_loss_and_one_with_it_is_none() {
    let mut a = node("a", 1, |_| {}).await;
    for (last, name) in [(true, "b"), (false, "c")] {
        let stream = sockets::TcpStream::connect(a.address).await.unwrap();
        let mut peer = framing::Framed::new(stream, codec::Codec::new(1 << 20));
        peer.send(&greeting(name, 1)).await.unwrap();
        peer.send(&pull(1)).await.unwrap();
        if last {
            let bye = message::Body::Bye(message::Bye {});
            peer.send(&bye).await.unwrap();
        }
        assert_eq!(a.next().await, Call::Frame(vm(name), pull(1)));
        drop(peer);
    }
    assert_eq!(a.next().await, Call::Lost(vm("c")));
}

#[tokio::test]
async fn a_frame_over_the_limit_ends_its_link() {
    let mut a = node("a", 1, |config| config.frame_bytes = 100).await;
    let stream = sockets::TcpStream::connect(a.address).await.unwrap();
    let mut peer = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    peer.send(&greeting("b", 1)).await.unwrap();
    peer.send(&pull("x".repeat(200))).await.unwrap();
    assert_eq!(a.next().await, Call::Lost(vm("b")));
}

#[tokio::test]
async fn a_peer_of_another_protocol_is_told_ours_and_refused() {
    let a = node("a", 1, |_| {}).await;
    let stream = sockets::TcpStream::connect(a.address).await.unwrap();
    let mut peer = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    let hello = message::Hello {
        vm: "b".to_owned(),
        incarnation: 1,
        protocol: mesh::PROTOCOL + 1,
        address: String::new(),
    };
    peer.send(&message::Body::Hello(hello)).await.unwrap();
    let reply = peer.next().await.unwrap().unwrap();
    assert!(matches!(reply, Some(message::Body::Hello(_))));
    assert!(peer.next().await.is_none());
}

/// Story: a fresh VM asks a home before the home has heard of it. Without a
/// way back the search would miss those shards until gossip has caught up.
#[tokio::test]
async fn a_vm_that_the_view_lacks_is_answered_at_the_address_it_greeted_with() {
    let (mut a, mut b) = pair().await;
    b.knows(&[]);
    a.mesh.send(&b.vm, pull(1)).unwrap();
    assert_eq!(b.next().await, Call::Frame(vm("a"), pull(1)));
    b.mesh.send(&a.vm, pull(2)).unwrap();
    assert_eq!(a.next().await, Call::Frame(vm("b"), pull(2)));
}

#[tokio::test]
async fn links_to_vms_that_are_members_no_more_are_closed() {
    let mut a = node("a", 1, |_| {}).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let mut peer = accept(&listener, "b", 1).await;
    assert_eq!(peer.next().await.unwrap().unwrap(), Some(pull(1)));
    a.knows(&[]);
    assert_eq!(a.next().await, Call::Lost(vm("b")));
}

#[tokio::test]
async fn an_idle_link_is_closed_in_order_and_opened_again_on_use() {
    let a = node("a", 1, |config| {
        config.idle = time::Duration::from_millis(30);
    })
    .await;
    let mut b = node("b", 1, |_| {}).await;
    a.knows(&[("b", b.address)]);
    for number in 0..2 {
        a.mesh.send(&b.vm, pull(number)).unwrap();
        assert_eq!(b.next().await, Call::Frame(vm("a"), pull(number)));
        a.mesh.link_tasks.close();
        a.mesh.link_tasks.wait().await;
        assert!(a.mesh.all().is_empty());
    }
    assert!(b.calls.try_recv().is_err());
}
