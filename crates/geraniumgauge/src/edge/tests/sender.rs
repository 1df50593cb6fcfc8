//! Writes that don't block the caller.

use tokio::io::AsyncReadExt as _;

use crate::edge::sender;

/// Size of a message that is larger than the queue's limit.
const LARGE_MESSAGE_BYTES: usize = 3 << 20;

/// Guards against an answer that is dropped because it is larger than the queue's
/// limit, so that every VM that fetches it waits in vain.
#[test]
fn a_message_larger_than_the_queue_is_sent_whole() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stream, accepted) =
            tokio::join!(tokio::net::TcpStream::connect(address), listener.accept());
        let (_reader, writer) = stream.expect("a connection").into_split();
        let sender = sender::Sender::new(writer);
        let (mut other, _) = accepted.expect("a connection");
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
