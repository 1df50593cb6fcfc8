//! The object API over HTTP.
//!
//! Every call is bounded in time. A write whose reply doesn't come after it may
//! have been sent is [`store::Error::Unsure`]: only a read of the object tells.

use std::sync;
use std::time;

use tokio::sync::watch;

use crate::ids;
use crate::member;
use crate::store;
use crate::store::budget;
use crate::store::calls;
use crate::time as clock;

/// Longest wait for a connection.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// Longest call, from its start to the last byte of its reply.
const CALL: time::Duration = time::Duration::from_millis(1500);
/// How long beyond its own wait a watch may take. A connection that has gone
/// silent for good would otherwise hold the watch open without an end.
const WATCH_GRACE: time::Duration = time::Duration::from_millis(1500);
/// Longest wait for the VM's own budget of calls.
const BUDGET_WAIT: time::Duration = time::Duration::from_secs(2);
/// How often a waiting call looks at the budget again.
const BUDGET_STEP: time::Duration = time::Duration::from_millis(5);
/// VMs that a budget is made for until [`Client::fleet`] says how many there are.
const FLEET: usize = 8;

/// Header with the version of the object read or written.
pub const OBJECT_VERSION: &str = "Object-Version";
/// Header with the version that a write expects.
pub const IF_VERSION: &str = "If-Version";

/// A client of the platform's object API; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
    clock: clock::Clock,
    budget: sync::Arc<sync::Mutex<budget::Budget>>,
    calls: calls::Calls,
}

