//! Receives the requests of a connection.

use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio_util::codec::Decoder as _;

use crate::edge::caller;
use crate::edge::engine;
use crate::edge::overload;
use crate::edge::places;
use crate::h1;
use crate::memory;
use crate::rate;
use crate::route;

/// Buffer space for each read, enough for a typical request.
const READ_BUFFER_SIZE: usize = 2048;
/// Largest buffer space for a read of a body.
const MAX_READ_SIZE: usize = 16 << 10;
/// Buffer space for a read while a request runs.
const READ_AHEAD_SIZE: usize = 64;
/// How many bytes of later requests are read while one is in progress.
const MAX_READ_AHEAD: usize = 16 << 10;
/// Least rate at which a body comes, after the idle timeout.
const MIN_BODY_RATE: rate::BytesPerSecond = rate::BytesPerSecond(4096.0);
/// Number of reads of a message after which other connections have their turn.
const READS_PER_TURN: u32 = 2;
/// Number of times that room is made for the same bytes before the request is refused.
const MAX_ROOM_ATTEMPTS: u32 = 8;

/// The result of receiving a request.
pub(super) enum Next {
    Request(h1::Request),
    /// The caller disconnected or was idle for too long.
    End,
    /// The bytes received aren't a valid request.
    Bad(h1::Error),
    /// The request wasn't received completely in time.
    TimedOut,
    /// There is no memory for the request. Holds its id, if known.
    NoMemory(String),
    /// The connection is to make room for others, in the middle of a request. Holds its id, if
    /// known.
    Ended(String),
}

/// The result of a read.
enum Read {
    Bytes,
    /// The caller disconnected, or the connection is idle and the edge is closing.
    Closed,
    /// Nothing came in time.
    TimedOut,
    /// The connection is to make room for others.
    Ended,
}

/// When the parts of the request began that is being received.
#[derive(Debug, Default)]
struct Began {
    head: Option<tokio::time::Instant>,
    body: Option<tokio::time::Instant>,
}

impl caller::Connection {
    /// Receives the next request.
    pub(super) async fn next(&mut self) -> Next {
        self.running_head = 0;
        let mut began = Began::default();
        let mut room_attempts = 0;
        let mut reads = 0;
        loop {
            // A configuration may have come while the connection was idle.
            let limits = self.limits();
            self.codec.limit(limits.max_head, limits.max_body);
            match self.decode().await {
                Ok(Some(request)) => return self.admit(request).await,
                Ok(None) => {}
                Err(h1::Error::NoMemory(exhausted)) => {
                    room_attempts += 1;
                    if room_attempts <= MAX_ROOM_ATTEMPTS && self.make_room(exhausted).await {
                        continue;
                    }
                    return self.out_of_memory(self.request_id(), exhausted);
                }
                Err(error) => return Next::Bad(error),
            }
            if let Err(exhausted) = self.charge_with_room().await {
                return self.out_of_memory(self.request_id(), exhausted);
            }
            if reads > READS_PER_TURN {
                // Otherwise a message in many pieces would delay those of other callers.
                tokio::task::yield_now().await;
            }
            if self.codec.expects_continue() && self.send_continue().await.is_err() {
                return Next::End;
            }
            let is_idle = self.buffer.is_empty() && !self.codec.in_body();
            let until = self.read_until(&mut began, &limits);
            match self.read(until, is_idle).await {
                Read::Bytes => reads += 1,
                Read::Closed => return Next::End,
                Read::TimedOut if is_idle => return Next::End,
                Read::TimedOut => return self.timed_out(),
                Read::Ended if is_idle => return Next::End,
                Read::Ended => return Next::Ended(self.request_id()),
            }
        }
    }

    /// Decodes what is buffered. A large head has to wait for its turn.
    async fn decode(&mut self) -> Result<Option<h1::Request>, h1::Error> {
        if self.codec.in_body() || self.buffer.len() <= READ_BUFFER_SIZE {
            return self.codec.decode(&mut self.buffer);
        }
        let places = self.place.places().clone();
        let _turn = places.large_turn().await;
        let decoded = self.codec.decode(&mut self.buffer);
        tokio::task::yield_now().await;
        decoded
    }

    /// Takes memory for the head of a complete request, and frees what it was read into.
    async fn admit(&mut self, mut request: h1::Request) -> Next {
        if request.head.len() > READ_BUFFER_SIZE {
            request.head.shrink_to_fit();
            self.buffer = bytes::BytesMut::from(&self.buffer[..]);
        }
        self.running_head = request.head.capacity();
        match self.charge_with_room().await {
            // Its answer would be cut off.
            Ok(()) if self.place.is_ended() => Next::Ended(request.id),
            Ok(()) => Next::Request(request),
            Err(exhausted) => self.out_of_memory(request.id, exhausted),
        }
    }

