//! Writes to a connection without waiting, in order.

use std::cell;
use std::io;
use std::rc;

use bytes::Buf as _;
use tokio::net::tcp;

/// Bytes that wait for a connection at most, beyond one message of any size. A
/// peer that doesn't read would otherwise fill the memory.
const MAX_WAITING: usize = 1 << 20;

/// The writing half of a connection; clones share it.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    writer: rc::Rc<tcp::OwnedWriteHalf>,
    waiting: rc::Rc<cell::RefCell<Waiting>>,
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: bytes::BytesMut,
    /// Whether a task writes them.
    writing: bool,
    failed: bool,
}

impl Sender {
    pub(super) fn new(writer: tcp::OwnedWriteHalf) -> Self {
        Self {
            writer: rc::Rc::new(writer),
            waiting: rc::Rc::default(),
        }
    }

    /// Sends bytes; what the system doesn't take at once follows from a task.
    ///
    /// # Errors
    /// Where nothing of them was sent, nor will be.
    pub(super) fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let mut waiting = self.waiting.borrow_mut();
        let full = !waiting.bytes.is_empty() && waiting.bytes.len() + bytes.len() > MAX_WAITING;
        if waiting.failed || full {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if waiting.writing {
            waiting.bytes.extend_from_slice(bytes);
            return Ok(());
        }
        let written = match self.writer.try_write(bytes) {
            Ok(written) => written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(error) => return Err(error),
        };
        if written < bytes.len() {
            waiting.bytes.extend_from_slice(&bytes[written..]);
            waiting.writing = true;
            tokio::task::spawn_local(self.clone().flush());
        }
        Ok(())
    }

    /// Whether bytes are still being written.
    pub(super) fn is_writing(&self) -> bool {
        self.waiting.borrow().writing
    }

    /// Writes what waits. A failure shows where the connection is read.
    async fn flush(self) {
        loop {
            if self.writer.writable().await.is_err() {
                self.waiting.borrow_mut().failed = true;
                return;
            }
            let mut waiting = self.waiting.borrow_mut();
            match self.writer.try_write(&waiting.bytes) {
                Ok(written) => waiting.bytes.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => {
                    waiting.failed = true;
                    return;
                }
            }
            if waiting.bytes.is_empty() {
                waiting.writing = false;
                return;
            }
        }
    }
}
