//! Admits searches, or refuses them before any call is sent.

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
use crate::query::gather;
use crate::query::plan;
use crate::query::router;
use crate::query::service::Inner;
use crate::query::state;
use crate::query::task;
use crate::slo;

/// Running searches of all services on this VM from which each service is limited
/// to an equal share.
const MAX_RUNNING: usize = 4096;
/// The time left divided by this is reserved for merging and sending the answer,
/// up to [`MAX_ANSWER_MARGIN`].
const ANSWER_MARGIN_DIVISOR: u32 = 20;
/// Maximum time reserved for merging and sending the answer.
const MAX_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(15);
/// Until call times are measured, `hedge_after` is the time left divided by this.
const DEFAULT_HEDGE_DIVISOR: u32 = 4;
/// Minimum of `hedge_after`.
const MIN_HEDGE_AFTER: time::Duration = time::Duration::from_micros(500);
/// Typical call time until one is measured.
const DEFAULT_CALL_TIME: time::Duration = time::Duration::from_millis(1);
/// Delay after which a refused caller may retry.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

impl Inner {
    /// Validates a search and reserves capacity for it. The returned task runs it.
    pub(super) fn admit(
        self: &sync::Arc<Self>,
        search: query::Search,
    ) -> Result<task::Task, query::Refusal> {
        let started = self.clock.now();
        let in_force = self.in_force(&search.service)?;
        let document = in_force.document.clone();
        let state = self.service_state(&search.service, &document.budgets);
        let plan = self.plan_of(&state, &in_force);
        let requested = requested_shards(&plan, search.shards.as_deref())?;
        let time_left = search.time_left.unwrap_or(document.deadline);
        let time_left = time_left.min(document.max_deadline);
        let call_time = state.upstreams.call_time().unwrap_or(DEFAULT_CALL_TIME);
        if time_left <= call_time {
            let text = format!("a shard call takes {call_time:?}; allow more than {time_left:?}");
            return Err(query::Refusal::not_run(query::Code::Deadline, text));
        }
        let body = body(&search)?;
        self.reserve(&state, document.limits.searches)?;
        let margin = (time_left / ANSWER_MARGIN_DIVISOR).min(MAX_ANSWER_MARGIN);
        let fingerprint = ids::Fingerprint::of(&search.service, &body);
        let context = task::Context {
            request: search.request,
            service: search.service,
            body,
            fingerprint,
            deadline: started + (time_left - margin),
            answer_due: started + time_left,
            started,
        };
        let (sender, inbox) = mpsc::unbounded_channel();
        let number = self.next_search.fetch_add(1, atomic::Ordering::Relaxed);
        let hedge_after = state.upstreams.hedge_after();
        let setup = gather::Setup {
            request: context.request.clone(),
            fingerprint,
            limit: search.limit as usize,
            deadline: context.deadline,
            soft_deadline: gather::SoftDeadline::of(&document, requested.len(), started),
            subset: search.shards.is_some(),
            canary: self.canary(&context, &document.limits, requested.len()),
            hedge_after: hedge_after
                .unwrap_or(time_left / DEFAULT_HEDGE_DIVISOR)
                .max(MIN_HEDGE_AFTER),
            early_hedge_shards: early_hedge_shards(&document.budgets, requested.len()),
            typical_call_time: call_time,
            policy: self.config.policy,
            first_attempt: router::Router::first_attempt(number),
            seed: number ^ started.0 ^ fingerprint.0,
        };
        state.upstreams.earn(requested.len());
        self.router.add(number, sender.clone());
        Ok(task::Task {
            owner: self.clone(),
            gather: gather::Gather::new(setup, plan, requested, state.upstreams.clone()),
            state,
            document,
            context,
            number,
            inbox,
            sender,
            trial: task::Trial::default(),
            load: admission::Load::Free,
        })
    }

    /// Returns the document and layout of a service that isn't retired.
    fn in_force(&self, service: &ids::Service) -> Result<document::InForce, query::Refusal> {
        let known = self.catalog.get(service);
        let live = known.filter(|in_force| !in_force.document.retired);
        live.ok_or_else(|| {
            let message = format!("no service {service} with a document and a layout is in force");
            query::Refusal::not_run(query::Code::NotFound, message)
        })
    }

    /// Returns whether a search of `width` shards needs a canary: it is wide, and
    /// its query hasn't completed recently.
    fn canary(&self, context: &task::Context, limits: &document::Limits, width: usize) -> bool {
        let wide = width >= limits.canary_width as usize;
        let guarded = self.config.policy != Policy::Direct;
        wide && guarded
            && !self
                .quarantine
                .completed_recently(&context.service, context.fingerprint)
    }

