//! What is held against one request.

use crate::ids;
use crate::quarantine;
use crate::time;

/// Most upstreams named in a mark; the rest adds nothing to the judgement.
const NAMED: usize = 4;

/// What is held against one request, as VMs tell each other and keep it in the
/// store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// The service.
    pub service: ids::Service,
    /// The request.
    pub fingerprint: ids::Fingerprint,
    /// What holds for it.
    pub state: State,
    /// Higher replaces lower; equal ones are doubles.
    pub version: u64,
    /// Upstreams lost while they ran it as a canary or a lone trial.
    pub crashed: Vec<ids::Upstream>,
    /// Upstreams lost while they ran it beside others.
    pub lost: Vec<ids::Upstream>,
    /// When it was first suspected, by the wall clock of the VM that saw it.
    pub since: time::Wall,
    /// When it expires, by the same clock.
    pub until: time::Wall,
}

/// What a mark says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum State {
    /// A trial completed: what was held before is void.
    Clear,
    /// An upstream was lost while it ran.
    Suspect,
    /// A second one was lost.
    Quarantined,
}

impl Mark {
    /// The key of its rumour.
    pub fn key(&self) -> String {
        format!("{}/{}", self.service, self.fingerprint)
    }

    /// Its verdict at `wall`; an expired mark holds nothing.
    pub fn verdict(&self, wall: time::Wall) -> quarantine::Verdict {
        match self.state {
            _ if wall >= self.until => quarantine::Verdict::Clear,
            State::Clear => quarantine::Verdict::Clear,
            State::Suspect => quarantine::Verdict::Suspect,
            State::Quarantined => quarantine::Verdict::Quarantined,
        }
    }

    /// Whether `upstream` was lost while it ran this request.
    pub fn names(&self, upstream: &ids::Upstream) -> bool {
        self.crashed.contains(upstream) || self.lost.contains(upstream)
    }

    /// Joins what another VM holds. Both orders give the same result: the
    /// graver state, all upstreams, the later end. A clearance is void where
    /// the suspicion is newer, and the other way round.
    pub fn join(&self, other: &Self) -> Self {
        let (low, high) = if self.version <= other.version {
            (self, other)
        } else {
            (other, self)
        };
        if low.state == State::Clear || high.state == State::Clear {
            return high.clone();
        }
        let mut joined = high.clone();
        for upstream in &low.crashed {
            add(&mut joined.crashed, upstream);
        }
        for upstream in &low.lost {
            add(&mut joined.lost, upstream);
        }
        joined.crashed.sort();
        joined.lost.sort();
        joined.state = low.state.max(high.state);
        joined.since = low.since.min(high.since);
        joined.until = low.until.max(high.until);
        joined
    }
}

/// Adds `upstream` to a mark's list, unless it is there or the list is full.
pub(super) fn add(list: &mut Vec<ids::Upstream>, upstream: &ids::Upstream) {
    if list.len() < NAMED && !list.contains(upstream) {
        list.push(upstream.clone());
    }
}
