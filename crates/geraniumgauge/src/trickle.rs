//! Bytes that come slowly, for tests of who waits for them.

use std::future;
use std::time;

use tokio::io::AsyncWriteExt as _;

/// What `receive` makes of `bytes`, of which a tenth comes each `pause`, and none
/// any more after `pieces`. In virtual time; the connection stays open.
pub(crate) fn send<T, F: Future<Output = T>>(
    bytes: &[u8],
    pieces: usize,
    pause: time::Duration,
    receive: impl FnOnce(tokio::io::DuplexStream) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let (near, mut far) = tokio::io::duplex(1 << 20);
        let send = async {
            for piece in bytes.chunks(bytes.len() / 10).take(pieces) {
                tokio::time::sleep(pause).await;
                far.write_all(piece).await.expect("an open connection");
            }
            future::pending::<()>().await;
        };
        tokio::select! {
            received = receive(near) => received,
            () = send => unreachable!("it waits for ever"),
        }
    })
}
