//! The claimant's part of a registration: claim, send, record, tell.

use std::time;

use crate::document;
use crate::home;
use crate::ids;
use crate::ledger::change;
use crate::ledger::entry;
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

/// Percent of the time left that the claim may take; the rest is for the work.
const CLAIM_PART: u32 = 70;
/// How long the caller waits for the outcome to be recorded before it is told.
const RECORD: time::Duration = time::Duration::from_millis(100);
/// How long after the deadline a home may still tell how a record ended.
const LATE: time::Duration = time::Duration::from_secs(5);
/// Longest look at the record of a key that may not run now.
const LOOK: time::Duration = time::Duration::from_millis(300);
/// When to come back after a refusal for the store's sake.
const STORE_AGAIN: time::Duration = time::Duration::from_secs(1);
/// When to ask for the end of a registration that is being run.
const RUNNING_AGAIN: time::Duration = time::Duration::from_millis(500);

/// One registration at its claimant.
struct Job {
    service: ids::Service,
    key: ids::Key,
    request: ids::Request,
    plan: plan::Plan,
    entry: head::Entry,
    deadline: clock::Moment,
    trial: Option<quarantine::Trial>,
}

/// Why no claim is made.
enum Unfit {
    Refused(query::Refusal),
    /// The key has a claim already.
    Recorded(head::Entry),
}

