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

/// Host name used in URLs; [`SingleUse`] resolves it to the upstream's address.
const HOST: &str = "upstream";

/// Delay before a second connect fails. A connection that has just carried a reply
/// returns to the client's pool within microseconds; a connect that starts before
/// then has to wait, so that the pooled connection is used instead.
const SECOND_CONNECT_DELAY: time::Duration = time::Duration::from_millis(5);

/// Maximum number of headers in a reply. The client reserves room for as many while it parses.
const MAX_REPLY_HEADERS: usize = 4096;

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Timeout for connecting.
    pub connect_timeout: time::Duration,
    /// Maximum size of a reply body.
    pub max_body_bytes: usize,
    /// How long sent bytes may stay unacknowledged before the operating system
    /// closes the connection (TCP_USER_TIMEOUT).
    pub unacknowledged_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: time::Duration::from_secs(1),
            max_body_bytes: 4 << 20,
            unacknowledged_timeout: time::Duration::from_secs(5),
        }
    }
}

/// The HTTP client of a connection can't be created.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("the HTTP client can't be created: {source}")]
pub struct Error {
    source: reqwest::Error,
}

/// An upstream didn't answer a request for its health report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("the upstream didn't answer")]
pub struct Unanswered {
    /// Set if no connection could be opened.
    pub connect_failed: bool,
}

/// Why a reply's body could not be read.
#[derive(Debug)]
enum Failure {
    Http,
    TooLarge,
}

impl From<reqwest::Error> for Failure {
    fn from(_: reqwest::Error) -> Self {
        Self::Http
    }
}

/// At most one TCP connection to an upstream, opened by the first call. It carries
/// one call at a time; dropping it, or a running call, closes it.
///
/// Each connection has its own HTTP client. A shared client would open connections
/// and resend requests by itself; here the number of connections is exact, a closed
/// one is never reopened, and nothing is sent twice.
#[derive(Debug)]
pub struct Connection {
    client: reqwest::Client,
    base: String,
    limits: Limits,
}

impl Connection {
    /// Creates a connection to `upstream`, which the first call opens.
    ///
    /// # Errors
    /// If the HTTP client can't be created.
    pub fn new(upstream: &layout::Upstream, limits: Limits) -> Result<Self, Error> {
        let client = reqwest::Client::builder()
            .http1_only()
            .http1_max_headers(MAX_REPLY_HEADERS)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(1)
            .tcp_nodelay(true)
            .tcp_user_timeout(limits.unacknowledged_timeout)
            .connect_timeout(limits.connect_timeout)
            .dns_resolver(sync::Arc::new(SingleUse::new(upstream.address)))
            .build()
            .map_err(|source| Error { source })?;
        let port = upstream.address.port();
        Ok(Self {
            client,
            base: format!("http://{HOST}:{port}"),
            limits,
        })
    }

    /// Searches one shard. `reply_began` is called when the reply's head arrives.
    pub async fn search(&self, call: &super::Search, reply_began: impl FnOnce()) -> reply::Reply {
        let shard = &call.shard;
        let expected = reply::Expected {
            id: &call.id,
            shard,
            index_version: call.index_version,
            layout: call.layout,
            at_most_once: false,
        };
        let mut request = self
            .post(&format!("/shards/{shard}/search"), call.time_left)
            .header(super::REQUEST_ID, &call.id)
            .header(super::LAYOUT_VERSION, call.layout.0)
            .body(call.body.clone());
        if let Some(version) = call.index_version {
            request = request.header(super::INDEX_VERSION, version.0);
        }
        self.call(request, &expected, reply_began).await
    }

    /// Sends one record at most once, also if the connection fails. `reply_began` is
    /// called when the reply's head arrives.
    pub async fn record(&self, call: &super::Record, reply_began: impl FnOnce()) -> reply::Reply {
        let shard = &call.shard;
        let expected = reply::Expected {
            id: &call.id,
            shard,
            index_version: None,
            layout: call.layout,
            at_most_once: true,
        };
        let request = self
            .post(&format!("/shards/{shard}/records"), call.time_left)
            .header(super::REQUEST_ID, &call.id)
            .header(super::LAYOUT_VERSION, call.layout.0)
            .header(super::IDEMPOTENCY_KEY, &call.key)
            .body(call.body.clone());
        self.call(request, &expected, reply_began).await
    }

    /// Asks the upstream to cancel a call. Returns whether it knew the call, or `None`
    /// if there was no complete reply.
    pub async fn cancel(&self, id: &str) -> Option<bool> {
        let url = format!("{}/requests/{id}", self.base);
        let reply = self.client.delete(url).send().await.ok()?;
        let status = reply.status();
        self.read_body(reply).await.ok()?;
        Some(status.is_success())
    }

    /// Reads the upstream's health report; `None` if its answer can't be decoded.
    ///
    /// # Errors
    /// If the upstream doesn't answer.
    pub async fn health(&self) -> Result<Option<reply::Health>, Unanswered> {
        let url = format!("{}/health", self.base);
        let unanswered = |error: reqwest::Error| Unanswered {
            connect_failed: error.is_connect(),
        };
        let reply = self.client.get(url).send().await.map_err(unanswered)?;
        let body = self.read_body(reply).await;
        let body = body.map_err(|_| Unanswered {
            connect_failed: false,
        })?;
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
        reply_began: impl FnOnce(),
    ) -> reply::Reply {
        let reply = match request.send().await {
            Ok(reply) => reply,
            Err(error) => return reply::Reply::bare(outcome(&error)),
        };
        reply_began();
        let status = reply.status().as_u16();
        let headers = reply.headers().clone();
        match self.read_body(reply).await {
            Ok(body) => expected.read(status, &headers, body),
            Err(Failure::TooLarge) => reply::Reply::bare(reply::Outcome::Crossed),
            Err(Failure::Http) => reply::Reply::bare(reply::Outcome::Lost),
        }
    }

    async fn read_body(&self, mut reply: reqwest::Response) -> Result<bytes::Bytes, Failure> {
        let mut body = bytes::BytesMut::new();
        while let Some(chunk) = reply.chunk().await? {
            if body.len() + chunk.len() > self.limits.max_body_bytes {
                return Err(Failure::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Returns the outcome of a request that failed without a reply. A connect error
/// proves that nothing was sent. If the pooled connection was closed before the
/// request was written, that is a connect error as well, since [`SingleUse`] refuses
/// a second connect. After any other error the call may have run.
fn outcome(error: &reqwest::Error) -> reply::Outcome {
    if error.is_connect() || error.is_builder() {
        reply::Outcome::Unsent
    } else {
        reply::Outcome::Lost
    }
}

/// A DNS resolver that returns the address only once, so that its client opens no
/// second connection.
#[derive(Debug)]
struct SingleUse {
    address: net::SocketAddr,
    used: atomic::AtomicBool,
}

impl SingleUse {
    fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            used: atomic::AtomicBool::new(false),
        }
    }
}

/// The only connect that a [`Connection`] may make was made before.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("the connection is closed")]
struct Closed;

impl dns::Resolve for SingleUse {
    fn resolve(&self, _: dns::Name) -> dns::Resolving {
        let used = self.used.swap(true, atomic::Ordering::Relaxed);
        let address = self.address;
        Box::pin(async move {
            if used {
                tokio::time::sleep(SECOND_CONNECT_DELAY).await;
                return Err(Box::new(Closed) as Box<dyn error::Error + Send + Sync>);
            }
            Ok(Box::new(std::iter::once(address)) as dns::Addrs)
        })
    }
}
