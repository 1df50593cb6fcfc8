//! The platform's balancer, as far as callers see it: it asks every VM's
//! `/readyz` now and then, and sends requests to those that said yes.

use std::collections;
use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use rand::seq::IndexedRandom as _;

/// Time between two rounds of asking.
const ROUND: time::Duration = time::Duration::from_millis(100);
/// Longest wait for one VM's answer.
const PATIENCE: time::Duration = time::Duration::from_millis(500);

/// Which VMs get requests.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: sync::RwLock<collections::BTreeMap<ids::Vm, Target>>,
}

#[derive(Debug, Clone, Copy)]
struct Target {
    callers: net::SocketAddr,
    operators: net::SocketAddr,
    ready: bool,
}

impl Balancer {
    /// A balancer that asks its VMs until it is dropped.
    pub fn start() -> sync::Arc<Self> {
        let balancer = sync::Arc::new(Self::default());
        tokio::spawn(watch(sync::Arc::downgrade(&balancer)));
        balancer
    }

    /// Takes a VM in; it gets requests once it says that it is ready.
    pub fn add(&self, vm: &ids::Vm, callers: net::SocketAddr, operators: net::SocketAddr) {
        let target = Target {
            callers,
            operators,
            ready: false,
        };
        self.write().entry(vm.clone()).or_insert(target);
    }

    /// Takes a VM out.
    pub fn remove(&self, vm: &ids::Vm) {
        self.write().remove(vm);
    }

    /// Whether the VM said that it is ready when it was last asked.
    pub fn is_ready(&self, vm: &ids::Vm) -> bool {
        self.read().get(vm).is_some_and(|target| target.ready)
    }

    /// A ready VM by chance, not `but`.
    pub fn pick(&self, but: Option<&ids::Vm>) -> Option<(ids::Vm, net::SocketAddr)> {
        let targets = self.read();
        let ready = targets
            .iter()
            .filter(|(vm, target)| target.ready && Some(*vm) != but);
        let ready: Vec<_> = ready.map(|(vm, target)| (vm, target.callers)).collect();
        ready
            .choose(&mut rand::rng())
            .map(|(vm, callers)| ((*vm).clone(), *callers))
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

/// Asks the VMs round by round until the balancer is gone.
async fn watch(balancer: sync::Weak<Balancer>) {
    let Ok(client) = reqwest::Client::builder().timeout(PATIENCE).build() else {
        return;
    };
    while let Some(balancer) = balancer.upgrade() {
        let targets: Vec<_> = balancer
            .read()
            .iter()
            .map(|(vm, t)| (vm.clone(), *t))
            .collect();
        let asked = targets
            .into_iter()
            .map(|(vm, target)| ask(&client, vm, target));
        for (vm, ready) in futures_util::future::join_all(asked).await {
            if let Some(target) = balancer.write().get_mut(&vm) {
                target.ready = ready;
            }
        }
        drop(balancer);
        tokio::time::sleep(ROUND).await;
    }
}

async fn ask(client: &reqwest::Client, vm: ids::Vm, target: Target) -> (ids::Vm, bool) {
    let url = format!("http://{}/readyz", target.operators);
    let answer = client.get(url).send().await;
    (vm, answer.is_ok_and(|answer| answer.status().is_success()))
}
