//! The coordinator of a registration: passes it to the VM that claims for its
//! bucket (the claimant), and answers the caller if that VM is slow or lost.

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

/// Delay suggested to the caller when this VM is overloaded.
const OVERLOADED_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// The time left, divided by this, is reserved for the claimant's reply.
const REPLY_TIME_DIVISOR: u32 = 10;
/// Maximum time reserved for the claimant's reply.
const MAX_REPLY_TIME: time::Duration = time::Duration::from_millis(50);
/// Percent of the time left after which the coordinator claims by itself, in case
/// the claimant is paused. Safe, since only one of them can create the claim.
const TAKEOVER_PERCENT: u32 = 60;

/// The outcome of a registration: the upstream's result, or a refusal.
pub(super) type Outcome = Result<Box<serde_json::value::RawValue>, query::Refusal>;

/// Outcomes of one registration at the claimant and at the coordinator itself.
#[derive(Debug, Default)]
struct Outcomes {
    claimant: Option<Outcome>,
    own: Option<Outcome>,
}

impl Outcomes {
    /// Returns the outcome to report to the caller, once it is certain. A single
    /// refusal is not: the other VM may still run the record.
    fn take(&mut self) -> Option<Outcome> {
        let done = |end: &mut Option<Outcome>| end.take_if(|end| end.is_ok());
        if let Some(outcome) = done(&mut self.claimant).or_else(|| done(&mut self.own)) {
            return Some(outcome);
        }
        let (Some(Err(claimant)), Some(Err(own))) = (&self.claimant, &self.own) else {
            return None;
        };
        let outcome = match claimant.ran {
            query::Ran::Unknown => claimant,
            query::Ran::No => own,
        };
        Some(Err(outcome.clone()))
    }
}

impl service::Service {
    /// Admits a registration, runs it and records it for the service's SLO.
    pub(super) async fn coordinate(
        &self,
        registration: ledger::Registration,
    ) -> Result<ledger::Done, query::Refusal> {
        let in_force = self.in_force(&registration.service)?;
        let limit = in_force.document.limits.registrations;
        let Some(_permit) = self.inner.limiter.admit(&registration.service, limit) else {
            let text =
                format!("{limit} registrations of the service are already running on this VM");
            let refusal = query::Refusal::not_run(query::Code::Overloaded, text);
            return Err(refusal.retry_after(OVERLOADED_RETRY_DELAY));
        };
        let left = registration.time_left.unwrap_or(in_force.document.deadline);
        let left = left.min(in_force.document.max_deadline);
        let deadline = self.inner.clock.now() + left;
        let outcome = self.run_at_claimant(&registration, left, deadline).await;
        self.record_slo_event(&registration.service, outcome.is_ok(), deadline);
        Ok(ledger::Done {
            request_id: registration.request,
            outcome: ledger::DONE,
            result: outcome?,
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

    /// Passes the registration to the claimant. If the frame can't be sent, the
    /// claimant can't act on it, and this VM claims by itself.
    async fn run_at_claimant(
        &self,
        registration: &ledger::Registration,
        left: time::Duration,
        deadline: clock::Moment,
    ) -> Outcome {
        let bucket = key::bucket(&registration.key);
        let claimant = plan::claimant(&registration.service, bucket, &self.inner.view.borrow());
        let reply_time = (left / REPLY_TIME_DIVISOR).min(MAX_REPLY_TIME);
        let mut register = message::Register {
            attempt: self.new_attempt().0,
            request: registration.request.to_string(),
            service: registration.service.to_string(),
            key: registration.key.to_string(),
            body: registration.body.clone(),
            time_left_us: clock::micros(left),
        };
        if claimant == self.inner.config.vm {
            return self.claim_for(register).await;
        }
        register.time_left_us = clock::micros(left - reply_time);
        let attempt = ids::Attempt(register.attempt);
        let waiter = self.inner.remote_claims.wait(attempt, claimant.clone());
        let body = message::Body::Register(register.clone());
        if self.inner.sender.send(&claimant, body).is_err() {
            return self.claim_for(register).await;
        }
        self.wait_for_claimant(register, waiter, left, deadline)
            .await
    }

    /// Waits for the claimant's reply. Claims by itself if the claimant is stopping,
    /// its link is lost or it takes too long.
    async fn wait_for_claimant(
        &self,
        mut register: message::Register,
        mut waiter: table::Waiter<message::Registered>,
        left: time::Duration,
        deadline: clock::Moment,
    ) -> Outcome {
        let takeover_delay = left * TAKEOVER_PERCENT / 100;
        tokio::select! {
            biased;
            reply = waiter.reply() => {
                let outcome = reply.map(outcome);
                match outcome {
                    Some(Err(refusal)) if stopping(&refusal) => {
                        let left = self.inner.clock.now().until(deadline);
                        register.time_left_us = clock::micros(left);
                        return self.claim_for(register).await;
                    }
                    Some(outcome) => return outcome,
                    None => {}
                }
            }
            _ = self.inner.timer.sleep(takeover_delay) => {}
        }
        let left = self.inner.clock.now().until(deadline);
        register.time_left_us = clock::micros(left);
        let own = self.claim_for(register);
        tokio::pin!(own);
        let end = self.inner.timer.sleep(left);
        tokio::pin!(end);
        let mut outcomes = Outcomes::default();
        loop {
            tokio::select! {
                biased;
                reply = waiter.reply(), if outcomes.claimant.is_none() => {
                    outcomes.claimant = Some(reply.map_or_else(|| Err(no_reply()), outcome));
                }
                own = &mut own, if outcomes.own.is_none() => outcomes.own = Some(own),
                _ = &mut end => return Err(no_reply()),
            }
            if let Some(outcome) = outcomes.take() {
                return outcome;
            }
        }
    }

    fn record_slo_event(&self, service: &ids::Service, done: bool, deadline: clock::Moment) {
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

/// Returns whether the claimant is stopping and has not acted on the registration.
fn stopping(refusal: &query::Refusal) -> bool {
    refusal.code == query::Code::Stopping && refusal.ran == query::Ran::No
}

/// The claimant has the registration and doesn't reply. It may have run the
/// record, or may run it after a pause, whatever became of the coordinator's own
/// claim. The caller must therefore never be answered that it did not run.
fn no_reply() -> query::Refusal {
    let text = "the VM that handles this key did not reply; read the key's state";
    query::Refusal::unknown(query::Code::Deadline, text)
}

/// Converts the claimant's reply to an outcome.
fn outcome(registered: message::Registered) -> Outcome {
    if registered.done {
        let text = String::from_utf8_lossy(&registered.body).into_owned();
        let result = serde_json::value::RawValue::from_string(text);
        return result.map_err(|_| {
            let text = "the registration is done, but its result is not valid JSON";
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
