//! A layout prepared for searches: shards, replicas and homes by index, with
//! their statistics.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::ids;
use crate::layout;
use crate::query::replica;
use crate::time as clock;

/// Time for which a VM whose link was lost is avoided; by then the membership view
/// shows whether it has left.
const LINK_LOST_AVOID_TIME: time::Duration = time::Duration::from_millis(1000);

/// A layout with the homes of its upstreams, shared by searches.
#[derive(Debug)]
pub struct Plan {
    /// The layout that the plan is built from.
    pub layout: layout::Shared,
    /// The VMs that are a home of any replica.
    pub vms: Vec<Vm>,
    /// The upstreams that hold replicas, in the layout's order.
    pub replicas: Vec<Replica>,
    /// The shards, in the layout's order.
    pub shards: Vec<Shard>,
    /// Indexes of the shards by id.
    positions: collections::HashMap<ids::Shard, u32>,
}

/// A VM that is the home of a replica.
#[derive(Debug)]
pub struct Vm {
    /// Name of the VM.
    pub id: ids::Vm,
    /// State of the link to it.
    pub link: sync::Arc<Link>,
}

/// The state of the link to a VM.
#[derive(Debug, Default)]
pub struct Link {
    /// Moment until which the VM is avoided, in microseconds.
    avoid_until: atomic::AtomicU64,
}

/// An upstream that holds replicas.
#[derive(Debug)]
pub struct Replica {
    /// Name of the upstream.
    pub id: ids::Upstream,
    /// The data centre that it runs in.
    pub data_centre: ids::DataCentre,
    /// Indexes of its homes in [`Plan::vms`], the primary first.
    pub homes: Vec<u32>,
    /// Indexes of its shards in [`Plan::shards`], ascending.
    pub shards: Vec<u32>,
    /// Statistics of the upstream.
    pub stats: sync::Arc<replica::Stats>,
}

/// A shard and its replicas.
#[derive(Debug)]
pub struct Shard {
    /// Name of the shard.
    pub id: ids::Shard,
    /// Indexes of its replicas in [`Plan::replicas`].
    pub replicas: Vec<u32>,
}

/// Provides homes and statistics for a plan.
pub trait Source {
    /// Returns the homes of `upstream`, the primary first.
    fn homes(&mut self, upstream: &layout::Upstream) -> Vec<ids::Vm>;
    /// Returns the statistics of `upstream`.
    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats>;
    /// Returns the state of the link to `vm`.
    fn link(&mut self, vm: &ids::Vm) -> sync::Arc<Link>;
}

impl Link {
    /// Records that the link was lost.
    pub fn record_loss(&self, now: clock::Moment) {
        let until = now + LINK_LOST_AVOID_TIME;
        self.avoid_until
            .fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Returns whether calls should prefer other VMs.
    pub fn avoided(&self, now: clock::Moment) -> bool {
        now.0 < self.avoid_until.load(atomic::Ordering::Relaxed)
    }
}

impl Plan {
    /// Builds the plan of `layout`. Replicas on upstreams that the layout doesn't
    /// list are left out.
    pub fn new(layout: &layout::Shared, source: &mut impl Source) -> Self {
        let mut vms = VmIndexes::default();
        let mut replicas = Vec::with_capacity(layout.upstreams.len());
        let mut upstreams = collections::HashMap::new();
        for upstream in &layout.upstreams {
            let homes = source.homes(upstream);
            upstreams.insert(&upstream.id, replicas.len());
            replicas.push(Replica {
                id: upstream.id.clone(),
                data_centre: upstream.data_centre.clone(),
                homes: homes.into_iter().map(|vm| vms.index_of(vm)).collect(),
                shards: Vec::new(),
                stats: source.stats(&upstream.id),
            });
        }
        let mut shards = Vec::with_capacity(layout.shards.len());
        let mut positions = collections::HashMap::with_capacity(layout.shards.len());
        for shard in &layout.shards {
            let at = shards.len() as u32;
            let known = shard.replicas.iter().filter_map(|id| upstreams.get(id));
            let known: Vec<u32> = known.map(|at| *at as u32).collect();
            for replica in &known {
                replicas[*replica as usize].shards.push(at);
            }
            positions.insert(shard.id.clone(), at);
            shards.push(Shard {
                id: shard.id.clone(),
                replicas: known,
            });
        }
        let vm = |id: ids::Vm| Vm {
            link: source.link(&id),
            id,
        };
        Self {
            layout: layout.clone(),
            vms: vms.names.into_iter().map(vm).collect(),
            replicas,
            shards,
            positions,
        }
    }

    /// Returns the index of the shard `id`.
    pub fn position(&self, id: &ids::Shard) -> Option<u32> {
        self.positions.get(id).copied()
    }

    /// Returns the shard at index `shard`.
    pub fn shard(&self, shard: u32) -> &Shard {
        &self.shards[shard as usize]
    }

    /// Returns the replica at index `replica`.
    pub fn replica(&self, replica: u32) -> &Replica {
        &self.replicas[replica as usize]
    }

    /// Returns the replicas of the shard at index `shard`.
    pub fn replicas_of(&self, shard: u32) -> impl Iterator<Item = &Replica> {
        let numbers = &self.shard(shard).replicas;
        numbers.iter().map(|replica| self.replica(*replica))
    }

    /// Returns whether `replica` has a home that isn't avoided for a lost link.
    pub fn reachable(&self, replica: u32, now: clock::Moment) -> bool {
        let mut homes = self.replica(replica).homes.iter();
        homes.any(|home| !self.vms[*home as usize].link.avoided(now))
    }

    /// Returns the index of the home to call `replica` through: the first that is
    /// neither `avoid` nor avoided for a lost link, else the first that isn't
    /// `avoid`, else the primary.
    pub fn home(&self, replica: u32, avoid: Option<&ids::Vm>, now: clock::Moment) -> Option<u32> {
        let homes = &self.replica(replica).homes;
        let vm = |home: &u32| &self.vms[*home as usize];
        let other = |home: &&u32| Some(&vm(home).id) != avoid;
        let healthy = |home: &&u32| other(home) && !vm(home).link.avoided(now);
        let found = homes
            .iter()
            .find(healthy)
            .or_else(|| homes.iter().find(other));
        found.or(homes.first()).copied()
    }
}

/// Assigns indexes to VMs in the order of their first use.
#[derive(Default)]
struct VmIndexes {
    names: Vec<ids::Vm>,
    known: collections::HashMap<ids::Vm, u32>,
}

impl VmIndexes {
    fn index_of(&mut self, vm: ids::Vm) -> u32 {
        if let Some(known) = self.known.get(&vm) {
            return *known;
        }
        let number = self.names.len() as u32;
        self.known.insert(vm.clone(), number);
        self.names.push(vm);
        number
    }
}
