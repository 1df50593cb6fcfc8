//! The keeper's task: checks services, accepts their texts and writes status.
//!
//! Every watcher runs the task. The keeper checks a changed service at once, and
//! each standby a little later than the one before it, so the failure of a keeper
//! delays an edit by seconds and loses none.

use std::collections;
use std::mem;
use std::sync;
use std::time;

use tokio::sync as channel;

use crate::document;
use crate::document::keeper;
use crate::document::load;
use crate::document::service;
use crate::document::status;
use crate::ids;
use crate::store;
use crate::time as clock;

/// Additional delay of each standby before it checks a service.
const STANDBY_DELAY: time::Duration = time::Duration::from_millis(1500);
/// Time between two checks of the services that are due.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Delay before a service is checked again after a conflict or a lost reply.
const CONFLICT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Delay before the store is called again after it failed.
const STORE_FAILURE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Time after which an unchanged status is written again.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Shortest time between two writes of one service's status, whose counts change
/// many times a second while a version is distributed.
const MIN_STATUS_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Shortest time between two writes of the VMs' reports.
const MIN_REPORTED_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Maximum number of status objects written in one tick.
const MAX_WRITES_PER_TICK: usize = 2;

/// Starts the task, which checks the services received from `checks` and those
/// whose text changes.
pub(super) fn start(
    inner: &sync::Arc<service::Inner>,
    checks: channel::mpsc::Receiver<ids::Service>,
) {
    let (updates, texts) = channel::mpsc::channel(8);
    tokio::spawn(load::follow(
        inner.clone(),
        document::DOCUMENT_PREFIX,
        updates,
    ));
    let worker = Worker {
        inner: inner.clone(),
        due: collections::BTreeMap::new(),
        verdicts: collections::BTreeMap::new(),
        written: collections::BTreeMap::new(),
        last_reported: None,
        is_keeper: false,
        no_writes_until: clock::Moment::default(),
    };
    tokio::spawn(worker.run(texts, checks));
}

struct Worker {
    inner: sync::Arc<service::Inner>,
    /// Time at which each service is checked.
    due: collections::BTreeMap<ids::Service, clock::Moment>,
    /// Verdict of each service's last check.
    verdicts: collections::BTreeMap<ids::Service, status::Verdict>,
    /// The status last written for each service, and when.
    written: collections::BTreeMap<ids::Service, (clock::Moment, status::Status)>,
    /// The reports that were last written, and when.
    last_reported: Option<(
        clock::Moment,
        collections::BTreeMap<ids::Vm, status::Report>,
    )>,
    is_keeper: bool,
    /// Time before which no status is written, because the store failed.
    no_writes_until: clock::Moment,
}

impl Worker {
    async fn run(
        mut self,
        mut texts: channel::mpsc::Receiver<load::Update>,
        mut checks: channel::mpsc::Receiver<ids::Service>,
    ) {
        let mut ticks = self.inner.timer.every(TICK_INTERVAL, TICK_INTERVAL);
        loop {
            tokio::select! {
                tick = ticks.tick() => {
                    let Some(()) = tick else { return };
                    self.tick().await;
                }
                Some(update) = texts.recv() => self.update(update),
                Some(service) = checks.recv() => self.schedule(service),
            }
        }
    }

    fn update(&mut self, update: load::Update) {
        match update {
            load::Update::Changed(changes) => {
                let services = changes.iter().filter_map(service_of);
                services.for_each(|(service, _)| self.schedule(service));
            }
            load::Update::Listed(listing) => self.handle_listing(&listing),
        }
    }

