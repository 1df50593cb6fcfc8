//! HTTP paths of an upstream. `/control/faults`, `/control/counts`, `/control/runs` and
//! `/control/crash` control the stand-in.

use std::collections;
use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::upstream as contract;
use tokio_util::sync::CancellationToken;

use crate::serve;
use crate::upstream;
use crate::upstream::corpus;

pub(super) struct Routes {
    state: sync::Arc<upstream::State>,
    /// Cancelled when the process crashes or the upstream is stopped.
    stop: CancellationToken,
    reports: sync::Mutex<Reports>,
}

/// Past states of `/health` and `/load`, kept so that replies can lag behind.
type Reports = collections::VecDeque<(tokio::time::Instant, serde_json::Value)>;

/// An open connection, counted as closed when dropped.
pub(super) struct Connection {
    state: sync::Arc<upstream::State>,
    opened: tokio::time::Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.state.close_connection();
    }
}

/// An admitted request, removed from the state when dropped, however it ends.
struct Admitted {
    state: sync::Arc<upstream::State>,
    id: String,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.state.remove_request(&self.id);
    }
}

/// How a request's run ended.
enum End {
    Done,
    Cancelled,
    Crashed,
}

impl Routes {
    pub(super) fn new(state: sync::Arc<upstream::State>, stop: CancellationToken) -> Self {
        Self {
            state,
            stop,
            reports: sync::Mutex::default(),
        }
    }

    async fn dispatch(&self, request: serve::Request) -> serve::Reply {
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (request.method().as_str(), parts.as_slice()) {
            ("POST", ["shards", shard, kind @ ("search" | "records")]) => {
                let Ok(shard) = shard.parse() else {
                    return not_found(&path);
                };
                self.handle_work(request, shard, *kind == "records").await
            }
            ("DELETE", ["requests", id]) => {
                let found = self.state.cancel(&serve::decode(id));
                serve::Reply::Answer(serve::text(if found { 204 } else { 404 }, ""))
            }
            ("GET", ["health" | "load"]) => serve::Reply::Answer(serve::json(200, &self.health())),
            (_, ["control", resource]) => serve::Reply::Answer(self.control(&request, resource)),
            _ => not_found(&path),
        }
    }

    /// Handles a search or registration. Every reply carries the id of its request, including
    /// refusals: one without an id is no proof that a registration was not run.
    async fn handle_work(
        &self,
        request: serve::Request,
        shard: ids::Shard,
        is_registration: bool,
    ) -> serve::Reply {
        let id: Option<String> = serve::header(&request, contract::REQUEST_ID);
        let mut reply = self.admit_and_run(request, shard, is_registration).await;
        if let (serve::Reply::Answer(response), Some(id)) = (&mut reply, id)
            && !response.headers().contains_key(contract::REQUEST_ID)
        {
            serve::set_header(response, contract::REQUEST_ID, id);
        }
        reply
    }

    /// Refuses the request or runs it.
    async fn admit_and_run(
        &self,
        request: serve::Request,
        shard: ids::Shard,
        is_registration: bool,
    ) -> serve::Reply {
        let faults = self.state.faults();
        if faults.draining {
            self.state.count(|counts| {
                counts.arrived_draining += 1;
                counts.refused_draining += 1;
            });
            return refuse(503, "draining");
        }
        if !self.state.config.shards.contains(&shard) {
            return serve::Reply::Answer(serve::text(404, format!("no shard {shard} here")));
        }
        let requested = serve::header(&request, contract::INDEX_VERSION);
        let version = requested.unwrap_or(faults.newest);
        if !is_registration && !(faults.oldest..=faults.newest).contains(&version) {
            return serve::Reply::Answer(version_unavailable(&faults));
        }
        let id: String = serve::header(&request, contract::REQUEST_ID).unwrap_or_default();
        let admitted = if self.state.chance(faults.shed_share) {
            None
        } else {
            self.state.admit(&id)
        };
        let Some(cancel) = admitted else {
            self.state.count(|counts| counts.shed += 1);
            return refuse(503, "shed");
        };
        let job = Job {
            id,
            shard,
            version,
            is_registration,
            faults,
            request,
        };
        self.run(job, cancel).await
    }

