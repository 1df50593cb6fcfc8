//! The entry's part of a registration: whose bucket it is, and what to tell
//! the caller when that VM is slow or lost.

use std::time;

use crate::document;
use crate::ids;
use crate::ledger;
use crate::ledger::key;
use crate::ledger::plan;
use crate::ledger::service;
use crate::ledger::table;
use crate::mesh::message;
use crate::query;
use crate::slo;
use crate::time as clock;

/// When to come back after a refusal for this VM's own load.
const AGAIN: time::Duration = time::Duration::from_millis(500);
/// Part of the time left that is kept for the way back from the claimant.
const WAY_BACK: u32 = 10;
/// Most that is kept for the way back.
const WAY_BACK_MOST: time::Duration = time::Duration::from_millis(50);
/// Percent of the time left after which the entry claims by itself, should the
/// claimant's VM be paused. Safe, since only one of them can create the claim.
const TAKE_OVER: u32 = 60;

/// What a claimant ends with.
pub(super) type Told = Result<Box<serde_json::value::RawValue>, query::Refusal>;

/// How both VMs that were to claim for one registration have ended.
#[derive(Debug, Default)]
struct Ends {
    claimant: Option<Told>,
    own: Option<Told>,
}

impl Ends {
    /// What the caller can be told. That one of them did not run it says
    /// nothing while the other one may: only both together make it true.
    fn take(&mut self) -> Option<Told> {
        let done = |end: &mut Option<Told>| end.take_if(|end| end.is_ok());
        if let Some(told) = done(&mut self.claimant).or_else(|| done(&mut self.own)) {
            return Some(told);
        }
        let (Some(Err(claimant)), Some(Err(own))) = (&self.claimant, &self.own) else {
            return None;
        };
        let told = match claimant.ran {
            query::Ran::Unknown => claimant,
            query::Ran::No => own,
        };
        Some(Err(told.clone()))
    }
}

impl service::Service {
    /// Admits a registration, runs it and counts it.
    pub(super) async fn enter(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        let in_force = self.in_force(&registration.service)?;
        let limit = in_force.document.limits.registrations;
        let Some(_permit) = self.inner.admission.admit(&registration.service, limit) else {
            let text = format!("{limit} registrations of the service run here already");
            let refusal = query::Refusal::not_run(query::Code::Overloaded, text);
            return Err(refusal.retry_after(AGAIN));
        };
        let left = registration.time_left.unwrap_or(in_force.document.deadline);
        let left = left.min(in_force.document.max_deadline);
        let deadline = self.inner.clock.now() + left;
        let told = self.routed(&registration, left, deadline).await;
        self.count(&registration.service, told.is_ok(), deadline);
        Ok(ledger::Done {
            request_id: registration.request,
            outcome: ledger::DONE,
            result: told?,
        })
    }

    pub(super) fn in_force(
        &self,
        service: &ids::Service,
    ) -> Result<document::InForce, query::Refusal> {
        let found = self.inner.catalog.get(service);
        let live = found.filter(|in_force| !in_force.document.retired);
        live.ok_or_else(|| service::unknown_service(service))
    }

    /// Hands the registration to its bucket's VM. Only a frame that may have
    /// left can have been acted upon; without one this VM claims by itself.
    async fn routed(
        &self,
        registration: &ledger::Registration,
        left: time::Duration,
        deadline: clock::Moment,
    ) -> Told {
        let slot = key::slot(&registration.key);
        let claimant = plan::claimant(&registration.service, slot, &self.inner.view.borrow());
        let way_back = (left / WAY_BACK).min(WAY_BACK_MOST);
        let mut register = message::Register {
            attempt: self.attempt().0,
            request: registration.request.to_string(),
            service: registration.service.to_string(),
            key: registration.key.to_string(),
            body: registration.body.clone(),
            time_left_us: clock::micros(left),
        };
        if claimant == self.inner.config.vm {
            return self.claim_for(register).await;
        }
        register.time_left_us = clock::micros(left - way_back);
        let attempt = ids::Attempt(register.attempt);
        let slot = self.inner.handed.wait(attempt, claimant.clone());
        let body = message::Body::Register(register.clone());
        if self.inner.post.send(&claimant, body).is_err() {
            return self.claim_for(register).await;
        }
        self.wait_for_claimant(register, slot, left, deadline).await
    }

    async fn wait_for_claimant(
        &self,
        mut register: message::Register,
        mut slot: table::Slot<message::Registered>,
        left: time::Duration,
        deadline: clock::Moment,
    ) -> Told {
        let patience = left * TAKE_OVER / 100;
        tokio::select! {
            biased;
            answer = slot.answer() => {
                let told = answer.map(told);
                match told {
                    Some(Err(refusal)) if stopping(&refusal) => {
                        let left = self.inner.clock.now().until(deadline);
                        register.time_left_us = clock::micros(left);
                        return self.claim_for(register).await;
                    }
                    Some(told) => return told,
                    None => {}
                }
            }
            _ = self.inner.timer.sleep(patience) => {}
        }
        let left = self.inner.clock.now().until(deadline);
        register.time_left_us = clock::micros(left);
        let own = self.claim_for(register);
        tokio::pin!(own);
        let end = self.inner.timer.sleep(left);
        tokio::pin!(end);
        let mut ends = Ends::default();
        loop {
            tokio::select! {
                biased;
                answer = slot.answer(), if ends.claimant.is_none() => {
                    ends.claimant = Some(answer.map_or_else(|| Err(no_answer()), told));
                }
                own = &mut own, if ends.own.is_none() => ends.own = Some(own),
                _ = &mut end => return Err(no_answer()),
            }
            if let Some(told) = ends.take() {
                return told;
            }
        }
    }

    fn count(&self, service: &ids::Service, done: bool, deadline: clock::Moment) {
        self.inner.slo.record(&slo::Event {
            service: service.clone(),
            in_time: done && self.inner.clock.now() <= deadline,
            complete: done,
            refused: !done,
            missing: Vec::new(),
            first_attempts: 1,
            extra_attempts: 0,
        });
    }
}

/// The claimant is stopping and has not acted on the registration.
fn stopping(refusal: &query::Refusal) -> bool {
    refusal.code == query::Code::Stopping && refusal.ran == query::Ran::No
}

/// The bucket's VM has the registration and doesn't answer. That this VM's own
/// claim came to nothing says nothing about what the other one did or will do:
/// a paused VM acts when it wakes. So the answer is never that it did not run.
fn no_answer() -> query::Refusal {
    let text = "the VM that claims for the key has not answered; read the key back";
    query::Refusal::unknown(query::Code::Deadline, text)
}

/// What the claimant's frame means.
fn told(registered: message::Registered) -> Told {
    if registered.done {
        let text = String::from_utf8_lossy(&registered.body).into_owned();
        let result = serde_json::value::RawValue::from_string(text);
        return result.map_err(|_| {
            let text = "it is done, but its result can't be read";
            query::Refusal::unknown(query::Code::Internal, text)
        });
    }
    let code = registered.code.parse().unwrap_or(query::Code::Internal);
    let refusal = if registered.not_run {
        query::Refusal::not_run(code, registered.message)
    } else {
        query::Refusal::unknown(code, registered.message)
    };
    Err(match registered.retry_after_ms {
        0 => refusal,
        millis => refusal.retry_after(time::Duration::from_millis(millis)),
    })
}
