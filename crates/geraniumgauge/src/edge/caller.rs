//! One caller's connection.

use std::pin;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync;
use tokio_util::codec::Decoder as _;

use crate::edge;
use crate::edge::answer;
use crate::edge::engine;
use crate::edge::link;
use crate::forward;
use crate::h1;
use crate::rate;
use crate::route;
use crate::time as clock;

/// Limits until the first configuration says what they are.
const FIRST_LIMITS: route::Limits = route::Limits {
    max_head: rate::Bytes(16 << 10),
    max_body: rate::Bytes(256 << 10),
    head_timeout: time::Duration::from_secs(3),
    idle_timeout: time::Duration::from_secs(15),
};
/// Room for a usual request.
const BUFFER: usize = 2048;
/// Bytes of later requests that are read while one is under way.
const MAX_AHEAD: usize = 16 << 10;
/// Longest time that a caller may take to read an answer.
const WRITE: time::Duration = time::Duration::from_secs(10);
/// How long a connection that was refused is read on, so that the caller can
/// read the refusal before the connection is reset.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// Shards that the log names where an answer lacks some.
const MAX_NAMED: usize = 8;

/// What reading came to.
enum Next {
    Request(h1::Request),
    /// The caller left, or was idle for too long.
    End,
    /// What came is no request.
    Bad(h1::Error),
    /// The request took too long to come.
    Slow,
}

/// One caller's connection.
pub(super) struct Connection {
    engine: edge::Engine,
    stream: tokio::net::TcpStream,
    buffer: bytes::BytesMut,
    codec: h1::RequestCodec,
    done: rc::Rc<sync::Notify>,
    timer: pin::Pin<Box<tokio::time::Sleep>>,
}

