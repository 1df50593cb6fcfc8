//! A slow sender, for tests of code that waits for bytes.

use std::future;
use std::time;

use tokio::io::AsyncWriteExt as _;

/// Sends `bytes` to `receive` in virtual time, a tenth after each `delay`, and returns
/// its result. After `pieces` tenths nothing more is sent, but the connection stays
/// open.
pub(crate) fn send<T, F: Future<Output = T>>(
    bytes: &[u8],
    pieces: usize,
    delay: time::Duration,
    receive: impl FnOnce(tokio::io::DuplexStream) -> F,
) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let (receiver, mut sender) = tokio::io::duplex(1 << 20);
        let sending = async {
            for piece in bytes.chunks(bytes.len() / 10).take(pieces) {
                tokio::time::sleep(delay).await;
                sender.write_all(piece).await.expect("an open connection");
            }
            future::pending::<()>().await;
        };
        tokio::select! {
            received = receive(receiver) => received,
            () = sending => unreachable!("the sender never ends"),
        }
    })
}
