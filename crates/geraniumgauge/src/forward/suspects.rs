//! Tracks requests that are suspected of crashing upstreams.
//!
//! The caller of such a request sends it again, to any VM, and each run crashes
//! another upstream. A lost connection alone proves nothing: upstreams lose
//! replies, and a rack that loses power takes along whatever runs there.
//! Therefore a request is reported as a suspect only if its connection was lost
//! and the upstream couldn't be connected to right afterwards. Losses close
//! together count once, and any run that completes clears the request.

use std::collections;
use std::time;

use crate::ids;
use crate::registry;
use crate::time as clock;

/// Longest time between a lost connection and a failed attempt to connect for
/// which the upstream is taken to have crashed.
const CRASH_CONFIRM_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Crashes of one request within this time count as one incident. A search runs
/// on many upstreams at once, and a rack that fails takes many of them with it.
const INCIDENT_WINDOW: time::Duration = time::Duration::from_millis(1000);
/// Number of incidents from which a request is refused. One may be chance, and
/// a third would cost another upstream of each shard.
const QUARANTINE_INCIDENTS: usize = 2;
/// How long a request remains a suspect after a crash. Upstreams that crash are
/// back within seconds, and callers give up within minutes.
const SUSPECT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum number of requests that are tracked.
const MAX_TRACKED: usize = 1000;

/// Crashes that this VM and other VMs have seen.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Lost connections that may turn out to be crashes.
    lost: collections::VecDeque<(clock::Moment, registry::Handle, ids::Fingerprint)>,
    incidents: collections::HashMap<ids::Fingerprint, Vec<clock::Moment>>,
}

impl Suspects {
    /// Records that the connection of a running request was lost.
    pub fn connection_lost(
        &mut self,
        upstream: registry::Handle,
        request: ids::Fingerprint,
        now: clock::Moment,
    ) {
        while self
            .lost
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > CRASH_CONFIRM_WINDOW)
        {
            self.lost.pop_front();
        }
        if self.lost.len() < MAX_TRACKED {
            self.lost.push_back((now, upstream, request));
        }
    }

    /// Records that an upstream couldn't be connected to. Returns the requests
    /// that caused a new incident, which must be reported to the other VMs.
    pub fn unreachable(
        &mut self,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> Vec<ids::Fingerprint> {
        let crashed = |at: clock::Moment, of: registry::Handle| {
            of == upstream && now.since(at) <= CRASH_CONFIRM_WINDOW
        };
        let suspects: Vec<(clock::Moment, ids::Fingerprint)> = self
            .lost
            .iter()
            .filter(|(at, of, _)| crashed(*at, *of))
            .map(|(at, _, request)| (*at, *request))
            .collect();
        self.lost.retain(|(_, of, _)| *of != upstream);
        let new = suspects
            .into_iter()
            .filter(|(at, request)| self.report_crash(*request, *at));
        let mut new: Vec<ids::Fingerprint> = new.map(|(_, request)| request).collect();
        new.dedup();
        new
    }

    /// Records that a request crashed an upstream at `at`. Returns whether this
    /// is a new incident.
    pub fn report_crash(&mut self, request: ids::Fingerprint, at: clock::Moment) -> bool {
        self.incidents.retain(|_, crashes| {
            crashes
                .iter()
                .any(|crash| at.since(*crash) < SUSPECT_TIMEOUT)
        });
        if self.incidents.len() >= MAX_TRACKED && !self.incidents.contains_key(&request) {
            return false;
        }
        let crashes = self.incidents.entry(request).or_default();
        let apart =
            |crash: &clock::Moment| at.since(*crash).max(crash.since(at)) >= INCIDENT_WINDOW;
        let new = crashes.iter().all(apart);
        if new {
            crashes.push(at);
        }
        new
    }

    /// Clears a request after a run of it completed.
    pub fn clear(&mut self, request: ids::Fingerprint) {
        self.incidents.remove(&request);
    }

    /// Returns whether no request is a suspect, which is the common case.
    pub fn is_empty(&self) -> bool {
        self.incidents.is_empty()
    }

    /// Returns whether a request must be refused.
    pub fn is_quarantined(&self, request: ids::Fingerprint, now: clock::Moment) -> bool {
        let crashes = self.incidents.get(&request);
        crashes.is_some_and(|crashes| {
            crashes.len() >= QUARANTINE_INCIDENTS
                && crashes
                    .iter()
                    .any(|crash| now.since(*crash) < SUSPECT_TIMEOUT)
        })
    }
}
