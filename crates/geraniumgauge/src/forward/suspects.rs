//! Tracks requests that are suspected of crashing upstreams.
//!
//! The caller of such a request sends it again, to any VM, and each run crashes
//! another upstream. A lost connection alone proves nothing: upstreams lose
//! replies, and when a rack loses power, the connections of all requests on its
//! upstreams are lost. Therefore a request is reported as a suspect only if its
//! connection was lost and the upstream couldn't be connected to right
//! afterwards. Losses close together count once, and any run that completes
//! clears the request.

use std::collections;
use std::time;

use crate::ids;
use crate::registry;
use crate::time as clock;

/// If connecting to an upstream fails within this time after a connection to it
/// was lost, the upstream is assumed to have crashed.
const CRASH_CONFIRM_WINDOW: time::Duration = time::Duration::from_millis(1500);
/// Crashes of one request within this time count as one incident. A search runs
/// on many upstreams at once, and when a rack fails, many of these are lost at
/// the same time.
const INCIDENT_WINDOW: time::Duration = time::Duration::from_millis(1000);
/// A request with this many incidents is refused. A single incident may be
/// coincidence, and a third one could crash another upstream of each shard.
const QUARANTINE_INCIDENTS: usize = 2;
/// How long after its latest incident a request remains suspect or refused.
/// Upstreams that crash restart within seconds, and callers stop retrying within
/// minutes.
const INCIDENT_LIFETIME: time::Duration = time::Duration::from_secs(60);
/// Maximum number of suspect requests, and of requests whose connection was lost,
/// that are kept.
const MAX_TRACKED_REQUESTS: usize = 1000;

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
        if self.lost.len() < MAX_TRACKED_REQUESTS {
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
        let crashed = |at: clock::Moment, lost_upstream: registry::Handle| {
            lost_upstream == upstream && now.since(at) <= CRASH_CONFIRM_WINDOW
        };
        let suspects: Vec<(clock::Moment, ids::Fingerprint)> = self
            .lost
            .iter()
            .filter(|(at, lost_upstream, _)| crashed(*at, *lost_upstream))
            .map(|(at, _, request)| (*at, *request))
            .collect();
        self.lost
            .retain(|(_, lost_upstream, _)| *lost_upstream != upstream);
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
                .any(|crash| at.since(*crash) < INCIDENT_LIFETIME)
        });
        if self.incidents.len() >= MAX_TRACKED_REQUESTS && !self.incidents.contains_key(&request) {
            return false;
        }
        let crashes = self.incidents.entry(request).or_default();
        let is_separate_incident =
            |crash: &clock::Moment| at.since(*crash).max(crash.since(at)) >= INCIDENT_WINDOW;
        let new = crashes.iter().all(is_separate_incident);
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
                    .any(|crash| now.since(*crash) < INCIDENT_LIFETIME)
        })
    }
}
