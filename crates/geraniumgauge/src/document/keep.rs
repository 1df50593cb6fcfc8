//! The keeper's tasks: looks at services, accepts their texts, writes status.
//!
//! Every watcher runs them. The keeper looks at once, each stand-by a moment
//! later than the one before it, so a dead keeper costs seconds and no edit.

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

/// How much later each stand-by looks.
const STAND_BY: time::Duration = time::Duration::from_millis(1500);
/// How often due services are looked at.
const TICK: time::Duration = time::Duration::from_millis(100);
/// How soon a service is looked at again after a conflict or a lost reply.
const AGAIN: time::Duration = time::Duration::from_millis(100);
/// How soon after the store failed.
const AFTER_FAILURE: time::Duration = time::Duration::from_secs(1);
/// How often a status that says nothing new is written again.
const REFRESH: time::Duration = time::Duration::from_secs(60);
/// Shortest time between two writes of one service's status: while a version
/// spreads, its count changes many times a second.
const REWRITE: time::Duration = time::Duration::from_millis(400);
/// Shortest time between two writes of what VMs report.
const REPORTED: time::Duration = time::Duration::from_secs(2);
/// Status objects written in one tick at most.
const WRITES: usize = 2;

/// Starts the tasks.
pub(super) fn start(
    inner: &sync::Arc<service::Inner>,
    looks: channel::mpsc::Receiver<ids::Service>,
) {
    let (news, texts) = channel::mpsc::channel(8);
    tokio::spawn(load::follow(inner.clone(), document::TEXTS, news));
    let worker = Worker {
        inner: inner.clone(),
        due: collections::BTreeMap::new(),
        known: collections::BTreeMap::new(),
        written: collections::BTreeMap::new(),
        reported: None,
        keeper: false,
        rest_until: clock::Moment::default(),
    };
    tokio::spawn(worker.run(texts, looks));
}

struct Worker {
    inner: sync::Arc<service::Inner>,
    due: collections::BTreeMap<ids::Service, clock::Moment>,
    known: collections::BTreeMap<ids::Service, status::Verdict>,
    written: collections::BTreeMap<ids::Service, (clock::Moment, status::Status)>,
    /// What VMs reported when that was last written.
    reported: Option<(
        clock::Moment,
        collections::BTreeMap<ids::Vm, status::Report>,
    )>,
    keeper: bool,
    /// No status is written before: the store has just failed.
    rest_until: clock::Moment,
}

impl Worker {
    async fn run(
        mut self,
        mut texts: channel::mpsc::Receiver<load::News>,
        mut looks: channel::mpsc::Receiver<ids::Service>,
    ) {
        let mut ticks = self.inner.timer.every(TICK, TICK);
        loop {
            tokio::select! {
                tick = ticks.tick() => {
                    let Some(()) = tick else { return };
                    self.tick().await;
                }
                Some(news) = texts.recv() => self.news(news),
                Some(service) = looks.recv() => self.schedule(service),
            }
        }
    }

    fn news(&mut self, news: load::News) {
        match news {
            load::News::Changed(changes) => {
                let named = changes.iter().filter_map(service_of);
                named.for_each(|(service, _)| self.schedule(service));
            }
            load::News::Listed(listing) => self.listed(&listing),
        }
    }

    /// Looks at every text that is new to this VM, and at every service whose
    /// text is gone.
    fn listed(&mut self, listing: &store::Listing) {
        let texts: collections::BTreeMap<_, _> =
            listing.changes.iter().filter_map(service_of).collect();
        for (service, version) in &texts {
            let known = self.known.get(service).and_then(status::Verdict::version);
            if known != Some(*version) {
                self.schedule(service.clone());
            }
        }
        let held: Vec<_> = self
            .inner
            .with(|spread| spread.held().services().cloned().collect());
        for service in held {
            let told = self.known.get(&service) == Some(&status::Verdict::Vanished);
            if !texts.contains_key(&service) && !told {
                self.schedule(service);
            }
        }
    }

    fn schedule(&mut self, service: ids::Service) {
        let Some(rank) = self.inner.rank() else {
            return;
        };
        let wait = STAND_BY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let at = self.inner.clock.now() + wait;
        let due = self.due.entry(service).or_insert(at);
        *due = at.min(*due);
    }

    async fn tick(&mut self) {
        let rank = self.inner.rank();
        if mem::replace(&mut self.keeper, rank == Some(0)) != self.keeper {
            self.written.clear();
            self.reported = None;
        }
        // A VM that knows of something newer than it holds must not decide.
        let fit = self
            .inner
            .with(|spread| spread.settled() && !spread.behind());
        if rank.is_none() || !fit {
            return;
        }
        self.look_at_due().await;
        if self.keeper {
            self.write_status().await;
            self.write_reported().await;
        }
    }

