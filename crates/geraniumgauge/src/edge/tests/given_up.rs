//! Given-up calls that this VM makes for a requester whose budget is charged for them.

use prost::Message as _;
use tokio::io::AsyncReadExt as _;

use super::state as world;
use crate::edge::frame;
use crate::edge::state;
use crate::h1;

/// The requester's id of its call.
const CALL: u64 = 7;

/// A relay and its connection to a requester.
struct Relay {
    state: state::State,
    peer: u64,
    requester: tokio::net::TcpStream,
}

impl Relay {
    async fn new() -> Self {
        let mut state = world::small_vm(world::address(9), 1);
        let (sender, requester) = world::connection().await;
        let peer = state.peer_accepted(sender);
        Self {
            state,
            peer,
            requester,
        }
    }

    /// The requester asks for a call to `u0`.
    fn request(&mut self) {
        self.request_with(false);
    }

    fn request_with(&mut self, whole_replies: bool) {
        let call = frame::Call {
            id: CALL,
            upstream: "u0".to_owned(),
            ..frame::Call::default()
        };
        let batch = frame::Batch {
            request_id: "q1".to_owned(),
            head: "GET / HTTP/1.1\r\n".into(),
            timeout_us: 1_000_000,
            top_k: 3,
            calls: vec![call],
            first: true,
            typical_us: 10_000,
            mandatory: true,
            whole_replies,
            ..frame::Batch::default()
        };
        self.state.batch_received(self.peer, batch, world::NOW);
    }

    /// The requester gives the call up, and its budget is charged for it.
    fn abandon(&mut self) {
        let abandon = frame::Abandon {
            calls: vec![CALL],
            charged: vec![CALL],
        };
        self.state.calls_abandoned(self.peer, &abandon, world::NOW);
    }

    /// Returns how the relay has reported the call to have ended; `None` if it hasn't.
    fn reported(&mut self) -> Option<frame::How> {
        let report = self.report()?;
        assert_eq!(report.ends[0].id, CALL);
        Some(report.ends[0].how())
    }

    /// Returns what the relay has reported; `None` if nothing.
    fn report(&mut self) -> Option<frame::Report> {
        let mut bytes = [0; 1024];
        let count = self.requester.try_read(&mut bytes).ok()?;
        let frame = frame::Frame::decode(&bytes[4..count]).expect("a frame");
        match frame.kind {
            Some(frame::Kind::Report(report)) => Some(report),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a requester whose charge ends while its relay, or the upstream that the
/// relay called, is paused and the call still waits there.
#[test]
fn a_relay_reports_a_given_up_call_once_the_upstream_has_read_it() {
    world::run(async {
        let mut relay = Relay::new().await;
        relay.request();
        let link = match relay.state.effects.pop() {
            Some(state::Effect::Open { link, .. }) => link,
            other => panic!("{other:?}"),
        };
        let (sender, mut upstream) = world::connection().await;
        relay.state.connected(link, sender, world::NOW);
        relay.abandon();
        let due = world::NOW + state::ABANDONED_CALL_GRACE;
        assert_eq!(relay.state.sweep(due), None);
        // The upstream sees the call and the end of the connection.
        let mut call = Vec::new();
        let read = upstream.read_to_end(&mut call).await;
        assert!(read.expect("can read") > 0);
        assert_eq!(relay.reported(), None);
        relay.state.ended(link, "closed", due);
        relay.requester.readable().await.expect("a report");
        assert_eq!(relay.reported(), Some(frame::How::Lost));
    });
}

/// Guards against callers of single requests who get no failure of the upstream's own, as a
/// relay made the call.
#[test]
fn a_relay_reports_whole_replies_to_single_requests() {
    world::run(async {
        let mut relay = Relay::new().await;
        relay.request_with(true);
        relay.requester.readable().await.expect("a report");
        let pending = relay.report().expect("a report").pending;
        assert_eq!(pending, [CALL], "the relay says that it makes the call");
        let link = match relay.state.effects.pop() {
            Some(state::Effect::Open { link, .. }) => link,
            other => panic!("{other:?}"),
        };
        let (sender, _upstream) = world::connection().await;
        relay.state.connected(link, sender, world::NOW);
        let headers = b"x-signature: a\r\n".to_vec();
        let mut reply = h1::Reply::whole(500, headers.clone(), "failed".into());
        reply.id = Some("q1".to_owned());
        relay.state.replied(link, reply, false, world::NOW);
        relay.requester.readable().await.expect("a report");
        let report = relay.report().expect("a report");
        assert_eq!(report.ends[0].how(), frame::How::Failure);
        let reply = report.replies[0].read().expect("a reply");
        assert_eq!((reply.status, reply.headers), (500, headers));
        assert_eq!(reply.body, "failed");
    });
}

/// Guards against charges that never end: the relay was paused and didn't make the call, as
/// the requester had given it up meanwhile.
#[test]
fn a_relay_reports_a_given_up_call_that_it_never_made() {
    world::run(async {
        let mut relay = Relay::new().await;
        relay.abandon();
        relay.requester.readable().await.expect("a report");
        assert_eq!(relay.reported(), Some(frame::How::NotSent));
    });
}
