//! The claimant of a registration: creates the claim, sends the record, stores
//! its outcome and replies to the coordinator.

use std::time;

use crate::document;
use crate::home;
use crate::ids;
use crate::ledger::change;
use crate::ledger::coordinator;
use crate::ledger::head;
use crate::ledger::key;
use crate::ledger::pages;
use crate::ledger::plan;
use crate::ledger::send;
use crate::ledger::service;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::time as clock;

/// Percent of the time left that creating the claim may take; the rest is left
/// for running the record.
const CLAIM_TIME_PERCENT: u32 = 70;
/// Maximum time that the reply is delayed until the outcome is stored.
const MAX_RECORDING_DELAY: time::Duration = time::Duration::from_millis(100);
/// Time after the deadline in which a home's reply is still accepted.
const LATE_REPLY_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Timeout for looking up a key whose record may not run now.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Delay suggested to the caller when the store is unavailable.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);
/// Delay suggested to the caller when the key's registration is still running.
const RUNNING_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// One registration at the claimant.
struct Job {
    service: ids::Service,
    key: ids::Key,
    request: ids::Request,
    plan: plan::Plan,
    entry: head::Entry,
    deadline: clock::Moment,
    trial: Option<quarantine::Trial>,
}

/// The reason why no claim is created.
enum Unclaimed {
    /// The registration is refused.
    Refused(query::Refusal),
    /// The key has a claim already.
    Recorded(head::Entry),
}

