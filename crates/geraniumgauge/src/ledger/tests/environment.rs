//! What one incarnation of a VM depends on, with injected faults.

use std::sync;
use std::sync::atomic;
use std::time;

use super::world;
use crate::ids;
use crate::ledger;
use crate::mesh;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::slo;
use crate::store;

/// What one incarnation of a VM depends on: store, mesh, admission and the recorder of
/// request results, with injected faults.
pub(super) struct Environment {
    pub(super) world: world::Shared,
    pub(super) node: sync::Arc<world::Node>,
}

impl Environment {
    /// Executes a write, with faults before, during and after it.
    async fn write<T>(
        &self,
        key: &str,
        change: impl Fn(&mut store::Objects) -> Result<T, store::Error> + Send + 'static,
    ) -> Result<T, store::Error> {
        let world = &self.world;
        self.node.block_if_crashed().await;
        world.maybe_crash(&self.node);
        world.maybe_pause().await;
        self.node.block_if_crashed().await;
        let reply_lost = || {
            Err(store::Error::Unconfirmed {
                key: key.to_owned(),
                reason: "the reply was lost".to_owned(),
            })
        };
        tokio::time::sleep(world::millis(1 + world.below(5))).await;
        if world.fault(0.05) {
            return Err(down());
        }
        if world.fault(0.03) {
            // The request is lost: the write never takes effect, but the VM can't know.
            return reply_lost();
        }
        if world.fault(0.04) {
            // The reply is lost, and the write takes effect later.
            let world = world.clone();
            tokio::spawn(async move {
                tokio::time::sleep(world::millis(world.below(400))).await;
                let _ = change(&mut world.objects.lock().unwrap());
            });
            return reply_lost();
        }
        let done = change(&mut world.objects.lock().unwrap());
        world.maybe_crash(&self.node);
        world.maybe_pause().await;
        self.node.block_if_crashed().await;
        if world.fault(0.06) {
            return reply_lost();
        }
        done
    }
}

fn down() -> store::Error {
    let reason = "down".to_owned();
    store::Error::Unavailable { reason }
}

#[async_trait::async_trait]
impl store::Api for Environment {
    async fn get(&self, key: &str) -> Result<store::Object, store::Error> {
        self.node.block_if_crashed().await;
        tokio::time::sleep(world::millis(1 + self.world.below(5))).await;
        if self.world.fault(0.05) {
            return Err(down());
        }
        let found = self.world.objects.lock().unwrap().get(key);
        self.world.maybe_pause().await;
        self.node.block_if_crashed().await;
        found
    }

    async fn put(
        &self,
        key: &str,
        body: bytes::Bytes,
        condition: store::Condition,
    ) -> Result<ids::ObjectVersion, store::Error> {
        let name = key.to_owned();
        let change =
            move |objects: &mut store::Objects| objects.put(&name, body.clone(), condition);
        self.write(key, change).await
    }

    async fn delete(&self, key: &str, condition: store::Condition) -> Result<(), store::Error> {
        let name = key.to_owned();
        let change = move |objects: &mut store::Objects| objects.delete(&name, condition);
        self.write(key, change).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Error> {
        Ok(self.world.objects.lock().unwrap().list(prefix))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ids::Revision,
        _wait: time::Duration,
    ) -> Result<store::Listing, store::Error> {
        Ok(self.world.objects.lock().unwrap().changes(prefix, after))
    }

    async fn vms(&self) -> Result<Vec<store::Vm>, store::Error> {
        Ok(Vec::new())
    }
}

impl mesh::Sender for Environment {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        if self.node.is_crashed() {
            return Ok(());
        }
        if self.world.fault(0.03) {
            return Err(mesh::Error::Full { vm: to.clone() });
        }
        self.world.maybe_crash(&self.node);
        let (world, from, to) = (self.world.clone(), self.node.vm.clone(), to.clone());
        match body {
            message::Body::Record(record) => tokio::spawn(world.run_at_home(from, to, record)),
            body => tokio::spawn(world.deliver(from, to, body)),
        };
        Ok(())
    }
}

#[async_trait::async_trait]
impl ledger::Admission for Environment {
    async fn admit(
        &self,
        _service: &ids::Service,
        _fingerprint: ids::Fingerprint,
    ) -> Result<Option<quarantine::Trial>, query::Refusal> {
        if self.world.quarantined.load(atomic::Ordering::Relaxed) {
            let code = query::Code::Quarantined;
            return Err(query::Refusal::not_run(code, "quarantined"));
        }
        Ok(None)
    }
}

impl slo::Record for Environment {
    fn record(&self, _event: &slo::Event) {}
}
