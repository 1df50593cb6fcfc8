//! Observes in each VM's `/metrics` which generation of a service's document the VM
//! applies.

use std::collections;
use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use tokio::time as clock;

use crate::measure;
use crate::site;

/// Delay between two reads of the VMs' metrics.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Timeout of a request for a VM's metrics.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time limit for all VMs to apply a generation; a generation that exceeds it counts as
/// lost.
const ROLLOUT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Polls the metrics of a site's VMs until it is dropped.
pub(super) struct Observer {
    shared: sync::Arc<sync::Mutex<Shared>>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    /// VMs to poll.
    targets: Vec<(ids::Vm, net::SocketAddr)>,
    /// Time at which each VM was first seen to apply each generation.
    first_seen: collections::BTreeMap<(ids::Vm, u64), clock::Instant>,
    /// Generation that each VM applied when it was last polled.
    current: collections::BTreeMap<ids::Vm, u64>,
    /// VMs that went back to a lower generation, with both generations.
    regressions: Vec<(ids::Vm, u64, u64)>,
}

impl Shared {
    fn record(&mut self, vm: ids::Vm, generation: u64) {
        let before = self.current.insert(vm.clone(), generation).unwrap_or(0);
        if generation < before {
            self.regressions.push((vm.clone(), before, generation));
        }
        let at = clock::Instant::now();
        self.first_seen.entry((vm, generation)).or_insert(at);
    }

    /// Returns when the last VM reached `generation` or a higher one; `None` while
    /// some VM hasn't.
    fn applied_by_all(&self, generation: u64) -> Option<clock::Instant> {
        let reached = |vm: &ids::Vm| {
            let from = (vm.clone(), generation);
            let seen = self
                .first_seen
                .range(from..)
                .take_while(|((of, _), _)| of == vm);
            seen.map(|(_, at)| *at).min()
        };
        let all = self.targets.iter().map(|(vm, _)| reached(vm));
        all.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

impl Observer {
    /// Starts to observe `service` on the VMs that `site` has now.
    pub(super) fn start(site: &site::Site, service: &str) -> Result<Self, measure::Error> {
        let client = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()?;
        let shared = sync::Arc::new(sync::Mutex::new(Shared::default()));
        let task = tokio::spawn(poll(client, shared.clone(), service.to_owned()));
        let observer = Self { shared, task };
        observer.set_targets(site);
        Ok(observer)
    }

    /// Replaces the observed VMs by those that `site` has now.
    pub(super) fn set_targets(&self, site: &site::Site) {
        let target = |vm: &site::RunningVm| (vm.id().clone(), vm.operators_address());
        lock(&self.shared).targets = site.vms.iter().map(target).collect();
    }

    /// Waits until every VM has applied `generation` or a higher one and returns when
    /// the last did; `None` after `ROLLOUT_TIMEOUT`.
    pub(super) async fn applied_by_all(&self, generation: u64) -> Option<clock::Instant> {
        let until = clock::Instant::now() + ROLLOUT_TIMEOUT;
        while clock::Instant::now() < until {
            if let Some(at) = lock(&self.shared).applied_by_all(generation) {
                return Some(at);
            }
            clock::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the VMs that went back to a lower generation, with the generations
    /// before and after.
    pub(super) fn regressions(&self) -> Vec<(ids::Vm, u64, u64)> {
        lock(&self.shared).regressions.clone()
    }

    /// Returns the lowest generation that an observed VM applies now.
    pub(super) fn lowest(&self) -> u64 {
        let shared = lock(&self.shared);
        let of =
            |(vm, _): &(ids::Vm, net::SocketAddr)| shared.current.get(vm).copied().unwrap_or(0);
        shared.targets.iter().map(of).min().unwrap_or(0)
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn poll(client: reqwest::Client, shared: sync::Arc<sync::Mutex<Shared>>, service: String) {
    loop {
        let targets = lock(&shared).targets.clone();
        let read = targets.into_iter().map(|(vm, address)| {
            let (client, service) = (&client, &service);
            async move { (vm, generation(client, address, service).await) }
        });
        for (vm, generation) in futures_util::future::join_all(read).await {
            if let Some(generation) = generation {
                lock(&shared).record(vm, generation);
            }
        }
        clock::sleep(POLL_INTERVAL).await;
    }
}

async fn generation(
    client: &reqwest::Client,
    address: net::SocketAddr,
    service: &str,
) -> Option<u64> {
    let url = format!("http://{address}/metrics");
    let text = client.get(url).send().await.ok()?.text().await.ok()?;
    let label = format!("service=\"{service}\"");
    let line = text
        .lines()
        .find(|line| line.starts_with("document_generation{") && line.contains(&label))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn lock(shared: &sync::Mutex<Shared>) -> sync::MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
