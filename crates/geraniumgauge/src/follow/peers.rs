//! The VMs that may be alive, by objects that each refreshes in the store.

use std::collections;
use std::net;
use std::time;

use crate::follow;
use crate::ids;
use crate::rendezvous;
use crate::time as clock;
use crate::timer;

/// How often a VM refreshes its object. Budgets and ranks only need the order
/// of size of the fleet, and need it never to be too small.
const REFRESH: time::Duration = time::Duration::from_secs(60);
/// Pause between the first two lists; it doubles up to [`LIST`], so that VMs
/// that start together soon know each other.
const LIST_FIRST: time::Duration = time::Duration::from_millis(700);
/// Longest pause between lists.
const LIST: time::Duration = time::Duration::from_secs(10);
/// How long an object may stay unchanged before its VM no longer counts.
const EXPIRE: time::Duration = time::Duration::from_secs(200);
/// The duty by which VMs are ranked.
const DUTY: &str = "lookout";

/// A VM as its object in the store tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Its name.
    pub vm: ids::Vm,
    /// Where it takes messages of other VMs.
    pub address: net::SocketAddr,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Cores that it has.
    pub power: f64,
    /// Its object's revision.
    pub revision: ids::Revision,
}

/// The VMs' objects in the store.
#[expect(async_fn_in_trait, reason = "followers run on one thread")]
pub trait Roster {
    /// Writes this VM's object, so that its revision changes.
    ///
    /// # Errors
    /// Where the store doesn't take it.
    async fn announce(&mut self) -> Result<(), follow::Error>;

    /// Every VM. May lag.
    ///
    /// # Errors
    /// Where the store doesn't tell.
    async fn list(&mut self) -> Result<Vec<Peer>, follow::Error>;
}

/// What this VM has seen of the others' objects.
#[derive(Debug)]
pub struct Peers {
    own: ids::Vm,
    seen: collections::BTreeMap<ids::Vm, Seen>,
}

#[derive(Debug, Clone)]
struct Seen {
    peer: Peer,
    since: clock::Moment,
}

/// The VMs that may be alive.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// How many there are, this one included.
    pub vms: usize,
    /// This VM's place among them.
    pub rank: u32,
    /// The others.
    pub others: Vec<Peer>,
}

impl Peers {
    /// Knows of no VM but `own`.
    pub fn new(own: ids::Vm) -> Self {
        Self {
            own,
            seen: collections::BTreeMap::new(),
        }
    }

    /// Takes a list; who may be alive.
    pub fn view(&mut self, listed: Vec<Peer>, now: clock::Moment) -> View {
        let before = std::mem::take(&mut self.seen);
        for peer in listed {
            let known = before.get(&peer.vm);
            let known = known.filter(|known| known.peer.revision == peer.revision);
            let since = known.map_or(now, |known| known.since);
            self.seen.insert(peer.vm.clone(), Seen { peer, since });
        }
        let fresh = |seen: &Seen| now.since(seen.since) < EXPIRE;
        let alive: collections::BTreeMap<&ids::Vm, &Seen> =
            self.seen.iter().filter(|(_, seen)| fresh(seen)).collect();
        let own = rendezvous::weight(DUTY, &self.own);
        let before_own = alive.keys().filter(|vm| rendezvous::weight(DUTY, vm) > own);
        let others = alive.iter().filter(|(vm, _)| **vm != &self.own);
        View {
            vms: alive.len().max(1),
            rank: u32::try_from(before_own.count()).unwrap_or(u32::MAX),
            others: others.map(|(_, seen)| seen.peer.clone()).collect(),
        }
    }

    /// Keeps this VM's object fresh and tells `hear` who may be alive, until
    /// `timer` stops.
    pub async fn run<R: Roster>(
        mut self,
        mut roster: R,
        clock: clock::Clock,
        timer: timer::Service,
        mut hear: impl FnMut(View),
    ) {
        let mut announced: Option<clock::Moment> = None;
        let mut pause = LIST_FIRST;
        loop {
            let now = clock.now();
            if announced.is_none_or(|at| now.since(at) >= REFRESH) {
                match roster.announce().await {
                    Ok(()) => announced = Some(now),
                    Err(error) => log::info!(error:% = error; "VM not announced"),
                }
            }
            match roster.list().await {
                Ok(listed) => {
                    hear(self.view(listed, clock.now()));
                    pause = (pause * 2).min(LIST);
                }
                Err(error) => log::info!(error:% = error; "VMs not listed"),
            }
            if !timer.pause(pause).await {
                return;
            }
        }
    }
}
