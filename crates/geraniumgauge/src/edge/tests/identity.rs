//! The check which upstream a new connection leads to.

use std::rc;
use std::time;

use prost::Message as _;
use tokio::io::AsyncReadExt as _;

use super::state as world;
use crate::edge::frame;
use crate::edge::pool;
use crate::edge::state;
use crate::h1;
use crate::ids;
use crate::rate;
use crate::registry;
use crate::route;
use crate::time as clock;

/// A time at which addresses of upstreams that were heard at [`world::NOW`] may be reused.
const LATER: clock::Moment = clock::Moment::from_millis(33_000);

/// A VM of which a call waits for a connection to an upstream.
struct Vm {
    state: state::State,
    link: pool::Link,
    /// The other side of the connection, once it is open.
    upstream: Option<tokio::net::TcpStream>,
}

impl Vm {
    /// Returns a VM with a search, whose service has two upstreams.
    fn searching(now: clock::Moment) -> Self {
        let mut state = world::small_vm(world::address(9), 2);
        state.table = Some(rc::Rc::new(table()));
        let (entry, request) = world::search();
        state.submit(entry, request, rc::Rc::default(), now);
        let link = opened(&mut state).expect("a connection is opened");
        Self {
            state,
            link,
            upstream: None,
        }
    }

    /// Returns a relay that is asked to call an upstream of which it hasn't heard.
    async fn relaying() -> (Self, tokio::net::TcpStream) {
        let mut state = world::small_vm(world::address(9), 1);
        state.table = Some(rc::Rc::new(table()));
        let (sender, requester) = world::connection().await;
        let peer = state.peer_accepted(sender);
        let mut entry = state
            .fleet
            .registry
            .iter()
            .next()
            .expect("an upstream")
            .entry
            .clone();
        entry.id = "unheard".parse().expect("an id");
        entry.address = world::address(8);
        let batch = frame::Batch {
            request_id: "q1".to_owned(),
            head: "GET / HTTP/1.1\r\n".into(),
            timeout_us: 1_000_000,
            calls: vec![frame::Call::new(ids::Attempt(7), &entry, true)],
            first: true,
            mandatory: true,
            ..frame::Batch::default()
        };
        state.batch_received(peer, batch, world::NOW);
        let link = opened(&mut state).expect("a connection is opened");
        let relay = Self {
            state,
            link,
            upstream: None,
        };
        (relay, requester)
    }

    async fn connect(&mut self, now: clock::Moment) {
        let (sender, upstream) = world::connection().await;
        self.upstream = Some(upstream);
        self.state.connected(self.link, sender, now);
    }

    /// Returns what the upstream has received.
    async fn received(&mut self) -> String {
        let upstream = self.upstream.as_mut().expect("a connection");
        let mut buffer = vec![0; 1000];
        let read = tokio::time::timeout(time::Duration::from_secs(5), upstream.read(&mut buffer));
        let count = read.await.expect("something is sent").expect("no error");
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    }

    /// The upstream says that it is `id`.
    fn answer(&mut self, id: &str, now: clock::Moment) -> bool {
        let mut reply = h1::Reply::merged(String::new(), bytes::Bytes::new());
        reply.upstream_id = Some(id.to_owned());
        self.state.replied(self.link, reply, false, now)
    }

    /// The upstream answers the check with this status, and doesn't name itself.
    fn reject(&mut self, status: u16, now: clock::Moment) {
        let mut reply = h1::Reply::merged(String::new(), bytes::Bytes::new());
        reply.status = status;
        reply.not_run = true;
        self.state.replied(self.link, reply, false, now);
    }

    /// Returns the upstream that the connection is for.
    fn upstream(&self) -> registry::Handle {
        let upstream = self.state.upstream_of(self.link);
        upstream.expect("a connection")
    }

    fn upstream_id(&self) -> ids::Upstream {
        let upstream = self.state.fleet.registry.get(self.upstream());
        upstream.entry.id.clone()
    }
}

fn table() -> route::Table {
    let service = route::Service {
        health_path: "/health".to_owned(),
        max_connections: 50,
    };
    route::Table::new(route::Config {
        version: ids::Generation(1),
        routes: Vec::new(),
        services: [("s".parse().expect("a name"), service)].into(),
        limits: route::Limits {
            max_head: rate::Bytes(2048),
            max_body: rate::Bytes(2048),
            head_timeout: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(1),
        },
    })
}

/// Returns the first connection that is to be opened.
fn opened(state: &mut state::State) -> Option<pool::Link> {
    let effects = std::mem::take(&mut state.effects);
    effects.into_iter().find_map(|effect| match effect {
        state::Effect::Open { link, .. } => Some(link),
        _ => None,
    })
}

