use std::collections;

use super::*;
use crate::metrics;

/// Delivers frames between VMs in one process.
#[derive(Default)]
struct Network {
    services: sync::Mutex<collections::BTreeMap<ids::Vm, Service>>,
}

struct Link {
    network: sync::Arc<Network>,
    local: ids::Vm,
}

impl mesh::Sender for Link {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        let service = self.network.services.lock().unwrap().get(to).cloned();
        let Some(service) = service else {
            return Err(mesh::Error::Unknown { vm: to.clone() });
        };
        let from = self.local.clone();
        tokio::spawn(async move {
            match body {
                message::Body::Pull(pull) => service.pull(&from, pull),
                message::Body::Pulled(pulled) => service.pulled(&from, pulled),
                _ => unreachable!("only pulls are sent"),
            }
        });
        Ok(())
    }
}

struct GossipBus(channel::broadcast::Sender<member::Update>);

impl Gossip for GossipBus {
    fn publish(&self, update: member::Update) {
        let _ = self.0.send(update);
    }

    fn updates(&self) -> channel::broadcast::Receiver<member::Update> {
        self.0.subscribe()
    }
}

/// Several VMs that share a fake store, a network and a clock.
struct Cluster {
    store: store::Fake,
    network: sync::Arc<Network>,
    gossip: sync::Arc<GossipBus>,
    view: channel::watch::Sender<member::SharedView>,
    catalogs: Vec<document::Catalog>,
    clock: clock::Clock,
    timer: timer::Service,
}

const VMS: usize = 8;

fn vm(index: usize) -> ids::Vm {
    format!("vm-{index}").parse().unwrap()
}

fn service() -> ids::Service {
    "desk".parse().unwrap()
}

fn view(count: usize) -> member::SharedView {
    let member = |index| member::Member {
        vm: vm(index),
        incarnation: ids::Incarnation(1),
        data_centre: format!("dc-{}", index % 3).parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: member::State::Alive,
    };
    let members = (0..count).map(member).collect();
    sync::Arc::new(member::View::new(vm(0), members))
}

impl Cluster {
    fn new() -> Self {
        Self {
            store: store::Fake::new(),
            network: sync::Arc::new(Network::default()),
            gossip: sync::Arc::new(GossipBus(channel::broadcast::channel(1024).0)),
            view: channel::watch::channel(view(VMS)).0,
            catalogs: Vec::new(),
            clock: clock::Clock::start(),
            timer: timer::Service::new(tokio_util::sync::CancellationToken::new()),
        }
    }

    /// Starts the VM `index` with a view of all members.
    fn start(&mut self, index: usize) -> Service {
        let members = self.view.borrow().members.clone();
        self.start_with_view(index, members)
    }

    /// Starts the VM `index` with a view of only these members.
    fn start_with_view(&mut self, index: usize, members: Vec<member::Member>) -> Service {
        let catalog = document::Catalog::default();
        self.catalogs.push(catalog.clone());
        let local = member::View::new(vm(index), members);
        let (sender, receiver) = channel::watch::channel(sync::Arc::new(local));
        std::mem::forget(sender);
        let config = Config {
            vm: vm(index),
            data_centre: format!("dc-{}", index % 3).parse().unwrap(),
        };
        let dependencies = Dependencies {
            catalog,
            view: receiver,
            sender: sync::Arc::new(Link {
                network: self.network.clone(),
                local: vm(index),
            }),
            gossip: self.gossip.clone(),
            store: sync::Arc::new(self.store.clone()),
            clock: self.clock,
            timer: self.timer.clone(),
        };
        let meter = metrics::Metrics::new().unwrap().meter();
        let service = Service::start(config, dependencies, &meter);
        let mut services = self.network.services.lock().unwrap();
        services.insert(vm(index), service.clone());
        service
    }

    async fn edit(&self, text: &str) {
        use store::Api as _;
        let body = bytes::Bytes::copy_from_slice(text.as_bytes());
        let key = document::text_key(&service());
        self.store
            .put(&key, body, store::Condition::Any)
            .await
            .unwrap();
    }

    fn generations(&self) -> Vec<u64> {
        let generation = |catalog: &document::Catalog| catalog.document(&service()).map(|d| d.0.0);
        self.catalogs
            .iter()
            .map(|c| generation(c).unwrap_or(0))
            .collect()
    }

    fn status(&self) -> document::Status {
        let object = self
            .store
            .objects()
            .get(&document::status_key(&service()))
            .unwrap();
        serde_json::from_slice(&object.body).unwrap()
    }
}