    async fn look_at_due(&mut self) {
        let now = self.inner.clock.now();
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<_> = due.map(|(service, _)| service.clone()).collect();
        for service in due {
            self.due.remove(&service);
            let again = match self.look(&service).await {
                Ok(()) => continue,
                Err(store::Error::Unavailable { reason }) => {
                    log::warn!("{service}: the keeper can't reach the store: {reason}");
                    AFTER_FAILURE
                }
                // Another keeper was first, or the reply was lost: the record
                // itself says which.
                Err(error) => {
                    log::info!("{service}: looking again: {error}");
                    AGAIN
                }
            };
            self.due.insert(service, self.inner.clock.now() + again);
        }
    }

    async fn look(&mut self, service: &ids::Service) -> Result<(), store::Error> {
        self.inner.instruments.looked();
        let seen = self.read(service).await?;
        let decision = keeper::decide(&seen);
        if let Some((record, condition)) = &decision.write {
            let body = serde_json::to_vec(record).unwrap_or_default();
            let key = document::accepted_key(service);
            let version = self.inner.store.put(&key, body.into(), *condition).await?;
            load::offer(&self.inner, service, record, version);
        }
        self.known.insert(service.clone(), decision.verdict);
        Ok(())
    }

    async fn read(&self, service: &ids::Service) -> Result<keeper::Seen, store::Error> {
        let text = self.get(&document::text_key(service)).await?;
        let accepted = self.get(&document::accepted_key(service)).await?;
        let accepted = accepted.map(|object| (object.version, record(&object)));
        if let Some((version, record)) = &accepted {
            load::offer(&self.inner, service, record, *version);
        }
        Ok(keeper::Seen {
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

    /// Writes what VMs report, where it has changed.
    async fn write_reported(&mut self) {
        let now = self.inner.clock.now();
        let since = self.reported.as_ref().map(|(at, _)| now.since(*at));
        if now < self.rest_until || since.is_some_and(|since| since < REPORTED) {
            return;
        }
        let vms = self.inner.with(|spread| {
            let applied = spread.held().have();
            spread.tally().all(&spread.roles().all, &applied, now)
        });
        let same = self
            .reported
            .as_ref()
            .is_some_and(|(_, before)| *before == vms);
        if same && since.is_some_and(|since| since < REFRESH) {
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
            .put(status::REPORTED, body.into(), store::Condition::Any);
        match put.await {
            Ok(_) => self.reported = Some((now, reported.vms)),
            Err(error) => {
                self.rest_until = now + AFTER_FAILURE;
                log::debug!("what VMs report: {error}");
            }
        }
    }

    async fn write_status(&mut self) {
        let now = self.inner.clock.now();
        if now < self.rest_until {
            return;
        }
        let services: Vec<_> = self.known.keys().cloned().collect();
        let mut writes = 0;
        for service in services {
            let Some(status) = self.status(&service, now) else {
                continue;
            };
            if !self.worth_writing(&status, now) || writes == WRITES {
                continue;
            }
            writes += 1;
            let body = serde_json::to_vec(&status).unwrap_or_default();
            let key = document::status_key(&service);
            // Two keepers may both write; the newer write tells the newer state.
            let put = self
                .inner
                .store
                .put(&key, body.into(), store::Condition::Any);
            match put.await {
                Ok(_) => drop(self.written.insert(service, (now, status))),
                Err(error) => {
                    self.rest_until = now + AFTER_FAILURE;
                    return log::debug!("status of {service}: {error}");
                }
            }
        }
    }

    fn worth_writing(&self, status: &status::Status, now: clock::Moment) -> bool {
        let Some((at, before)) = self.written.get(&status.service) else {
            return true;
        };
        let same = status::Status {
            written: status.written,
            ..before.clone()
        };
        let since = now.since(*at);
        since >= REFRESH || since >= REWRITE && same != *status
    }

    fn status(&self, service: &ids::Service, now: clock::Moment) -> Option<status::Status> {
        let verdict = self.known.get(service)?.clone();
        let document = self.inner.catalog.document(service);
        let layout = self.inner.catalog.layout(service);
        let (count, vms, unconfirmed) = self.inner.with(|spread| {
            let vms = spread.roles().all.len();
            (
                spread.count(service, now),
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
            in_force: count.in_force,
            vms: u32::try_from(vms).unwrap_or(u32::MAX),
            behind: count.behind,
            unconfirmed,
            retired: document.is_some_and(|(_, document)| document.retired),
            keeper: self.inner.config.vm.clone(),
            written: self.inner.clock.wall(),
        })
    }
}

fn service_of(change: &store::Change) -> Option<(ids::Service, ids::ObjectVersion)> {
    let name = change.key.strip_prefix(document::TEXTS)?;
    Some((name.parse().ok()?, change.version))
}

/// A record that can't be read counts as one of generation 0: what is in force
/// is above it and is written over it.
fn record(object: &store::Object) -> keeper::Accepted {
    serde_json::from_slice(&object.body).unwrap_or_else(|_| keeper::Accepted {
        generation: ids::Generation(0),
        considered: ids::ObjectVersion(0),
        document: document::Document::default(),
    })
}
