//! Lets searches in, or refuses them before anything is sent.

use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::mpsc;

use crate::document;
use crate::ids;
use crate::mesh::message;
use crate::query;
use crate::query::Policy;
use crate::query::admission;
use crate::query::desk;
use crate::query::gather;
use crate::query::plan;
use crate::query::route;
use crate::query::service::Inner;
use crate::query::task;
use crate::slo;

/// Searches of all services that run at once at this VM; beyond it each
/// service keeps to its even share.
const MOST_RUNNING: usize = 4096;
/// Part of the time left that is kept for merging and sending the answer: one
/// part in this, and [`MOST_MARGIN`] at most.
const MARGIN: u32 = 20;
/// Most time kept for merging and sending the answer.
const MOST_MARGIN: time::Duration = time::Duration::from_millis(15);
/// Hedge point while none is measured, as one part of the time left in this.
const UNMEASURED_HEDGE: u32 = 4;
/// Least hedge point.
const LEAST_HEDGE: time::Duration = time::Duration::from_micros(500);
/// Call time while none is measured.
const UNMEASURED_CALL: time::Duration = time::Duration::from_millis(1);
/// When a refused caller may come back.
const COME_BACK: time::Duration = time::Duration::from_millis(500);

impl Inner {
    pub(super) fn admit(
        self: &sync::Arc<Self>,
        search: query::Search,
    ) -> Result<task::Task, query::Refusal> {
        let started = self.clock.now();
        let in_force = self.in_force(&search.service)?;
        let document = in_force.document.clone();
        let desk = self.desk(&search.service, &document.budgets);
        let plan = self.plan_of(&desk, &in_force);
        let asked = asked(&plan, search.shards.as_deref())?;
        let time_left = search.time_left.unwrap_or(document.deadline);
        let time_left = time_left.min(document.max_deadline);
        let typical = desk.fleet.typical().unwrap_or(UNMEASURED_CALL);
        if time_left <= typical {
            let message = format!("a call takes {typical:?}; give more than {time_left:?}");
            return Err(query::Refusal::not_run(query::Code::Deadline, message));
        }
        let body = body(&search)?;
        self.enter(&desk, document.limits.searches)?;
        let margin = (time_left / MARGIN).min(MOST_MARGIN);
        let fingerprint = ids::Fingerprint::of(&search.service, &body);
        let ask = task::Ask {
            request: search.request,
            service: search.service,
            body,
            fingerprint,
            deadline: started + (time_left - margin),
            promised: started + time_left,
            started,
        };
        let (sender, inbox) = mpsc::unbounded_channel();
        let number = self.numbers.fetch_add(1, atomic::Ordering::Relaxed);
        let hedge_after = desk.fleet.hedge_after();
        let setup = gather::Setup {
            request: ask.request.clone(),
            fingerprint,
            limit: search.limit as usize,
            deadline: ask.deadline,
            soft: gather::Soft::of(&document, asked.len(), started),
            subset: search.shards.is_some(),
            canary: self.canary(&ask, &document.limits, asked.len()),
            hedge_after: hedge_after
                .unwrap_or(time_left / UNMEASURED_HEDGE)
                .max(LEAST_HEDGE),
            hedge_last: hedge_last(&document.budgets, asked.len()),
            typical,
            policy: self.config.policy,
            base: route::Route::base(number),
            seed: number ^ started.0 ^ fingerprint.0,
        };
        desk.fleet.earn(asked.len());
        self.route.add(number, sender.clone());
        Ok(task::Task {
            owner: self.clone(),
            gather: gather::Gather::new(setup, plan, asked, desk.fleet.clone()),
            desk,
            document,
            ask,
            number,
            inbox,
            sender,
            trial: None,
            sign: admission::Sign::Free,
        })
    }

    fn in_force(&self, service: &ids::Service) -> Result<document::InForce, query::Refusal> {
        let known = self.catalog.get(service);
        let live = known.filter(|in_force| !in_force.document.retired);
        live.ok_or_else(|| {
            let message = format!("no service {service} with a document and a layout is in force");
            query::Refusal::not_run(query::Code::NotFound, message)
        })
    }

    fn canary(&self, ask: &task::Ask, limits: &document::Limits, width: usize) -> bool {
        let wide = width >= limits.canary_width as usize;
        let guarded = self.config.policy != Policy::Direct;
        wide && guarded && !self.book.completed_recently(&ask.service, ask.fingerprint)
    }

