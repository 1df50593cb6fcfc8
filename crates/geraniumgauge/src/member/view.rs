//! Immutable snapshots of the membership.

use std::net;
use std::sync;

use crate::ids;

/// State of a member as this VM sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub enum State {
    /// The VM answers probes and takes work.
    #[display("alive")]
    Alive,
    /// The VM has not answered a probe. It keeps its work until it is declared dead.
    #[display("suspect")]
    Suspect,
    /// The VM is leaving: it finishes its work and takes no more.
    #[display("leaving")]
    Leaving,
}

/// A member of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Incarnation of the VM: a number that rises with each start.
    pub incarnation: ids::Incarnation,
    /// Data centre of the VM.
    pub data_centre: ids::DataCentre,
    /// Address of its mesh (TCP) and its probes (UDP, same port).
    pub address: net::SocketAddr,
    /// State of the VM.
    pub state: State,
}

/// All VMs that are not dead, this VM included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Name of this VM.
    pub local: ids::Vm,
    /// The members, ordered by name.
    pub members: Vec<Member>,
}

/// A view shared between tasks.
pub type SharedView = sync::Arc<View>;

impl View {
    /// Creates a view of `members` and sorts them by name.
    pub fn new(local: ids::Vm, mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        Self { local, members }
    }

    /// Returns the member named `vm`.
    pub fn get(&self, vm: &ids::Vm) -> Option<&Member> {
        let at = self.members.binary_search_by(|member| member.vm.cmp(vm));
        at.ok().map(|at| &self.members[at])
    }

    /// Returns the members that take work: alive or suspect, not leaving.
    pub fn assignable(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.state != State::Leaving)
    }
}
