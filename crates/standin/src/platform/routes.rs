//! HTTP paths of the platform.
//!
//! `GET|PUT|DELETE /objects/{key}` with `If-Version`, `GET /objects?prefix=`,
//! `GET /watch?prefix=&after=&wait_ms=`, `GET /vms`; to control
//! the stand-in `GET|POST /control/faults`, `GET /control/counts`, `PUT /control/vms`.

use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::rate;
use geraniumgauge::store;
use geraniumgauge::time::Clock;

use crate::platform;
use crate::platform::state;
use crate::serve;

const IF_VERSION: &str = "If-Version";
const OBJECT_VERSION: &str = "Object-Version";
/// Limit on the `wait_ms` of a watch.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_secs(60);

pub(super) struct Routes {
    state: sync::Arc<platform::State>,
    clock: Clock,
    limiter: sync::Mutex<Limiter>,
}

/// Rate limits of writes and of reads.
struct Limiter {
    /// Writes and reads per second that the buckets were made for.
    rates: (f64, f64),
    writes: rate::Bucket,
    reads: rate::Bucket,
}

impl Limiter {
    fn new(writes: f64, reads: f64, clock: &Clock) -> Self {
        let bucket =
            |per_second| rate::Bucket::new(rate::PerSecond(per_second), per_second, clock.now());
        Self {
            rates: (writes, reads),
            writes: bucket(writes),
            reads: bucket(reads),
        }
    }
}

impl Routes {
    pub(super) fn new(state: sync::Arc<platform::State>) -> Self {
        let clock = Clock::start();
        let faults = state.faults();
        let limiter = Limiter::new(faults.writes_per_s, faults.reads_per_s, &clock);
        Self {
            state,
            clock,
            limiter: sync::Mutex::new(limiter),
        }
    }

    /// Applies the rate limits; new limits start with full buckets.
    fn admit(&self, faults: &platform::Faults, write: bool) -> bool {
        let mut limiter = state::lock(&self.limiter);
        if limiter.rates != (faults.writes_per_s, faults.reads_per_s) {
            *limiter = Limiter::new(faults.writes_per_s, faults.reads_per_s, &self.clock);
        }
        let bucket = if write {
            &mut limiter.writes
        } else {
            &mut limiter.reads
        };
        bucket.take(1.0, self.clock.now())
    }

