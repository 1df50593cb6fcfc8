//! State of the platform: objects, the history of the list of VMs, faults and call counts.

use std::collections;
use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::store;

use crate::platform;

/// Age at which an old list of VMs is dropped; `list_lag_ms` can't reach further back.
const LIST_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Number of calls by kind since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Reads of an object.
    pub get: u64,
    /// Writes and deletions of an object, including those that conflicted.
    pub put: u64,
    /// Listings of a prefix.
    pub list: u64,
    /// Watch calls, each counted once however long it waits.
    pub watch: u64,
    /// Reads of the list of VMs.
    pub vms: u64,
    /// Calls refused by the rate limits or because the platform is down.
    pub refused: u64,
    /// Total size of the bodies received for writing, in bytes.
    pub written_bytes: u64,
}

/// The platform's state, shared by all connections.
#[derive(Debug)]
pub struct State {
    pub(super) objects: sync::Mutex<store::Objects>,
    pub(super) changed: tokio::sync::watch::Sender<ids::Revision>,
    faults: sync::RwLock<platform::Faults>,
    counts: sync::Mutex<Counts>,
    lists: sync::Mutex<collections::VecDeque<(tokio::time::Instant, Vec<store::Vm>)>>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            objects: sync::Mutex::default(),
            changed: tokio::sync::watch::Sender::new(ids::Revision(0)),
            faults: sync::RwLock::default(),
            counts: sync::Mutex::default(),
            lists: sync::Mutex::default(),
        }
    }
}

impl State {
    /// Returns the current faults.
    pub fn faults(&self) -> platform::Faults {
        self.faults
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut platform::Faults)) {
        change(
            &mut self
                .faults
                .write()
                .unwrap_or_else(sync::PoisonError::into_inner),
        );
    }

    /// Returns the number of calls so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Reads or changes the objects directly, bypassing all faults; watches are notified
    /// of changes.
    pub fn objects<T>(&self, access: impl FnOnce(&mut store::Objects) -> T) -> T {
        let mut objects = lock(&self.objects);
        let result = access(&mut objects);
        let revision = objects.revision();
        drop(objects);
        self.changed.send_if_modified(|last| {
            let changed = *last != revision;
            *last = revision;
            changed
        });
        result
    }

    /// Replaces the list of VMs; clients see it after `list_lag_ms`.
    pub fn set_vms(&self, vms: Vec<store::Vm>) {
        let mut lists = lock(&self.lists);
        let now = tokio::time::Instant::now();
        lists.push_back((now, vms));
        while lists.len() > 1
            && lists
                .front()
                .is_some_and(|(at, _)| now - *at > LIST_RETENTION)
        {
            lists.pop_front();
        }
    }

    /// Returns the newest list of VMs, without the lag.
    pub fn newest_vms(&self) -> Vec<store::Vm> {
        lock(&self.lists)
            .back()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    /// Returns the newest list of VMs that is at least `list_lag_ms` old, or the oldest
    /// one kept if none is; so the first list is visible at once.
    pub(super) fn lagging_vms(&self) -> Vec<store::Vm> {
        let lag = time::Duration::from_millis(self.faults().list_lag_ms);
        let lists = lock(&self.lists);
        let now = tokio::time::Instant::now();
        let visible = lists.iter().rev().find(|(at, _)| now - *at >= lag);
        visible
            .or(lists.front())
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut lock(&self.counts));
    }
}

/// Locks `mutex`, ignoring poisoning: a panic leaves these values consistent.
pub(super) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
