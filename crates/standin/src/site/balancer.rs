//! Stand-in for the platform's load balancer: probes `/readyz` of every VM and picks
//! among those that were ready at the last probe.

use std::collections;
use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use rand::seq::IndexedRandom as _;

/// Delay from the end of a round of probes to the next one.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Timeout of the probe of one VM.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Load balancer over the VMs of a site.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: sync::RwLock<collections::BTreeMap<ids::Vm, Target>>,
}

#[derive(Debug, Clone, Copy)]
struct Target {
    callers_address: net::SocketAddr,
    operators_address: net::SocketAddr,
    ready: bool,
}

impl Balancer {
    /// Starts a balancer without VMs; it probes the VMs added to it until it is dropped.
    pub fn start() -> sync::Arc<Self> {
        let balancer = sync::Arc::new(Self::default());
        tokio::spawn(probe_all(sync::Arc::downgrade(&balancer)));
        balancer
    }

    /// Adds a VM, if it isn't known yet; it gets requests once a probe finds it ready.
    pub fn add(
        &self,
        vm: &ids::Vm,
        callers_address: net::SocketAddr,
        operators_address: net::SocketAddr,
    ) {
        let target = Target {
            callers_address,
            operators_address,
            ready: false,
        };
        self.write().entry(vm.clone()).or_insert(target);
    }

    /// Removes a VM.
    pub fn remove(&self, vm: &ids::Vm) {
        self.write().remove(vm);
    }

    /// Returns whether the VM was ready at the last probe.
    pub fn is_ready(&self, vm: &ids::Vm) -> bool {
        self.read().get(vm).is_some_and(|target| target.ready)
    }

    /// Returns a random ready VM other than `exclude`, with its address for callers.
    pub fn pick(&self, exclude: Option<&ids::Vm>) -> Option<(ids::Vm, net::SocketAddr)> {
        let targets = self.read();
        let ready = targets
            .iter()
            .filter(|(vm, target)| target.ready && Some(*vm) != exclude);
        let ready: Vec<_> = ready
            .map(|(vm, target)| (vm, target.callers_address))
            .collect();
        ready
            .choose(&mut rand::rng())
            .map(|(vm, address)| ((*vm).clone(), *address))
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, collections::BTreeMap<ids::Vm, Target>> {
        self.targets
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn write(&self) -> sync::RwLockWriteGuard<'_, collections::BTreeMap<ids::Vm, Target>> {
        self.targets
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Probes all VMs in rounds until the balancer is dropped.
async fn probe_all(balancer: sync::Weak<Balancer>) {
    let Ok(client) = reqwest::Client::builder().timeout(PROBE_TIMEOUT).build() else {
        return;
    };
    while let Some(balancer) = balancer.upgrade() {
        let targets: Vec<_> = balancer
            .read()
            .iter()
            .map(|(vm, t)| (vm.clone(), *t))
            .collect();
        let probes = targets
            .into_iter()
            .map(|(vm, target)| probe(&client, vm, target));
        for (vm, ready) in futures_util::future::join_all(probes).await {
            if let Some(target) = balancer.write().get_mut(&vm) {
                target.ready = ready;
            }
        }
        drop(balancer);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe(client: &reqwest::Client, vm: ids::Vm, target: Target) -> (ids::Vm, bool) {
    let url = format!("http://{}/readyz", target.operators_address);
    let response = client.get(url).send().await;
    (
        vm,
        response.is_ok_and(|response| response.status().is_success()),
    )
}
