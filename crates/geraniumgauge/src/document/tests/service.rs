use std::collections;

use super::*;
use crate::metrics;

/// Posts and gossip of VMs in one process.
#[derive(Default)]
struct Hub {
    services: sync::Mutex<collections::BTreeMap<ids::Vm, Service>>,
}

struct Link {
    hub: sync::Arc<Hub>,
    local: ids::Vm,
}

impl mesh::Sender for Link {
    fn send(&self, to: &ids::Vm, body: message::Body) -> Result<(), mesh::Error> {
        let service = self.hub.services.lock().unwrap().get(to).cloned();
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

struct Talk(channel::broadcast::Sender<member::Update>);

impl Gossip for Talk {
    fn publish(&self, rumour: member::Update) {
        let _ = self.0.send(rumour);
    }

    fn rumours(&self) -> channel::broadcast::Receiver<member::Update> {
        self.0.subscribe()
    }
}

/// Eight VMs, a fake store and everything between them.
struct Site {
    store: store::Fake,
    hub: sync::Arc<Hub>,
    talk: sync::Arc<Talk>,
    view: channel::watch::Sender<member::SharedView>,
    catalogs: Vec<document::Catalog>,
    clock: clock::Clock,
    timer: timer::Service,
}

const VMS: usize = 8;

fn vm(index: usize) -> ids::Vm {
    format!("vm-{index}").parse().unwrap()
}

fn desk() -> ids::Service {
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

impl Site {
    fn new() -> Self {
        Self {
            store: store::Fake::new(),
            hub: sync::Arc::new(Hub::default()),
            talk: sync::Arc::new(Talk(channel::broadcast::channel(1024).0)),
            view: channel::watch::channel(view(VMS)).0,
            catalogs: Vec::new(),
            clock: clock::Clock::start(),
            timer: timer::Service::new(tokio_util::sync::CancellationToken::new()),
        }
    }

    /// Starts the VM `index` with its own local view.
    fn start(&mut self, index: usize) -> Service {
        let members = self.view.borrow().members.clone();
        self.start_seeing(index, members)
    }

    /// Starts the VM `index`, which sees only these members.
    fn start_seeing(&mut self, index: usize, members: Vec<member::Member>) -> Service {
        let catalog = document::Catalog::default();
        self.catalogs.push(catalog.clone());
        let local = member::View::new(vm(index), members);
        let (sender, receiver) = channel::watch::channel(sync::Arc::new(local));
        std::mem::forget(sender);
        let config = Config {
            vm: vm(index),
            data_centre: format!("dc-{}", index % 3).parse().unwrap(),
        };
        let parts = Parts {
            catalog,
            view: receiver,
            post: sync::Arc::new(Link {
                hub: self.hub.clone(),
                local: vm(index),
            }),
            gossip: self.talk.clone(),
            store: sync::Arc::new(self.store.clone()),
            clock: self.clock,
            timer: self.timer.clone(),
        };
        let meter = metrics::Metrics::new().unwrap().meter();
        let service = Service::start(config, parts, &meter);
        let mut services = self.hub.services.lock().unwrap();
        services.insert(vm(index), service.clone());
        service
    }

    async fn edit(&self, text: &str) {
        use store::Api as _;
        let body = bytes::Bytes::copy_from_slice(text.as_bytes());
        let key = document::text_key(&desk());
        self.store
            .put(&key, body, store::Condition::Any)
            .await
            .unwrap();
    }

    fn generations(&self) -> Vec<u64> {
        let generation = |catalog: &document::Catalog| catalog.document(&desk()).map(|d| d.0.0);
        self.catalogs
            .iter()
            .map(|c| generation(c).unwrap_or(0))
            .collect()
    }

    fn status(&self) -> document::Status {
        let object = self
            .store
            .objects()
            .get(&document::status_key(&desk()))
            .unwrap();
        serde_json::from_slice(&object.body).unwrap()
    }
}

async fn pass(seconds: u64) {
    for _ in 0..seconds * 50 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

async fn site() -> Site {
    let mut site = Site::new();
    let services: Vec<_> = (0..VMS).map(|index| site.start(index)).collect();
    pass(3).await;
    assert!(services.iter().all(|service| *service.ready().borrow()));
    site
}

#[tokio::test(start_paused = true)]
async fn an_edit_is_in_force_everywhere_within_six_seconds() {
    let site = site().await;
    site.edit("{\"team\": \"a\"}").await;
    pass(6).await;
    assert_eq!(site.generations(), [1; VMS]);
    let status = site.status();
    assert_eq!((status.in_force, status.vms), (8, 8));
    let object = site.store.objects().get(document::REPORTED).unwrap();
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

/// Story: an operator saves a broken text. Requests go on by the accepted one,
/// and `status` says what is wrong, where, and what to do.
#[tokio::test(start_paused = true)]
async fn a_broken_edit_is_reported_and_changes_nothing() {
    let site = site().await;
    site.edit("{\"team\": \"a\"}").await;
    pass(6).await;
    site.edit("{\"team\": \"a\", \"dedline_ms\": 5}").await;
    pass(4).await;
    assert_eq!(site.generations(), [1; VMS]);
    let document::Verdict::Refused { findings, .. } = site.status().document else {
        panic!("a broken text was not refused");
    };
    assert!(findings[0].remedy.contains("deadline_ms"));
}

/// Story: the store is out for minutes, loses an hour and comes back. Every VM
/// keeps what is in force, a VM that starts meanwhile gets it from the others,
/// and the store is mended before a later edit.
#[tokio::test(start_paused = true)]
async fn an_outage_and_an_older_store_change_nothing_in_force() {
    let mut site = site().await;
    site.edit("{\"team\": \"a\"}").await;
    pass(6).await;
    let old = site.store.objects();
    site.edit("{\"team\": \"a\", \"deadline_ms\": 700}").await;
    pass(6).await;
    site.store.fault(|faults| faults.down = true);
    pass(180).await;
    let late = site.start(VMS);
    pass(6).await;
    assert!(
        *late.ready().borrow(),
        "a majority answers while the store is out"
    );
    assert_eq!(site.generations(), [2; VMS + 1]);
    site.store.restore(old);
    site.store.fault(|faults| faults.down = false);
    pass(15).await;
    assert_eq!(site.generations(), [2; VMS + 1]);
    site.edit("{\"team\": \"a\", \"deadline_ms\": 800}").await;
    pass(6).await;
    assert_eq!(site.generations(), [3; VMS + 1]);
}

/// Story: the reply to the keeper's write is lost after it took effect. A
/// keeper that wrote again would count one edit as two generations.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_makes_no_second_generation() {
    let site = site().await;
    site.store.fault(|faults| faults.lose_replies = 1);
    let key = document::text_key(&desk());
    use store::Api as _;
    let put = site
        .store
        .put(&key, "{\"team\": \"a\"}".into(), store::Condition::Any);
    assert!(matches!(put.await, Err(store::Error::Unconfirmed { .. })));
    site.store.fault(|faults| faults.lose_replies = 1);
    pass(8).await;
    assert_eq!(site.generations(), [1; VMS]);
}

/// A layout reaches every VM by the same path; one that names an upstream it
/// doesn't list reaches none and is reported.
#[tokio::test(start_paused = true)]
async fn layouts_spread_and_bad_ones_are_reported() {
    use store::Api as _;
    let site = site().await;
    site.edit("{\"team\": \"a\"}").await;
    let good = "{\"version\": 3, \"upstreams\": [], \"shards\": []}";
    let key = crate::layout::key(&desk());
    site.store
        .put(&key, good.into(), store::Condition::Any)
        .await
        .unwrap();
    pass(6).await;
    let bad =
        "{\"version\": 4, \"upstreams\": [], \"shards\": [{\"id\": \"s\", \"replicas\": [\"u\"]}]}";
    site.store
        .put(&key, bad.into(), store::Condition::Any)
        .await
        .unwrap();
    pass(6).await;
    let versions = site
        .catalogs
        .iter()
        .map(|catalog| catalog.layout(&desk()).unwrap().version.0);
    assert_eq!(versions.collect::<Vec<_>>(), [3; VMS]);
    let status = site.status();
    assert_eq!(status.layout_findings.len(), 1);
    assert!(
        status.layout_findings[0]
            .problem
            .contains("names upstream u")
    );
}

/// Story: two VMs don't see each other, so both are keepers, and operators edit
/// in quick succession. Each generation must stand for one document only, or
/// VMs of the same generation would apply different ones for good.
#[tokio::test(start_paused = true)]
async fn two_keepers_at_once_make_one_document_a_generation() {
    for seed in 0..3u64 {
        let mut site = Site::new();
        site.store
            .fault(|faults| faults.slow = time::Duration::from_millis(30));
        for index in 0..2 {
            let alone = vec![view(2).members[index].clone()];
            site.start_seeing(index, alone);
        }
        pass(3).await;
        let mut seen = std::collections::BTreeMap::new();
        for edit in 0..150 {
            if edit % 3 == 0 {
                let text = format!("{{\"team\": \"a\", \"deadline_ms\": {}}}", 100 + edit);
                site.edit(&text).await;
            }
            let wait = time::Duration::from_millis(7 + (edit * 13 + seed * 5) % 40);
            tokio::time::sleep(wait).await;
            for catalog in &site.catalogs {
                if let Some((generation, document)) = catalog.document(&desk()) {
                    let first = seen.entry(generation).or_insert_with(|| document.clone());
                    assert_eq!(*first, document, "seed {seed}, generation {generation}");
                }
            }
        }
        assert!(seen.len() > 10, "{} generations", seen.len());
    }
}
