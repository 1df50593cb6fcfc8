//! Fetches between VMs.

use std::io;
use std::time;

use crate::edge::frame;
use crate::edge::peers;
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