async fn advance(seconds: u64) {
    for _ in 0..seconds * 50 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

async fn ready_cluster() -> Cluster {
    let mut cluster = Cluster::new();
    let services: Vec<_> = (0..VMS).map(|index| cluster.start(index)).collect();
    advance(3).await;
    assert!(services.iter().all(|service| *service.ready().borrow()));
    cluster
}

#[tokio::test(start_paused = true)]
async fn an_edit_is_in_force_everywhere_within_six_seconds() {
    let cluster = ready_cluster().await;
    cluster.edit("{\"team\": \"a\"}").await;
    advance(6).await;
    assert_eq!(cluster.generations(), [1; VMS]);
    let status = cluster.status();
    assert_eq!((status.in_force, status.vms), (8, 8));
    let object = cluster.store.objects().get(document::REPORTED_KEY).unwrap();
    let reported: document::Reported = serde_json::from_slice(&object.body).unwrap();
    assert_eq!(reported.vms.len(), VMS);
    assert!(
        reported
            .vms
            .values()
            .all(|vm| vm.heard && vm.behind.is_empty())
    );
    assert!(matches!(
        status.document,
        document::Verdict::Accepted { .. }
    ));
}

/// An operator saves an invalid text. The accepted document must stay in force,
/// and the status must list the findings with a remedy.
#[tokio::test(start_paused = true)]
async fn an_invalid_edit_is_reported_and_changes_nothing() {
    let cluster = ready_cluster().await;
    cluster.edit("{\"team\": \"a\"}").await;
    advance(6).await;
    cluster.edit("{\"team\": \"a\", \"dedline_ms\": 5}").await;
    advance(4).await;
    assert_eq!(cluster.generations(), [1; VMS]);
    let document::Verdict::Refused { findings, .. } = cluster.status().document else {
        panic!("a broken text was not refused");
    };
    assert!(findings[0].remedy.contains("deadline_ms"));
}

/// The store is unavailable for minutes and comes back in an older state. Every VM
/// must keep its documents, a VM that starts meanwhile must get them from its
/// peers, and the accepted record must be written back before a later edit.
#[tokio::test(start_paused = true)]
async fn an_outage_and_an_older_store_change_nothing_in_force() {
    let mut cluster = ready_cluster().await;
    cluster.edit("{\"team\": \"a\"}").await;
    advance(6).await;
    let old = cluster.store.objects();
    cluster
        .edit("{\"team\": \"a\", \"deadline_ms\": 700}")
        .await;
    advance(6).await;
    cluster.store.fault(|faults| faults.down = true);
    advance(180).await;
    let late = cluster.start(VMS);
    advance(6).await;
    assert!(
        *late.ready().borrow(),
        "a majority answers while the store is out"
    );
    assert_eq!(cluster.generations(), [2; VMS + 1]);
    cluster.store.restore(old);
    cluster.store.fault(|faults| faults.down = false);
    advance(15).await;
    assert_eq!(cluster.generations(), [2; VMS + 1]);
    cluster
        .edit("{\"team\": \"a\", \"deadline_ms\": 800}")
        .await;
    advance(6).await;
    assert_eq!(cluster.generations(), [3; VMS + 1]);
}

/// The reply to the keeper's write is lost after the write took effect. A keeper
/// that repeated the write would count one edit as two generations.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_makes_no_second_generation() {
    let cluster = ready_cluster().await;
    cluster.store.fault(|faults| faults.lose_replies = 1);
    let key = document::text_key(&service());
    use store::Api as _;
    let put = cluster
        .store
        .put(&key, "{\"team\": \"a\"}".into(), store::Condition::Any);
    assert!(matches!(put.await, Err(store::Error::Unconfirmed { .. })));
    cluster.store.fault(|faults| faults.lose_replies = 1);
    advance(8).await;
    assert_eq!(cluster.generations(), [1; VMS]);
}

/// A valid layout reaches every VM. One that names an unlisted upstream reaches
/// none and is reported.
#[tokio::test(start_paused = true)]
async fn layouts_are_distributed_and_invalid_ones_are_reported() {
    use store::Api as _;
    let cluster = ready_cluster().await;
    cluster.edit("{\"team\": \"a\"}").await;
    let good = "{\"version\": 3, \"upstreams\": [], \"shards\": []}";
    let key = crate::layout::key(&service());
    cluster
        .store
        .put(&key, good.into(), store::Condition::Any)
        .await
        .unwrap();
    advance(6).await;
    let bad =
        "{\"version\": 4, \"upstreams\": [], \"shards\": [{\"id\": \"s\", \"replicas\": [\"u\"]}]}";
    cluster
        .store
        .put(&key, bad.into(), store::Condition::Any)
        .await
        .unwrap();
    advance(6).await;
    let versions = cluster
        .catalogs
        .iter()
        .map(|catalog| catalog.layout(&service()).unwrap().version.0);
    assert_eq!(versions.collect::<Vec<_>>(), [3; VMS]);
    let status = cluster.status();
    assert_eq!(status.layout_findings.len(), 1);
    assert!(
        status.layout_findings[0]
            .problem
            .contains("names upstream u")
    );
}

/// Two VMs don't see each other, so both are keepers, while operators edit in
/// quick succession. Each generation must stand for one document only, or VMs of
/// the same generation would permanently apply different documents.
#[tokio::test(start_paused = true)]
async fn two_concurrent_keepers_accept_one_document_per_generation() {
    for seed in 0..3u64 {
        let mut cluster = Cluster::new();
        cluster
            .store
            .fault(|faults| faults.slow = time::Duration::from_millis(30));
        for index in 0..2 {
            let alone = vec![view(2).members[index].clone()];
            cluster.start_with_view(index, alone);
        }
        advance(3).await;
        let mut seen = std::collections::BTreeMap::new();
        for edit in 0..150 {
            if edit % 3 == 0 {
                let text = format!("{{\"team\": \"a\", \"deadline_ms\": {}}}", 100 + edit);
                cluster.edit(&text).await;
            }
            let wait = time::Duration::from_millis(7 + (edit * 13 + seed * 5) % 40);
            tokio::time::sleep(wait).await;
            for catalog in &cluster.catalogs {
                if let Some((generation, document)) = catalog.document(&service()) {
                    let first = seen.entry(generation).or_insert_with(|| document.clone());
                    assert_eq!(*first, document, "seed {seed}, generation {generation}");
                }
            }
        }
        assert!(seen.len() > 10, "{} generations", seen.len());
    }
}
