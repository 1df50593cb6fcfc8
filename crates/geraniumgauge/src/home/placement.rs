//! Assignment of upstreams to their home VMs.
//!
//! A pure function of the membership view: VMs with the same view agree. The
//! upstreams of a service in one data centre are hashed into
//! [`GROUPS_PER_DATA_CENTRE`] groups, and all upstreams of a group have the same
//! homes. A wide query thus reaches many upstreams through few homes, and no VM is
//! home to a whole service.

use std::collections;
use std::sync;

use crate::ids;
use crate::layout;
use crate::member;
use crate::rendezvous;

/// Number of groups into which a service's upstreams in one data centre are hashed.
/// Bounds the frames that a wide query sends to each data centre.
pub const GROUPS_PER_DATA_CENTRE: u64 = 8;

/// The primary and the standby home of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Homes {
    /// Holds the upstream's slots; every call goes here first.
    pub primary: ids::Vm,
    /// Keeps a warm connection, for hedges and for when the primary is suspect;
    /// `None` if there is only one VM.
    pub standby: Option<ids::Vm>,
}

/// Role of a VM for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Holds the upstream's slots.
    Primary,
    /// Holds one warm connection and a small share of the slots.
    Standby,
    /// Would become the standby if the primary or the standby left. Serves calls of
    /// VMs whose view already has it as a home, within a small share of the slots.
    Reserve,
    /// One of many VMs that call the upstream without coordination; only returned by
    /// [`Cache::direct`].
    Direct,
}

/// Returns the role of `vm` for `upstream` in `view`; `None` if it has none.
pub fn role(
    view: &member::View,
    upstream: &layout::Upstream,
    service: &ids::Service,
    vm: &ids::Vm,
) -> Option<Role> {
    let member = view.assignable().find(|member| member.vm == *vm)?;
    let group_key = group_key(upstream, service);
    let rank = |member: &member::Member| rank(member, &upstream.data_centre, &group_key);
    let own = (rank(member), vm);
    let ahead = view
        .assignable()
        .filter(|member| (rank(member), &member.vm) > own);
    match ahead.take(3).count() {
        0 => Some(Role::Primary),
        1 => Some(Role::Standby),
        2 => Some(Role::Reserve),
        _ => None,
    }
}

fn rank(member: &member::Member, data_centre: &ids::DataCentre, group_key: &str) -> (bool, u64) {
    let near = member.data_centre == *data_centre;
    (near, rendezvous::weight(group_key, &member.vm))
}

impl Homes {
    /// Returns the homes of `upstream` in `view`: VMs of its own data centre first,
    /// then by rendezvous weight. Members that are leaving are skipped. If no member
    /// is left, the primary is this VM itself.
    pub fn of(view: &member::View, upstream: &layout::Upstream, service: &ids::Service) -> Self {
        Self::of_group(view, &upstream.data_centre, &group_key(upstream, service))
    }

    fn of_group(view: &member::View, data_centre: &ids::DataCentre, group_key: &str) -> Self {
        let mut first = None;
        let mut second = None;
        for member in view.assignable() {
            let ranked = Some((rank(member, data_centre, group_key), &member.vm));
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
}

fn group_number(upstream: &ids::Upstream) -> u64 {
    xxhash_rust::xxh3::xxh3_64(upstream.as_str().as_bytes()) % GROUPS_PER_DATA_CENTRE
}

fn group_key(upstream: &layout::Upstream, service: &ids::Service) -> String {
    let data_centre = &upstream.data_centre;
    let group = group_number(&upstream.id);
    format!("home/{service}/{data_centre}/{group}")
}

/// Caches the homes and roles of one view; clones share the cache. Without it, a query
/// of 240 shards over 2,200 VMs would hash half a million names.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    cached: sync::Arc<sync::Mutex<Cached>>,
    direct: bool,
}

#[derive(Debug, Default)]
struct Cached {
    /// Held so that its address can't be reused by another view.
    view: Option<member::SharedView>,
    homes: collections::HashMap<Group, Homes>,
    roles: collections::HashMap<Group, Option<Role>>,
}

/// Service, data centre and group number; its upstreams have the same homes.
type Group = (ids::Service, ids::DataCentre, u64);

fn group(upstream: &layout::Upstream, service: &ids::Service) -> Group {
    let group = group_number(&upstream.id);
    (service.clone(), upstream.data_centre.clone(), group)
}

impl Cached {
    /// Clears the cache if it belongs to another view.
    fn set_view(&mut self, view: &member::SharedView) {
        let current = self.view.as_ref();
        if current.is_some_and(|current| sync::Arc::ptr_eq(current, view)) {
            return;
        }
        self.view = Some(view.clone());
        self.homes.clear();
        self.roles.clear();
    }
}

impl Cache {
    /// Creates a cache in which every VM is the only home of every upstream: it calls
    /// them itself and doesn't know what other VMs send them. Used only as a baseline
    /// to compare homes against.
    pub fn direct() -> Self {
        Self {
            direct: true,
            ..Self::default()
        }
    }

    /// Returns the same as [`Homes::of`].
    pub fn of(
        &self,
        view: &member::SharedView,
        upstream: &layout::Upstream,
        service: &ids::Service,
    ) -> Homes {
        if self.direct {
            return Homes {
                primary: view.local.clone(),
                standby: None,
            };
        }
        let mut cached = self.cached(view);
        let homes = cached.homes.entry(group(upstream, service));
        homes
            .or_insert_with(|| Homes::of(view, upstream, service))
            .clone()
    }

    /// Returns the same as [`role`]. `vm` must be the same in all calls.
    pub fn role(
        &self,
        view: &member::SharedView,
        upstream: &layout::Upstream,
        service: &ids::Service,
        vm: &ids::Vm,
    ) -> Option<Role> {
        if self.direct {
            return Some(Role::Direct);
        }
        let mut cached = self.cached(view);
        let cached = cached.roles.entry(group(upstream, service));
        *cached.or_insert_with(|| role(view, upstream, service, vm))
    }

    fn cached(&self, view: &member::SharedView) -> sync::MutexGuard<'_, Cached> {
        let cached = self.cached.lock();
        let mut cached = cached.unwrap_or_else(sync::PoisonError::into_inner);
        cached.set_view(view);
        cached
    }
}

#[cfg(test)]
#[path = "tests/placement.rs"]
mod tests;
