//! The messages that come over a connection of another VM.

use std::io;
use std::time;

use prost::Message as _;
use tokio::io::AsyncReadExt as _;
use tokio::net::tcp;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::frame;
use crate::edge::places;

/// Buffer space for each read, in bytes.
const READ_SIZE: usize = 8 << 10;
/// Time within which a whole message comes over a connection that another VM opened.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The messages that come over a connection.
pub(super) struct Messages {
    reader: tcp::OwnedReadHalf,
    codec: frame::Codec,
    buffer: bytes::BytesMut,
    /// Where room is made for large messages.
    places: places::Places,
    /// The place of a connection that another VM opened.
    place: Option<places::Place>,
    /// When the message that is being read must be whole.
    whole_by: Option<tokio::time::Instant>,
}

impl Messages {
    pub(super) fn new(
        engine: &edge::Engine,
        reader: tcp::OwnedReadHalf,
        place: Option<places::Place>,
    ) -> Self {
        let places = place.as_ref().map(places::Place::places);
        let places = places.unwrap_or(engine.places()).clone();
        Self {
            reader,
            codec: frame::Codec::new(places.budget().clone()),
            buffer: bytes::BytesMut::new(),
            places,
            place,
            whole_by: None,
        }
    }

    /// Waits for a message and appends it and all others that have arrived with it.
    ///
    /// # Errors
    /// If the connection has ended.
    pub(super) async fn receive(&mut self, messages: &mut Vec<frame::Kind>) -> io::Result<()> {
        loop {
            self.decode(messages).await?;
            let is_between = self.buffer.is_empty() && !self.codec.is_reading();
            // Mostly one message arrives at a time, and asking for more would cost another
            // system call for nothing.
            if !messages.is_empty() && is_between {
                return Ok(());
            }
            self.buffer.reserve(READ_SIZE);
            let count = if messages.is_empty() {
                self.read(is_between).await?
            } else {
                match self.reader.try_read_buf(&mut self.buffer) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                    count => count?,
                }
            };
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Appends the messages that are complete.
    async fn decode(&mut self, messages: &mut Vec<frame::Kind>) -> io::Result<()> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(bytes)) => messages.extend(decode(bytes)?.kind),
                Ok(None) => return Ok(()),
                Err(frame::Error::NoMemory(exhausted))
                    if self
                        .places
                        .make_room(self.place.as_ref(), exhausted.missing)
                        .await => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Waits for bytes. `is_between` is set between two messages.
    async fn read(&mut self, is_between: bool) -> io::Result<usize> {
        let Some(place) = &self.place else {
            return self.reader.read_buf(&mut self.buffer).await;
        };
        if !is_between {
            let now = tokio::time::Instant::now();
            place.set_stage(places::Stage::Receiving, now);
            let whole_by = *self.whole_by.get_or_insert(now + MESSAGE_TIMEOUT);
            let read = self.reader.read_buf(&mut self.buffer);
            return tokio::select! {
                biased;
                read = tokio::time::timeout_at(whole_by, read) => read?,
                () = place.ended() => Err(io::ErrorKind::QuotaExceeded.into()),
            };
        }
        self.whole_by = None;
        tokio::select! {
            biased;
            read = self.reader.read_buf(&mut self.buffer) => read,
            () = place.ended() => Err(io::ErrorKind::QuotaExceeded.into()),
        }
    }

    /// Notes that the messages were handled.
    pub(super) fn handled(&mut self) {
        self.whole_by = None;
        if let Some(place) = &self.place {
            place.set_stage(places::Stage::Idle, tokio::time::Instant::now());
        }
    }
}

/// Decodes the message of a frame.
///
/// # Errors
/// If it is malformed.
pub(super) fn decode(bytes: bytes::Bytes) -> io::Result<frame::Frame> {
    let decoded = frame::Frame::decode(bytes);
    decoded.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