    /// Reserves capacity for one search. A service that receives too many searches
    /// fills only its own limit and, once the VM is full, an equal share of it.
    fn reserve(&self, state: &state::State, max: u32) -> Result<(), query::Refusal> {
        let total = self.running.load(atomic::Ordering::Relaxed);
        let share = if total < MAX_RUNNING {
            max
        } else {
            let services = read(&self.states).len().max(1);
            max.min((MAX_RUNNING / services) as u32)
        };
        if !lock(&state.admission).admit(share) {
            let message = format!(
                "service {} has reached its limit of running searches on this VM; \
                 retry later or at another VM",
                state.service
            );
            let refusal = query::Refusal::not_run(query::Code::Overloaded, message);
            return Err(refusal.retry_after(RETRY_DELAY));
        }
        self.running.fetch_add(1, atomic::Ordering::Relaxed);
        Ok(())
    }

    /// Releases the capacity of a search that has ended.
    pub(super) fn release(&self, state: &state::State, load: admission::Load) {
        let load = match self.config.policy {
            Policy::Direct => admission::Load::Free,
            _ => load,
        };
        lock(&state.admission).finish(load, self.clock.now());
        self.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Returns the present plan of a service; `None` if it no longer exists.
    pub(super) fn plan(&self, state: &state::State) -> Option<sync::Arc<plan::Plan>> {
        let in_force = self.catalog.get(&state.service)?;
        Some(self.plan_of(state, &in_force))
    }

    fn plan_of(&self, state: &state::State, in_force: &document::InForce) -> sync::Arc<plan::Plan> {
        let view = self.view.borrow().clone();
        state.plan(in_force, &view, &self.homes, &self.links)
    }

    /// Returns the state of a service, if it has been searched.
    pub(super) fn known_state(&self, service: &ids::Service) -> Option<sync::Arc<state::State>> {
        read(&self.states).get(service).cloned()
    }

    /// Returns the state of a service, created at its first search.
    fn service_state(
        &self,
        service: &ids::Service,
        budgets: &document::Budgets,
    ) -> sync::Arc<state::State> {
        if let Some(known) = self.known_state(service) {
            return known;
        }
        let mut states = self
            .states
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let new_state = || sync::Arc::new(state::State::new(service.clone(), budgets));
        states
            .entry(service.clone())
            .or_insert_with(new_state)
            .clone()
    }

    /// Reports a lost connection of a call whose search has ended. Otherwise a
    /// request that takes longer than its deadline to crash an upstream would
    /// never become suspect.
    pub(super) fn report_late_loss(&self, reply: &message::Reply) {
        let Some(ended) = self.router.find_ended(reply.attempt) else {
            return;
        };
        log::debug!(
            fingerprint = ended.fingerprint.0,
            attempt = reply.attempt;
            "learns after a search's end of a connection to {} lost during a call", reply.upstream
        );
        let guarded = self.config.policy != Policy::Direct;
        if let (true, Ok(upstream)) = (guarded, reply.upstream.parse()) {
            self.quarantine
                .concurrent_run_lost(&ended.service, ended.fingerprint, &upstream);
        }
    }

    /// Records a refused search in the metrics and the service's objectives.
    pub(super) fn refused(&self, service: ids::Service, refusal: &query::Refusal) {
        // A service that doesn't exist has no objectives, and recording made-up
        // names would let a caller create any number of metric series.
        if refusal.code == query::Code::NotFound {
            return;
        }
        self.instruments.refused(&service, refusal.code);
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

/// Returns the number of last shards to hedge early: half of what the hedge
/// budget earns with `requested` shards. The other half is left for calls that
/// have already run for `hedge_after`.
fn early_hedge_shards(budgets: &document::Budgets, requested: usize) -> usize {
    (budgets.hedge.get() * requested as f64 / 2.0) as usize
}

/// Returns the plan's indexes of the requested shards, without duplicates.
fn requested_shards(
    plan: &plan::Plan,
    named: Option<&[ids::Shard]>,
) -> Result<Vec<u32>, query::Refusal> {
    let Some(named) = named else {
        return Ok((0..plan.shards.len() as u32).collect());
    };
    let mut requested = Vec::with_capacity(named.len());
    let mut unknown = Vec::new();
    for name in named {
        match plan.position(name) {
            Some(shard) => requested.push(shard),
            None => unknown.push(name.as_str()),
        }
    }
    if !unknown.is_empty() {
        let names = unknown.join(", ");
        let message = format!("layout {} has no shard {names}", plan.layout.version);
        return Err(query::Refusal::not_run(query::Code::NotFound, message));
    }
    requested.sort_unstable();
    requested.dedup();
    Ok(requested)
}

/// The request body that upstreams receive.
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
        let message = format!("the query can't be encoded as JSON: {error}");
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