    /// Serves a call of the platform's API, subject to the faults.
    async fn serve(&self, request: &serve::Request, faults: &platform::Faults) -> serve::Reply {
        let write = request.method() != hyper::Method::GET;
        if faults.down || !self.admit(faults, write) {
            self.state.count(|counts| counts.refused += 1);
            return serve::Reply::Answer(serve::text(503, "not available"));
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(faults.slow_ms)).await;
        }
        let response = self.dispatch(request, faults).await;
        let lost = write && response.status().is_success() && chance(faults.lose_replies);
        match (faults.silent, lost) {
            (true, _) => serve::Reply::Silence,
            (false, true) => serve::Reply::Close,
            (false, false) => serve::Reply::Answer(response),
        }
    }

    async fn dispatch(
        &self,
        request: &serve::Request,
        faults: &platform::Faults,
    ) -> serve::Response {
        let path = request.uri().path();
        match (request.method(), path) {
            (&hyper::Method::GET, "/vms") => {
                self.state.count(|counts| counts.vms += 1);
                serve::json(200, &self.state.lagging_vms())
            }
            (&hyper::Method::GET, "/objects") => self.list(request),
            (&hyper::Method::GET, "/watch") => self.watch(request, faults).await,
            _ => match path.strip_prefix("/objects/") {
                Some(key) => self.object(request, &serve::decode(key)),
                None => serve::text(404, format!("no such path: {path}")),
            },
        }
    }

    fn object(&self, request: &serve::Request, key: &str) -> serve::Response {
        let condition = match serve::header(request, IF_VERSION) {
            None => store::Condition::Any,
            Some(ids::ObjectVersion(0)) => store::Condition::Absent,
            Some(version) => store::Condition::Version(version),
        };
        match *request.method() {
            hyper::Method::GET => self.get(key),
            hyper::Method::PUT => self.put(key, request.body().clone(), condition),
            hyper::Method::DELETE => {
                self.state.count(|counts| counts.put += 1);
                match self.state.objects(|objects| objects.delete(key, condition)) {
                    Ok(()) => serve::text(204, ""),
                    Err(error) => error_response(&error),
                }
            }
            _ => serve::text(405, "use GET, PUT or DELETE"),
        }
    }

    fn get(&self, key: &str) -> serve::Response {
        self.state.count(|counts| counts.get += 1);
        match self.state.objects(|objects| objects.get(key)) {
            Ok(object) => {
                let mut response = serve::response(200, "application/octet-stream", object.body);
                serve::set_header(&mut response, OBJECT_VERSION, object.version);
                response
            }
            Err(error) => error_response(&error),
        }
    }

    fn put(&self, key: &str, body: bytes::Bytes, condition: store::Condition) -> serve::Response {
        let size = body.len() as u64;
        self.state.count(|counts| {
            counts.put += 1;
            counts.written_bytes += size;
        });
        match self
            .state
            .objects(|objects| objects.put(key, body, condition))
        {
            Ok(version) => {
                let mut response = serve::text(200, "");
                serve::set_header(&mut response, OBJECT_VERSION, version);
                response
            }
            Err(error) => error_response(&error),
        }
    }

    fn list(&self, request: &serve::Request) -> serve::Response {
        self.state.count(|counts| counts.list += 1);
        let prefix = serve::query(request, "prefix").unwrap_or_default();
        serve::json(200, &self.state.objects(|objects| objects.list(&prefix)))
    }

    async fn watch(&self, request: &serve::Request, faults: &platform::Faults) -> serve::Response {
        self.state.count(|counts| counts.watch += 1);
        let number = |name| serve::query(request, name).and_then(|text| text.parse().ok());
        let prefix = serve::query(request, "prefix").unwrap_or_default();
        let after = ids::Revision(number("after").unwrap_or(0));
        let wait = time::Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut revision = self.state.changed.subscribe();
        loop {
            revision.mark_unchanged();
            let listing = self
                .state
                .objects(|objects| objects.changes(&prefix, after));
            if !listing.changes.is_empty() && !faults.deaf_watches {
                return serve::json(200, &listing);
            }
            let changed = tokio::time::timeout_at(deadline, revision.changed()).await;
            if changed.is_err() {
                let changes = Vec::new();
                return serve::json(
                    200,
                    &store::Listing {
                        revision: listing.revision,
                        changes,
                    },
                );
            }
        }
    }

    fn control(&self, request: &serve::Request) -> serve::Response {
        match (request.method(), request.uri().path()) {
            (&hyper::Method::GET, "/control/faults") => serve::json(200, &self.state.faults()),
            (&hyper::Method::GET, "/control/counts") => serve::json(200, &self.state.counts()),
            (&hyper::Method::POST, "/control/faults") => apply_json(request, |faults| {
                self.state.set_faults(|current| *current = faults);
            }),
            (&hyper::Method::PUT, "/control/vms") => {
                apply_json(request, |vms| self.state.set_vms(vms))
            }
            _ => serve::text(404, "control paths: faults, counts, vms"),
        }
    }
}

#[async_trait::async_trait]
impl serve::Handler for Routes {
    type Connection = ();

    async fn connect(&self) -> Option<()> {
        Some(())
    }

    async fn answer(&self, (): &(), request: serve::Request) -> serve::Reply {
        if request.uri().path().starts_with("/control/") {
            return serve::Reply::Answer(self.control(&request));
        }
        let faults = self.state.faults();
        self.serve(&request, &faults).await
    }
}

/// Returns true with probability `share`.
fn chance(share: f64) -> bool {
    share > 0.0 && rand::random::<f64>() < share
}

/// Parses the body as JSON and passes it to `apply`.
fn apply_json<T: serde::de::DeserializeOwned>(
    request: &serve::Request,
    apply: impl FnOnce(T),
) -> serve::Response {
    match serde_json::from_slice(request.body()) {
        Ok(value) => {
            apply(value);
            serve::text(200, "set\n")
        }
        Err(error) => serve::text(400, format!("{error}\n")),
    }
}

fn error_response(error: &store::Error) -> serve::Response {
    match error {
        store::Error::Conflict { current, .. } => {
            let mut response = serve::text(412, error.to_string());
            serve::set_header(&mut response, OBJECT_VERSION, *current);
            response
        }
        store::Error::Missing { .. } => serve::text(404, error.to_string()),
        store::Error::Refused { .. } => serve::text(413, error.to_string()),
        store::Error::Unavailable { .. } | store::Error::Unconfirmed { .. } => {
            serve::text(503, error.to_string())
        }
    }
}
