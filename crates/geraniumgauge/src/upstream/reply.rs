//! Decodes upstreams' replies, and checks that each belongs to its call.

use std::time;

use reqwest::header;

use crate::ids;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum Outcome {
    /// The call ran; the body is its result.
    #[display("done")]
    Done,
    /// Not run: the upstream sheds load.
    #[display("shed")]
    Shed,
    /// Not run: the upstream is draining.
    #[display("draining")]
    Draining,
    /// Not run: the upstream doesn't have the index version or layout.
    #[display("version")]
    Version,
    /// Not run: nothing was sent.
    #[display("unsent")]
    Unsent,
    /// Not run: the request is suspected of crashing upstreams.
    #[display("withheld")]
    Withheld,
    /// The connection broke after the call may have been sent.
    #[display("lost")]
    Lost,
    /// The reply can't be used and the connection must be closed: it belongs to another
    /// call, or its body is too large.
    #[display("crossed")]
    Crossed,
    /// The upstream reports an error.
    #[display("failed")]
    Failed,
}

/// The outcome of a call with the values read from its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// How the call ended.
    pub outcome: Outcome,
    /// The index version that was searched; 0 if unknown.
    pub index_version: ids::IndexVersion,
    /// Oldest index version that the upstream can search; 0 if unknown.
    pub oldest: ids::IndexVersion,
    /// Newest index version that the upstream can search; 0 if unknown.
    pub newest: ids::IndexVersion,
    /// The result if the outcome is [`Outcome::Done`], otherwise empty.
    pub body: bytes::Bytes,
    /// Whether the connection may carry another call.
    pub reusable: bool,
}

impl Reply {
    /// Returns a reply with an outcome only, whose connection can't be reused.
    pub fn bare(outcome: Outcome) -> Self {
        Self {
            outcome,
            index_version: ids::IndexVersion::default(),
            oldest: ids::IndexVersion::default(),
            newest: ids::IndexVersion::default(),
            body: bytes::Bytes::new(),
            reusable: false,
        }
    }

    /// Returns the outcome of a call that was withheld, which leaves its connection
    /// usable.
    pub fn withheld() -> Self {
        reusable(Outcome::Withheld)
    }
}

/// The state that an upstream's health report gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes work.
    Up,
    /// Is warming up and takes little work.
    Starting,
    /// Takes no new work.
    Draining,
}

/// A health report. It may be outdated or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Health {
    /// The reported state.
    pub status: Status,
    /// Oldest index version that the upstream can search.
    #[serde(default)]
    pub oldest: ids::IndexVersion,
    /// Newest index version that the upstream can search.
    #[serde(default)]
    pub newest: ids::IndexVersion,
    /// Version of the layout that the upstream serves.
    #[serde(default)]
    pub layout: ids::LayoutVersion,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

impl Health {
    /// Returns the age of the report.
    pub fn age(&self) -> time::Duration {
        time::Duration::from_millis(self.age_ms)
    }
}

/// The values that a reply must echo to belong to a call.
#[derive(Debug)]
pub(super) struct Expected<'a> {
    pub(super) id: &'a str,
    pub(super) shard: &'a ids::Shard,
    pub(super) index_version: Option<ids::IndexVersion>,
    pub(super) layout: ids::LayoutVersion,
    /// Whether the call must run at most once. A refusal without the call's id is
    /// then no proof that the call hasn't run.
    pub(super) at_most_once: bool,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
struct Refusal {
    #[serde(default)]
    error: String,
    #[serde(default)]
    oldest: ids::IndexVersion,
    #[serde(default)]
    newest: ids::IndexVersion,
}

impl Expected<'_> {
    /// Decodes a complete reply.
    pub(super) fn read(
        &self,
        status: u16,
        headers: &header::HeaderMap,
        body: bytes::Bytes,
    ) -> Reply {
        match status {
            200..=299 => self.result(headers, body),
            409 | 503 => self.refusal(headers, &body),
            _ if self.names_another_call(headers) => Reply::bare(Outcome::Crossed),
            _ => reusable(Outcome::Failed),
        }
    }

    fn result(&self, headers: &header::HeaderMap, body: bytes::Bytes) -> Reply {
        let version = number(headers, super::INDEX_VERSION).map(ids::IndexVersion);
        let layout = number(headers, super::LAYOUT_VERSION).map(ids::LayoutVersion);
        let matches = text(headers, super::REQUEST_ID) == Some(self.id)
            && text(headers, super::SHARD) == Some(self.shard.as_str())
            && layout == Some(self.layout)
            && (self.at_most_once || version.is_some())
            && (self.index_version.is_none() || self.index_version == version);
        if !matches {
            return Reply::bare(Outcome::Crossed);
        }
        let version_in = |name| number(headers, name).map(ids::IndexVersion);
        let body = if self.at_most_once {
            registration_result(body)
        } else {
            body
        };
        Reply {
            index_version: version.unwrap_or_default(),
            oldest: version_in(super::INDEX_OLDEST).unwrap_or_default(),
            newest: version_in(super::INDEX_NEWEST).unwrap_or_default(),
            body,
            ..reusable(Outcome::Done)
        }
    }

    fn refusal(&self, headers: &header::HeaderMap, body: &[u8]) -> Reply {
        let echoed = text(headers, super::REQUEST_ID);
        if self.names_another_call(headers) {
            return Reply::bare(Outcome::Crossed);
        }
        let refusal: Refusal = serde_json::from_slice(body).unwrap_or_default();
        let outcome = match refusal.error.as_str() {
            _ if self.at_most_once && echoed.is_none() => Outcome::Failed,
            "shed" => Outcome::Shed,
            "draining" => Outcome::Draining,
            "version_unavailable" => Outcome::Version,
            _ => Outcome::Failed,
        };
        Reply {
            oldest: refusal.oldest,
            newest: refusal.newest,
            ..reusable(outcome)
        }
    }

    fn names_another_call(&self, headers: &header::HeaderMap) -> bool {
        text(headers, super::REQUEST_ID).is_some_and(|echoed| echoed != self.id)
    }
}

#[derive(serde::Deserialize)]
struct Registered<'a> {
    #[serde(borrow)]
    result: &'a serde_json::value::RawValue,
}

/// Returns the `result` field of a registration's reply. A body without it is
/// returned whole: the registration ran all the same.
fn registration_result(body: bytes::Bytes) -> bytes::Bytes {
    match serde_json::from_slice::<Registered<'_>>(&body) {
        Ok(registered) => bytes::Bytes::copy_from_slice(registered.result.get().as_bytes()),
        Err(_) => body,
    }
}

fn reusable(outcome: Outcome) -> Reply {
    Reply {
        reusable: true,
        ..Reply::bare(outcome)
    }
}

fn text<'a>(headers: &'a header::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &header::HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