    /// Takes a place among the running searches. One service's storm fills its
    /// own share, and beyond the VM's means no more than its even part.
    fn enter(&self, desk: &desk::Desk, most: u32) -> Result<(), query::Refusal> {
        let total = self.running.load(atomic::Ordering::Relaxed);
        let share = if total < MOST_RUNNING {
            most
        } else {
            let services = read(&self.desks).len().max(1);
            most.min((MOST_RUNNING / services) as u32)
        };
        if !lock(&desk.admission).admit(share) {
            let message = format!(
                "{} has as many searches here as it may; come back later or elsewhere",
                desk.service
            );
            let refusal = query::Refusal::not_run(query::Code::Overloaded, message);
            return Err(refusal.retry_after(COME_BACK));
        }
        self.running.fetch_add(1, atomic::Ordering::Relaxed);
        Ok(())
    }

    /// One search has ended.
    pub(super) fn done(&self, desk: &desk::Desk, sign: admission::Sign) {
        let sign = match self.config.policy {
            Policy::Direct => admission::Sign::Free,
            _ => sign,
        };
        lock(&desk.admission).done(sign, self.clock.now());
        self.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// The present plan of a service; `None` where it has ended.
    pub(super) fn plan(&self, desk: &desk::Desk) -> Option<sync::Arc<plan::Plan>> {
        let in_force = self.catalog.get(&desk.service)?;
        Some(self.plan_of(desk, &in_force))
    }

    fn plan_of(&self, desk: &desk::Desk, in_force: &document::InForce) -> sync::Arc<plan::Plan> {
        let view = self.view.borrow().clone();
        desk.plan(in_force, &view, &self.homes, &self.links)
    }

    fn desk(&self, service: &ids::Service, budgets: &document::Budgets) -> sync::Arc<desk::Desk> {
        if let Some(known) = read(&self.desks).get(service) {
            return known.clone();
        }
        let mut desks = self
            .desks
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let fresh = || sync::Arc::new(desk::Desk::new(service.clone(), budgets));
        desks.entry(service.clone()).or_insert_with(fresh).clone()
    }

    /// A call of a search that has ended lost its connection. It is held
    /// against the request all the same, or a request that takes longer than
    /// its deadline to crash an upstream would never be found out.
    pub(super) fn lost_late(&self, reply: &message::Reply) {
        let Some(ended) = self.route.late(reply.attempt) else {
            return;
        };
        let guarded = self.config.policy != Policy::Direct;
        if let (true, Ok(upstream)) = (guarded, reply.upstream.parse()) {
            self.book.lost(&ended.service, ended.fingerprint, &upstream);
        }
    }

    pub(super) fn refused(&self, service: ids::Service, refusal: &query::Refusal) {
        // A service that isn't there has no objectives, and a caller could make
        // up any number of names.
        if refusal.code == query::Code::NotFound {
            return;
        }
        self.figures.refused(&service, refusal.code);
        self.slo.record(&slo::Event {
            service,
            in_time: false,
            complete: false,
            refused: true,
            missing: Vec::new(),
            first_attempts: 0,
            extra_attempts: 0,
        });
    }
}

/// Half of what the budget earns with `asked` shards: the other half is left
/// for calls that reach their hedge point before.
fn hedge_last(budgets: &document::Budgets, asked: usize) -> usize {
    (budgets.hedge.get() * asked as f64 / 2.0) as usize
}

/// The numbers of the shards asked, each once.
fn asked(plan: &plan::Plan, named: Option<&[ids::Shard]>) -> Result<Vec<u32>, query::Refusal> {
    let Some(named) = named else {
        return Ok((0..plan.shards.len() as u32).collect());
    };
    let mut asked = Vec::with_capacity(named.len());
    let mut unknown = Vec::new();
    for name in named {
        match plan.position(name) {
            Some(shard) => asked.push(shard),
            None => unknown.push(name.as_str()),
        }
    }
    if !unknown.is_empty() {
        let names = unknown.join(", ");
        let message = format!("layout {} has no shard {names}", plan.layout.version);
        return Err(query::Refusal::not_run(query::Code::NotFound, message));
    }
    asked.sort_unstable();
    asked.dedup();
    Ok(asked)
}

#[derive(serde::Serialize)]
struct Body<'a> {
    query: &'a serde_json::value::RawValue,
    limit: u32,
}

fn body(search: &query::Search) -> Result<bytes::Bytes, query::Refusal> {
    let body = Body {
        query: &search.query,
        limit: search.limit,
    };
    let bytes = serde_json::to_vec(&body).map_err(|error| {
        let message = format!("the query can't be passed on: {error}");
        query::Refusal::not_run(query::Code::BadRequest, message)
    })?;
    Ok(bytes.into())
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}
