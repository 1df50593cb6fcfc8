use super::*;
use crate::metrics;
use crate::query;
use crate::slo::Record as _;

fn service() -> ids::Service {
    "desk".parse().unwrap()
}

struct Cluster {
    store: store::Fake,
    catalog: document::Catalog,
    clock: clock::Clock,
    timer: timer::Service,
}

impl Cluster {
    fn new() -> Self {
        let catalog = document::Catalog::default();
        let document = document::Document::default();
        catalog.put_document(&service(), ids::Generation(1), document);
        Self {
            store: store::Fake::new(),
            catalog,
            clock: clock::Clock::start(),
            timer: timer::Service::new(tokio_util::sync::CancellationToken::new()),
        }
    }

    fn vm(&self, name: &str, incarnation: u64) -> Service {
        let config = Config {
            vm: name.parse().unwrap(),
            incarnation: ids::Incarnation(incarnation),
        };
        let meter = metrics::Metrics::new().unwrap().meter();
        let store = sync::Arc::new(self.store.clone());
        let catalog = self.catalog.clone();
        Service::start(
            config,
            catalog,
            store,
            self.clock,
            self.timer.clone(),
            &meter,
        )
    }

    async fn requests(&self) -> u64 {
        let report = slo::report(&self.store, &service(), self.clock.wall())
            .await
            .unwrap();
        report.indicators[2].windows[3].total
    }
}

fn event(refused: bool) -> slo::Event {
    slo::Event {
        service: service(),
        in_time: !refused,
        complete: false,
        refused,
        missing: vec![(query::Reason::Overloaded, 2), (query::Reason::Deadline, 1)],
        first_attempts: 20,
        extra_attempts: 1,
    }
}

async fn advance(seconds: u64) {
    for _ in 0..seconds * 10 {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

/// All VMs are replaced several times. The report must still include the requests
/// that they counted, whichever VM delivered, closed or folded the counts.
#[tokio::test(start_paused = true)]
async fn counts_survive_the_replacement_of_all_vms() {
    let cluster = Cluster::new();
    for generation in 0..3 {
        let vms: Vec<_> = (0..8)
            .map(|n| cluster.vm(&format!("vm-{n}"), generation))
            .collect();
        for vm in &vms {
            (0..10).for_each(|_| vm.record(&event(false)));
        }
        advance(120).await;
        for vm in &vms {
            vm.record(&event(true));
            vm.flush().await;
        }
    }
    assert_eq!(cluster.requests().await, 3 * 8 * 11);
    let report = slo::report(&cluster.store, &service(), cluster.clock.wall())
        .await
        .unwrap();
    assert_eq!(
        report.worst().map(|worst| worst.reason),
        Some(query::Reason::Overloaded)
    );
    let complete = &report.indicators[1];
    assert_eq!(
        (complete.windows[3].bad, complete.windows[3].total),
        (240, 240)
    );
    assert!(complete.budget_left < 0.0);
}

/// The store loses replies to writes that took effect. If a VM sent its counts
/// again, they would be doubled in the report, which would show a false burn rate.
#[tokio::test(start_paused = true)]
async fn lost_replies_neither_double_nor_lose_counts() {
    for seed in 0..20u32 {
        let cluster = Cluster::new();
        let vms: Vec<_> = (0..4).map(|n| cluster.vm(&format!("vm-{n}"), 1)).collect();
        for round in 0..6 {
            vms.iter().for_each(|vm| vm.record(&event(false)));
            cluster.store.fault(|faults| {
                faults.lose_replies = (seed + round) % 4;
                faults.lose_writes = (seed * 7 + round) % 3;
            });
            advance(45).await;
        }
        cluster
            .store
            .fault(|faults| *faults = store::Faults::default());
        for vm in &vms {
            vm.flush().await;
        }
        assert_eq!(cluster.requests().await, 24, "seed {seed}");
    }
}

/// Replies to the writes that fold a batch are lost. A batch that a service's
/// object includes must not be added to it again.
#[tokio::test(start_paused = true)]
async fn lost_replies_while_folding_double_no_counts() {
    let cluster = Cluster::new();
    let vms: Vec<_> = (0..4).map(|n| cluster.vm(&format!("vm-{n}"), 1)).collect();
    for _ in 0..40 {
        vms.iter().for_each(|vm| vm.record(&event(false)));
        for _ in 0..2500 {
            cluster.store.fault(|faults| faults.lose_replies = 1);
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }
    cluster
        .store
        .fault(|faults| *faults = store::Faults::default());
    for vm in &vms {
        vm.flush().await;
    }
    assert_eq!(cluster.requests().await, 160);
}

/// The store is unavailable for longer than an inbox keeps a VM, right after a write
/// whose reply was lost. Counts may be lost then, but must not be doubled.
#[tokio::test(start_paused = true)]
async fn a_long_outage_doubles_no_counts() {
    let cluster = Cluster::new();
    let vm = cluster.vm("vm-0", 1);
    vm.record(&event(false));
    cluster.store.fault(|faults| {
        faults.lose_replies = 1;
        faults.slow = time::Duration::from_millis(10);
    });
    let flush = tokio::spawn({
        let vm = vm.clone();
        async move { vm.flush().await }
    });
    tokio::time::sleep(time::Duration::from_millis(25)).await;
    cluster.store.fault(|faults| faults.down = true);
    flush.await.unwrap();
    advance(4000).await;
    vm.record(&event(false));
    cluster
        .store
        .fault(|faults| *faults = store::Faults::default());
    advance(60).await;
    let counted = cluster.requests().await;
    assert!((1..=2).contains(&counted), "{counted}");
}

#[tokio::test(start_paused = true)]
async fn services_without_a_document_are_not_counted() {
    let cluster = Cluster::new();
    let vm = cluster.vm("vm-0", 1);
    vm.record(&slo::Event {
        service: "no-such-service".parse().unwrap(),
        ..event(true)
    });
    vm.flush().await;
    assert_eq!(cluster.store.count().writes, 0);
}

/// With 60 services and 8 VMs, deliveries and folds may use only a few of the
/// several hundred writes and two thousand reads per second that the store takes.
#[tokio::test(start_paused = true)]
async fn store_calls_stay_within_budget_at_60_services_and_8_vms() {
    let cluster = Cluster::new();
    let services: Vec<ids::Service> = (0..60).map(|n| format!("s-{n}").parse().unwrap()).collect();
    for service in &services {
        let document = document::Document::default();
        cluster
            .catalog
            .put_document(service, ids::Generation(1), document);
    }
    let vms: Vec<_> = (0..8).map(|n| cluster.vm(&format!("vm-{n}"), 1)).collect();
    const SECONDS: u64 = 600;
    for _ in 0..SECONDS / 10 {
        for vm in &vms {
            for service in &services {
                vm.record(&slo::Event {
                    service: service.clone(),
                    ..event(false)
                });
            }
        }
        advance(10).await;
    }
    let count = cluster.store.count();
    assert!(count.writes < 6 * SECONDS, "{count:?}");
    assert!(count.reads < 7 * SECONDS, "{count:?}");
}
