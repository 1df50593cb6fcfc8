//! Limits the concurrent registrations of each service on this VM.

use std::collections;
use std::sync;

use crate::ids;

/// Counts the running registrations by service. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub(super) struct Limiter {
    running: sync::Arc<sync::Mutex<collections::HashMap<ids::Service, u32>>>,
}

/// One admitted registration; counted as running until dropped.
#[derive(Debug)]
pub(super) struct Permit {
    owner: Limiter,
    service: ids::Service,
}

impl Limiter {
    /// Admits a registration if fewer than `limit` of the service are running.
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