impl Connection {
    pub(super) fn new(engine: edge::Engine, stream: tokio::net::TcpStream) -> Self {
        let limits = FIRST_LIMITS;
        Self {
            codec: h1::RequestCodec::new(*engine.names(), limits.max_head, limits.max_body),
            engine,
            stream,
            buffer: bytes::BytesMut::new(),
            done: rc::Rc::new(sync::Notify::new()),
            timer: Box::pin(tokio::time::sleep(time::Duration::ZERO)),
        }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn run(mut self) {
        if let Err(error) = link::prepare(&self.stream) {
            log::info!(error:% = error; "caller's connection can't be set up");
            return;
        }
        loop {
            let answer = match self.next().await {
                Next::End => return,
                Next::Request(request) => match self.serve(request).await {
                    Some(answer) => answer,
                    None => return,
                },
                Next::Bad(error) => self.refuse(&error),
                Next::Slow => self.frame("", true).plain(408, "slow"),
            };
            if !self.write(&answer).await {
                return;
            }
            if answer.close {
                return self.linger().await;
            }
        }
    }

    /// The next request.
    async fn next(&mut self) -> Next {
        let limits = self
            .engine
            .table()
            .map_or(FIRST_LIMITS, |table| table.limits());
        self.codec.limit(limits.max_head, limits.max_body);
        let mut began = None;
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(request)) => return Next::Request(request),
                Ok(None) => {}
                Err(error) => return Next::Bad(error),
            }
            if self.codec.expects_continue() && self.go_on().await.is_err() {
                return Next::End;
            }
            let in_head = !self.buffer.is_empty() && !self.codec.in_body();
            let now = tokio::time::Instant::now();
            let until = if in_head {
                *began.get_or_insert(now) + limits.head_timeout
            } else {
                now + limits.idle_timeout
            };
            let idle = !in_head && !self.codec.in_body();
            match self.read(until, idle).await {
                Ok(true) => {}
                Ok(false) => return Next::End,
                Err(_) if idle => return Next::End,
                Err(_) => return Next::Slow,
            }
        }
    }

    async fn go_on(&mut self) -> std::io::Result<()> {
        self.stream
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Reads more; false where the connection ended, or an idle one is to.
    ///
    /// # Errors
    /// Where `until` passed.
    async fn read(
        &mut self,
        until: tokio::time::Instant,
        idle: bool,
    ) -> Result<bool, tokio::time::error::Elapsed> {
        if idle {
            // A connection between requests keeps no buffer.
            self.buffer = bytes::BytesMut::new();
        }
        self.buffer.reserve(BUFFER);
        let mut phases = self.engine.phases();
        let read = async {
            let closing = phases.wait_for(|phase| *phase >= engine::Phase::Closing);
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer) => read.is_ok_and(|count| count > 0),
                _ = closing, if idle => false,
            }
        };
        tokio::time::timeout_at(until, read).await
    }

    /// The answer to a request; `None` where the caller left.
    async fn serve(&mut self, request: h1::Request) -> Option<answer::Answer> {
        let leaving = self.engine.phase() >= engine::Phase::Leaving;
        let close = request.close || leaving;
        let head_only = request.method == "HEAD";
        let id = request.id.clone();
        let names = *self.engine.names();
        let frame = |close| answer::Frame {
            names: &names,
            request: &id,
            head_only,
            close,
        };
        let Some(table) = self.engine.table() else {
            log::info!(request = id.as_str(); "refused: no configuration yet");
            return Some(frame(close).not_run(503, answer::STARTING_PAUSE));
        };
        if id.is_empty() || request.host.is_empty() {
            log::info!(host = request.host.as_str(), path = request.path.as_str(); "refused: no id or host");
            return Some(frame(close).plain(400, "bad_request"));
        }
        let Some(entry) = table.find(&request.host, &request.path) else {
            log::info!(
                request = id.as_str(), host = request.host.as_str(), path = request.path.as_str(),
                version:% = table.version();
                "refused: no route"
            );
            return Some(frame(close).plain(404, "no_route"));
        };
        let entry = entry.clone();
        let job = self.engine.submit(entry, request, self.done.clone());
        let (outcome, job) = self.wait(job).await?;
        let close = close || self.engine.phase() >= engine::Phase::Leaving;
        let answer = frame(close).outcome(&outcome);
        self.tell(&id, &job, &outcome, &answer, &table);
        Some(answer)
    }

    /// Waits for the end of a request; `None` where the caller left before.
    async fn wait(&mut self, id: u64) -> Option<(forward::Outcome, forward::Job)> {
        loop {
            if let Some(done) = self.engine.take(id) {
                return Some(done);
            }
            let wake = self.engine.wake_at(id)?;
            self.timer.as_mut().reset(self.engine.clock().instant(wake));
            let may_read = self.buffer.len() < MAX_AHEAD;
            tokio::select! {
                biased;
                () = self.done.notified() => {}
                () = &mut self.timer => self.engine.tick(id),
                read = self.stream.read_buf(&mut self.buffer), if may_read => {
                    if read.is_err() || read.is_ok_and(|count| count == 0) {
                        self.engine.cancel(id);
                        return None;
                    }
                }
            }
        }
    }

    /// Logs and counts the end of a request.
    fn tell(
        &self,
        id: &str,
        job: &forward::Job,
        outcome: &forward::Outcome,
        answer: &answer::Answer,
        table: &route::Table,
    ) {
        let took = self.engine.clock().now().since(job.began());
        let (done, all) = job.progress();
        let reason = match outcome {
            forward::Outcome::NotRun { reason, .. } | forward::Outcome::Unknown { reason } => {
                Some(reason.to_string())
            }
            _ => None,
        };
        // A single request names its upstreams, a search the shards it lacks.
        let (upstreams, missing) = if all == 1 {
            (self.engine.names_of(job.tried()), String::new())
        } else {
            let missing: Vec<&str> = job
                .missing()
                .take(MAX_NAMED)
                .map(|name| name.as_str())
                .collect();
            (String::new(), missing.join(" "))
        };
        log::info!(
            request = id, route = job.route().name.as_str(), version:% = table.version(),
            status = answer.status, outcome = answer.outcome, reason = reason,
            parts_done = done, parts = all, upstreams = upstreams, missing = missing,
            lacks = lacks(job), aim_ms = clock::millis(job.route().latency_target),
            took_ms = clock::millis(took);
            "answered"
        );
        let count = self.engine.count();
        count.request(&job.route().name, answer.outcome, took);
        if answer.outcome == "partial" {
            count.missing(all - done);
        }
    }

    fn frame<'r>(&'r self, request: &'r str, close: bool) -> answer::Frame<'r> {
        answer::Frame {
            names: self.engine.names(),
            request,
            head_only: false,
            close,
        }
    }

    fn refuse(&self, error: &h1::Error) -> answer::Answer {
        log::info!(error:% = error; "refused: no proper request");
        let status = match error {
            h1::Error::HeadTooLarge(_) => 431,
            h1::Error::BodyTooLarge(_) => 413,
            h1::Error::Coding => 501,
            h1::Error::Malformed(_) | h1::Error::Io(_) => 400,
        };
        self.frame("", true).plain(status, "bad_request")
    }

    async fn write(&mut self, answer: &answer::Answer) -> bool {
        let written = tokio::time::timeout(WRITE, self.stream.write_all(&answer.bytes)).await;
        matches!(written, Ok(Ok(())))
    }

    /// Lets the caller read the last answer: closing with unread bytes would
    /// reset the connection under it.
    async fn linger(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.buffer.clear();
                match self.stream.read_buf(&mut self.buffer).await {
                    Ok(count) if count > 0 => {}
                    _ => return,
                }
            }
        };
        // Whether the caller closed in time makes no difference.
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}

/// Why parts have no reply, as `cause=count` in a row.
fn lacks(job: &forward::Job) -> String {
    let lacks = job.missing_reasons().into_iter();
    let lacks: Vec<String> = lacks.map(|(why, count)| format!("{why}={count}")).collect();
    lacks.join(" ")
}
