//! State of one service on this VM that persists between searches.

use std::sync;

use crate::document;
use crate::home::placement;
use crate::ids;
use crate::layout;
use crate::member;
use crate::query::admission;
use crate::query::links;
use crate::query::plan;
use crate::query::replica;
use crate::query::upstreams;

/// The state of one service.
#[derive(Debug)]
pub(super) struct State {
    pub(super) service: ids::Service,
    pub(super) upstreams: sync::Arc<upstreams::Upstreams>,
    pub(super) admission: sync::Mutex<admission::Limit>,
    plan: sync::Mutex<Option<CachedPlan>>,
}

/// A plan and the inputs that it was built from. The inputs are kept alive, so
/// that comparing their addresses identifies them.
#[derive(Debug)]
struct CachedPlan {
    generation: ids::Generation,
    layout: layout::Shared,
    view: member::SharedView,
    plan: sync::Arc<plan::Plan>,
}

struct Source<'a> {
    state: &'a State,
    view: &'a member::SharedView,
    homes: &'a placement::Cache,
    links: &'a links::Links,
}

impl State {
    pub(super) fn new(service: ids::Service, budgets: &document::Budgets) -> Self {
        Self {
            service,
            upstreams: sync::Arc::new(upstreams::Upstreams::new(budgets)),
            admission: sync::Mutex::default(),
            plan: sync::Mutex::default(),
        }
    }

    /// Returns the plan for the layout in force, rebuilt if the document, the layout
    /// or the membership view has changed.
    pub(super) fn plan(
        &self,
        in_force: &document::InForce,
        view: &member::SharedView,
        homes: &placement::Cache,
        links: &links::Links,
    ) -> sync::Arc<plan::Plan> {
        let mut cached_plan = lock(&self.plan);
        if let Some(cached) = cached_plan
            .as_ref()
            .filter(|cached| cached.is_current(in_force, view))
        {
            return cached.plan.clone();
        }
        let earlier = cached_plan.as_ref().map(|cached| cached.generation);
        if earlier != Some(in_force.generation) {
            self.upstreams.set_budgets(&in_force.document.budgets);
        }
        let source = Source {
            state: self,
            view,
            homes,
            links,
        };
        let plan = sync::Arc::new(plan::Plan::new(&in_force.layout, &mut { source }));
        self.upstreams
            .retain(|upstream| in_force.layout.upstream(upstream).is_some());
        *cached_plan = Some(CachedPlan {
            generation: in_force.generation,
            layout: in_force.layout.clone(),
            view: view.clone(),
            plan: plan.clone(),
        });
        plan
    }
}

impl CachedPlan {
    /// Returns whether the plan was built from these inputs.
    fn is_current(&self, in_force: &document::InForce, view: &member::SharedView) -> bool {
        self.generation == in_force.generation
            && sync::Arc::ptr_eq(&self.layout, &in_force.layout)
            && sync::Arc::ptr_eq(&self.view, view)
    }
}

impl plan::Source for Source<'_> {
    fn homes(&mut self, upstream: &layout::Upstream) -> Vec<ids::Vm> {
        let homes = self.homes.of(self.view, upstream, &self.state.service);
        std::iter::once(homes.primary)
            .chain(homes.standby)
            .collect()
    }

    fn stats(&mut self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        self.state.upstreams.stats(upstream)
    }

    fn link(&mut self, vm: &ids::Vm) -> sync::Arc<plan::Link> {
        self.links.get(vm)
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