    /// Schedules a check of every text that is new to this VM, and of every
    /// service whose text was deleted.
    fn handle_listing(&mut self, listing: &store::Listing) {
        let texts: collections::BTreeMap<_, _> =
            listing.changes.iter().filter_map(service_of).collect();
        for (service, version) in &texts {
            let known = self
                .verdicts
                .get(service)
                .and_then(status::Verdict::version);
            if known != Some(*version) {
                self.schedule(service.clone());
            }
        }
        let held: Vec<_> = self
            .inner
            .with(|spread| spread.held().services().cloned().collect());
        for service in held {
            let recorded = self.verdicts.get(&service) == Some(&status::Verdict::Vanished);
            if !texts.contains_key(&service) && !recorded {
                self.schedule(service);
            }
        }
    }

    fn schedule(&mut self, service: ids::Service) {
        let Some(rank) = self.inner.rank() else {
            return;
        };
        let wait = STANDBY_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let at = self.inner.clock.now() + wait;
        let due = self.due.entry(service).or_insert(at);
        *due = at.min(*due);
    }

    async fn tick(&mut self) {
        let rank = self.inner.rank();
        if mem::replace(&mut self.is_keeper, rank == Some(0)) != self.is_keeper {
            self.written.clear();
            self.last_reported = None;
        }
        // A VM that knows of a newer version than it holds must not decide.
        let up_to_date = self.inner.with(|spread| spread.ready() && !spread.behind());
        if rank.is_none() || !up_to_date {
            return;
        }
        self.check_due().await;
        if self.is_keeper {
            self.write_status().await;
            self.write_reported().await;
        }
    }

    async fn check_due(&mut self) {
        let now = self.inner.clock.now();
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<_> = due.map(|(service, _)| service.clone()).collect();
        for service in due {
            self.due.remove(&service);
            let delay = match self.check(&service).await {
                Ok(()) => continue,
                Err(store::Error::Unavailable { reason }) => {
                    log::warn!("failed to check {service}: the store is unavailable: {reason}");
                    STORE_FAILURE_DELAY
                }
                // Another keeper wrote first, or the reply was lost. The record
                // shows which when it is read again.
                Err(error) => {
                    log::info!("checking {service} again: {error}");
                    CONFLICT_RETRY_DELAY
                }
            };
            self.due.insert(service, self.inner.clock.now() + delay);
        }
    }

    async fn check(&mut self, service: &ids::Service) -> Result<(), store::Error> {
        self.inner.instruments.checked();
        let state = self.read(service).await?;
        let decision = keeper::decide(&state);
        if let Some((record, condition)) = &decision.write {
            let body = serde_json::to_vec(record).unwrap_or_default();
            let key = document::accepted_key(service);
            let version = self.inner.store.put(&key, body.into(), *condition).await?;
            load::offer(&self.inner, service, record, version);
        }
        self.verdicts.insert(service.clone(), decision.verdict);
        Ok(())
    }

