//! State of the links to other VMs, shared by all services.

use std::collections;
use std::sync;

use crate::ids;
use crate::query::plan;

/// The link states by VM.
#[derive(Debug, Default)]
pub(super) struct Links {
    known: sync::Mutex<collections::HashMap<ids::Vm, sync::Arc<plan::Link>>>,
}

impl Links {
    /// Returns the state of the link to `vm`, created on first use.
    pub(super) fn get(&self, vm: &ids::Vm) -> sync::Arc<plan::Link> {
        let mut known = self
            .known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        // Links that no plan refers to belong to VMs that have left.
        if known.len() > MAX_LINKS {
            known.retain(|_, link| sync::Arc::strong_count(link) > 1);
        }
        known.entry(vm.clone()).or_default().clone()
    }
}

/// Number of links above which unused ones are dropped.
const MAX_LINKS: usize = 4096;
