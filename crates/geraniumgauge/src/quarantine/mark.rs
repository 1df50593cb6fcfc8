//! The mark that records a request suspected of crashing upstreams.

use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::time;

/// Maximum number of upstreams in each list of a mark. More of them would not
/// change the verdict.
const MAX_LISTED_UPSTREAMS: usize = 4;

/// The suspicion, quarantine or clearance of one request. VMs send marks to each
/// other and keep them in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// Service that the request belongs to.
    pub service: ids::Service,
    /// Fingerprint of the request.
    pub fingerprint: ids::Fingerprint,
    /// Whether the request is suspect, quarantined or cleared.
    pub state: State,
    /// Version of the mark; see [`Mark::merge`].
    pub version: u64,
    /// Upstreams lost while they ran the request as a canary or an isolated trial.
    pub crashed: Vec<ids::Upstream>,
    /// Upstreams lost while they ran the request at the same time as others.
    pub lost: Vec<ids::Upstream>,
    /// When the request was first suspected, by the wall clock of the VM that saw
    /// the loss.
    pub since: time::Wall,
    /// When the mark expires, by the clock of the VM that set it.
    pub until: time::Wall,
}

/// State that a mark records for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum State {
    /// The request completed or was found not to be the cause; earlier suspicion
    /// is void.
    Clear,
    /// An upstream was lost while it ran the request.
    Suspect,
    /// A second upstream was lost, or the isolated trial has crashed or lapsed.
    Quarantined,
}

impl Mark {
    /// Returns the key of the mark's gossip updates.
    pub fn key(&self) -> String {
        format!("{}/{}", self.service, self.fingerprint)
    }

    /// Returns the frame that carries the mark to one VM.
    pub fn frame(&self) -> message::Mark {
        let body = serde_json::to_vec(self).unwrap_or_default();
        message::Mark {
            key: self.key(),
            version: self.version,
            body: body.into(),
            relay_group_size: 0,
        }
    }

    /// Returns the verdict at time `wall`. An expired mark has no effect.
    pub fn verdict(&self, wall: time::Wall) -> quarantine::Verdict {
        match self.state {
            _ if wall >= self.until => quarantine::Verdict::Clear,
            State::Clear => quarantine::Verdict::Clear,
            State::Suspect => quarantine::Verdict::Suspect,
            State::Quarantined => quarantine::Verdict::Quarantined,
        }
    }

    /// Returns true if `upstream` was lost while it ran this request.
    pub fn lists(&self, upstream: &ids::Upstream) -> bool {
        self.crashed.contains(upstream) || self.lost.contains(upstream)
    }

    /// Merges this mark with another VM's mark of the same request, in either
    /// order with the same result. If one of the two is a clearance, the higher
    /// version wins. Otherwise the result has the more severe state, the upstreams
    /// of both and the later expiry.
    pub fn merge(&self, other: &Self) -> Self {
        let (low, high) = if self.version <= other.version {
            (self, other)
        } else {
            (other, self)
        };
        if low.state == State::Clear || high.state == State::Clear {
            return high.clone();
        }
        let mut merged = high.clone();
        for upstream in &low.crashed {
            add(&mut merged.crashed, upstream);
        }
        for upstream in &low.lost {
            add(&mut merged.lost, upstream);
        }
        merged.crashed.sort();
        merged.lost.sort();
        merged.state = low.state.max(high.state);
        merged.since = low.since.min(high.since);
        merged.until = low.until.max(high.until);
        merged
    }
}

/// Adds `upstream` to a mark's list unless it is already listed or the list is
/// full.
pub(super) fn add(list: &mut Vec<ids::Upstream>, upstream: &ids::Upstream) {
    if list.len() < MAX_LISTED_UPSTREAMS && !list.contains(upstream) {
        list.push(upstream.clone());
    }
}

/// Returns the names of a mark's upstreams, separated by spaces.
pub(super) fn names(upstreams: &[ids::Upstream]) -> String {
    let names: Vec<&str> = upstreams.iter().map(ids::Upstream::as_str).collect();
    names.join(" ")
}
