//! Fetches between VMs.

use std::io;
use std::time;

use tokio::io::AsyncReadExt as _;

use crate::edge::frame;
use crate::edge::peers;
use crate::edge::tests::state as world;
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
