//! Serves one caller's connection.

mod receive;
mod send;

use std::pin;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::sync;

use crate::edge;
use crate::edge::answer;
use crate::edge::engine;
use crate::edge::link;
use crate::edge::places;
use crate::forward;
use crate::h1;
use crate::memory;
use crate::rate;
use crate::route;
use crate::time as clock;

/// Limits until the first configuration is applied.
const INITIAL_LIMITS: route::Limits = route::Limits {
    max_head: rate::Bytes(16 << 10),
    max_body: rate::Bytes(256 << 10),
    head_timeout: time::Duration::from_secs(3),
    idle_timeout: time::Duration::from_secs(15),
};
/// `Retry-After` of a request for which there is no memory, about as long as others take.
const NO_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);
/// Maximum number of missing shards named in the log of an answer.
const MAX_LOGGED_SHARDS: usize = 8;

/// One caller's connection.
pub(super) struct Connection {
    engine: edge::Engine,
    stream: tokio::net::TcpStream,
    place: places::Place,
    buffer: bytes::BytesMut,
    /// The part of the budget for what is buffered.
    hold: memory::Hold,
    codec: h1::RequestCodec,
    /// Size of the head of the request that runs.
    running_head: usize,
    /// Whether a request was answered.
    has_answered: bool,
    done: rc::Rc<sync::Notify>,
    /// Reused for every wait of a request.
    timer: pin::Pin<Box<tokio::time::Sleep>>,
}

