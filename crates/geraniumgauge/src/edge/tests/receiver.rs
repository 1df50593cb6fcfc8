//! Ends of connections that are read by one task and written by another.

use std::io;
use std::net;
use std::time;

use crate::edge::receiver;
use crate::edge::sender;
use crate::edge::tests::state as world;

/// Size of a message that doesn't fit into the buffers of a connection.
const LARGE_MESSAGE_BYTES: usize = 32 << 20;
/// How long sent bytes may stay unacknowledged.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// What the other side sends.
const REPLY: &[u8] = b"a reply without a length";

/// Sends a large message over a connection, and [`REPLY`] from its other end.
async fn exchange() -> (receiver::Receiver, sender::Sender, tokio::net::TcpStream) {
    let (stream, other) = world::ends().await;
    let set = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
    set.expect("can set a socket's timeout");
    let (receiver, sender) = receiver::Receiver::split(stream);
    sender
        .send(&vec![7; LARGE_MESSAGE_BYTES])
        .expect("an empty queue accepts a message of any size");
    let written = other.try_write(REPLY).expect("an open connection");
    assert_eq!(written, REPLY.len());
    (receiver, sender, other)
}

/// Ends the connection regularly; bytes may still be unread.
fn finish(other: &tokio::net::TcpStream) {
    let shut = socket2::SockRef::from(other).shutdown(net::Shutdown::Write);
    shut.expect("an open connection");
}

/// Resets the connection.
fn reset(other: tokio::net::TcpStream) {
    let linger = socket2::SockRef::from(&other).set_linger(Some(time::Duration::ZERO));
    linger.expect("can set a socket's linger time");
}

/// Waits until writing has failed.
async fn writing_failed(sender: &sender::Sender) {
    while !sender.has_failed() {
        tokio::task::yield_now().await;
    }
}

/// Reads until the connection ends. Returns whether it has ended regularly, and what was read.
async fn read_to_end(receiver: &mut receiver::Receiver) -> (io::Result<()>, bytes::BytesMut) {
    let mut buffer = bytes::BytesMut::new();
    loop {
        match receiver.read(&mut buffer).await {
            Ok(0) => return (Ok(()), buffer),
            Ok(_) => {}
            Err(error) => return (Err(error), buffer),
        }
    }
}

/// Guards against a part of a reply without a length that looks whole: the system reports the
/// reset of the connection to the writing task, and to the reading task an end like a regular one.
#[test]
fn a_reset_that_writing_has_seen_is_no_regular_end() {
    world::run(async {
        let (mut receiver, sender, other) = exchange().await;
        reset(other);
        writing_failed(&sender).await;
        let (end, read) = read_to_end(&mut receiver).await;
        assert_eq!(read.as_ref(), REPLY);
        let error = end.expect_err("a failed connection");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset, "{error}");
    });
}

/// Guards against a part of a reply without a length that looks whole: the other side stops
/// reading, and the system reports the time-out of unacknowledged bytes only once.
#[test]
fn unacknowledged_bytes_are_no_regular_end() {
    world::run(async {
        let (mut receiver, sender, _other) = exchange().await;
        writing_failed(&sender).await;
        let (end, read) = read_to_end(&mut receiver).await;
        assert_eq!(read.as_ref(), REPLY);
        let error = end.expect_err("a failed connection");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut, "{error}");
    });
}

/// Guards against the loss of a whole reply: an upstream that has answered and ended the
/// connection regularly resets it afterwards, as it hasn't read the call to its end.
#[test]
fn a_reset_after_a_regular_end_keeps_the_reply_whole() {
    world::run(async {
        let (mut receiver, sender, other) = exchange().await;
        finish(&other);
        reset(other);
        writing_failed(&sender).await;
        let (end, read) = read_to_end(&mut receiver).await;
        end.expect("a regular end");
        assert_eq!(read.as_ref(), REPLY);
    });
}

/// Guards against the loss of a whole reply: an upstream that has answered and ended the
/// connection regularly never reads the rest of the call.
#[test]
fn unacknowledged_bytes_after_a_regular_end_keep_the_reply_whole() {
    world::run(async {
        let (mut receiver, sender, other) = exchange().await;
        finish(&other);
        writing_failed(&sender).await;
        let (end, read) = read_to_end(&mut receiver).await;
        end.expect("a regular end");
        assert_eq!(read.as_ref(), REPLY);
    });
}