/// Guards against a call to an address that another upstream has now, which would arrive
/// there as an extra call.
#[test]
fn no_call_is_sent_where_another_upstream_answers() {
    world::run(async {
        let mut vm = Vm::searching(LATER);
        vm.connect(LATER).await;
        let sent = vm.received().await;
        assert!(sent.starts_with("GET /health HTTP/1.1\r\n"), "{sent}");
        assert!(!vm.answer("another", LATER), "the connection is closed");
        assert!(opened(&mut vm.state).is_some(), "the call goes elsewhere");
    });
}

/// Guards against a call to an address that a requester sent along, and that another upstream
/// has now.
#[test]
fn a_relay_sends_no_call_where_another_upstream_answers() {
    world::run(async {
        let (mut vm, mut requester) = Vm::relaying().await;
        vm.connect(world::NOW).await;
        let sent = vm.received().await;
        assert!(sent.starts_with("GET /health HTTP/1.1\r\n"), "{sent}");
        vm.answer("another", world::NOW);
        let mut bytes = [0; 1024];
        let count = requester.read(&mut bytes).await.expect("a report");
        let report = frame::Frame::decode(&bytes[4..count]).expect("a frame");
        let Some(frame::Kind::Report(report)) = report.kind else {
            panic!("{report:?}");
        };
        assert_eq!(report.ends[0].how(), frame::How::AddressLost);
    });
}

#[test]
fn a_call_is_sent_once_the_upstream_has_named_itself() {
    world::run(async {
        let mut vm = Vm::searching(LATER);
        vm.connect(LATER).await;
        vm.received().await;
        let id = vm.upstream_id();
        assert!(vm.answer(id.as_str(), LATER));
        let sent = vm.received().await;
        assert!(sent.contains(&format!("x-only: {id}\r\n")), "{sent}");
    });
}

/// Guards against a call on a connection of which only the check's rejection is known, and
/// against an upstream that is avoided for long as it was full for a moment.
#[test]
fn no_call_is_sent_where_the_check_is_rejected() {
    for (status, is_full) in [(503, true), (400, false)] {
        world::run(async {
            let mut vm = Vm::searching(LATER);
            vm.connect(LATER).await;
            vm.received().await;
            let upstream = vm.upstream();
            vm.reject(status, LATER);
            assert!(opened(&mut vm.state).is_some(), "the call goes elsewhere");
            let health = vm.state.fleet.health(upstream);
            assert_eq!(health.is_full(LATER), is_full, "{status}");
            assert_eq!(health.is_up(LATER), is_full, "{status}");
        });
    }
}

/// Guards against checks that cost a round trip for each connection.
#[test]
fn an_upstream_that_answered_just_before_isnt_checked() {
    world::run(async {
        let mut vm = Vm::searching(world::NOW);
        vm.connect(world::NOW).await;
        let sent = vm.received().await;
        assert!(sent.contains("x-only: u"), "{sent}");
    });
}

/// Guards against calls that wait for a paused upstream although another one could take them,
/// and against an upstream that isn't used again after its pause.
#[test]
fn a_paused_upstream_doesnt_hold_calls_and_is_used_when_it_goes_on() {
    world::run(async {
        let mut vm = Vm::searching(LATER);
        vm.connect(LATER).await;
        let overdue = vm.state.effects.iter().find_map(|effect| match effect {
            state::Effect::CheckOverdue { at, .. } => Some(*at),
            _ => None,
        });
        let overdue = overdue.expect("the check has a limit");
        vm.state.effects.clear();
        vm.state.check_overdue(vm.link, overdue);
        assert!(opened(&mut vm.state).is_some(), "the call goes elsewhere");
        let paused = vm.upstream();
        assert!(vm.state.fleet.health(paused).is_late());
        let id = vm.upstream_id();
        assert!(vm.answer(id.as_str(), overdue));
        assert!(!vm.state.fleet.health(paused).is_late());
        assert!(vm.state.has_idle_connection(paused));
    });
}

/// Guards against a request that crashes upstreams and isn't suspected, since another upstream
/// accepts the connection by which the VM looks whether the crashed one is still there.
#[test]
fn an_upstream_whose_address_was_given_away_counts_as_crashed() {
    world::run(async {
        let mut vm = Vm::searching(LATER);
        vm.connect(LATER).await;
        let id = vm.upstream_id();
        vm.answer(id.as_str(), LATER);
        let upstream = vm.upstream();
        // The VM is paused, so that it connects again only after others may have the address.
        vm.state.ended(vm.link, "closed", LATER);
        let effects = std::mem::take(&mut vm.state.effects);
        let opened = effects.into_iter().find_map(|effect| match effect {
            state::Effect::Open { link, .. } if vm.state.upstream_of(link) == Some(upstream) => {
                Some(link)
            }
            _ => None,
        });
        vm.link = opened.expect("the VM connects again");
        let delay = time::Duration::from_millis(1400);
        vm.state.fleet.policy.address_reuse_delay = delay;
        vm.connect(LATER + delay).await;
        vm.answer("another", LATER + delay);
        assert!(!vm.state.fleet.suspects.is_empty());
    });
}
