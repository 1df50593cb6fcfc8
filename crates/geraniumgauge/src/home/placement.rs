//! Which VMs are the homes of an upstream.
//!
//! A pure function of the membership view: VMs with the same view agree. The
//! upstreams of a service in one data centre are spread over
//! [`NEIGHBOURHOODS`] and placed by neighbourhood, so a wide query reaches
//! many upstreams through few homes, while no VM is home to a whole service.

use std::collections;
use std::sync;

use crate::ids;
use crate::layout;
use crate::member;
use crate::rendezvous;

/// Groups into which a service's upstreams in one data centre are spread; each
/// group has its own homes. Bounds the frames of a wide query to this many for
/// each data centre.
pub const NEIGHBOURHOODS: u64 = 8;

/// The two homes of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Homes {
    /// Knows the upstream's slots; every call goes here first.
    pub primary: ids::Vm,
    /// Keeps a warm connection, for hedges and for when the primary is
    /// suspect; `None` where there is one VM only.
    pub standby: Option<ids::Vm>,
}

/// What a VM is to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Holds the upstream's slots.
    Primary,
    /// Holds one warm connection and a small allowance.
    Standby,
}

impl Homes {
    /// The homes of `upstream` by `view`: VMs of its own data centre first,
    /// then by rendezvous weight. Members that are leaving are no homes. A view
    /// without any holder gives this VM itself.
    pub fn of(view: &member::View, upstream: &layout::Upstream, service: &ids::Service) -> Self {
        Self::of_group(view, &upstream.data_centre, &duty(upstream, service))
    }

    fn of_group(view: &member::View, data_centre: &ids::DataCentre, duty: &str) -> Self {
        let rank = |member: &member::Member| {
            let near = member.data_centre == *data_centre;
            (near, rendezvous::weight(duty, &member.vm))
        };
        let mut first = None;
        let mut second = None;
        for member in view.holders() {
            let ranked = Some((rank(member), &member.vm));
            if ranked > first {
                second = first;
                first = ranked;
            } else if ranked > second {
                second = ranked;
            }
        }
        Self {
            primary: first.map_or(&view.local, |(_, vm)| vm).clone(),
            standby: second.map(|(_, vm)| vm.clone()),
        }
    }

    /// What `vm` is to the upstream; `None` where it is no home of it.
    pub fn role(&self, vm: &ids::Vm) -> Option<Role> {
        if self.primary == *vm {
            return Some(Role::Primary);
        }
        (self.standby.as_ref() == Some(vm)).then_some(Role::Standby)
    }
}

fn neighbourhood(upstream: &ids::Upstream) -> u64 {
    xxhash_rust::xxh3::xxh3_64(upstream.as_str().as_bytes()) % NEIGHBOURHOODS
}

fn duty(upstream: &layout::Upstream, service: &ids::Service) -> String {
    let data_centre = &upstream.data_centre;
    let group = neighbourhood(&upstream.id);
    format!("home/{service}/{data_centre}/{group}")
}

/// Remembers the homes of one view. A query of 240 shards over 2,200 VMs would
/// otherwise hash half a million names. Clones share what is remembered.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    known: sync::Arc<sync::Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    /// Kept alive, so that its address names this view only.
    view: Option<member::Shared>,
    homes: collections::HashMap<(ids::Service, ids::DataCentre, u64), Homes>,
}

impl Cache {
    /// As [`Homes::of`].
    pub fn of(
        &self,
        view: &member::Shared,
        upstream: &layout::Upstream,
        service: &ids::Service,
    ) -> Homes {
        let mut known = self
            .known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let same = known
            .view
            .as_ref()
            .is_some_and(|seen| sync::Arc::ptr_eq(seen, view));
        if !same {
            known.view = Some(view.clone());
            known.homes.clear();
        }
        let group = neighbourhood(&upstream.id);
        let key = (service.clone(), upstream.data_centre.clone(), group);
        let homes = known.homes.entry(key);
        homes
            .or_insert_with(|| Homes::of(view, upstream, service))
            .clone()
    }
}

#[cfg(test)]
#[path = "tests/placement.rs"]
mod tests;
