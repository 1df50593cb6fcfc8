//! How many registrations of a service run at once at this VM.

use std::collections;
use std::sync;

use crate::ids;

/// Counts by service; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Admission {
    running: sync::Arc<sync::Mutex<collections::HashMap<ids::Service, u32>>>,
}

/// One admitted registration, until dropped.
#[derive(Debug)]
pub(super) struct Permit {
    owner: Admission,
    service: ids::Service,
}

impl Admission {
    /// Admits one more where fewer than `limit` of the service run.
    pub(super) fn admit(&self, service: &ids::Service, limit: u32) -> Option<Permit> {
        let mut running = self.lock();
        let count = running.entry(service.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(Permit {
            owner: self.clone(),
            service: service.clone(),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::Service, u32>> {
        self.running
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(count) = self.owner.lock().get_mut(&self.service) {
            *count = count.saturating_sub(1);
        }
    }
}