    async fn read(&self, service: &ids::Service) -> Result<keeper::State, store::Error> {
        let text = self.get(&document::text_key(service)).await?;
        let accepted = self.get(&document::accepted_key(service)).await?;
        let accepted = accepted.map(|object| (object.version, parse_record(&object)));
        if let Some((version, record)) = &accepted {
            load::offer(&self.inner, service, record, *version);
        }
        Ok(keeper::State {
            service: service.clone(),
            text,
            accepted,
            in_force: self.inner.catalog.document(service),
        })
    }

    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Error> {
        match self.inner.store.get(key).await {
            Ok(object) => Ok(Some(object)),
            Err(store::Error::Missing { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes the VMs' reports if they changed or are due for a refresh.
    async fn write_reported(&mut self) {
        let now = self.inner.clock.now();
        let since = self.last_reported.as_ref().map(|(at, _)| now.since(*at));
        if now < self.no_writes_until || since.is_some_and(|since| since < MIN_REPORTED_INTERVAL) {
            return;
        }
        let vms = self.inner.with(|spread| {
            let applied = spread.held().have();
            spread
                .tally()
                .report_all(&spread.roles().members, &applied, now)
        });
        let unchanged = self
            .last_reported
            .as_ref()
            .is_some_and(|(_, before)| *before == vms);
        if unchanged && since.is_some_and(|since| since < REFRESH_INTERVAL) {
            return;
        }
        let reported = status::Reported {
            keeper: self.inner.config.vm.clone(),
            written: self.inner.clock.wall(),
            vms,
        };
        let body = serde_json::to_vec(&reported).unwrap_or_default();
        let put = self
            .inner
            .store
            .put(status::REPORTED_KEY, body.into(), store::Condition::Any);
        match put.await {
            Ok(_) => self.last_reported = Some((now, reported.vms)),
            Err(error) => {
                self.no_writes_until = now + STORE_FAILURE_DELAY;
                log::debug!("failed to write the reports of VMs: {error}");
            }
        }
    }

    async fn write_status(&mut self) {
        let now = self.inner.clock.now();
        if now < self.no_writes_until {
            return;
        }
        let services: Vec<_> = self.verdicts.keys().cloned().collect();
        let mut writes = 0;
        for service in services {
            let Some(status) = self.status(&service, now) else {
                continue;
            };
            if !self.needs_write(&status, now) || writes == MAX_WRITES_PER_TICK {
                continue;
            }
            writes += 1;
            let body = serde_json::to_vec(&status).unwrap_or_default();
            let key = document::status_key(&service);
            // Two keepers may both write; the later write has the newer state.
            let put = self
                .inner
                .store
                .put(&key, body.into(), store::Condition::Any);
            match put.await {
                Ok(_) => drop(self.written.insert(service, (now, status))),
                Err(error) => {
                    self.no_writes_until = now + STORE_FAILURE_DELAY;
                    return log::debug!("failed to write the status of {service}: {error}");
                }
            }
        }
    }

    fn needs_write(&self, status: &status::Status, now: clock::Moment) -> bool {
        let Some((at, before)) = self.written.get(&status.service) else {
            return true;
        };
        let unchanged = status::Status {
            written: status.written,
            ..before.clone()
        };
        let since = now.since(*at);
        since >= REFRESH_INTERVAL || since >= MIN_STATUS_INTERVAL && unchanged != *status
    }

    fn status(&self, service: &ids::Service, now: clock::Moment) -> Option<status::Status> {
        let verdict = self.verdicts.get(service)?.clone();
        let document = self.inner.catalog.document(service);
        let layout = self.inner.catalog.layout(service);
        let (rollout, vms, unconfirmed) = self.inner.with(|spread| {
            let vms = spread.roles().members.len();
            (
                spread.rollout(service, now),
                vms,
                spread.tally().unconfirmed(),
            )
        });
        Some(status::Status {
            service: service.clone(),
            generation: document
                .as_ref()
                .map(|(generation, _)| *generation)
                .unwrap_or_default(),
            layout: layout.map(|layout| layout.version).unwrap_or_default(),
            document: verdict,
            layout_findings: self.inner.reads.layout_findings(service),
            in_force: rollout.in_force,
            vms: u32::try_from(vms).unwrap_or(u32::MAX),
            behind: rollout.behind,
            unconfirmed,
            retired: document.is_some_and(|(_, document)| document.retired),
            keeper: self.inner.config.vm.clone(),
            written: self.inner.clock.wall(),
        })
    }
}

fn service_of(change: &store::Change) -> Option<(ids::Service, ids::ObjectVersion)> {
    let name = change.key.strip_prefix(document::DOCUMENT_PREFIX)?;
    Some((name.parse().ok()?, change.version))
}

/// Parses an accepted record. One that can't be parsed counts as generation 0, so
/// the document in force, whose generation is higher, overwrites it.
fn parse_record(object: &store::Object) -> keeper::Accepted {
    serde_json::from_slice(&object.body).unwrap_or_else(|_| keeper::Accepted {
        generation: ids::Generation(0),
        considered: ids::ObjectVersion(0),
        document: document::Document::default(),
    })
}