impl From<query::Refusal> for Unclaimed {
    fn from(refusal: query::Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl service::Service {
    /// Claims and runs a registration, whether this VM or another one coordinates it.
    pub(super) async fn claim_for(&self, register: message::Register) -> coordinator::Outcome {
        let left = time::Duration::from_micros(register.time_left_us);
        let job = match self.prepare(register, left).await {
            Ok(job) => job,
            Err(Unclaimed::Refused(refusal)) => return Err(refusal),
            Err(Unclaimed::Recorded(entry)) => return self.repeat(entry),
        };
        let bucket = self.bucket(&job.service, key::bucket(&job.key));
        let within = left * CLAIM_TIME_PERCENT / 100;
        match bucket.claim(&job.key, &job.entry, within).await {
            change::Verdict::Granted => self.run_claimed(job).await,
            verdict => self.not_granted(&job.key, verdict).await,
        }
    }

    /// Prepares the claim of a registration, and makes all checks that can refuse it
    /// before the claim.
    async fn prepare(
        &self,
        register: message::Register,
        left: time::Duration,
    ) -> Result<Job, Unclaimed> {
        let service: ids::Service = register.service.parse().map_err(invalid)?;
        let key: ids::Key = register.key.parse().map_err(invalid)?;
        let request: ids::Request = register.request.parse().map_err(invalid)?;
        let deadline = self.inner.clock.now() + left;
        let in_force = self.in_force(&service)?;
        self.check_age(&key, &in_force)?;
        let plan = plan::Plan::new(&service, &key, &register.body, &in_force)?;
        let upstream = plan.replicas.first().ok_or_else(no_replica)?.clone();
        let admitted = self.inner.admission.admit(&service, plan.fingerprint).await;
        let trial = match admitted {
            Ok(trial) => trial,
            Err(refusal) => return Err(self.find_claim(&service, &key, refusal).await),
        };
        self.earn_retry(&service, in_force.document.budgets.retry);
        let config = &self.inner.config;
        let token = head::Token::new(&config.vm, config.incarnation, self.new_attempt());
        let entry = head::Entry {
            token,
            request: request.clone(),
            fingerprint: plan.fingerprint,
            since: self.inner.clock.wall(),
            upstream,
            state: head::State::Claimed,
            result: None,
        };
        Ok(Job {
            service,
            key,
            request,
            plan,
            entry,
            deadline,
            trial,
        })
    }

    /// Looks up an existing claim of a key whose record was not admitted. The record
    /// may have run under this key before it crashed its upstream; if the caller
    /// were answered that it did not run, it would register it under a new key.
    async fn find_claim(
        &self,
        service: &ids::Service,
        key: &ids::Key,
        refusal: query::Refusal,
    ) -> Unclaimed {
        let bucket = self.bucket(service, key::bucket(key));
        match bucket.look_up(key, LOOKUP_TIMEOUT).await {
            change::Verdict::Taken(entry) if entry.state != head::State::NotRun => {
                Unclaimed::Recorded(entry)
            }
            _ => Unclaimed::Refused(refusal),
        }
    }

    /// Refuses timed keys that are in the future or outside the window. For the latter
    /// this is only an early check: the floor of the bucket's head prevents them from
    /// running again.
    fn check_age(
        &self,
        key: &ids::Key,
        in_force: &document::InForce,
    ) -> Result<(), query::Refusal> {
        let Some(time) = key::time(key) else {
            return Ok(());
        };
        let wall = self.inner.clock.wall();
        if time > wall + pages::MAX_CLOCK_SKEW {
            let text = "the key's time is in the future; check the clock that generated it";
            return Err(query::Refusal::not_run(query::Code::BadRequest, text));
        }
        if wall.since(time) > in_force.document.ledger_window {
            return Err(expired());
        }
        Ok(())
    }

    async fn not_granted(&self, key: &ids::Key, verdict: change::Verdict) -> coordinator::Outcome {
        match verdict {
            change::Verdict::Taken(entry) => self.repeat(entry),
            change::Verdict::Paged(page) => match self.entry(key, &page).await {
                Ok(Some(entry)) => self.repeat(entry),
                Ok(None) => Err(result_deleted()),
                Err(reason) => Err(query::Refusal::unknown(query::Code::Unavailable, reason)),
            },
            change::Verdict::BodyMismatch => {
                let text = "the key was used for another record; use a new key for a new record";
                Err(query::Refusal::not_run(query::Code::Conflict, text))
            }
            change::Verdict::Expired => Err(expired()),
            change::Verdict::Full => {
                let text =
                    "too many claims of the service have an unknown outcome; see `unsettled`";
                Err(query::Refusal::not_run(query::Code::Unavailable, text))
            }
            change::Verdict::Failed(reason) => {
                let refusal = query::Refusal::not_run(query::Code::Unavailable, reason);
                Err(refusal.retry_after(STORE_RETRY_DELAY))
            }
            _ => Err(query::Refusal::not_run(
                query::Code::Internal,
                "the bucket returned an unexpected verdict on the claim",
            )),
        }
    }

    /// Answers a repeated registration from the recorded entry.
    fn repeat(&self, entry: head::Entry) -> coordinator::Outcome {
        match (entry.state, entry.result) {
            (head::State::Done, Some(result)) => {
                self.inner.instruments.repeat("done");
                Ok(result)
            }
            (head::State::Done, None) => Err(result_deleted()),
            (head::State::Claimed, _) => {
                self.inner.instruments.repeat("claimed");
                let text =
                    "the registration is running or its outcome is unknown; read the key's state";
                let refusal = query::Refusal::unknown(query::Code::Conflict, text);
                Err(refusal.retry_after(RUNNING_RETRY_DELAY))
            }
            (head::State::NotRun, _) => {
                self.inner.instruments.repeat("not_run");
                let text = "the claim was abandoned before the record was sent";
                Err(query::Refusal::not_run(query::Code::Unavailable, text))
            }
        }
    }

    /// Runs a claimed record in its own task, and waits for it until the deadline.
    async fn run_claimed(&self, job: Job) -> coordinator::Outcome {
        self.inner.instruments.claim();
        let (sender, outcome) = tokio::sync::oneshot::channel();
        let left = self.inner.clock.now().until(job.deadline);
        let this = self.clone();
        let running = self.count_running();
        tokio::spawn(async move {
            let _running = running;
            this.send(job, sender).await;
        });
        tokio::select! {
            biased;
            Ok(outcome) = outcome => outcome,
            _ = self.inner.timer.sleep(left) => {
                self.inner.instruments.unsettled();
                let text = "the deadline passed while the record ran; read the key's state";
                Err(query::Refusal::unknown(query::Code::Deadline, text))
            }
        }
    }

    /// Sends the record under its claim, stores the outcome, then reports it.
    async fn send(&self, mut job: Job, sender: tokio::sync::oneshot::Sender<coordinator::Outcome>) {
        if let Some(trial) = &mut job.trial {
            trial.begin();
        }
        let (delivery, end) = self.deliver(&job).await;
        let upstream = delivery.upstream().clone();
        if let Some(trial) = job.trial.take() {
            trial.finish(delivery.trial_end(&end), Some(&upstream));
        }
        let moved = job.entry.upstream != upstream;
        let entry = head::Entry {
            upstream,
            ..job.entry
        };
        let bucket = self.bucket(&job.service, key::bucket(&job.key));
        let (entry, outcome) = match end {
            send::End::Done(body) => {
                let result = result(&body);
                let kept = (result.get().len() <= head::MAX_RESULT_BYTES).then(|| result.clone());
                let entry = head::Entry {
                    state: head::State::Done,
                    result: kept,
                    ..entry
                };
                (entry, Ok(result))
            }
            send::End::NotRun(refusal) => {
                let state = head::State::NotRun;
                (head::Entry { state, ..entry }, Err(refusal))
            }
            send::End::Unknown(refusal) => {
                self.inner.instruments.unsettled();
                if moved {
                    drop(bucket.settle(&job.key, entry));
                }
                let _ = sender.send(Err(refusal));
                return;
            }
        };
        let recorded = bucket.settle(&job.key, entry);
        tokio::select! {
            biased;
            _ = recorded => {}
            _ = self.inner.timer.sleep(MAX_RECORDING_DELAY) => {}
        }
        let _ = sender.send(outcome);
    }

    async fn deliver(&self, job: &Job) -> (send::Delivery, send::End) {
        let mut replicas = job.plan.replicas.iter().cloned();
        let first = replicas.next().unwrap_or(job.entry.upstream.clone());
        // A suspect runs in one isolated trial, so no other replica is tried.
        let others = if job.trial.is_some() { 0 } else { usize::MAX };
        let mut delivery = send::Delivery::new(first, replicas.take(others), job.deadline);
        let mut action = delivery.start(self.inner.clock.now());
        loop {
            match action {
                send::Action::End(end) => return (delivery, end),
                send::Action::Send(upstream, home) => {
                    let event = self.attempt_at(job, &upstream, home).await;
                    let spend_retry = || self.spend_retry(&job.service);
                    action = delivery.on(event, self.inner.clock.now(), spend_retry);
                }
            }
        }
    }

    /// Makes one attempt: sends the record to a home of the upstream and waits for
    /// its reply.
    async fn attempt_at(
        &self,
        job: &Job,
        upstream: &ids::Upstream,
        which: send::Home,
    ) -> send::Event {
        let Some(home) = self.home(&job.service, upstream, which) else {
            return send::Event::Unsent;
        };
        let attempt = self.new_attempt();
        let left = self.inner.clock.now().until(job.deadline);
        let record = message::Record {
            attempt: attempt.0,
            request: job.request.to_string(),
            service: job.service.to_string(),
            upstream: upstream.to_string(),
            shard: job.plan.shard.to_string(),
            key: job.key.to_string(),
            body: job.plan.body.clone(),
            fingerprint: job.plan.fingerprint.0,
            time_left_us: clock::micros(left),
            layout: job.plan.layout.0,
            trial: job.trial.is_some(),
        };
        let mut waiter = self.inner.sent_records.wait(attempt, home.clone());
        if self
            .inner
            .sender
            .send(&home, message::Body::Record(record))
            .is_err()
        {
            return send::Event::Unsent;
        }
        tokio::select! {
            biased;
            reply = waiter.reply() => match reply {
                Some(reply) => send::Event::Reply(reply.outcome(), reply.body),
                None => send::Event::Lost,
            },
            _ = self.inner.timer.sleep(left + LATE_REPLY_WINDOW) => send::Event::Lost,
        }
    }

    fn home(
        &self,
        service: &ids::Service,
        upstream: &ids::Upstream,
        which: send::Home,
    ) -> Option<ids::Vm> {
        let in_force = self.inner.catalog.get(service)?;
        let upstream = in_force.layout.upstream(upstream)?;
        let homes = home::placement::Homes::of(&self.inner.view.borrow(), upstream, service);
        match which {
            send::Home::Primary => Some(homes.primary),
            send::Home::Standby => homes.standby,
        }
    }
}

/// Converts the upstream's result to JSON; other text becomes a JSON string.
fn result(body: &[u8]) -> Box<serde_json::value::RawValue> {
    let text = String::from_utf8_lossy(body).into_owned();
    serde_json::value::RawValue::from_string(text.clone())
        .or_else(|_| serde_json::value::to_raw_value(&text))
        .unwrap_or_else(|_| serde_json::value::RawValue::NULL.to_owned())
}

fn invalid(error: ids::Error) -> query::Refusal {
    query::Refusal::not_run(query::Code::BadRequest, error.to_string())
}

fn no_replica() -> query::Refusal {
    let text = "the shard has no replica";
    query::Refusal::not_run(query::Code::Unavailable, text)
}

/// Refuses a key outside the window. Whether a request with it ran before is no
/// longer known.
fn expired() -> query::Refusal {
    let text = "the key is older than the service's ledger window, so it is not run now; \
                whether it ran before is no longer known";
    query::Refusal::unknown(query::Code::Conflict, text)
}

fn result_deleted() -> query::Refusal {
    let text = "the key's registration is done, but its result is no longer kept";
    query::Refusal::unknown(query::Code::Conflict, text)
}