impl Connection {
    pub(super) fn new(
        engine: edge::Engine,
        stream: tokio::net::TcpStream,
        place: places::Place,
    ) -> Self {
        let limits = INITIAL_LIMITS;
        let budget = place.places().budget().clone();
        let codec = h1::RequestCodec::new(*engine.names(), limits.max_head, limits.max_body);
        Self {
            hold: budget.hold(),
            codec: codec.with_budget(budget),
            engine,
            stream,
            place,
            buffer: bytes::BytesMut::new(),
            running_head: 0,
            has_answered: false,
            done: rc::Rc::new(sync::Notify::new()),
            timer: Box::pin(tokio::time::sleep(time::Duration::ZERO)),
        }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn run(mut self) {
        if let Err(error) = link::set_socket_options(&self.stream) {
            log::info!(error:% = error; "can't set socket options on caller's connection");
            return;
        }
        loop {
            let answer = match self.next().await {
                receive::Next::End => return,
                receive::Next::Request(request) => match self.serve(request).await {
                    Some(answer) => answer,
                    None => return,
                },
                receive::Next::Bad(error) => self.refuse(&error),
                receive::Next::TimedOut => self.answer("", true).plain(408, "slow"),
                receive::Next::NoMemory(id) => self.no_memory(&id),
                receive::Next::Ended(id) => {
                    // Nobody waits for this connection to take it.
                    let _ = self.stream.try_write(&self.no_memory(&id).head);
                    return;
                }
            };
            if !self.write(&answer).await {
                return;
            }
            if answer.close {
                return self.linger().await;
            }
            self.has_answered = true;
            if !self.buffer.is_empty() {
                // Otherwise many requests sent ahead would delay those of other callers.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Returns the limits in force.
    fn limits(&self) -> route::Limits {
        let table = self.engine.table();
        table.map_or(INITIAL_LIMITS, |table| table.limits())
    }

    /// Returns the refusal of a request for which there is no memory.
    fn no_memory(&self, request_id: &str) -> answer::Answer {
        self.answer(request_id, true)
            .not_run(503, NO_MEMORY_RETRY_AFTER)
    }

    /// Runs a request and returns its answer; `None` if the caller disconnected.
    async fn serve(&mut self, request: h1::Request) -> Option<answer::Answer> {
        self.place.start_running();
        let leaving = self.engine.phase() >= engine::Phase::Leaving;
        let close = request.close || leaving;
        let head_only = request.method == "HEAD";
        let id = request.id.clone();
        let names = *self.engine.names();
        let answer = |close| answer::Builder {
            names: &names,
            request_id: &id,
            head_only,
            close,
        };
        let Some(table) = self.engine.table() else {
            log::info!(request = id.as_str(); "refused: no configuration yet");
            return Some(answer(close).not_run(503, answer::STARTING_RETRY_AFTER));
        };
        if id.is_empty() || request.host.is_empty() {
            log::info!(
                host = request.host.as_str(), path = request.path.as_str();
                "refused: no request id or no host"
            );
            return Some(answer(close).plain(400, "bad_request"));
        }
        let Some(entry) = table.find(&request.host, &request.path) else {
            log::info!(
                request = id.as_str(), host = request.host.as_str(), path = request.path.as_str(),
                version:% = table.version();
                "refused: no route"
            );
            return Some(answer(close).plain(404, "no_route"));
        };
        let entry = entry.clone();
        let job = self.engine.submit(entry, request, self.done.clone());
        let (outcome, job) = self.wait(job).await?;
        let close = close || self.engine.phase() >= engine::Phase::Leaving;
        let answer = answer(close).outcome(&outcome);
        self.record_outcome(&id, &job, &outcome, &answer, &table);
        Some(answer)
    }

    /// Waits for a request to end; `None` if the caller disconnects before.
    async fn wait(&mut self, id: u64) -> Option<(forward::Outcome, forward::Job)> {
        loop {
            if let Some(done) = self.engine.take(id) {
                return Some(done);
            }
            let wake = self.engine.wake_at(id)?;
            self.timer.as_mut().reset(self.engine.clock().instant(wake));
            let may_read = self.may_read_ahead();
            let reading = self.stream.read_buf(&mut self.buffer);
            tokio::select! {
                biased;
                () = self.done.notified() => {}
                () = &mut self.timer => self.engine.tick(id),
                read = reading, if may_read => {
                    if read.is_err() || read.is_ok_and(|count| count == 0) {
                        self.engine.cancel(id);
                        return None;
                    }
                }
            }
        }
    }

    /// Logs the outcome of a request and records its metrics.
    fn record_outcome(
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
        // Logs the upstreams tried for a single call, and the missing shards of a search.
        let (upstreams, missing) = if all == 1 {
            (self.engine.upstream_ids(job.tried()), String::new())
        } else {
            let missing: Vec<&str> = job
                .missing()
                .take(MAX_LOGGED_SHARDS)
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
        let instruments = self.engine.instruments();
        instruments.request(&job.route().name, answer.outcome, took);
        if answer.outcome == "partial" {
            instruments.missing_shards(all - done);
        }
    }

    fn answer<'r>(&'r self, request_id: &'r str, close: bool) -> answer::Builder<'r> {
        answer::Builder {
            names: self.engine.names(),
            request_id,
            head_only: false,
            close,
        }
    }

    /// Returns the answer to an invalid request.
    fn refuse(&self, error: &h1::Error) -> answer::Answer {
        log::info!(error:% = error; "refused: invalid request");
        let too_large = matches!(
            error,
            h1::Error::HeadTooLarge(_) | h1::Error::BodyTooLarge(_)
        );
        if too_large && self.engine.table().is_none() {
            // The configuration may allow it.
            return self
                .answer("", true)
                .not_run(503, answer::STARTING_RETRY_AFTER);
        }
        let status = match error {
            h1::Error::HeadTooLarge(_) => 431,
            h1::Error::BodyTooLarge(_) => 413,
            h1::Error::UnsupportedTransferCoding => 501,
            h1::Error::NoMemory(_) => return self.no_memory(""),
            h1::Error::Malformed(_) | h1::Error::Io(_) => 400,
        };
        self.answer("", true).plain(status, "bad_request")
    }
}

/// Formats the reasons why parts have no reply, as space-separated `cause=count`.
fn lacks(job: &forward::Job) -> String {
    let lacks = job.missing_reasons().into_iter();
    let lacks: Vec<String> = lacks.map(|(why, count)| format!("{why}={count}")).collect();
    lacks.join(" ")
}
