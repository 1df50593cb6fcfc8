//! A layout made ready for searches: shards and replicas by number, with the
//! VMs that hold the connections and what was seen of each.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::ids;
use crate::layout;
use crate::query::replica;
use crate::time as clock;

/// How long a VM whose link was lost is left alone, until the view shows it.
const LINK_LOST_FOR: time::Duration = time::Duration::from_millis(1000);

/// A layout with its homes; shared by all searches that pin it.
#[derive(Debug)]
pub struct Plan {
    /// The layout.
    pub layout: layout::Shared,
    /// The VMs that are a home of some replica.
    pub vms: Vec<Vm>,
    /// The replicas' upstreams.
    pub replicas: Vec<Replica>,
    /// The shards, in the layout's order.
    pub shards: Vec<Shard>,
    positions: collections::HashMap<ids::Shard, u32>,
}

/// A VM that is a home.
#[derive(Debug)]
pub struct Vm {
    /// Its name.
    pub id: ids::Vm,
    /// What was seen of the link to it.
    pub link: sync::Arc<Link>,
}

/// What was seen of the link to a VM.
#[derive(Debug, Default)]
pub struct Link {
    avoid: atomic::AtomicU64,
}

/// An upstream that holds replicas.
#[derive(Debug)]
pub struct Replica {
    /// Its name.
    pub id: ids::Upstream,
    /// Where it runs.
    pub data_centre: ids::DataCentre,
    /// Its homes in [`Plan::vms`], the primary first.
    pub homes: Vec<u32>,
    /// Its shards in [`Plan::shards`].
    pub shards: Vec<u32>,
    /// What was seen of it.
    pub stats: sync::Arc<replica::Stats>,
}

/// A shard.
#[derive(Debug)]
pub struct Shard {
    /// Its name.
    pub id: ids::Shard,
    /// Its replicas in [`Plan::replicas`].
    pub replicas: Vec<u32>,
}

/// What a plan is made from.
pub trait Source {
    /// The homes of `upstream`, the primary first.
    fn homes(&mut self, upstream: &layout::Upstream) -> Vec<ids::Vm>;
    /// What was seen of `upstream`.
    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats>;
    /// What was seen of the link to `vm`.
    fn link(&mut self, vm: &ids::Vm) -> sync::Arc<Link>;
}

impl Link {
    /// The link was lost.
    pub fn lost(&self, now: clock::Moment) {
        let until = now + LINK_LOST_FOR;
        self.avoid.fetch_max(until.0, atomic::Ordering::Relaxed);
    }

    /// Whether the VM had better be left alone.
    pub fn avoided(&self, now: clock::Moment) -> bool {
        now.0 < self.avoid.load(atomic::Ordering::Relaxed)
    }
}

impl Plan {
    /// Numbers the parts of `layout`. Replicas of upstreams that the layout
    /// doesn't list are left out.
    pub fn new(layout: &layout::Shared, source: &mut impl Source) -> Self {
        let mut vms = Numbers::default();
        let mut replicas = Vec::with_capacity(layout.upstreams.len());
        let mut upstreams = collections::HashMap::new();
        for upstream in &layout.upstreams {
            let homes = source.homes(upstream);
            upstreams.insert(&upstream.id, replicas.len());
            replicas.push(Replica {
                id: upstream.id.clone(),
                data_centre: upstream.data_centre.clone(),
                homes: homes.into_iter().map(|vm| vms.number(vm)).collect(),
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

    /// The number of the shard named `id`.
    pub fn position(&self, id: &ids::Shard) -> Option<u32> {
        self.positions.get(id).copied()
    }

    /// The shard numbered `shard`.
    pub fn shard(&self, shard: u32) -> &Shard {
        &self.shards[shard as usize]
    }

    /// The replica numbered `replica`.
    pub fn replica(&self, replica: u32) -> &Replica {
        &self.replicas[replica as usize]
    }

    /// The replicas of a shard.
    pub fn replicas_of(&self, shard: u32) -> impl Iterator<Item = &Replica> {
        let numbers = &self.shard(shard).replicas;
        numbers.iter().map(|replica| self.replica(*replica))
    }

    /// The home to call `replica` through: the first that is neither `not` nor
    /// avoided, else the first that is not `not`, else the primary.
    pub fn home(&self, replica: u32, not: Option<&ids::Vm>, now: clock::Moment) -> Option<u32> {
        let homes = &self.replica(replica).homes;
        let vm = |home: &u32| &self.vms[*home as usize];
        let other = |home: &&u32| Some(&vm(home).id) != not;
        let well = |home: &&u32| other(home) && !vm(home).link.avoided(now);
        let found = homes.iter().find(well).or_else(|| homes.iter().find(other));
        found.or(homes.first()).copied()
    }
}

#[derive(Default)]
struct Numbers {
    names: Vec<ids::Vm>,
    known: collections::HashMap<ids::Vm, u32>,
}

impl Numbers {
    fn number(&mut self, vm: ids::Vm) -> u32 {
        if let Some(known) = self.known.get(&vm) {
            return *known;
        }
        let number = self.names.len() as u32;
        self.known.insert(vm.clone(), number);
        self.names.push(vm);
        number
    }
}
