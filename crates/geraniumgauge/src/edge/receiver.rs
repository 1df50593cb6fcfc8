//! Reads from a connection that another task writes to.

use std::io;

use tokio::io::AsyncReadExt as _;
use tokio::net::tcp;

use crate::edge::sender;

/// The read half of a connection.
#[derive(Debug)]
pub(super) struct Receiver {
    reader: tcp::OwnedReadHalf,
    sender: sender::Sender,
}

impl Receiver {
    /// Splits a connection into its halves.
    pub(super) fn split(stream: tokio::net::TcpStream) -> (Self, sender::Sender) {
        let (reader, writer) = stream.into_split();
        let sender = sender::Sender::new(writer);
        let receiver = Self {
            reader,
            sender: sender.clone(),
        };
        (receiver, sender)
    }

    /// Waits for bytes, appends them to `buffer` and returns their number; 0 only once the
    /// other side has ended the connection regularly.
    ///
    /// # Errors
    /// If the connection has failed, also if the system has told only the writing task so.
    pub(super) async fn read(&mut self, buffer: &mut bytes::BytesMut) -> io::Result<usize> {
        let count = self.reader.read_buf(buffer).await?;
        if count == 0 {
            self.sender.check_connection()?;
        }
        Ok(count)
    }
}
