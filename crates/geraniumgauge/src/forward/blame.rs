//! Requests that crash the upstreams that run them.
//!
//! Its caller sends such a request again, to any VM, and each run takes another
//! upstream down. A lost connection alone proves nothing: upstreams lose
//! answers, and racks lose power under whatever runs there. So a request is
//! blamed where the connection was lost under it and the upstream couldn't be
//! connected to right after, losses close together count once, and any run that
//! completes clears the request.

use std::collections;
use std::time;

use crate::ids;
use crate::registry;
use crate::time as clock;

/// How soon after a lost connection an upstream that can't be connected to is
/// taken to have crashed with it.
const CONFIRM: time::Duration = time::Duration::from_millis(1500);
/// Crashes of one request within this time are one incident: a search runs on
/// many upstreams at once, and a rack that fails takes many with it.
const INCIDENT: time::Duration = time::Duration::from_millis(1000);
/// Incidents from which a request is refused. One may be chance; a third would
/// cost another upstream of each shard.
const INCIDENTS: usize = 2;
/// How long a request stays blamed. Upstreams that crash are back within
/// seconds, and a caller gives up within minutes.
const HOLD: time::Duration = time::Duration::from_secs(60);
/// Requests that are remembered at most.
const MOST: usize = 1000;

/// What this VM and the others have seen.
#[derive(Debug, Default)]
pub struct Blame {
    /// Lost connections that may turn out to be crashes.
    lost: collections::VecDeque<(clock::Moment, registry::Handle, ids::Fingerprint)>,
    incidents: collections::HashMap<ids::Fingerprint, Vec<clock::Moment>>,
}

impl Blame {
    /// A connection was lost under a request.
    pub fn lost(
        &mut self,
        upstream: registry::Handle,
        request: ids::Fingerprint,
        now: clock::Moment,
    ) {
        while self
            .lost
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > CONFIRM)
        {
            self.lost.pop_front();
        }
        if self.lost.len() < MOST {
            self.lost.push_back((now, upstream, request));
        }
    }

    /// An upstream couldn't be connected to; the requests that are blamed anew,
    /// of which the other VMs are to be told.
    pub fn unreachable(
        &mut self,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> Vec<ids::Fingerprint> {
        let crashed =
            |at: clock::Moment, of: registry::Handle| of == upstream && now.since(at) <= CONFIRM;
        let blamed: Vec<(clock::Moment, ids::Fingerprint)> = self
            .lost
            .iter()
            .filter(|(at, of, _)| crashed(*at, *of))
            .map(|(at, _, request)| (*at, *request))
            .collect();
        self.lost.retain(|(_, of, _)| *of != upstream);
        let fresh = blamed
            .into_iter()
            .filter(|(at, request)| self.blame(*request, *at));
        let mut fresh: Vec<ids::Fingerprint> = fresh.map(|(_, request)| request).collect();
        fresh.dedup();
        fresh
    }

    /// A request crashed an upstream at `at`; whether that is a new incident.
    pub fn blame(&mut self, request: ids::Fingerprint, at: clock::Moment) -> bool {
        self.incidents
            .retain(|_, seen| seen.iter().any(|seen| at.since(*seen) < HOLD));
        if self.incidents.len() >= MOST && !self.incidents.contains_key(&request) {
            return false;
        }
        let seen = self.incidents.entry(request).or_default();
        let apart = |seen: &clock::Moment| at.since(*seen).max(seen.since(at)) >= INCIDENT;
        let fresh = seen.iter().all(apart);
        if fresh {
            seen.push(at);
        }
        fresh
    }

    /// A run of the request completed: it doesn't crash upstreams.
    pub fn clear(&mut self, request: ids::Fingerprint) {
        self.incidents.remove(&request);
    }

    /// Whether any request is blamed; most of the time none is.
    pub fn is_empty(&self) -> bool {
        self.incidents.is_empty()
    }

    /// Whether a request is to be refused.
    pub fn is_quarantined(&self, request: ids::Fingerprint, now: clock::Moment) -> bool {
        let seen = self.incidents.get(&request);
        seen.is_some_and(|seen| {
            seen.len() >= INCIDENTS && seen.iter().any(|seen| now.since(*seen) < HOLD)
        })
    }
}
