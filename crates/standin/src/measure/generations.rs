//! Which generation of a service each VM applies, as its `/metrics` tell.

use std::collections;
use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use tokio::time as clock;

use crate::measure;
use crate::site;

/// Time between two readings of a VM.
const ROUND: time::Duration = time::Duration::from_millis(25);
/// Longest wait for a VM's answer.
const PATIENCE: time::Duration = time::Duration::from_secs(2);
/// A generation that isn't everywhere by then counts as lost.
const LOST: time::Duration = time::Duration::from_secs(30);

/// Reads all VMs of a site round by round until it is dropped.
pub(super) struct Observer {
    shared: sync::Arc<sync::Mutex<Shared>>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    targets: Vec<(ids::Vm, net::SocketAddr)>,
    /// When each VM was first seen at each generation.
    first: collections::BTreeMap<(ids::Vm, u64), clock::Instant>,
    now: collections::BTreeMap<ids::Vm, u64>,
    fallen: Vec<(ids::Vm, u64, u64)>,
}

impl Shared {
    fn note(&mut self, vm: ids::Vm, generation: u64) {
        let before = self.now.insert(vm.clone(), generation).unwrap_or(0);
        if generation < before {
            self.fallen.push((vm.clone(), before, generation));
        }
        let at = clock::Instant::now();
        self.first.entry((vm, generation)).or_insert(at);
    }

    /// When the last VM was first seen at `generation` or above.
    fn everywhere(&self, generation: u64) -> Option<clock::Instant> {
        let reached = |vm: &ids::Vm| {
            let from = (vm.clone(), generation);
            let seen = self.first.range(from..).take_while(|((of, _), _)| of == vm);
            seen.map(|(_, at)| *at).min()
        };
        let all = self.targets.iter().map(|(vm, _)| reached(vm));
        all.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

impl Observer {
    /// Observes `service` at the VMs that `site` has now.
    pub(super) fn start(site: &site::Site, service: &str) -> Result<Self, measure::Error> {
        let client = reqwest::Client::builder().timeout(PATIENCE).build()?;
        let shared = sync::Arc::new(sync::Mutex::new(Shared::default()));
        let task = tokio::spawn(rounds(client, shared.clone(), service.to_owned()));
        let observer = Self { shared, task };
        observer.follow(site);
        Ok(observer)
    }

    /// Follows the VMs that `site` has now.
    pub(super) fn follow(&self, site: &site::Site) {
        let target = |node: &site::Node| (node.vm().clone(), node.operators());
        lock(&self.shared).targets = site.nodes.iter().map(target).collect();
    }

    /// Waits until every VM applies `generation`; `None` where that doesn't come.
    pub(super) async fn everywhere(&self, generation: u64) -> Option<clock::Instant> {
        let until = clock::Instant::now() + LOST;
        while clock::Instant::now() < until {
            if let Some(at) = lock(&self.shared).everywhere(generation) {
                return Some(at);
            }
            clock::sleep(ROUND).await;
        }
        None
    }

    /// VMs that were seen to apply a lower generation than before.
    pub(super) fn fallen(&self) -> Vec<(ids::Vm, u64, u64)> {
        lock(&self.shared).fallen.clone()
    }

    /// The lowest generation that a VM applies now.
    pub(super) fn lowest(&self) -> u64 {
        let shared = lock(&self.shared);
        let of = |(vm, _): &(ids::Vm, net::SocketAddr)| shared.now.get(vm).copied().unwrap_or(0);
        shared.targets.iter().map(of).min().unwrap_or(0)
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn rounds(client: reqwest::Client, shared: sync::Arc<sync::Mutex<Shared>>, service: String) {
    loop {
        let targets = lock(&shared).targets.clone();
        let read = targets.into_iter().map(|(vm, address)| {
            let (client, service) = (&client, &service);
            async move { (vm, generation(client, address, service).await) }
        });
        for (vm, generation) in futures_util::future::join_all(read).await {
            if let Some(generation) = generation {
                lock(&shared).note(vm, generation);
            }
        }
        clock::sleep(ROUND).await;
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