    /// Runs a request in a separate task: it continues if the client disconnects, and only
    /// `DELETE /requests/{id}` or a crash ends it early.
    async fn run(&self, job: Job, cancel: CancellationToken) -> serve::Reply {
        let state = sync::Arc::clone(&self.state);
        let task = tokio::spawn(async move {
            let admitted = Admitted {
                state: sync::Arc::clone(&state),
                id: job.id.clone(),
            };
            let end = run_job(&state, &job, &cancel).await;
            drop(admitted);
            (end, job)
        });
        let Ok((end, job)) = task.await else {
            return serve::Reply::Close;
        };
        match end {
            End::Done => self.reply(&job),
            End::Cancelled => refuse(499, "cancelled"),
            End::Crashed => serve::Reply::Close,
        }
    }

    fn reply(&self, job: &Job) -> serve::Reply {
        if self.state.chance(job.faults.lose_replies) {
            return serve::Reply::Close;
        }
        let crossed = self.state.chance(job.faults.crossed_share);
        let wrong = self.state.chance(job.faults.wrong_version_share);
        let version = if wrong { job.version + 1 } else { job.version };
        let mut response = if job.is_registration {
            job.registration_response()
        } else {
            job.search_response(version)
        };
        let id = if crossed {
            format!("{}-other", job.id)
        } else {
            job.id.clone()
        };
        serve::set_header(&mut response, contract::REQUEST_ID, id);
        serve::set_header(&mut response, contract::SHARD, &job.shard);
        serve::set_header(&mut response, contract::INDEX_VERSION, version);
        let requested = serve::header::<u64>(&job.request, contract::LAYOUT_VERSION);
        serve::set_header(
            &mut response,
            contract::LAYOUT_VERSION,
            requested.unwrap_or(job.faults.layout),
        );
        let current = self.state.faults();
        serve::set_header(&mut response, contract::INDEX_OLDEST, current.oldest);
        serve::set_header(&mut response, contract::INDEX_NEWEST, current.newest);
        serve::Reply::Answer(response)
    }

    /// Returns the newest report that is at least `health_lag_ms` old, or the oldest one
    /// kept if none is, with its age.
    fn health(&self) -> serde_json::Value {
        let faults = self.state.faults();
        let lag = time::Duration::from_millis(faults.health_lag_ms);
        let now = tokio::time::Instant::now();
        let mut reports = self
            .reports
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        reports.push_back((now, self.current_report(&faults)));
        while reports.len() > 1 && reports[1].0 + lag <= now {
            reports.pop_front();
        }
        let Some((at, value)) = reports.front() else {
            return serde_json::Value::Null;
        };
        let mut value = value.clone();
        value["age_ms"] = serde_json::json!(u64::try_from((now - *at).as_millis()).unwrap_or(0));
        value
    }

    fn current_report(&self, faults: &upstream::Faults) -> serde_json::Value {
        let status = match (faults.draining, self.state.is_cold()) {
            (true, _) => "draining",
            (false, true) => "starting",
            (false, false) => "up",
        };
        let lying = faults.health_lie.is_some();
        let total = self.state.running();
        let running = total.min(self.state.config.slots as usize);
        serde_json::json!({
            "status": faults.health_lie.as_deref().unwrap_or(status),
            "oldest": faults.oldest,
            "newest": faults.newest,
            "layout": faults.layout,
            "running": if lying { 0 } else { running },
            "queued": if lying { 0 } else { total - running },
        })
    }

    fn control(&self, request: &serve::Request, resource: &str) -> serve::Response {
        match (request.method().as_str(), resource) {
            ("GET", "faults") => serve::json(200, &self.state.faults()),
            ("GET", "counts") => serve::json(200, &self.state.counts()),
            ("GET", "runs") => serve::json(200, &self.state.runs()),
            ("POST", "crash") => {
                self.state.crash();
                serve::text(200, "crashed\n")
            }
            ("POST", "faults") => match serde_json::from_slice(request.body()) {
                Ok(faults) => {
                    self.state.set_faults(|current| *current = faults);
                    serve::text(200, "set\n")
                }
                Err(error) => serve::text(400, format!("{error}\n")),
            },
            _ => serve::text(404, "control paths: faults, counts, runs, crash"),
        }
    }
}

#[async_trait::async_trait]
impl serve::Handler for Routes {
    type Connection = Connection;

    async fn connect(&self) -> Option<Connection> {
        if !self.state.open_connection() {
            return None;
        }
        let opened = tokio::time::Instant::now();
        let connection = Connection {
            state: sync::Arc::clone(&self.state),
            opened,
        };
        let delay = time::Duration::from_millis(self.state.config.connect_ms);
        tokio::time::sleep(delay).await;
        Some(connection)
    }

