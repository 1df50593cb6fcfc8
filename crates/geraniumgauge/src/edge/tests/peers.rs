//! Questions between VMs.

use std::io;
use std::time;

use tokio::io::AsyncWriteExt as _;

use crate::edge::frame;
use crate::edge::peers;
use crate::spread;

/// Reads an answer with so many bytes of configuration, of which a piece comes
/// each `pause`, and none any more after `pieces`.
fn read(size: usize, pieces: usize, pause: time::Duration) -> io::Result<spread::Answer> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let answer = spread::Answer {
            summary: spread::Summary {
                holds: spread::Holds::default(),
                sure: false,
                look: None,
                vms: None,
                members: 0,
            },
            records: Vec::new(),
            config: Some("a".repeat(size)),
            registrations: None,
            elsewhere: None,
        };
        let bytes = frame::Frame::bytes(frame::Kind::Answer(answer.into()));
        let (near, mut far) = tokio::io::duplex(1 << 20);
        let send = async {
            for piece in bytes.chunks(bytes.len() / 10).take(pieces) {
                tokio::time::sleep(pause).await;
                far.write_all(piece).await.expect("an open connection");
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            answer = peers::read_answer(near) => answer,
            () = send => unreachable!("it waits for ever"),
        }
    })
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
