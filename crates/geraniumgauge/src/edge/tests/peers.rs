//! Fetches between VMs.

use std::io;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio_util::codec::Decoder as _;

use crate::edge::frame;
use crate::edge::link;
use crate::edge::peers;
use crate::edge::tests::state as world;
use crate::h1;
use crate::memory;
use crate::rate;
use crate::slow_sender;
use crate::spread;
use crate::spread::tests::messages;

/// Reads an answer with `size` bytes of configuration that is sent in pieces of a
/// tenth, plus a last piece for the remainder. Only the first `pieces` of them are
/// sent, one each `interval`.
fn read_slowly_sent(
    size: usize,
    pieces: usize,
    interval: time::Duration,
) -> io::Result<spread::Answer> {
    let answer = spread::Answer {
        config: Some("a".repeat(size)),
        ..messages::answer(messages::nothing())
    };
    let bytes = frame::Frame::bytes(frame::Kind::Answer(answer.into()));
    slow_sender::send(&bytes, pieces, interval, peers::read_answer)
}

/// Guards against a fetch that times out while the answer is still arriving over a
/// slow or shared link.
#[test]
fn an_answer_is_read_as_long_as_bytes_arrive() {
    let answer = read_slowly_sent(500_000, 11, time::Duration::from_millis(400));
    let config = answer.expect("an answer").config;
    assert_eq!(config.map(|text| text.len()), Some(500_000));
}

/// Guards against a fetch that waits for a VM that was powered off.
#[test]
fn an_answer_that_stops_arriving_times_out() {
    let answer = read_slowly_sent(500_000, 4, time::Duration::from_millis(100));
    let error = answer.expect_err("half an answer");
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
}

/// Guards against a requester that waits for a call until its deadline: the relay can't queue
/// the report of its end, as the requester reads too slowly, and drops it.
#[test]
fn a_report_that_cant_be_queued_ends_the_connection() {
    world::run(async {
        let mut state = world::small_vm(world::address(9), 1);
        let (sender, mut requester) = world::connection().await;
        let peer = state.peer_accepted(sender);
        let report = frame::Report {
            records: vec![7; 1 << 20].into(),
            ..frame::Report::default()
        };
        for _ in 0..64 {
            state.send_to(peer, frame::Kind::Report(report.clone()));
        }
        let mut received = Vec::new();
        let read = requester.read_to_end(&mut received);
        let ended = tokio::time::timeout(time::Duration::from_secs(60), read).await;
        assert!(ended.is_ok(), "the connection is still open");
    });
}

/// Guards against a call that counts as lost, though its upstream has answered: the reply, which
/// a VM reads, is too large for a relay to pass on.
#[test]
fn the_largest_reply_fits_into_a_frame() {
    let largest = link::MAX_REPLY.0 as usize;
    let reply = h1::Reply::whole(200, vec![b'h'; largest], vec![b'b'; largest].into());
    let report = frame::Report {
        ends: vec![frame::End::new(u64::MAX, frame::How::Good)],
        replies: vec![frame::Reply::new(u64::MAX, reply)],
        ..frame::Report::default()
    };
    let bytes = frame::Frame::bytes(frame::Kind::Report(report));
    assert!(!frame::Frame::is_too_large(&bytes));
    let mut buffer = bytes::BytesMut::from(bytes.as_ref());
    let decoded = peers::frame_codec().decode(&mut buffer);
    assert!(decoded.expect("a frame").is_some());
}

/// Guards against the loss of all calls at a relay: a request whose head and body together are
/// too large for a frame makes the relay close the connection.
#[test]
fn a_request_that_fits_into_no_frame_isnt_sent_to_a_relay() {
    world::run(async {
        let relay = world::address(9);
        let mut state = world::small_vm(relay, 2);
        let (sender, other) = world::connection().await;
        state.peer_connected(relay, sender, world::NOW);
        let (entry, mut request) = world::single();
        request.head = vec![b'h'; frame::MAX_FRAME_LEN / 2];
        request.body = vec![b'b'; frame::MAX_FRAME_LEN / 2].into();
        // The relay would pay for the second call.
        world::lose_first_call_of(&mut state, entry, request).await;
        let sent = other.try_read(&mut [0; 1]);
        assert_eq!(
            sent.expect_err("nothing is sent").kind(),
            io::ErrorKind::WouldBlock
        );
    });
}

/// Guards against connections that only announce large messages and take up memory for them, and
/// against a message that is lost because there was no memory for it at first.
#[test]
fn a_message_without_memory_is_decoded_later() {
    let body = vec![7; 100 << 10];
    let report = frame::Report {
        records: body.into(),
        ..frame::Report::default()
    };
    let bytes = frame::Frame::bytes(frame::Kind::Report(report));
    let budget = memory::Budget::new(rate::Bytes(200 << 10));
    let mut others = budget.hold();
    others.resize(rate::Bytes(100 << 10)).expect("room");
    let mut codec = frame::Codec::new(budget.clone());
    let mut buffer = bytes::BytesMut::from(&bytes[..10]);
    let decoded = codec.decode(&mut buffer);
    assert!(matches!(decoded, Err(frame::Error::NoMemory(_))));
    drop(others);
    buffer.extend_from_slice(&bytes[10..]);
    let decoded = codec.decode(&mut buffer).expect("memory");
    assert_eq!(decoded.expect("a whole message"), bytes[4..]);
    assert_eq!(budget.used(), rate::Bytes(0));
}
