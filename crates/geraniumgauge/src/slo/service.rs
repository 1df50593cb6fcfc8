//! Counts requests on this VM and delivers the counts to the store.
//!
//! VMs keep nothing, so counts go to the store every [`DELIVER`] or more
//! rarely. A VM writes one inbox for all services; the folding into one object
//! a service is done once a minute by whichever VM finds it due. At 8 VMs and
//! 60 services that is about 0.5 deliveries and 4 folds a second, at 2,200 VMs
//! 20 deliveries a second and the same folds.

use std::mem;
use std::sync;
use std::time;

use opentelemetry::metrics;

use crate::document;
use crate::ids;
use crate::slo;
use crate::slo::instruments;
use crate::slo::object;
use crate::store;
use crate::time as clock;
use crate::timer;

/// Shortest time between deliveries of a VM.
const DELIVER: time::Duration = time::Duration::from_secs(15);
/// Deliveries a second of the whole fleet at most.
const FLEET_DELIVERIES: f64 = 20.0;
/// How long a batch is filled, and how long a VM that folds it may take.
const FOLD: time::Duration = time::Duration::from_secs(60);
/// Tries of one update; each meets another writer or a lost reply.
const TRIES: u32 = 6;
/// Longest wait between tries.
const AGAIN: time::Duration = time::Duration::from_millis(100);

/// Which start of which VM counts.
#[derive(Debug, Clone)]
pub struct Config {
    /// The VM.
    pub vm: ids::Vm,
    /// Its start.
    pub incarnation: ids::Incarnation,
}

/// Counts requests; clones share it.
#[derive(Clone)]
pub struct Service {
    inner: sync::Arc<Inner>,
}

struct Inner {
    config: Config,
    catalog: document::Catalog,
    store: sync::Arc<dyn store::Api>,
    clock: clock::Clock,
    timer: timer::Service,
    instruments: instruments::Instruments,
    counted: sync::Mutex<object::Services>,
    delivery: tokio::sync::Mutex<Delivery>,
}

/// What is on its way to the store.
#[derive(Debug, Default)]
struct Delivery {
    sequence: u64,
    parcel: Option<object::Parcel>,
    /// Since when a reply is missing for the parcel.
    unsure: Option<clock::Wall>,
    /// VMs that share this VM's inbox.
    sharers: usize,
}

impl Service {
    /// Starts the deliveries. Call within a tokio runtime.
    pub fn start(
        config: Config,
        catalog: document::Catalog,
        store: sync::Arc<dyn store::Api>,
        clock: clock::Clock,
        timer: timer::Service,
        meter: &metrics::Meter,
    ) -> Self {
        let inner = sync::Arc::new(Inner {
            config,
            catalog,
            store,
            clock,
            timer,
            instruments: instruments::Instruments::new(meter),
            counted: sync::Mutex::new(object::Services::new()),
            delivery: tokio::sync::Mutex::new(Delivery::default()),
        });
        tokio::spawn(deliver(inner.clone()));
        Self { inner }
    }

    /// Delivers what is counted, for a graceful stop. Bounded by the store's
    /// own call times; what can't be delivered then is lost with the VM.
    pub async fn flush(&self) {
        if let Err(error) = self.inner.deliver().await {
            log::warn!("the last counts of requests are lost: {error}");
        }
    }
}

impl slo::Record for Service {
    /// Services without a document aren't counted: callers may name anything.
    fn record(&self, event: &slo::Event) {
        if self.inner.catalog.document(&event.service).is_none() {
            return;
        }
        self.inner.instruments.count(event);
        let now = self.inner.clock.wall();
        let mut counted = self.inner.lock();
        let series = counted.entry(event.service.clone()).or_default();
        series.at(now).count(event);
    }
}

async fn deliver(inner: sync::Arc<Inner>) {
    let mut wait = DELIVER.mul_f64(rand::random());
    while inner.timer.sleep(wait).await {
        if let Err(error) = inner.deliver().await {
            log::debug!("counts of requests wait for the store: {error}");
        }
        let vms = inner.delivery.lock().await.sharers * object::GROUPS as usize;
        let shared = time::Duration::from_secs_f64(vms as f64 / FLEET_DELIVERIES);
        wait = DELIVER
            .max(shared)
            .mul_f64(0.75 + 0.5 * rand::random::<f64>());
    }
}

impl Inner {
    fn lock(&self) -> sync::MutexGuard<'_, object::Services> {
        self.counted
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn deliver(&self) -> Result<(), store::Error> {
        let mut delivery = self.delivery.lock().await;
        // A parcel from an outage goes first; what was counted since is next.
        for _ in 0..2 {
            let waiting = delivery.parcel.is_some();
            self.pack(&mut delivery);
            if delivery.parcel.is_none() {
                break;
            }
            self.send(&mut delivery).await?;
            if !waiting {
                break;
            }
        }
        self.fold().await
    }

