//! Sends the answers of a connection.

use std::time;

use tokio::io::AsyncWriteExt as _;

use crate::edge::answer;
use crate::edge::caller;
use crate::edge::places;
use crate::rate;

/// Timeout of writing an answer.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// How long a connection is read after its last answer, so that the caller can read
/// that answer before the connection is reset.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Maximum number of reads after the last answer.
const MAX_LINGER_READS: u32 = 64;
/// Size of these reads.
const DISCARDED_BYTES: usize = 16 << 10;

impl caller::Connection {
    /// Writes an answer and returns whether that succeeded in time.
    pub(super) async fn write(&mut self, answer: &answer::Answer) -> bool {
        let written = self.stream.try_write(&answer.head).unwrap_or(0);
        if written == answer.head.len() && answer.body.is_empty() {
            return true;
        }
        let now = tokio::time::Instant::now();
        self.place.set_stage(places::Stage::Answering, now);
        self.place.set_held(rate::Bytes(answer.body.len() as u64));
        let (stream, place) = (&mut self.stream, &self.place);
        let write = async {
            stream.write_all(&answer.head[written..]).await?;
            let mut sent = 0;
            while sent < answer.body.len() {
                match stream.write(&answer.body[sent..]).await? {
                    0 => return Err(std::io::ErrorKind::WriteZero.into()),
                    count => sent += count,
                }
                place.set_moved(rate::Bytes(sent as u64), tokio::time::Instant::now());
            }
            std::io::Result::Ok(())
        };
        let write = tokio::time::timeout(WRITE_TIMEOUT, write);
        let is_written = tokio::select! {
            biased;
            written = write => matches!(written, Ok(Ok(()))),
            () = self.place.ended() => false,
        };
        self.place.set_held(rate::Bytes(0));
        is_written
    }

    /// Closes the connection gracefully: shuts down writing, then discards what the
    /// caller still sends. Closing with unread bytes would reset the connection before
    /// the caller has read the last answer.
    pub(super) async fn linger(mut self) {
        self.codec.discard();
        self.free();
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            for _ in 0..MAX_LINGER_READS {
                if self.stream.readable().await.is_err() || !self.discard_available() {
                    return;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            // The connection is closed now even if the caller hasn't closed it.
            _ = tokio::time::timeout(LINGER_TIMEOUT, discard) => {}
            () = self.place.ended() => {}
        }
    }

    /// Discards bytes that have come. Returns false if the connection has ended.
    fn discard_available(&self) -> bool {
        match self.stream.try_read(&mut [0; DISCARDED_BYTES]) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}
