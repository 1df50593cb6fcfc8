//! What was seen of the links to other VMs, shared by all services.

use std::collections;
use std::sync;

use crate::ids;
use crate::query::plan;

/// Links by VM.
#[derive(Debug, Default)]
pub(super) struct Links {
    known: sync::Mutex<collections::HashMap<ids::Vm, sync::Arc<plan::Link>>>,
}

impl Links {
    /// The link to `vm`.
    pub(super) fn get(&self, vm: &ids::Vm) -> sync::Arc<plan::Link> {
        let mut known = self
            .known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        // Links that no plan holds any more are of VMs that are gone.
        if known.len() > MOST {
            known.retain(|_, link| sync::Arc::strong_count(link) > 1);
        }
        known.entry(vm.clone()).or_default().clone()
    }
}

/// Links kept before unused ones are dropped.
const MOST: usize = 4096;
