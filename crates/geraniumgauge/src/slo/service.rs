//! Counts requests on this VM and delivers the counts to the store.
//!
//! VMs have no persistent state, so each one delivers its counts to the store
//! every [`MIN_DELIVERY_INTERVAL`], or less often in a large fleet. A VM writes the
//! counts of all services to one inbox. Once a minute, the first VM that finds it
//! due folds the inbox into one object for each service. With 8 VMs and 60
//! services that makes about 0.5 deliveries and 4 folds a second; with 2,200 VMs,
//! 20 deliveries and as many folds.

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

/// Shortest time between two deliveries of a VM.
const MIN_DELIVERY_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// Maximum deliveries of the whole fleet per second.
const MAX_FLEET_DELIVERIES_PER_SECOND: f64 = 20.0;
/// Time for which a batch is filled, and time that a VM has to fold it before
/// another VM takes over.
const FOLD_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Maximum attempts of one update, which fail by conflicts or lost replies.
const MAX_UPDATE_ATTEMPTS: u32 = 6;
/// Maximum delay between two attempts.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Identity of the VM that counts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the VM.
    pub vm: ids::Vm,
    /// Incarnation of the VM.
    pub incarnation: ids::Incarnation,
}

/// Counts requests; clones share the counts.
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

/// State of the deliveries to the store.
#[derive(Debug, Default)]
struct Delivery {
    /// Sequence number of the newest payload.
    sequence: u64,
    /// Payload that isn't delivered yet.
    payload: Option<object::Payload>,
    /// Time of the first write of the payload whose reply was lost.
    unconfirmed_since: Option<clock::Wall>,
    /// Number of VMs that deliver to this VM's inbox.
    inbox_vms: usize,
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

    /// Delivers the remaining counts for a graceful stop. Bounded by the timeouts
    /// of the store's calls; counts that can't be delivered are lost.
    pub async fn flush(&self) {
        if let Err(error) = self.inner.deliver().await {
            log::warn!("lost the last request counts: {error}");
        }
    }
}

impl slo::Record for Service {
    /// Counts one request. Services without a document aren't counted, because
    /// callers may send any name.
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
    let mut wait = MIN_DELIVERY_INTERVAL.mul_f64(rand::random());
    while inner.timer.sleep(wait).await {
        if let Err(error) = inner.deliver().await {
            log::debug!("failed to deliver request counts, will retry: {error}");
        }
        let fleet_vms = inner.delivery.lock().await.inbox_vms * object::INBOXES as usize;
        let fleet_interval =
            time::Duration::from_secs_f64(fleet_vms as f64 / MAX_FLEET_DELIVERIES_PER_SECOND);
        wait = MIN_DELIVERY_INTERVAL
            .max(fleet_interval)
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
        // A payload left from an outage is sent first, then the counts since then.
        for _ in 0..2 {
            let pending = delivery.payload.is_some();
            self.prepare(&mut delivery);
            if delivery.payload.is_none() {
                break;
            }
            self.send(&mut delivery).await?;
            if !pending {
                break;
            }
        }
        self.fold().await
    }

    fn prepare(&self, delivery: &mut Delivery) {
        if delivery.payload.is_some() {
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
        delivery.payload = Some(object::Payload {
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            sequence: delivery.sequence,
            services,
        });
    }

    /// Writes the payload to this VM's inbox.
    ///
    /// If a write takes effect but its reply is lost, a second write would count
    /// the requests twice. The inbox therefore records the sequence number of
    /// each VM's newest payload, which is read back first. Since an inbox removes
    /// VMs that stay silent, a payload that was unconfirmed for too long is
    /// dropped rather than counted twice.
    async fn send(&self, delivery: &mut Delivery) -> Result<(), store::Error> {
        let Some(payload) = delivery.payload.clone() else {
            return Ok(());
        };
        let now = self.clock.wall();
        if delivery
            .unconfirmed_since
            .is_some_and(|since| now.since(since) > object::MAX_UNCONFIRMED_AGE)
        {
            log::warn!("dropped request counts: a lost reply was not resolved in time");
            (delivery.payload, delivery.unconfirmed_since) = (None, None);
            return Ok(());
        }
        let key = object::inbox_key(object::inbox_index(&self.config.vm));
        let result = self.update(&key, |inbox: &mut object::Inbox| {
            let new = !inbox.contains(&payload);
            if new {
                inbox.add(&payload, now);
            }
            (new, inbox.vms())
        });
        match result.await {
            Ok(inbox_vms) => {
                *delivery = Delivery {
                    sequence: delivery.sequence,
                    payload: None,
                    unconfirmed_since: None,
                    inbox_vms,
                };
                Ok(())
            }
            Err(error) => {
                if matches!(error, store::Error::Unconfirmed { .. }) {
                    delivery.unconfirmed_since.get_or_insert(now);
                }
                Err(error)
            }
        }
    }

    /// Folds this VM's inbox if that is due. If a VM fails meanwhile, another one
    /// folds the closed batch again; each service's object records the batches
    /// that it includes.
    async fn fold(&self) -> Result<(), store::Error> {
        let now = self.clock.wall();
        let index = object::inbox_index(&self.config.vm);
        let key = object::inbox_key(index);
        let closing = self.update(&key, |inbox: &mut object::Inbox| {
            let batch = inbox.closed();
            let busy = batch.is_some_and(|batch| now.since(batch.closed) < FOLD_INTERVAL);
            let due = inbox.close_due(now, FOLD_INTERVAL);
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
                (burn.fold(index, batch.number, series, now), ())
            });
            folded.await?;
        }
        let remove = |inbox: &mut object::Inbox| (inbox.remove_folded(batch.number), ());
        self.update(&key, remove).await
    }

    /// Reads, changes and writes one object, and retries after conflicts. `change`
    /// must be idempotent and return whether it changed anything.
    async fn update<O, T>(
        &self,
        key: &str,
        change: impl Fn(&mut O) -> (bool, T),
    ) -> Result<T, store::Error>
    where
        O: Default + serde::Serialize + serde::de::DeserializeOwned,
    {
        let mut last = None;
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let (mut value, condition) = self.read::<O>(key).await.map_err(|error| {
                // Until a read succeeds, it is unknown whether a write whose reply
                // was lost took effect.
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
                    let delay = MAX_RETRY_DELAY.mul_f64(rand::random());
                    tokio::time::sleep(delay).await;
                }
                Err(error) => return Err(last.take().unwrap_or(error)),
            }
        }
        Err(last.unwrap_or_else(|| store::Error::Unavailable {
            reason: format!("{key} was changed by another writer on every attempt"),
        }))
    }

    async fn read<O>(&self, key: &str) -> Result<(O, store::Condition), store::Error>
    where
        O: Default + serde::de::DeserializeOwned,
    {
        match self.store.get(key).await {
            Ok(object) => {
                // An object that can't be parsed is replaced by an empty one. Its
                // counts are lost to the report, as no reader could parse them.
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
