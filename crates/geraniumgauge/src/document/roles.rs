//! Assigns the roles of watchers and keeper by the membership view.

use std::collections;

use crate::ids;
use crate::member;
use crate::rendezvous;

/// Watchers in each data centre. With two, the loss of one causes no delay. Each
/// data centre has its own, so that it receives updates also while partitioned
/// from the others.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// The watchers, the keeper and the peers that can be asked for documents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Roles {
    /// Every assignable member except this VM.
    pub(super) peers: Vec<ids::Vm>,
    /// The peers in this VM's data centre.
    pub(super) local_peers: Vec<ids::Vm>,
    /// The VMs that watch the store; the first is the keeper, the others are standbys.
    pub(super) watchers: Vec<ids::Vm>,
    /// The watchers except this VM; all peers if there is no other watcher.
    pub(super) other_watchers: Vec<ids::Vm>,
    /// Every member, including this VM.
    pub(super) members: Vec<ids::Vm>,
}

impl Roles {
    /// Assigns the roles in `view` for a VM in `data_centre`.
    pub(super) fn of(view: &member::View, data_centre: &ids::DataCentre) -> Self {
        let peers = || view.assignable().filter(|member| member.vm != view.local);
        let local_peers = peers().filter(|member| member.data_centre == *data_centre);
        let peers: Vec<_> = peers().map(|member| member.vm.clone()).collect();
        let watchers = watchers(view);
        let watching = watchers.iter().filter(|vm| **vm != view.local);
        let other_watchers: Vec<_> = watching.cloned().collect();
        Self {
            local_peers: local_peers.map(|member| member.vm.clone()).collect(),
            other_watchers: if other_watchers.is_empty() {
                peers.clone()
            } else {
                other_watchers
            },
            peers,
            watchers,
            members: view
                .members
                .iter()
                .map(|member| member.vm.clone())
                .collect(),
        }
    }

    /// Returns the index of `vm` among the watchers; 0 is the keeper.
    pub(super) fn rank(&self, vm: &ids::Vm) -> Option<usize> {
        self.watchers.iter().position(|watcher| watcher == vm)
    }

    /// Returns the VM that collects reports and writes status.
    pub(super) fn keeper(&self) -> Option<&ids::Vm> {
        self.watchers.first()
    }
}

fn watchers(view: &member::View) -> Vec<ids::Vm> {
    let mut by_data_centre = collections::BTreeMap::<_, Vec<&ids::Vm>>::new();
    for member in view.assignable() {
        by_data_centre
            .entry(&member.data_centre)
            .or_default()
            .push(&member.vm);
    }
    let picked = by_data_centre
        .into_values()
        .flat_map(|vms| rendezvous::pick("document watcher", vms, WATCHERS_PER_DATA_CENTRE));
    let count = usize::MAX;
    let ranked = rendezvous::pick("document keeper", picked, count);
    ranked.into_iter().cloned().collect()
}
