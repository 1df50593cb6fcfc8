//! Who watches the store and who keeps the documents, by the view.

use std::collections;

use crate::ids;
use crate::member;
use crate::rendezvous;

/// Watchers of each data centre. Two, so that the loss of one costs no time;
/// in each data centre, so that one that is parted from the others still hears.
const WATCHERS: usize = 2;

/// The VMs with duties for documents and the peers to ask.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// Every member but this VM that takes duties.
    pub(super) peers: Vec<ids::Vm>,
    /// Those of this VM's data centre.
    pub(super) near: Vec<ids::Vm>,
    /// The VMs that watch the store; the first is the keeper, the others stand by.
    pub(super) watchers: Vec<ids::Vm>,
    /// The watchers but this VM; every peer where there are none.
    pub(super) others: Vec<ids::Vm>,
    /// Every member, this VM among them.
    pub(super) all: Vec<ids::Vm>,
}

impl Roles {
    /// The roles in `view`, as a VM of `data_centre` sees it.
    pub(super) fn of(view: &member::View, data_centre: &ids::DataCentre) -> Self {
        let peers = || view.assignable().filter(|member| member.vm != view.local);
        let near = peers().filter(|member| member.data_centre == *data_centre);
        let peers: Vec<_> = peers().map(|member| member.vm.clone()).collect();
        let watchers = watchers(view);
        let watching = watchers.iter().filter(|vm| **vm != view.local);
        let others: Vec<_> = watching.cloned().collect();
        Self {
            near: near.map(|member| member.vm.clone()).collect(),
            others: if others.is_empty() {
                peers.clone()
            } else {
                others
            },
            peers,
            watchers,
            all: view
                .members
                .iter()
                .map(|member| member.vm.clone())
                .collect(),
        }
    }

    /// The place of `vm` among the watchers; 0 is the keeper.
    pub(super) fn rank(&self, vm: &ids::Vm) -> Option<usize> {
        self.watchers.iter().position(|watcher| watcher == vm)
    }

    /// The VM that gathers reports and writes status.
    pub(super) fn keeper(&self) -> Option<&ids::Vm> {
        self.watchers.first()
    }
}

fn watchers(view: &member::View) -> Vec<ids::Vm> {
    let mut places = collections::BTreeMap::<_, Vec<&ids::Vm>>::new();
    for member in view.assignable() {
        places
            .entry(&member.data_centre)
            .or_default()
            .push(&member.vm);
    }
    let picked = places
        .into_values()
        .flat_map(|vms| rendezvous::pick("document watcher", vms, WATCHERS));
    let count = usize::MAX;
    let ranked = rendezvous::pick("document keeper", picked, count);
    ranked.into_iter().cloned().collect()
}
