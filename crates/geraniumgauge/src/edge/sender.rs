//! Ordered writes to a connection that don't block the caller.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time;

use bytes::Buf as _;
use tokio::net::tcp;

/// Maximum number of unsent bytes to which a message may be added; a single message
/// may be larger. Bounds the memory that a peer which doesn't read can take up.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Interval at which the system probes the other side of a connection that is closed for
/// writing. A host that is gone never closes its side.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The write half of a connection; clones share it.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    writer: rc::Rc<tcp::OwnedWriteHalf>,
    queue: rc::Rc<cell::RefCell<Queue>>,
}

#[derive(Debug, Default)]
struct Queue {
    /// The unsent bytes, in order.
    parts: collections::VecDeque<bytes::Bytes>,
    /// Number of bytes in `parts`.
    len: usize,
    /// Whether a task is writing the queued bytes.
    writing: bool,
    /// Whether nothing can be written any more.
    failed: bool,
    /// The connection's error, if writing got it. The system reports an error once: a read
    /// after it returns the same as at a regular end of the connection.
    error: Option<io::Error>,
}

impl Sender {
    pub(super) fn new(writer: tcp::OwnedWriteHalf) -> Self {
        Self {
            writer: rc::Rc::new(writer),
            queue: rc::Rc::default(),
        }
    }

    /// Sends bytes. Those that the socket doesn't accept at once are queued and
    /// written by a task.
    ///
    /// # Errors
    /// If none of the bytes were sent, nor will be.
    pub(super) fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.send_with_body(bytes, &bytes::Bytes::new())
    }

    /// Sends a head and a body, like [`Self::send`]. The part of the body that is queued isn't
    /// copied.
    ///
    /// # Errors
    /// If none of the bytes were sent, nor will be.
    pub(super) fn send_with_body(&self, head: &[u8], body: &bytes::Bytes) -> io::Result<()> {
        let mut queue = self.queue.borrow_mut();
        if queue.failed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if queue.len > 0 && queue.len + head.len() + body.len() > MAX_QUEUED_BYTES {
            return Err(io::Error::other("too many unsent bytes"));
        }
        let mut written = 0;
        if !queue.writing {
            written = self.try_write(head).map_err(|error| queue.fail(error))?;
            if written == head.len() && !body.is_empty() {
                match self.try_write(body) {
                    Ok(more) => written += more,
                    Err(error) => {
                        // The head is sent: the task that reads reports the failure.
                        queue.fail(error);
                        return Ok(());
                    }
                }
            }
        }
        queue.push(bytes::Bytes::copy_from_slice(
            &head[written.min(head.len())..],
        ));
        queue.push(body.slice(written.saturating_sub(head.len())..));
        if queue.len > 0 && !queue.writing {
            queue.writing = true;
            tokio::task::spawn_local(self.clone().flush());
        }
        Ok(())
    }

    /// Writes as many bytes as the socket takes at once.
    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.writer.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// Closes the connection for writing, and lets the system check that the other side is
    /// still there. The other side sees the end of the connection.
    ///
    /// # Errors
    /// If queued bytes aren't written yet, or the connection has failed.
    pub(super) fn finish(&self) -> io::Result<()> {
        if self.is_writing() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let socket = socket2::SockRef::from((*self.writer).as_ref());
        let probes = socket2::TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL);
        socket.set_tcp_keepalive(&probes)?;
        socket.shutdown(net::Shutdown::Write)
    }

    /// Ends the connection in both directions, so that the tasks that read it on either side
    /// notice. Queued bytes aren't written.
    pub(super) fn abort(&self) {
        self.queue.borrow_mut().failed = true;
        let socket = socket2::SockRef::from((*self.writer).as_ref());
        // Fails only if the connection has ended already.
        let _ = socket.shutdown(net::Shutdown::Both);
    }

    /// Returns whether queued bytes are still being written.
    pub(super) fn is_writing(&self) -> bool {
        self.queue.borrow().writing
    }

    /// Returns whether nothing can be written any more.
    #[cfg(test)]
    pub(super) fn has_failed(&self) -> bool {
        self.queue.borrow().failed
    }

    /// Checks that the connection hasn't failed with an error that writing got, and that
    /// reading therefore can't get. A broken pipe is none: the system reports it if the other
    /// side refuses bytes after it has ended the connection regularly.
    ///
    /// # Errors
    /// The error that writing got.
    pub(super) fn check_connection(&self) -> io::Result<()> {
        let queue = self.queue.borrow();
        let failure = queue.error.as_ref();
        let Some(error) = failure.filter(|error| error.kind() != io::ErrorKind::BrokenPipe) else {
            return Ok(());
        };
        let unwritten = queue.len;
        let text = format!("{error}, while writing, with {unwritten} bytes unwritten");
        Err(io::Error::new(error.kind(), text))
    }

    /// Writes the queued bytes. The task that reads the connection reports failures.
    async fn flush(self) {
        loop {
            let ready = self.writer.ready(tokio::io::Interest::WRITABLE).await;
            let mut queue = self.queue.borrow_mut();
            if ready.map_or(true, |ready| ready.is_write_closed()) {
                // The system's error is left to the task that reads.
                queue.failed = true;
                return;
            }
            let written = queue.parts.front().map(|part| self.try_write(part));
            match written.transpose() {
                Ok(written) => queue.advance(written.unwrap_or(0)),
                Err(error) => {
                    queue.fail(error);
                    return;
                }
            }
            if queue.len == 0 {
                queue.writing = false;
                return;
            }
        }
    }
}

impl Queue {
    fn push(&mut self, part: bytes::Bytes) {
        if !part.is_empty() {
            self.len += part.len();
            self.parts.push_back(part);
        }
    }

    /// Removes bytes of the first part.
    fn advance(&mut self, written: usize) {
        self.len -= written;
        let Some(part) = self.parts.front_mut() else {
            return;
        };
        part.advance(written);
        if part.is_empty() {
            self.parts.pop_front();
        }
    }

    /// Records that writing failed. Returns the error for the caller.
    fn fail(&mut self, error: io::Error) -> io::Error {
        let returned = io::Error::from(error.kind());
        self.failed = true;
        self.error = Some(error);
        returned
    }
}
