//! The object API over HTTP.
//!
//! Every call has a timeout. A write that may have been sent but got no reply fails
//! with [`store::Error::Unconfirmed`]; reading the object shows whether it took effect.

use std::sync;
use std::time;

use tokio::sync::watch;

use crate::ids;
use crate::member;
use crate::store;
use crate::store::budget;
use crate::store::calls;
use crate::time as clock;

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Timeout of a call, from its start to the last byte of its reply.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Timeout of a watch in addition to its own wait. Without it, a dead connection
/// would block the watch forever.
const WATCH_REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// How long a call may wait until this VM's budget allows it.
const BUDGET_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Interval at which a waiting call checks the budget again.
const BUDGET_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Number of VMs assumed until the first [`Client::set_fleet_size`].
const INITIAL_VMS: usize = 8;

/// Header with the version of the object read or written.
pub const OBJECT_VERSION: &str = "Object-Version";
/// Header with the version that a write requires.
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
    /// Creates a client of the store at `base_url`, such as `http://127.0.0.1:7000`.
    ///
    /// # Errors
    /// [`store::Error::Unavailable`] if the HTTP client can't be created.
    pub fn new(
        base_url: String,
        clock: clock::Clock,
        meter: &opentelemetry::metrics::Meter,
    ) -> Result<Self, store::Error> {
        let builder = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let http = builder.build().map_err(|error| unavailable(&error))?;
        Ok(Self {
            http,
            base: base_url.trim_end_matches('/').to_owned(),
            clock,
            budget: sync::Arc::new(sync::Mutex::new(budget::Budget::new(
                INITIAL_VMS,
                clock.now(),
            ))),
            calls: calls::Calls::new(meter),
        })
    }

    /// Sets this VM's rates to its share in a fleet of `vms`.
    pub fn set_fleet_size(&self, vms: usize) {
        self.lock().resize(vms, self.clock.now());
    }

    /// Adapts the rates to the number of members in `view` until its sender is
    /// dropped.
    pub async fn follow(self, mut view: watch::Receiver<member::SharedView>) {
        let mut known = INITIAL_VMS;
        loop {
            let vms = view.borrow_and_update().members.len();
            if vms != known {
                self.set_fleet_size(vms);
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

    /// Waits until the budget allows a call, for at most [`BUDGET_TIMEOUT`].
    async fn wait_for_budget(&self, kind: budget::Kind, key: &str) -> Result<(), store::Error> {
        let urgency = urgency(key);
        let until = self.clock.now() + BUDGET_TIMEOUT;
        while !self.lock().take(kind, urgency, self.clock.now()) {
            if self.clock.now() >= until {
                let reason = "this VM's budget of store calls is spent".to_owned();
                return Err(store::Error::Unavailable { reason });
            }
            tokio::time::sleep(BUDGET_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    fn object_url(&self, key: &str) -> Result<String, store::Error> {
        if key.split('/').any(|part| matches!(part, "" | "." | "..")) {
            // A URL parser would resolve such a part as a relative path, and the
            // call would access another object.
            let reason = "a part of the key is empty, \".\" or \"..\"".to_owned();
            let key = key.to_owned();
            return Err(store::Error::Refused { key, reason });
        }
        Ok(format!("{}/objects/{key}", self.base))
    }

    async fn read(&self, key: &str) -> Result<store::Object, store::Error> {
        let url = self.object_url(key)?;
        self.wait_for_budget(budget::Kind::Read, key).await?;
        let reply = self.http.get(url).timeout(CALL_TIMEOUT).send().await;
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
        let url = self.object_url(key)?;
        self.wait_for_budget(budget::Kind::Write, key).await?;
        let request = match body {
            Some(body) => self.http.put(url).body(body),
            None => self.http.delete(url),
        };
        let request = match condition {
            store::Condition::Absent => request.header(IF_VERSION, 0),
            store::Condition::Version(version) => request.header(IF_VERSION, version.0),
            store::Condition::Any => request,
        };
        let reply = request.timeout(CALL_TIMEOUT).send().await;
        let reply = reply.map_err(|error| write_error(key, &error))?;
        write_result(key, &reply)
    }

    async fn listing(
        &self,
        url: String,
        query: &[(&str, String)],
        prefix: &str,
        within: time::Duration,
    ) -> Result<store::Listing, store::Error> {
        self.wait_for_budget(budget::Kind::Read, prefix).await?;
        let request = self.http.get(url).query(query).timeout(within);
        send_for_json(request).await
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

    async fn wait_for_write_budget(&self, _key: &str) {
        let until = self.clock.now() + BUDGET_TIMEOUT;
        while !self.lock().prepay(self.clock.now()) && self.clock.now() < until {
            tokio::time::sleep(BUDGET_CHECK_INTERVAL).await;
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
        let found = self.listing(url, &query, prefix, CALL_TIMEOUT).await;
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
        let found = self
            .listing(url, &query, prefix, wait + WATCH_REPLY_TIMEOUT)
            .await;
        self.calls.count(calls::Kind::Watch, found.as_ref().err());
        found
    }

    async fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        let found = match self.wait_for_budget(budget::Kind::Read, "vms").await {
            Ok(()) => {
                send_for_json(
                    self.http
                        .get(format!("{}/vms", self.base))
                        .timeout(CALL_TIMEOUT),
                )
                .await
            }
            Err(error) => Err(error),
        };
        self.calls.count(calls::Kind::Vms, found.as_ref().err());
        found
    }
}

/// Callers wait for claims and their outcomes; all other calls can be delayed.
fn urgency(key: &str) -> budget::Urgency {
    if key.starts_with("ledger/") {
        budget::Urgency::Urgent
    } else {
        budget::Urgency::Deferrable
    }
}

async fn send_for_json<T: serde::de::DeserializeOwned>(
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

/// Returns the result of a write from its reply. A status that a gateway may have
/// sent in place of the store doesn't show whether the write took effect.
fn write_result(key: &str, reply: &reqwest::Response) -> Result<ids::ObjectVersion, store::Error> {
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
            let reason = format!("status {status} doesn't show whether it was written");
            Err(store::Error::Unconfirmed { key, reason })
        }
    }
}

/// Returns the error of a write without a reply. Only a connect error proves that
/// nothing was sent.
fn write_error(key: &str, error: &reqwest::Error) -> store::Error {
    if error.is_connect() || error.is_builder() {
        return unavailable(error);
    }
    store::Error::Unconfirmed {
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