impl Client {
    /// A client of the store at `base_url`, such as `http://127.0.0.1:7000`.
    ///
    /// # Errors
    /// [`store::Error::Unavailable`] where the HTTP client can't be set up.
    pub fn new(
        base_url: String,
        clock: clock::Clock,
        meter: &opentelemetry::metrics::Meter,
    ) -> Result<Self, store::Error> {
        let builder = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT)
            .tcp_nodelay(true);
        let http = builder.build().map_err(|error| unavailable(&error))?;
        Ok(Self {
            http,
            base: base_url.trim_end_matches('/').to_owned(),
            clock,
            budget: sync::Arc::new(sync::Mutex::new(budget::Budget::new(FLEET, clock.now()))),
            calls: calls::Calls::new(meter),
        })
    }

    /// Shares the store's rates among `vms` VMs.
    pub fn fleet(&self, vms: usize) {
        self.lock().resize(vms, self.clock.now());
    }

    /// Shares the store's rates among the members of `view`, until it ends.
    pub async fn follow(self, mut view: watch::Receiver<member::SharedView>) {
        let mut known = FLEET;
        loop {
            let vms = view.borrow_and_update().members.len();
            if vms != known {
                self.fleet(vms);
                known = vms;
            }
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, budget::Budget> {
        self.budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits for the budget, and gives up rather than hold a caller for long.
    async fn pay(&self, kind: budget::Kind, key: &str) -> Result<(), store::Error> {
        let urgency = urgency(key);
        let until = self.clock.now() + BUDGET_WAIT;
        while !self.lock().take(kind, urgency, self.clock.now()) {
            if self.clock.now() >= until {
                let reason = "this VM's budget of store calls is spent".to_owned();
                return Err(store::Error::Unavailable { reason });
            }
            tokio::time::sleep(BUDGET_STEP).await;
        }
        Ok(())
    }

    fn object(&self, key: &str) -> Result<String, store::Error> {
        if key.split('/').any(|part| matches!(part, "" | "." | "..")) {
            // A URL parser would take such a part as a way up the path, and
            // the call would reach another object.
            let reason = "a part of the key is empty, \".\" or \"..\"".to_owned();
            let key = key.to_owned();
            return Err(store::Error::Refused { key, reason });
        }
        Ok(format!("{}/objects/{key}", self.base))
    }

    async fn read(&self, key: &str) -> Result<store::Object, store::Error> {
        let url = self.object(key)?;
        self.pay(budget::Kind::Read, key).await?;
        let reply = self.http.get(url).timeout(CALL).send().await;
        let reply = reply.map_err(|error| unavailable(&error))?;
        match reply.status().as_u16() {
            200 => {}
            404 => {
                let key = key.to_owned();
                return Err(store::Error::Missing { key });
            }
            status => return Err(status_unavailable(status)),
        }
        let Some(version) = version(&reply) else {
            let reason = format!("the reply lacks {OBJECT_VERSION}");
            return Err(store::Error::Unavailable { reason });
        };
        let body = reply.bytes().await.map_err(|error| unavailable(&error))?;
        Ok(store::Object { version, body })
    }

    async fn write(
        &self,
        key: &str,
        body: Option<bytes::Bytes>,
        condition: store::Condition,
    ) -> Result<ids::ObjectVersion, store::Error> {
        let url = self.object(key)?;
        self.pay(budget::Kind::Write, key).await?;
        let request = match body {
            Some(body) => self.http.put(url).body(body),
            None => self.http.delete(url),
        };
        let request = match condition {
            store::Condition::Absent => request.header(IF_VERSION, 0),
            store::Condition::Version(version) => request.header(IF_VERSION, version.0),
            store::Condition::Any => request,
        };
        let reply = request.timeout(CALL).send().await;
        let reply = reply.map_err(|error| unsent(key, &error))?;
        written(key, &reply)
    }

    async fn listing(
        &self,
        url: String,
        query: &[(&str, String)],
        prefix: &str,
        within: time::Duration,
    ) -> Result<store::Listing, store::Error> {
        self.pay(budget::Kind::Read, prefix).await?;
        let request = self.http.get(url).query(query).timeout(within);
        json(request).await
    }
}

#[async_trait::async_trait]
impl store::Api for Client {
    async fn get(&self, key: &str) -> Result<store::Object, store::Error> {
        let found = self.read(key).await;
        self.calls.count(calls::Kind::Get, found.as_ref().err());
        found
    }

    async fn put(
        &self,
        key: &str,
        body: bytes::Bytes,
        condition: store::Condition,
    ) -> Result<ids::ObjectVersion, store::Error> {
        let done = self.write(key, Some(body), condition).await;
        self.calls.count(calls::Kind::Put, done.as_ref().err());
        done
    }

    async fn ready(&self, _key: &str) {
        let until = self.clock.now() + BUDGET_WAIT;
        while !self.lock().prepay(self.clock.now()) && self.clock.now() < until {
            tokio::time::sleep(BUDGET_STEP).await;
        }
    }

    async fn delete(&self, key: &str, condition: store::Condition) -> Result<(), store::Error> {
        let done = self.write(key, None, condition).await;
        self.calls.count(calls::Kind::Delete, done.as_ref().err());
        match done {
            Ok(_) | Err(store::Error::Missing { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Error> {
        let query = [("prefix", prefix.to_owned())];
        let url = format!("{}/objects", self.base);
        let found = self.listing(url, &query, prefix, CALL).await;
        self.calls.count(calls::Kind::List, found.as_ref().err());
        found
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ids::Revision,
        wait: time::Duration,
    ) -> Result<store::Listing, store::Error> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let url = format!("{}/watch", self.base);
        let found = self.listing(url, &query, prefix, wait + WATCH_GRACE).await;
        self.calls.count(calls::Kind::Watch, found.as_ref().err());
        found
    }

    async fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        let found = match self.pay(budget::Kind::Read, "vms").await {
            Ok(()) => json(self.http.get(format!("{}/vms", self.base)).timeout(CALL)).await,
            Err(error) => Err(error),
        };
        self.calls.count(calls::Kind::Vms, found.as_ref().err());
        found
    }
}

/// Claims and their outcomes hold up callers; everything else may wait.
fn urgency(key: &str) -> budget::Urgency {
    if key.starts_with("ledger/") {
        budget::Urgency::First
    } else {
        budget::Urgency::Patient
    }
}

async fn json<T: serde::de::DeserializeOwned>(
    request: reqwest::RequestBuilder,
) -> Result<T, store::Error> {
    let reply = request.send().await.map_err(|error| unavailable(&error))?;
    let status = reply.status().as_u16();
    if status != 200 {
        return Err(status_unavailable(status));
    }
    reply.json().await.map_err(|error| unavailable(&error))
}

fn version(reply: &reqwest::Response) -> Option<ids::ObjectVersion> {
    let header = reply.headers().get(OBJECT_VERSION)?;
    header.to_str().ok()?.parse().ok()
}

/// What a reply to a write means. A status that a gateway could have made up
/// says nothing about the write itself.
fn written(key: &str, reply: &reqwest::Response) -> Result<ids::ObjectVersion, store::Error> {
    let status = reply.status().as_u16();
    let found = version(reply);
    let key = key.to_owned();
    match (status, found) {
        (200, Some(version)) => Ok(version),
        (204, _) => Ok(ids::ObjectVersion(0)),
        (404, _) => Err(store::Error::Missing { key }),
        (412, current) => Err(store::Error::Conflict {
            key,
            current: current.unwrap_or_default(),
        }),
        (429 | 503, _) => Err(status_unavailable(status)),
        (400..=499, _) => {
            let reason = format!("status {status}");
            Err(store::Error::Refused { key, reason })
        }
        _ => {
            let reason = format!("status {status} tells nothing about the write");
            Err(store::Error::Unsure { key, reason })
        }
    }
}

/// A write that failed without a reply: only a failed connection proves that
/// nothing was sent.
fn unsent(key: &str, error: &reqwest::Error) -> store::Error {
    if error.is_connect() || error.is_builder() {
        return unavailable(error);
    }
    store::Error::Unsure {
        key: key.to_owned(),
        reason: error.to_string(),
    }
}

fn unavailable(error: &reqwest::Error) -> store::Error {
    let reason = error.to_string();
    store::Error::Unavailable { reason }
}

fn status_unavailable(status: u16) -> store::Error {
    let reason = format!("status {status}");
    store::Error::Unavailable { reason }
}

#[cfg(test)]
#[path = "tests/client.rs"]
mod tests;
