//! What this entry keeps for one service between searches.

use std::sync;

use crate::document;
use crate::home::placement;
use crate::ids;
use crate::layout;
use crate::member;
use crate::query::admission;
use crate::query::fleet;
use crate::query::links;
use crate::query::plan;
use crate::query::replica;

/// One service's state at this entry.
#[derive(Debug)]
pub(super) struct Desk {
    pub(super) service: ids::Service,
    pub(super) fleet: sync::Arc<fleet::Fleet>,
    pub(super) admission: sync::Mutex<admission::Limit>,
    plan: sync::Mutex<Option<Ready>>,
}

/// The present plan and what it was made from; these are kept alive, so that
/// their addresses name them only.
#[derive(Debug)]
struct Ready {
    generation: ids::Generation,
    layout: layout::Shared,
    view: member::SharedView,
    plan: sync::Arc<plan::Plan>,
}

struct Source<'a> {
    desk: &'a Desk,
    view: &'a member::SharedView,
    homes: &'a placement::Cache,
    links: &'a links::Links,
}

impl Desk {
    pub(super) fn new(service: ids::Service, budgets: &document::Budgets) -> Self {
        Self {
            service,
            fleet: sync::Arc::new(fleet::Fleet::new(budgets)),
            admission: sync::Mutex::default(),
            plan: sync::Mutex::default(),
        }
    }

    /// The plan of what is in force, made anew where layout or view changed.
    pub(super) fn plan(
        &self,
        in_force: &document::InForce,
        view: &member::SharedView,
        homes: &placement::Cache,
        links: &links::Links,
    ) -> sync::Arc<plan::Plan> {
        let mut ready = lock(&self.plan);
        if let Some(held) = ready.as_ref().filter(|held| held.fits(in_force, view)) {
            return held.plan.clone();
        }
        let earlier = ready.as_ref().map(|held| held.generation);
        if earlier != Some(in_force.generation) {
            self.fleet.set(&in_force.document.budgets);
        }
        let source = Source {
            desk: self,
            view,
            homes,
            links,
        };
        let plan = sync::Arc::new(plan::Plan::new(&in_force.layout, &mut { source }));
        self.fleet
            .retain(|upstream| in_force.layout.upstream(upstream).is_some());
        *ready = Some(Ready {
            generation: in_force.generation,
            layout: in_force.layout.clone(),
            view: view.clone(),
            plan: plan.clone(),
        });
        plan
    }
}

impl Ready {
    fn fits(&self, in_force: &document::InForce, view: &member::SharedView) -> bool {
        self.generation == in_force.generation
            && sync::Arc::ptr_eq(&self.layout, &in_force.layout)
            && sync::Arc::ptr_eq(&self.view, view)
    }
}

impl plan::Source for Source<'_> {
    fn homes(&mut self, upstream: &layout::Upstream) -> Vec<ids::Vm> {
        let homes = self.homes.of(self.view, upstream, &self.desk.service);
        std::iter::once(homes.primary)
            .chain(homes.standby)
            .collect()
    }

    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        self.desk.fleet.stats(upstream)
    }

    fn link(&mut self, vm: &ids::Vm) -> sync::Arc<plan::Link> {
        self.links.get(vm)
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
