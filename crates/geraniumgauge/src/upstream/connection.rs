//! One connection to one upstream.

use std::error;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use reqwest::dns;

use super::reply;
use crate::layout;
use crate::time as clock;

/// Host name in URLs; the connection's resolver gives the address.
const HOST: &str = "upstream";

/// How long a second connect waits before it fails. A connection that has just
/// carried a reply returns to its pool within microseconds; a connect that
/// starts before then only has to lose the race.
const RETURN_TIME: time::Duration = time::Duration::from_millis(5);

/// Bounds on what one connection takes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest time for connecting.
    pub connect: time::Duration,
    /// Largest reply body, in bytes.
    pub body: usize,
    /// How long sent bytes may stay unacknowledged before the system gives the
    /// connection up.
    pub unacknowledged: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_secs(1),
            body: 4 << 20,
            unacknowledged: time::Duration::from_secs(5),
        }
    }
}

/// Why a connection can't be prepared.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("no HTTP client: {source}")]
pub struct Error {
    source: reqwest::Error,
}

/// An upstream didn't answer a request for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("no answer")]
pub struct Unanswered {
    /// No connection could be had.
    pub refused: bool,
}

/// Why a reply's body could not be had.
#[derive(Debug)]
enum Failure {
    Http,
    Large,
}

impl From<reqwest::Error> for Failure {
    fn from(_: reqwest::Error) -> Self {
        Self::Http
    }
}

/// At most one TCP connection to an upstream, opened by the first call. Used
/// by one call at a time; dropping it, or a call under way, closes it.
///
/// Each has an HTTP client of its own. A shared client would open connections
/// and send again on its own account; here the count is exact, a closed one is
/// never opened again, and nothing is sent twice.
#[derive(Debug)]
pub struct Connection {
    client: reqwest::Client,
    base: String,
    limits: Limits,
}

impl Connection {
    /// A connection to `upstream`; nothing is opened yet.
    ///
    /// # Errors
    /// Where the HTTP client can't be made.
    pub fn new(upstream: &layout::Upstream, limits: Limits) -> Result<Self, Error> {
        let client = reqwest::Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(1)
            .tcp_nodelay(true)
            .tcp_user_timeout(limits.unacknowledged)
            .connect_timeout(limits.connect)
            .dns_resolver(sync::Arc::new(Once::new(upstream.address)))
            .build()
            .map_err(|source| Error { source })?;
        let port = upstream.address.port();
        Ok(Self {
            client,
            base: format!("http://{HOST}:{port}"),
            limits,
        })
    }

    /// Searches one shard. `heard` is called when the reply begins.
    pub async fn search(&self, call: &super::Search, heard: impl FnOnce()) -> reply::Reply {
        let shard = &call.shard;
        let expected = reply::Expected {
            id: &call.id,
            shard,
            index_version: call.index_version,
            layout: call.layout,
            once: false,
        };
        let mut request = self
            .post(&format!("/shards/{shard}/search"), call.time_left)
            .header(super::REQUEST_ID, &call.id)
            .header(super::LAYOUT_VERSION, call.layout.0)
            .body(call.body.clone());
        if let Some(version) = call.index_version {
            request = request.header(super::INDEX_VERSION, version.0);
        }
        self.call(request, &expected, heard).await
    }

    /// Sends one record, once: whatever happens, it is not sent again. `heard`
    /// is called when the reply begins.
    pub async fn record(&self, call: &super::Record, heard: impl FnOnce()) -> reply::Reply {
        let shard = &call.shard;
        let expected = reply::Expected {
            id: &call.id,
            shard,
            index_version: None,
            layout: call.layout,
            once: true,
        };
        let request = self
            .post(&format!("/shards/{shard}/records"), call.time_left)
            .header(super::REQUEST_ID, &call.id)
            .header(super::LAYOUT_VERSION, call.layout.0)
            .header(super::IDEMPOTENCY_KEY, &call.key)
            .body(call.body.clone());
        self.call(request, &expected, heard).await
    }

    /// Asks the upstream to stop a call; whether it knew of the call.
    /// `None` where it could not be asked.
    pub async fn cancel(&self, id: &str) -> Option<bool> {
        let url = format!("{}/requests/{id}", self.base);
        let reply = self.client.delete(url).send().await.ok()?;
        let status = reply.status();
        self.body(reply).await.ok()?;
        Some(status.is_success())
    }

    /// The upstream's health report; `None` where what it answers is no report.
    ///
    /// # Errors
    /// Where it doesn't answer.
    pub async fn health(&self) -> Result<Option<reply::Health>, Unanswered> {
        let url = format!("{}/health", self.base);
        let unanswered = |error: reqwest::Error| Unanswered {
            refused: error.is_connect(),
        };
        let reply = self.client.get(url).send().await.map_err(unanswered)?;
        let body = self.body(reply).await;
        let body = body.map_err(|_| Unanswered { refused: false })?;
        Ok(serde_json::from_slice(&body).ok())
    }

    fn post(&self, path: &str, time_left: time::Duration) -> reqwest::RequestBuilder {
        let millis = clock::millis(time_left);
        self.client
            .post(format!("{}{path}", self.base))
            .header(super::DEADLINE_MS, millis)
            .header(reqwest::header::CONTENT_TYPE, "application/json")
    }

    async fn call(
        &self,
        request: reqwest::RequestBuilder,
        expected: &reply::Expected<'_>,
        heard: impl FnOnce(),
    ) -> reply::Reply {
        let reply = match request.send().await {
            Ok(reply) => reply,
            Err(error) => return reply::Reply::bare(outcome(&error)),
        };
        heard();
        let status = reply.status().as_u16();
        let headers = reply.headers().clone();
        match self.body(reply).await {
            Ok(body) => expected.read(status, &headers, body),
            Err(Failure::Large) => reply::Reply::bare(reply::Outcome::Crossed),
            Err(Failure::Http) => reply::Reply::bare(reply::Outcome::Lost),
        }
    }

    async fn body(&self, mut reply: reqwest::Response) -> Result<bytes::Bytes, Failure> {
        let mut body = bytes::BytesMut::new();
        while let Some(chunk) = reply.chunk().await? {
            if body.len() + chunk.len() > self.limits.body {
                return Err(Failure::Large);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// An error before the connection stood proves that nothing was sent; a pooled
/// connection that was closed before the request was written ends here too,
/// since [`Once`] refuses to open another. All else may have run.
fn outcome(error: &reqwest::Error) -> reply::Outcome {
    if error.is_connect() || error.is_builder() {
        reply::Outcome::Unsent
    } else {
        reply::Outcome::Lost
    }
}

/// A resolver that gives the address once, so that its client connects once.
#[derive(Debug)]
struct Once {
    address: net::SocketAddr,
    used: atomic::AtomicBool,
}

impl Once {
    fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            used: atomic::AtomicBool::new(false),
        }
    }
}

/// The one connect that a [`Connection`] may make has been made.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("the connection is closed")]
struct Closed;

impl dns::Resolve for Once {
    fn resolve(&self, _: dns::Name) -> dns::Resolving {
        let used = self.used.swap(true, atomic::Ordering::Relaxed);
        let address = self.address;
        Box::pin(async move {
            if used {
                tokio::time::sleep(RETURN_TIME).await;
                return Err(Box::new(Closed) as Box<dyn error::Error + Send + Sync>);
            }
            Ok(Box::new(std::iter::once(address)) as dns::Addrs)
        })
    }
}
