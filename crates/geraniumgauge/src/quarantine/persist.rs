//! Reads and writes marks and trial claims in the store, for VMs that join later
//! and for VMs that missed gossip updates.

use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use crate::ids;
use crate::quarantine;
use crate::quarantine::Service;
use crate::quarantine::trial;
use crate::store;
use crate::timer;

/// Interval between removals of expired marks and retries of failed writes.
const WRITE_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval between reads of all marks in the store, which make up for missed gossip
/// updates.
const RELOAD_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Maximum attempts at one conditional update before it waits for the next retry
/// interval.
const MAX_WRITE_ATTEMPTS: usize = 4;
/// Maximum number of writes in the queue, and of failed writes kept for a retry.
pub(super) const MAX_QUEUED_WRITES: usize = 1024;

/// A change to a service's object in the store.
pub(super) enum Write {
    /// Merges a mark.
    Merge(quarantine::Mark),
    /// Removes the claim of a trial that has ended.
    Release(ids::Service, trial::Claim),
}

impl Service {
    /// Reads a service's ledger, with the condition for the write that replaces it.
    /// A service without an object has an empty ledger.
    pub(super) async fn fetch(
        &self,
        service: &ids::Service,
    ) -> Result<(trial::Ledger, store::Condition), store::Error> {
        match self.inner.store.get(&trial::key(service)).await {
            Ok(object) => {
                let ledger = serde_json::from_slice(&object.body).unwrap_or_default();
                Ok((ledger, store::Condition::Version(object.version)))
            }
            Err(store::Error::Missing { .. }) => {
                Ok((trial::Ledger::default(), store::Condition::Absent))
            }
            Err(error) => Err(error),
        }
    }

    /// Writes a service's ledger if `condition` holds.
    pub(super) async fn put(
        &self,
        service: &ids::Service,
        ledger: &trial::Ledger,
        condition: store::Condition,
    ) -> Result<(), store::Error> {
        let body = serde_json::to_vec(ledger).unwrap_or_default();
        let key = trial::key(service);
        self.inner.store.put(&key, body.into(), condition).await?;
        Ok(())
    }

    /// Reads all marks from the store at the start and then once per
    /// [`RELOAD_INTERVAL`], until the timer stops.
    pub(super) async fn reload(self, timer: timer::Service) {
        self.load_all().await;
        let mut ticks = timer.jittered(RELOAD_INTERVAL);
        while ticks.tick().await.is_some() {
            self.load_all().await;
        }
    }

    async fn load_all(&self) {
        let Ok(listing) = self.inner.store.list(trial::STORE_KEY_PREFIX).await else {
            return;
        };
        for change in listing.changes {
            let Some(name) = change.key.strip_prefix(trial::STORE_KEY_PREFIX) else {
                continue;
            };
            let Ok(service) = name.parse::<ids::Service>() else {
                continue;
            };
            if let Ok((ledger, _)) = self.fetch(&service).await {
                self.receive_ledger(&ledger);
            }
        }
    }

    /// Carries out queued writes until the timer stops. Writes that fail are tried
    /// again on the next queued write or at the next tick.
    pub(super) async fn persist(self, mut queue: mpsc::Receiver<Write>, timer: timer::Service) {
        let mut ticks = timer.every(WRITE_RETRY_INTERVAL, WRITE_RETRY_INTERVAL);
        let mut pending = Vec::new();
        loop {
            tokio::select! {
                write = queue.recv() => pending.extend(write),
                tick = ticks.tick() => if tick.is_none() { return },
            }
            self.expire();
            let mut failed = Vec::new();
            for write in pending.drain(..) {
                if !self.write(&write).await {
                    failed.push(write);
                }
            }
            failed.truncate(MAX_QUEUED_WRITES);
            pending = failed;
        }
    }

    /// Drops expired marks.
    fn expire(&self) {
        let mut tracker = self.tracker();
        tracker.expire(self.now());
        self.inner
            .has_marks
            .store(!tracker.is_empty(), atomic::Ordering::Release);
    }

    /// Carries out one write. Returns true if it has been done or isn't needed any
    /// more.
    async fn write(&self, write: &Write) -> bool {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let service = match write {
                Write::Merge(mark) => &mark.service,
                Write::Release(service, _) => service,
            };
            let Ok((ledger, condition)) = self.fetch(service).await else {
                return false;
            };
            let Some(next) = self.apply(write, &ledger) else {
                return true;
            };
            if self.put(service, &next, condition).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Returns the ledger with `write` applied, or `None` if that changes nothing.
    fn apply(&self, write: &Write, ledger: &trial::Ledger) -> Option<trial::Ledger> {
        let wall = self.inner.clock.wall();
        match write {
            Write::Release(_, claim) => ledger.release(claim),
            Write::Merge(mark) if wall >= mark.until => None,
            Write::Merge(mark) => {
                let mut next = ledger.clone();
                next.merge(mark, wall);
                (next != *ledger).then_some(next)
            }
        }
    }
}
