//! What an upstream answered, and whether it answers what was asked.

use std::time;

use reqwest::header;

use crate::ids;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum Outcome {
    /// It ran; the body is its result.
    #[display("done")]
    Done,
    /// Not run: the upstream sheds load.
    #[display("shed")]
    Shed,
    /// Not run: the upstream is leaving.
    #[display("draining")]
    Draining,
    /// Not run: the index version or layout isn't offered.
    #[display("version")]
    Version,
    /// Not run: no byte was sent.
    #[display("unsent")]
    Unsent,
    /// The connection broke after the call may have been sent.
    #[display("lost")]
    Lost,
    /// The reply answers something else, or more than may be asked for.
    #[display("crossed")]
    Crossed,
    /// The upstream reports an error of its own.
    #[display("failed")]
    Failed,
}

/// One reply, as far as it could be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// How the call ended.
    pub outcome: Outcome,
    /// The index version that was searched; 0 where not known.
    pub index_version: ids::IndexVersion,
    /// Oldest index version still offered; 0 where not known.
    pub oldest: ids::IndexVersion,
    /// Newest index version offered; 0 where not known.
    pub newest: ids::IndexVersion,
    /// The result, where the outcome is [`Outcome::Done`].
    pub body: bytes::Bytes,
    /// Whether the connection may carry another call.
    pub reusable: bool,
}

impl Reply {
    /// A reply that carries nothing but how the call ended.
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
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It takes work.
    Up,
    /// It takes little work yet.
    Starting,
    /// It wants no new work.
    Draining,
}

/// A health report: a hint that may lag or mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Health {
    /// What it says of itself.
    pub status: Status,
    /// Oldest index version offered.
    #[serde(default)]
    pub oldest: ids::IndexVersion,
    /// Newest index version offered.
    #[serde(default)]
    pub newest: ids::IndexVersion,
    /// Layout it serves.
    #[serde(default)]
    pub layout: ids::LayoutVersion,
    /// How old the report is, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

impl Health {
    /// How old the report is.
    pub fn age(&self) -> time::Duration {
        time::Duration::from_millis(self.age_ms)
    }
}

/// What a reply must echo to be the answer to a call.
#[derive(Debug)]
pub(super) struct Expected<'a> {
    pub(super) id: &'a str,
    pub(super) shard: &'a ids::Shard,
    pub(super) index_version: Option<ids::IndexVersion>,
    pub(super) layout: ids::LayoutVersion,
    /// Whether the work may be done once only. A refusal that doesn't name the
    /// call is then no proof that this call has not run.
    pub(super) once: bool,
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
    /// Reads a whole reply.
    pub(super) fn read(
        &self,
        status: u16,
        headers: &header::HeaderMap,
        body: bytes::Bytes,
    ) -> Reply {
        match status {
            200..=299 => self.result(headers, body),
            409 | 503 => self.refusal(headers, &body),
            _ if self.names_another(headers) => Reply::bare(Outcome::Crossed),
            _ => reusable(Outcome::Failed),
        }
    }

    fn result(&self, headers: &header::HeaderMap, body: bytes::Bytes) -> Reply {
        let version = number(headers, super::INDEX_VERSION).map(ids::IndexVersion);
        let layout = number(headers, super::LAYOUT_VERSION).map(ids::LayoutVersion);
        let own = text(headers, super::REQUEST_ID) == Some(self.id)
            && text(headers, super::SHARD) == Some(self.shard.as_str())
            && layout == Some(self.layout)
            && (self.once || version.is_some())
            && (self.index_version.is_none() || self.index_version == version);
        if !own {
            return Reply::bare(Outcome::Crossed);
        }
        let offered = |name| number(headers, name).map(ids::IndexVersion);
        let body = if self.once { registered(body) } else { body };
        Reply {
            index_version: version.unwrap_or_default(),
            oldest: offered(super::INDEX_OLDEST).unwrap_or_default(),
            newest: offered(super::INDEX_NEWEST).unwrap_or_default(),
            body,
            ..reusable(Outcome::Done)
        }
    }

    fn refusal(&self, headers: &header::HeaderMap, body: &[u8]) -> Reply {
        let echoed = text(headers, super::REQUEST_ID);
        if self.names_another(headers) {
            return Reply::bare(Outcome::Crossed);
        }
        let refusal: Refusal = serde_json::from_slice(body).unwrap_or_default();
        let outcome = match refusal.error.as_str() {
            _ if self.once && echoed.is_none() => Outcome::Failed,
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

    fn names_another(&self, headers: &header::HeaderMap) -> bool {
        text(headers, super::REQUEST_ID).is_some_and(|echoed| echoed != self.id)
    }
}

#[derive(serde::Deserialize)]
struct Registered<'a> {
    #[serde(borrow)]
    result: &'a serde_json::value::RawValue,
}

/// The result within a registration's reply. It ran, whatever its form, so a
/// body without a `result` stands for itself.
fn registered(body: bytes::Bytes) -> bytes::Bytes {
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