impl From<query::Refusal> for Unfit {
    fn from(refusal: query::Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl service::Service {
    /// Claims and runs a registration of a bucket, here or for another entry.
    pub(super) async fn claim_for(&self, register: message::Register) -> entry::Told {
        let left = time::Duration::from_micros(register.time_left_us);
        let job = match self.job(register, left).await {
            Ok(job) => job,
            Err(Unfit::Refused(refusal)) => return Err(refusal),
            Err(Unfit::Recorded(entry)) => return self.repeat(entry),
        };
        let bucket = self.bucket(&job.service, key::slot(&job.key));
        let within = left * CLAIM_PART / 100;
        match bucket.claim(&job.key, &job.entry, within).await {
            change::Verdict::Granted => self.granted(job).await,
            verdict => self.not_granted(&job.key, verdict).await,
        }
    }

    /// Everything that can be refused before the claim.
    async fn job(&self, register: message::Register, left: time::Duration) -> Result<Job, Unfit> {
        let service: ids::Service = register.service.parse().map_err(unreadable)?;
        let key: ids::Key = register.key.parse().map_err(unreadable)?;
        let request: ids::Request = register.request.parse().map_err(unreadable)?;
        let deadline = self.inner.clock.now() + left;
        let in_force = self.in_force(&service)?;
        self.check_age(&key, &in_force)?;
        let plan = plan::Plan::new(&service, &key, &register.body, &in_force)?;
        let upstream = plan.replicas.first().ok_or_else(bare)?.clone();
        let admitted = self.inner.book.admit(&service, plan.fingerprint).await;
        let trial = match admitted {
            Ok(trial) => trial,
            Err(refusal) => return Err(self.recorded(&service, &key, refusal).await),
        };
        self.earn(&service, in_force.document.budgets.retry);
        let config = &self.inner.config;
        let token = head::Token::new(&config.vm, config.incarnation, self.attempt());
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

    /// A record that crashed its upstream may have run under this key. Refused
    /// as not run, its caller would register it under a new key; so a claim that
    /// there is goes first.
    async fn recorded(
        &self,
        service: &ids::Service,
        key: &ids::Key,
        refusal: query::Refusal,
    ) -> Unfit {
        let bucket = self.bucket(service, key::slot(key));
        match bucket.look(key, LOOK).await {
            change::Verdict::Taken(entry) if entry.state != head::State::NotRun => {
                Unfit::Recorded(entry)
            }
            _ => Unfit::Refused(refusal),
        }
    }

    /// Refuses timed keys that are out of their window. The bucket's own floor
    /// is what keeps them from running again; this only tells the caller early.
    fn check_age(
        &self,
        key: &ids::Key,
        in_force: &document::InForce,
    ) -> Result<(), query::Refusal> {
        let Some(time) = key::time(key) else {
            return Ok(());
        };
        let wall = self.inner.clock.wall();
        if time > wall + pages::SKEW {
            let text = "the key's time lies in the future; check the clock that made it";
            return Err(query::Refusal::not_run(query::Code::BadRequest, text));
        }
        if wall.since(time) > in_force.document.ledger_window {
            return Err(expired());
        }
        Ok(())
    }

    async fn not_granted(&self, key: &ids::Key, verdict: change::Verdict) -> entry::Told {
        match verdict {
            change::Verdict::Taken(entry) => self.repeat(entry),
            change::Verdict::Paged(page) => match self.entry(key, &page).await {
                Ok(Some(entry)) => self.repeat(entry),
                Ok(None) => Err(forgotten()),
                Err(reason) => Err(query::Refusal::unknown(query::Code::Unavailable, reason)),
            },
            change::Verdict::Different => {
                let text = "the key stands for another record; use a new key for a new record";
                Err(query::Refusal::not_run(query::Code::Conflict, text))
            }
            change::Verdict::Expired => Err(expired()),
            change::Verdict::Full => {
                let text = "too many claims of the service have no known end; see `unsettled`";
                Err(query::Refusal::not_run(query::Code::Unavailable, text))
            }
            change::Verdict::Failed(reason) => {
                let refusal = query::Refusal::not_run(query::Code::Unavailable, reason);
                Err(refusal.retry_after(STORE_AGAIN))
            }
            _ => Err(query::Refusal::not_run(
                query::Code::Internal,
                "the claim came to no end",
            )),
        }
    }

    /// Answers from the record.
    fn repeat(&self, entry: head::Entry) -> entry::Told {
        match (entry.state, entry.result) {
            (head::State::Done, Some(result)) => {
                self.inner.meter.repeat("done");
                Ok(result)
            }
            (head::State::Done, None) => Err(forgotten()),
            (head::State::Claimed, _) => {
                self.inner.meter.repeat("claimed");
                let text = "the key is being run, or its end isn't known; read the key back";
                let refusal = query::Refusal::unknown(query::Code::Conflict, text);
                Err(refusal.retry_after(RUNNING_AGAIN))
            }
            (head::State::NotRun, _) => {
                self.inner.meter.repeat("not_run");
                let text = "the claim was given up before it was sent";
                Err(query::Refusal::not_run(query::Code::Unavailable, text))
            }
        }
    }

    async fn granted(&self, job: Job) -> entry::Told {
        self.inner.meter.claim();
        let (tell, told) = tokio::sync::oneshot::channel();
        let left = self.inner.clock.now().until(job.deadline);
        let this = self.clone();
        let running = self.run();
        tokio::spawn(async move {
            let _running = running;
            this.send(job, tell).await;
        });
        tokio::select! {
            biased;
            Ok(told) = told => told,
            _ = self.inner.timer.sleep(left) => {
                self.inner.meter.unsettled();
                let text = "the deadline passed while it ran; read the key back";
                Err(query::Refusal::unknown(query::Code::Deadline, text))
            }
        }
    }

    /// Sends the record under its claim, records the outcome, then tells.
    async fn send(&self, mut job: Job, tell: tokio::sync::oneshot::Sender<entry::Told>) {
        if let Some(trial) = &mut job.trial {
            trial.begin();
        }
        let (sending, end) = self.attempts(&job).await;
        let upstream = sending.upstream().clone();
        if let Some(trial) = job.trial.take() {
            trial.finish(sending.trial_end(&end), Some(&upstream));
        }
        let moved = job.entry.upstream != upstream;
        let entry = head::Entry {
            upstream,
            ..job.entry
        };
        let bucket = self.bucket(&job.service, key::slot(&job.key));
        let (entry, told) = match end {
            send::End::Done(body) => {
                let result = result(&body);
                let kept = (result.get().len() <= head::MAX_RESULT).then(|| result.clone());
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
                self.inner.meter.unsettled();
                if moved {
                    drop(bucket.settle(&job.key, entry));
                }
                let _ = tell.send(Err(refusal));
                return;
            }
        };
        let recorded = bucket.settle(&job.key, entry);
        tokio::select! {
            biased;
            _ = recorded => {}
            _ = self.inner.timer.sleep(RECORD) => {}
        }
        let _ = tell.send(told);
    }

    async fn attempts(&self, job: &Job) -> (send::Sending, send::End) {
        let mut replicas = job.plan.replicas.iter().cloned();
        let first = replicas.next().unwrap_or(job.entry.upstream.clone());
        // A suspect runs as one lone trial: no other replica is tried.
        let others = if job.trial.is_some() { 0 } else { usize::MAX };
        let mut sending = send::Sending::new(first, replicas.take(others), job.deadline);
        let mut action = sending.start(self.inner.clock.now());
        loop {
            match action {
                send::Action::End(end) => return (sending, end),
                send::Action::Send(upstream, home) => {
                    let event = self.attempt_at(job, &upstream, home).await;
                    let pay = || self.pay(&job.service);
                    action = sending.on(event, self.inner.clock.now(), pay);
                }
            }
        }
    }

    /// One attempt: hands the record to a home of the upstream and waits.
    async fn attempt_at(
        &self,
        job: &Job,
        upstream: &ids::Upstream,
        which: send::Home,
    ) -> send::Event {
        let Some(home) = self.home(&job.service, upstream, which) else {
            return send::Event::Unsent;
        };
        let attempt = self.attempt();
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
        let mut slot = self.inner.records.wait(attempt, home.clone());
        if self
            .inner
            .post
            .send(&home, message::Body::Record(record))
            .is_err()
        {
            return send::Event::Unsent;
        }
        tokio::select! {
            biased;
            reply = slot.answer() => match reply {
                Some(reply) => send::Event::Reply(reply.outcome(), reply.body),
                None => send::Event::Lost,
            },
            _ = self.inner.timer.sleep(left + LATE) => send::Event::Lost,
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

/// The upstream's result; what is no JSON is kept as a JSON string.
fn result(body: &[u8]) -> Box<serde_json::value::RawValue> {
    let text = String::from_utf8_lossy(body).into_owned();
    serde_json::value::RawValue::from_string(text.clone())
        .or_else(|_| serde_json::value::to_raw_value(&text))
        .unwrap_or_else(|_| serde_json::value::RawValue::NULL.to_owned())
}

fn unreadable(error: ids::Error) -> query::Refusal {
    query::Refusal::not_run(query::Code::BadRequest, error.to_string())
}

fn bare() -> query::Refusal {
    let text = "the shard has no replica";
    query::Refusal::not_run(query::Code::Unavailable, text)
}

/// Whether a request with this key ran before isn't known any more.
fn expired() -> query::Refusal {
    let text = "the key is older than the service's ledger window, so it is not run now; \
                whether it ran before is no longer known";
    query::Refusal::unknown(query::Code::Conflict, text)
}

fn forgotten() -> query::Refusal {
    let text = "the key is done, but its result is no longer kept";
    query::Refusal::unknown(query::Code::Conflict, text)
}
