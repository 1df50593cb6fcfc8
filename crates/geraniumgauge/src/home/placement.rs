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
    /// Would be the standby if one of the two went. It serves calls of VMs
    /// that already see it as a home, within a small allowance.
    Next,
    /// One of many that call the upstream without knowing of each other; only
    /// of [`Cache::direct`].
    Direct,
}

/// What `vm` is to `upstream` by `view`; `None` where it is no home of it.
pub fn role(
    view: &member::View,
    upstream: &layout::Upstream,
    service: &ids::Service,
    vm: &ids::Vm,
) -> Option<Role> {
    let own = view.assignable().find(|member| member.vm == *vm)?;
    let duty = duty(upstream, service);
    let rank = |member: &member::Member| rank(member, &upstream.data_centre, &duty);
    let own = (rank(own), vm);
    let ahead = view
        .assignable()
        .filter(|member| (rank(member), &member.vm) > own);
    match ahead.take(3).count() {
        0 => Some(Role::Primary),
        1 => Some(Role::Standby),
        2 => Some(Role::Next),
        _ => None,
    }
}

fn rank(member: &member::Member, data_centre: &ids::DataCentre, duty: &str) -> (bool, u64) {
    let near = member.data_centre == *data_centre;
    (near, rendezvous::weight(duty, &member.vm))
}

impl Homes {
    /// The homes of `upstream` by `view`: VMs of its own data centre first,
    /// then by rendezvous weight. Members that are leaving are no homes. A view
    /// without any holder gives this VM itself.
    pub fn of(view: &member::View, upstream: &layout::Upstream, service: &ids::Service) -> Self {
        Self::of_group(view, &upstream.data_centre, &duty(upstream, service))
    }

    fn of_group(view: &member::View, data_centre: &ids::DataCentre, duty: &str) -> Self {
        let mut first = None;
        let mut second = None;
        for member in view.assignable() {
            let ranked = Some((rank(member, data_centre, duty), &member.vm));
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
    direct: bool,
}

#[derive(Debug, Default)]
struct Known {
    /// Kept alive, so that its address names this view only.
    view: Option<member::SharedView>,
    homes: collections::HashMap<Place, Homes>,
    roles: collections::HashMap<Place, Option<Role>>,
}

/// Upstreams of a place have the same homes.
type Place = (ids::Service, ids::DataCentre, u64);

fn place(upstream: &layout::Upstream, service: &ids::Service) -> Place {
    let group = neighbourhood(&upstream.id);
    (service.clone(), upstream.data_centre.clone(), group)
}

impl Known {
    /// Forgets what it knows of another view.
    fn follow(&mut self, view: &member::SharedView) {
        let seen = self.view.as_ref();
        if seen.is_some_and(|seen| sync::Arc::ptr_eq(seen, view)) {
            return;
        }
        self.view = Some(view.clone());
        self.homes.clear();
        self.roles.clear();
    }
}

impl Cache {
    /// A cache by which every VM is the one home of every upstream: it calls
    /// them itself and shares no knowledge of their slots with the others. Only
    /// a baseline to measure homes against.
    pub fn direct() -> Self {
        Self {
            direct: true,
            ..Self::default()
        }
    }

    /// As [`Homes::of`].
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
        let mut known = self.known(view);
        let homes = known.homes.entry(place(upstream, service));
        homes
            .or_insert_with(|| Homes::of(view, upstream, service))
            .clone()
    }

    /// As [`role`], for one and the same `vm`.
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
        let mut known = self.known(view);
        let known = known.roles.entry(place(upstream, service));
        *known.or_insert_with(|| role(view, upstream, service, vm))
    }

    fn known(&self, view: &member::SharedView) -> sync::MutexGuard<'_, Known> {
        let known = self.known.lock();
        let mut known = known.unwrap_or_else(sync::PoisonError::into_inner);
        known.follow(view);
        known
    }
}

#[cfg(test)]
#[path = "tests/placement.rs"]
mod tests;
