use super::*;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use tokio_util::codec as framing;

use crate::mesh::Sender as _;
use crate::mesh::codec;
use crate::metrics;

/// A call of the receiver.
#[derive(Debug, Clone, PartialEq)]
enum Call {
    Frame(ids::Vm, message::Body),
    Lost(ids::Vm),
    NotOpened(ids::Vm),
}

struct Calls(mpsc::UnboundedSender<Call>);

impl mesh::Receiver for Calls {
    fn receive(&self, from: &ids::Vm, body: message::Body) {
        drop(self.0.send(Call::Frame(from.clone(), body)));
    }

    fn link_lost(&self, vm: &ids::Vm) {
        drop(self.0.send(Call::Lost(vm.clone())));
    }

    fn link_not_opened(&self, vm: &ids::Vm) {
        drop(self.0.send(Call::NotOpened(vm.clone())));
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

/// A test VM: its mesh, its view and the calls of its receiver.
struct Node {
    vm: ids::Vm,
    address: net::SocketAddr,
    mesh: sync::Arc<Mesh>,
    view: watch::Sender<member::SharedView>,
    calls: mpsc::UnboundedReceiver<Call>,
}

async fn node(name: &str, incarnation: u64, adjust: impl FnOnce(&mut Config)) -> Node {
    let listen = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listen.local_addr().unwrap();
    let mut config = Config::new(vm(name), ids::Incarnation(incarnation), listen);
    config.heartbeat_interval = time::Duration::from_millis(10);
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
async fn frames_that_cannot_be_sent_are_refused_at_once() {
    let a = node("a", 1, |config| {
        config.max_frame_bytes = 100;
        config.max_queued_frames = 3;
    })
    .await;
    let unknown = a.mesh.send(&vm("z"), pull(1));
    assert_eq!(unknown, Err(mesh::Error::Unknown { vm: vm("z") }));
    // Nothing accepts connections there, so frames stay in the queue.
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

/// When a VM stops while replies are queued, it must write them before it closes, and
/// the peers must not see the close as a loss.
#[tokio::test]
async fn a_close_delivers_queued_frames_and_is_no_loss() {
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

/// Accepts one link as the peer `name`, reads its hello and answers it.
async fn accept(listener: &sockets::TcpListener, name: &str, incarnation: u64) -> Framed {
    let (stream, _) = listener.accept().await.unwrap();
    let mut framed = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    let hello = framed.next().await.unwrap().unwrap();
    assert!(matches!(hello, Some(message::Body::Hello(_))));
    framed.send(&hello_frame(name, incarnation)).await.unwrap();
    framed
}

fn hello_frame(name: &str, incarnation: u64) -> message::Body {
    message::Body::Hello(message::Hello {
        vm: name.to_owned(),
        incarnation,
        protocol: mesh::PROTOCOL,
        address: String::new(),
    })
}

/// A connection stops delivering for good while new ones work, and searches over it
/// would run into their deadlines until a restart. The link must be given up and a
/// new one opened at once, so that both ends know.
#[tokio::test]
async fn a_silent_link_is_lost_and_a_new_one_opened() {
    let mut a = node("a", 1, |_| {}).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let _silent = accept(&listener, "b", 1).await;
    assert_eq!(a.next().await, Call::Lost(vm("b")));
    let mut replacement = accept(&listener, "b", 1).await;
    a.mesh.send(&vm("b"), pull(2)).unwrap();
    assert_eq!(replacement.next().await.unwrap().unwrap(), Some(pull(2)));
}

/// Another VM takes over a paused VM's address. Frames for the old one must not reach
/// the new one.
#[tokio::test]
async fn a_peer_under_another_name_is_sent_nothing() {
    let mut a = node("a", 1, |_| {}).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let mut other = accept(&listener, "c", 1).await;
    assert!(other.next().await.is_none());
    assert_eq!(a.next().await, Call::NotOpened(vm("b")));
}

/// A VM has died and is still a member. Guards against calls to it that count as sent.
#[tokio::test]
async fn a_link_to_a_closed_port_is_not_opened() {
    let mut a = node("a", 1, |_| {}).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    drop(listener);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    assert_eq!(a.next().await, Call::NotOpened(vm("b")));
}

/// A VM dies and restarts at once. The link to its first process may hang for a long
/// time, and calls over it would get no reply. The hello of the new process must end
/// that link.
#[tokio::test]
async fn a_hello_of_a_later_incarnation_ends_links_to_the_earlier() {
    let mut a = node("a", 1, |config| config.max_missed_heartbeats = u32::MAX).await;
    let listener = sockets::TcpListener::bind("127.0.0.1:0").await.unwrap();
    a.knows(&[("b", listener.local_addr().unwrap())]);
    a.mesh.send(&vm("b"), pull(1)).unwrap();
    let mut first = accept(&listener, "b", 1).await;
    assert_eq!(first.next().await.unwrap().unwrap(), Some(pull(1)));
    let stream = sockets::TcpStream::connect(a.address).await.unwrap();
    let mut second = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    second.send(&hello_frame("b", 2)).await.unwrap();
    assert_eq!(a.next().await, Call::Lost(vm("b")));
}

/// When a peer's process dies, its kernel closes the connection as in a regular
/// close, but the frames it had queued are lost. Only a bye marks a regular close.
#[tokio::test]
async fn an_end_without_a_bye_is_a_loss_and_one_with_it_is_none() {
    let mut a = node("a", 1, |_| {}).await;
    for (sends_bye, name) in [(true, "b"), (false, "c")] {
        let stream = sockets::TcpStream::connect(a.address).await.unwrap();
        let mut peer = framing::Framed::new(stream, codec::Codec::new(1 << 20));
        peer.send(&hello_frame(name, 1)).await.unwrap();
        peer.send(&pull(1)).await.unwrap();
        if sends_bye {
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
    let mut a = node("a", 1, |config| config.max_frame_bytes = 100).await;
    let stream = sockets::TcpStream::connect(a.address).await.unwrap();
    let mut peer = framing::Framed::new(stream, codec::Codec::new(1 << 20));
    peer.send(&hello_frame("b", 1)).await.unwrap();
    peer.send(&pull("x".repeat(200))).await.unwrap();
    assert_eq!(a.next().await, Call::Lost(vm("b")));
}

#[tokio::test]
async fn a_peer_of_another_protocol_gets_a_hello_and_is_refused() {
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

/// A new VM calls a home whose view doesn't contain it yet. If the home couldn't
/// reply, searches would miss those shards until gossip catches up.
#[tokio::test]
async fn a_vm_that_the_view_lacks_is_answered_at_the_address_in_its_hello() {
    let (mut a, mut b) = pair().await;
    b.knows(&[]);
    a.mesh.send(&b.vm, pull(1)).unwrap();
    assert_eq!(b.next().await, Call::Frame(vm("a"), pull(1)));
    b.mesh.send(&a.vm, pull(2)).unwrap();
    assert_eq!(a.next().await, Call::Frame(vm("b"), pull(2)));
}

#[tokio::test]
async fn links_to_vms_that_are_no_longer_members_are_closed() {
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
async fn an_idle_link_is_closed_without_loss_and_opened_again_on_use() {
    let a = node("a", 1, |config| {
        config.idle_timeout = time::Duration::from_millis(30);
    })
    .await;
    let mut b = node("b", 1, |_| {}).await;
    a.knows(&[("b", b.address)]);
    for number in 0..2 {
        a.mesh.send(&b.vm, pull(number)).unwrap();
        assert_eq!(b.next().await, Call::Frame(vm("a"), pull(number)));
        a.mesh.link_tasks.close();
        a.mesh.link_tasks.wait().await;
        assert!(a.mesh.all_links().is_empty());
    }
    assert!(b.calls.try_recv().is_err());
}
