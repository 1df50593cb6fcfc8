//! Keeps marks and trials in the store, for VMs to come and across lost rumours.

use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use crate::ids;
use crate::quarantine;
use crate::quarantine::Service;
use crate::quarantine::trial;
use crate::store;
use crate::timer;

/// How often expired marks are dropped and failed writes tried again.
const ROUND: time::Duration = time::Duration::from_secs(1);
/// How often the store's marks are read, against rumours that were missed.
const REREAD: time::Duration = time::Duration::from_secs(60);
/// Tries of one conditional update before it waits for the next round.
const TRIES: usize = 4;
/// Most writes that wait for the store.
pub(super) const WAITING: usize = 1024;

/// One change of a service's object.
pub(super) enum Write {
    /// Joins a mark.
    Join(quarantine::Mark),
    /// Gives the right to a trial back.
    Finish(ids::Service, trial::Claim),
}

impl Service {
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

    /// Reads the store's marks at the start and now and then.
    pub(super) async fn reread(self, timer: timer::Service) {
        self.load().await;
        let mut ticks = timer.jittered(REREAD);
        while ticks.tick().await.is_some() {
            self.load().await;
        }
    }

    async fn load(&self) {
        let Ok(listing) = self.inner.store.list(trial::PREFIX).await else {
            return;
        };
        for change in listing.changes {
            let Some(name) = change.key.strip_prefix(trial::PREFIX) else {
                continue;
            };
            let Ok(service) = name.parse::<ids::Service>() else {
                continue;
            };
            if let Ok((ledger, _)) = self.fetch(&service).await {
                self.take_in(&ledger);
            }
        }
    }

    /// Writes marks and ends of trials; what the store doesn't take waits.
    pub(super) async fn keep(self, mut waiting: mpsc::Receiver<Write>, timer: timer::Service) {
        let mut ticks = timer.every(ROUND, ROUND);
        let mut left = Vec::new();
        loop {
            tokio::select! {
                write = waiting.recv() => left.extend(write),
                tick = ticks.tick() => if tick.is_none() { return },
            }
            self.expire();
            let mut failed = Vec::new();
            for write in left.drain(..) {
                if !self.write(&write).await {
                    failed.push(write);
                }
            }
            failed.truncate(WAITING);
            left = failed;
        }
    }

    fn expire(&self) {
        let mut book = self.book();
        book.expire(self.now());
        self.inner
            .held
            .store(!book.is_empty(), atomic::Ordering::Release);
    }

    /// Whether the write is done or void.
    async fn write(&self, write: &Write) -> bool {
        for _ in 0..TRIES {
            let service = match write {
                Write::Join(mark) => &mark.service,
                Write::Finish(service, _) => service,
            };
            let Ok((held, condition)) = self.fetch(service).await else {
                return false;
            };
            let Some(next) = self.apply(write, &held) else {
                return true;
            };
            if self.put(service, &next, condition).await.is_ok() {
                return true;
            }
        }
        false
    }

    fn apply(&self, write: &Write, held: &trial::Ledger) -> Option<trial::Ledger> {
        let wall = self.inner.clock.wall();
        match write {
            Write::Finish(_, claim) => held.finish(claim),
            Write::Join(mark) if wall >= mark.until => None,
            Write::Join(mark) => {
                let mut next = held.clone();
                next.join(mark, wall);
                (next != *held).then_some(next)
            }
        }
    }
}