    fn pack(&self, delivery: &mut Delivery) {
        if delivery.parcel.is_some() {
            return;
        }
        let now = self.clock.wall();
        let mut services = mem::take(&mut *self.lock());
        services.values_mut().for_each(|series| series.compact(now));
        services.retain(|_, series| !series.is_empty());
        if services.is_empty() {
            return;
        }
        delivery.sequence += 1;
        delivery.parcel = Some(object::Parcel {
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            sequence: delivery.sequence,
            services,
        });
    }

    /// Failure: the write took effect and its reply was lost; sent again, the
    /// requests would count twice. The inbox holds the number of each VM's
    /// newest parcel, so reading it back tells. An inbox forgets silent VMs in
    /// time; a parcel that was unsure for too long is dropped, not doubled.
    async fn send(&self, delivery: &mut Delivery) -> Result<(), store::Error> {
        let Some(parcel) = delivery.parcel.clone() else {
            return Ok(());
        };
        let now = self.clock.wall();
        if delivery
            .unsure
            .is_some_and(|since| now.since(since) > object::TRIED)
        {
            log::warn!("counts of requests are dropped: whether they arrived isn't known");
            (delivery.parcel, delivery.unsure) = (None, None);
            return Ok(());
        }
        let key = object::inbox_key(object::group(&self.config.vm));
        let sent = self.update(&key, |inbox: &mut object::Inbox| {
            let new = !inbox.has(&parcel);
            if new {
                inbox.add(&parcel, now);
            }
            (new, inbox.vms())
        });
        match sent.await {
            Ok(sharers) => {
                *delivery = Delivery {
                    sequence: delivery.sequence,
                    parcel: None,
                    unsure: None,
                    sharers,
                };
                Ok(())
            }
            Err(error) => {
                if matches!(error, store::Error::Unconfirmed { .. }) {
                    delivery.unsure.get_or_insert(now);
                }
                Err(error)
            }
        }
    }

    /// Folds this VM's inbox where that is due. A VM that dies within leaves a
    /// closed batch, which another VM folds; each service's object knows which
    /// batches it holds.
    async fn fold(&self) -> Result<(), store::Error> {
        let now = self.clock.wall();
        let group = object::group(&self.config.vm);
        let key = object::inbox_key(group);
        let closing = self.update(&key, |inbox: &mut object::Inbox| {
            let batch = inbox.closed();
            let busy = batch.is_some_and(|batch| now.since(batch.closed) < FOLD);
            let due = inbox.due(now, FOLD);
            if due {
                inbox.close(now);
            }
            (due, inbox.closed().filter(|_| due || !busy).cloned())
        });
        let Some(batch) = closing.await? else {
            return Ok(());
        };
        for (service, series) in &batch.services {
            let key = object::burn_key(service);
            let folded = self.update(&key, |burn: &mut object::Burn| {
                (burn.fold(group, batch.number, series, now), ())
            });
            folded.await?;
        }
        let forget = |inbox: &mut object::Inbox| (inbox.folded(batch.number), ());
        self.update(&key, forget).await
    }

    /// Reads, changes and writes one object until no other writer interferes.
    /// `change` must be idempotent: it says whether it changed anything.
    async fn update<O, T>(
        &self,
        key: &str,
        change: impl Fn(&mut O) -> (bool, T),
    ) -> Result<T, store::Error>
    where
        O: Default + serde::Serialize + serde::de::DeserializeOwned,
    {
        let mut last = None;
        for _ in 0..TRIES {
            let (mut value, condition) = self.read::<O>(key).await.map_err(|error| {
                // A lost reply stays unsure until a read succeeds.
                last.take().unwrap_or(error)
            })?;
            let (changed, result) = change(&mut value);
            if !changed {
                return Ok(result);
            }
            let body = serde_json::to_vec(&value).unwrap_or_default();
            match self.store.put(key, body.into(), condition).await {
                Ok(_) => return Ok(result),
                Err(error @ (store::Error::Conflict { .. } | store::Error::Unconfirmed { .. })) => {
                    last = Some(error);
                    let wait = AGAIN.mul_f64(rand::random());
                    tokio::time::sleep(wait).await;
                }
                Err(error) => return Err(last.take().unwrap_or(error)),
            }
        }
        Err(last.unwrap_or_else(|| store::Error::Unavailable {
            reason: format!("{key} is written by others all the time"),
        }))
    }

    async fn read<O>(&self, key: &str) -> Result<(O, store::Condition), store::Error>
    where
        O: Default + serde::de::DeserializeOwned,
    {
        match self.store.get(key).await {
            Ok(object) => {
                // An object that can't be read is started anew: its counts are
                // lost to the report, and so are they to any other reader.
                let value = serde_json::from_slice(&object.body).unwrap_or_default();
                Ok((value, store::Condition::Version(object.version)))
            }
            Err(store::Error::Missing { .. }) => Ok((O::default(), store::Condition::Absent)),
            Err(error) => Err(error),
        }
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
