//! An immutable picture of the membership.

use std::net;
use std::sync;

use crate::ids;

/// What this VM holds of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub enum State {
    /// It answers, and takes duties.
    #[display("alive")]
    Alive,
    /// It has missed probes; it keeps its duties until it is taken as dead.
    #[display("suspect")]
    Suspect,
    /// It has announced its stop; it finishes what it has and takes nothing new.
    #[display("leaving")]
    Leaving,
}

/// One VM of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub vm: ids::Vm,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Where its mesh listens: TCP for links, UDP for probes, the same port.
    pub address: net::SocketAddr,
    /// What this VM holds of it.
    pub state: State,
}

/// All VMs that are not dead, ordered by name, this VM among them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This VM.
    pub local: ids::Vm,
    /// The members, ordered by name.
    pub members: Vec<Member>,
}

/// A view shared between tasks.
pub type Shared = sync::Arc<View>;

impl View {
    /// A view of `members`, which it orders by name.
    pub fn new(local: ids::Vm, mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        Self { local, members }
    }

    /// The member named `vm`.
    pub fn get(&self, vm: &ids::Vm) -> Option<&Member> {
        let at = self.members.binary_search_by(|member| member.vm.cmp(vm));
        at.ok().map(|at| &self.members[at])
    }

    /// Members that take duties: alive or suspect, not leaving.
    pub fn holders(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.state != State::Leaving)
    }
}