    /// Takes memory as [`Self::charge`] does, and makes room for it if need be.
    async fn charge_with_room(&mut self) -> Result<(), memory::Exhausted> {
        for _ in 0..MAX_ROOM_ATTEMPTS {
            let Err(exhausted) = self.charge() else {
                return Ok(());
            };
            if !self.make_room(exhausted).await {
                return Err(exhausted);
            }
        }
        self.charge()
    }

    /// Returns when the next bytes must have come, and notes what the connection does until
    /// then.
    fn read_until(&mut self, began: &mut Began, limits: &route::Limits) -> tokio::time::Instant {
        let now = tokio::time::Instant::now();
        let idle_until = now + limits.idle_timeout;
        let reading = self.codec.reading();
        let received = reading.map_or(0, |(_, body)| body.received()) + self.buffer.len();
        if reading.is_some() {
            let body_began = *began.body.get_or_insert(now);
            let allowed = time::Duration::from_secs_f64(received as f64 / MIN_BODY_RATE.0);
            self.place.set_stage(places::Stage::Receiving, now);
            self.place.set_moved(rate::Bytes(received as u64), now);
            return idle_until.min(body_began + limits.idle_timeout + allowed);
        }
        if !self.buffer.is_empty() {
            self.place.set_stage(places::Stage::Receiving, now);
            self.place.set_moved(rate::Bytes(received as u64), now);
            return *began.head.get_or_insert(now) + limits.head_timeout;
        }
        if self.has_answered {
            self.place.set_stage(places::Stage::Idle, now);
        }
        idle_until
    }

    /// Sends `100 Continue`, for which the caller waits before sending the body.
    async fn send_continue(&mut self) -> std::io::Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Reads more bytes until then at most.
    async fn read(&mut self, until: tokio::time::Instant, is_idle: bool) -> Read {
        if is_idle {
            self.free();
        }
        let size = match self.codec.reading() {
            Some((_, body)) => body.missing().clamp(READ_BUFFER_SIZE, MAX_READ_SIZE),
            None if self.buffer.len() < READ_BUFFER_SIZE => READ_BUFFER_SIZE,
            None => MAX_READ_SIZE,
        };
        // What it reserves is charged before the next read.
        self.buffer.reserve(size);
        let mut phases = self.engine.phases();
        let read = async {
            let closing = phases.wait_for(|phase| *phase >= engine::Phase::Closing);
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer) => match read {
                    Ok(count) if count > 0 => Read::Bytes,
                    _ => Read::Closed,
                },
                _ = closing, if is_idle => Read::Closed,
                () = self.place.ended() => Read::Ended,
            }
        };
        let read = tokio::time::timeout_at(until, read).await;
        read.unwrap_or(Read::TimedOut)
    }

    /// Returns whether there is room to read ahead while a request runs.
    pub(super) fn may_read_ahead(&mut self) -> bool {
        if self.buffer.len() >= MAX_READ_AHEAD {
            return false;
        }
        self.buffer.reserve(READ_AHEAD_SIZE);
        self.charge().is_ok()
    }

    /// Takes memory for what is buffered, and for the heads of the request that is received and
    /// of the one that runs, beyond what each connection has.
    fn charge(&mut self) -> Result<(), memory::Exhausted> {
        let reading = self.codec.reading();
        let head = reading.map_or(self.running_head, |(request, _)| request.head.capacity());
        let buffered = self.buffer.capacity() + head;
        let extra = buffered.saturating_sub(2 * READ_BUFFER_SIZE) as u64;
        if extra != self.hold.held().0 {
            self.hold.resize(rate::Bytes(extra))?;
        }
        let held = reading.map_or(0, |(_, body)| body.held().0);
        self.place.set_held(rate::Bytes(extra + held));
        Ok(())
    }

    async fn make_room(&self, exhausted: memory::Exhausted) -> bool {
        let places = self.place.places();
        places.make_room(Some(&self.place), exhausted.missing).await
    }

    /// Frees what was buffered.
    pub(super) fn free(&mut self) {
        self.buffer = bytes::BytesMut::new();
        // Holding less always succeeds.
        let _ = self.hold.resize(rate::Bytes(0));
        self.place.set_held(rate::Bytes(0));
    }

    /// Returns the id of the request whose body is being received; empty if there is none.
    fn request_id(&self) -> String {
        let reading = self.codec.reading();
        reading.map_or(String::new(), |(request, _)| request.id.clone())
    }

    fn out_of_memory(&self, id: String, exhausted: memory::Exhausted) -> Next {
        let places = self.place.places();
        let budget = places.budget();
        places.overload().count(
            overload::Cause::RequestMemory,
            format_args!(
                "request {id}: {exhausted}; {} of {} in use",
                budget.used(),
                budget.limit()
            ),
        );
        Next::NoMemory(id)
    }

    fn timed_out(&self) -> Next {
        if let Some((request, body)) = self.codec.reading() {
            let (id, received) = (&request.id, body.received());
            self.place.places().overload().count(
                overload::Cause::SlowBody,
                format_args!("request {id}: {received} bytes of its body in time"),
            );
        }
        Next::TimedOut
    }
}
