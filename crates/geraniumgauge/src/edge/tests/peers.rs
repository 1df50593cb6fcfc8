//! Questions between VMs.

use std::io;
use std::time;

use crate::edge::frame;
use crate::edge::peers;
use crate::slow_sender;
use crate::spread;
use crate::spread::tests::news;

/// Reads an answer with so many bytes of configuration, of which a tenth comes
/// each `pause`, and none any more after `pieces`.
fn read(size: usize, pieces: usize, pause: time::Duration) -> io::Result<spread::Answer> {
    let answer = spread::Answer {
        config: Some("a".repeat(size)),
        ..news::answer(news::nothing())
    };
    let bytes = frame::Frame::bytes(frame::Kind::Answer(answer.into()));
    slow_sender::send(&bytes, pieces, pause, peers::read_answer)
}

/// Guards against an answer that is given up though it comes, since the link is
/// narrow or shared.
#[test]
fn an_answer_is_waited_for_as_long_as_it_comes() {
    let answer = read(500_000, 11, time::Duration::from_millis(400));
    let config = answer.expect("an answer").config;
    assert_eq!(config.map(|text| text.len()), Some(500_000));
}

/// Guards against a question that waits for a VM without power.
#[test]
fn an_answer_that_stops_coming_is_given_up() {
    let answer = read(500_000, 4, time::Duration::from_millis(100));
    let error = answer.expect_err("half an answer");
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
}
