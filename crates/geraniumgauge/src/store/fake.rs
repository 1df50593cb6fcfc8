//! An in-memory store with fault injection, for tests.

use std::sync;
use std::time;

use crate::ids;
use crate::store;

/// Faults of a [`Fake`].
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Whether every call is refused without effect.
    pub down: bool,
    /// Delay of each call.
    pub slow: time::Duration,
    /// Number of following writes that take effect but whose replies are lost.
    pub lose_replies: u32,
    /// Number of following writes that fail with [`store::Error::Unconfirmed`] and have no
    /// effect.
    pub lose_writes: u32,
    /// Whether the VM list stays as it is, whatever [`Fake::set_vms`] sets.
    pub lagging_vms: bool,
    /// Whether reads, lists and watches show the state at the time this was set.
    pub stale_reads: bool,
}

/// Number of calls that reached the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads, lists, watches and VM lists.
    pub reads: u64,
    /// Writes and deletions, including those without effect.
    pub writes: u64,
}

/// An in-memory store; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Fake {
    state: sync::Arc<sync::Mutex<State>>,
    changed: sync::Arc<tokio::sync::Notify>,
}

#[derive(Debug, Default)]
struct State {
    objects: store::Objects,
    /// The objects that reads show while [`Faults::stale_reads`] is set.
    stale_objects: store::Objects,
    vms: Vec<store::Vm>,
    /// The VM list that calls return; lags behind `vms` while
    /// [`Faults::lagging_vms`] is set.
    listed_vms: Vec<store::Vm>,
    faults: Faults,
    count: Count,
}

impl State {
    fn visible(&self) -> &store::Objects {
        if self.faults.stale_reads {
            &self.stale_objects
        } else {
            &self.objects
        }
    }

    fn write<T>(
        &mut self,
        key: &str,
        change: impl FnOnce(&mut store::Objects) -> Result<T, store::Error>,
    ) -> Result<T, store::Error> {
        let unsure = || store::Error::Unconfirmed {
            key: key.to_owned(),
            reason: "the reply was lost".to_owned(),
        };
        if self.faults.lose_writes > 0 {
            self.faults.lose_writes -= 1;
            return Err(unsure());
        }
        let done = change(&mut self.objects)?;
        if self.faults.lose_replies > 0 {
            self.faults.lose_replies -= 1;
            return Err(unsure());
        }
        Ok(done)
    }
}

impl Fake {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the injected faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        let was_stale = state.faults.stale_reads;
        change(&mut state.faults);
        if state.faults.stale_reads && !was_stale {
            state.stale_objects = state.objects.clone();
        }
        if !state.faults.lagging_vms {
            state.listed_vms = state.vms.clone();
        }
    }

    /// Sets the platform's list of VMs.
    pub fn set_vms(&self, vms: Vec<store::Vm>) {
        let mut state = self.lock();
        state.vms = vms;
        if !state.faults.lagging_vms {
            state.listed_vms = state.vms.clone();
        }
    }

    /// Returns the current objects, regardless of the faults.
    pub fn objects(&self) -> store::Objects {
        self.lock().objects.clone()
    }

    /// Replaces the objects, like a restore from a backup.
    pub fn restore(&self, objects: store::Objects) {
        self.lock().objects = objects;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far.
    pub fn count(&self) -> Count {
        self.lock().count
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn begin_call(&self, count: impl FnOnce(&mut Count)) -> Result<(), store::Error> {
        let slow = {
            let mut state = self.lock();
            count(&mut state.count);
            state.faults.slow
        };
        if slow > time::Duration::ZERO {
            tokio::time::sleep(slow).await;
        }
        if self.lock().faults.down {
            let reason = "the fake store is down".to_owned();
            return Err(store::Error::Unavailable { reason });
        }
        Ok(())
    }
}

fn read(count: &mut Count) {
    count.reads += 1;
}

fn write(count: &mut Count) {
    count.writes += 1;
}

#[async_trait::async_trait]
impl store::Api for Fake {
    async fn get(&self, key: &str) -> Result<store::Object, store::Error> {
        self.begin_call(read).await?;
        self.lock().visible().get(key)
    }

    async fn put(
        &self,
        key: &str,
        body: bytes::Bytes,
        condition: store::Condition,
    ) -> Result<ids::ObjectVersion, store::Error> {
        self.begin_call(write).await?;
        let change = |objects: &mut store::Objects| objects.put(key, body, condition);
        let done = self.lock().write(key, change);
        self.changed.notify_waiters();
        done
    }

    async fn delete(&self, key: &str, condition: store::Condition) -> Result<(), store::Error> {
        self.begin_call(write).await?;
        let change = |objects: &mut store::Objects| objects.delete(key, condition);
        let done = self.lock().write(key, change);
        self.changed.notify_waiters();
        done
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Error> {
        self.begin_call(read).await?;
        Ok(self.lock().visible().list(prefix))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ids::Revision,
        wait: time::Duration,
    ) -> Result<store::Listing, store::Error> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            self.begin_call(read).await?;
            let found = self.lock().visible().changes(prefix, after);
            if !found.changes.is_empty() {
                return Ok(found);
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return Ok(found);
            }
        }
    }

    async fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        self.begin_call(read).await?;
        Ok(self.lock().listed_vms.clone())
    }
}
