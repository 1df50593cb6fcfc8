//! Writes that don't block the caller.

use tokio::io::AsyncReadExt as _;

use crate::edge::tests::state as world;

/// Size of a message that is larger than the queue's limit.
const LARGE_MESSAGE_BYTES: usize = 3 << 20;

/// Guards against an answer that is dropped because it is larger than the queue's
/// limit, so that every VM that fetches it waits in vain.
#[test]
fn a_message_larger_than_the_queue_is_sent_whole() {
    world::run(async {
        let (sender, mut other) = world::connection().await;
        sender
            .send(&vec![7; LARGE_MESSAGE_BYTES])
            .expect("an empty queue accepts a message of any size");
        // While the large message is queued, further messages are refused. Many are
        // sent, since the socket's buffer may take up the first ones.
        let mut behind = (0..64).map(|_| sender.send(&[8; 1 << 20]));
        assert!(behind.any(|sent| sent.is_err()));
        let mut read = vec![0; LARGE_MESSAGE_BYTES];
        other.read_exact(&mut read).await.expect("the message");
        assert!(read.iter().all(|byte| *byte == 7));
    });
}

/// Guards against a copy of a large body for each call whose upstream doesn't read: a search has
/// one call for each shard.
#[test]
fn a_body_that_cant_be_sent_at_once_isnt_copied() {
    world::run(async {
        let (sender, mut other) = world::connection().await;
        // More than the sockets buffer.
        let body = bytes::Bytes::from(vec![7; 16 * LARGE_MESSAGE_BYTES]);
        let sent = sender.send_with_body(b"head", &body);
        sent.expect("an empty queue accepts a message of any size");
        assert!(sender.is_writing());
        assert!(!body.is_unique());
        let mut read = vec![0; 4 + body.len()];
        other.read_exact(&mut read).await.expect("the message");
        assert_eq!(&read[..4], b"head");
        assert!(read[4..] == body);
        while sender.is_writing() {
            tokio::task::yield_now().await;
        }
        assert!(body.is_unique());
    });
}