    async fn answer(&self, connection: &Connection, request: serve::Request) -> serve::Reply {
        let control = request.uri().path().starts_with("/control/");
        let id: Option<String> = serve::header(&request, contract::REQUEST_ID);
        if !control && self.state.is_silent(connection.opened) {
            return serve::Reply::Silence;
        }
        let mut reply = tokio::select! {
            reply = self.dispatch(request) => reply,
            () = self.stop.cancelled() => serve::Reply::Close,
        };
        if let (serve::Reply::Answer(response), Some(id)) = (&mut reply, id) {
            set_request_id(response, id);
        }
        if !control && self.state.is_silent(connection.opened) {
            return serve::Reply::Silence;
        }
        reply
    }
}

/// A search or registration that was admitted.
struct Job {
    id: String,
    shard: ids::Shard,
    version: u64,
    is_registration: bool,
    faults: upstream::Faults,
    request: serve::Request,
}

impl Job {
    /// Returns whether the request contains the text that crashes the upstream.
    fn crashes(&self) -> bool {
        let text = &self.faults.crash_text;
        let body = String::from_utf8_lossy(self.request.body());
        !text.is_empty() && body.contains(text.as_str())
    }

    fn search_response(&self, version: u64) -> serve::Response {
        let body: serde_json::Value =
            serde_json::from_slice(self.request.body()).unwrap_or_default();
        let hits = corpus::hits(&self.shard, &body["query"].to_string(), version);
        serve::json(200, &serde_json::json!({ "hits": hits }))
    }

    fn registration_response(&self) -> serve::Response {
        let result = serde_json::json!({ "shard": self.shard, "number": self.id });
        serve::json(200, &serde_json::json!({ "result": result }))
    }

    fn log_entry(&self) -> upstream::Run {
        let key: Option<String> = serve::header(&self.request, contract::IDEMPOTENCY_KEY);
        upstream::Run {
            key: key.unwrap_or_default(),
            request: self.id.clone(),
            shard: self.shard.to_string(),
        }
    }
}

/// Waits for a slot and runs the job. A registration counts as run once it has a slot: from
/// then on its effect can't be undone.
async fn run_job(state: &upstream::State, job: &Job, cancel: &CancellationToken) -> End {
    let slot = tokio::select! {
        slot = state.slots.acquire() => slot,
        () = cancel.cancelled() => return cancelled(state),
    };
    let Ok(_slot) = slot else { return End::Crashed };
    if job.is_registration {
        state.log_run(job.log_entry());
    } else {
        state.count(|counts| counts.started += 1);
    }
    if job.crashes() {
        let crashed = state.crash_under(&job.id);
        let fate = if crashed {
            "crashes"
        } else {
            "was gone before"
        };
        log::warn!(
            upstream = state.config.id.as_str(),
            call = job.id.as_str();
            "upstream {} {fate} under call {}", state.config.id, job.id
        );
        return End::Crashed;
    }
    tokio::select! {
        () = tokio::time::sleep(state.running_time()) => {}
        () = cancel.cancelled() => return cancelled(state),
    }
    if !job.is_registration {
        state.count(|counts| counts.finished += 1);
    }
    End::Done
}

fn cancelled(state: &upstream::State) -> End {
    if state.is_crashed() {
        return End::Crashed;
    }
    state.count(|counts| counts.cancelled += 1);
    End::Cancelled
}

fn version_unavailable(faults: &upstream::Faults) -> serve::Response {
    let body = serde_json::json!({
        "error": "version_unavailable", "oldest": faults.oldest, "newest": faults.newest,
    });
    serve::json(409, &body)
}

fn refuse(status: u16, error: &str) -> serve::Reply {
    serve::Reply::Answer(serve::json(status, &serde_json::json!({ "error": error })))
}

/// Sets the request id in a reply unless it has one, as a crossed reply does.
fn set_request_id(response: &mut serve::Response, id: String) {
    if !response.headers().contains_key(contract::REQUEST_ID) {
        serve::set_header(response, contract::REQUEST_ID, id);
    }
}

fn not_found(path: &str) -> serve::Reply {
    serve::Reply::Answer(serve::text(404, format!("no such path: {path}")))
}
