use super::*;

use tokio_util::sync as signals;

use crate::metrics;

struct Vm {
    service: Service,
    address: net::SocketAddr,
    stop: signals::CancellationToken,
}

async fn start(name: &str, seeds: Vec<net::SocketAddr>, store: &store::Fake) -> Vm {
    let socket = sockets::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let data_centre = "dc-1".parse().unwrap();
    let vm = name.parse().unwrap();
    let mut config = Config::new(vm, ids::Incarnation(1), data_centre, address, socket);
    config.seeds = seeds;
    config.settings.tick_interval = time::Duration::from_millis(5);
    config.settings.probe_interval = time::Duration::from_millis(50);
    config.settings.gossip_interval = time::Duration::from_millis(10);
    let stop = signals::CancellationToken::new();
    let timer = timer::Service::new(stop.clone());
    let store = sync::Arc::new(store.clone());
    let meter = metrics::Metrics::new().unwrap().meter();
    let service = Service::start(config, store, clock::Clock::start(), timer, &meter);
    Vm {
        service,
        address,
        stop,
    }
}

async fn sees(vm: &Vm, wanted: impl Fn(&member::View) -> bool) {
    let mut view = vm.service.view();
    view.wait_for(|view| wanted(view)).await.unwrap();
}

/// A new VM that starts while the store is unavailable must join by its seeds alone.
#[tokio::test]
async fn a_new_vm_joins_by_its_seeds_while_the_store_is_down() {
    let store = store::Fake::default();
    store.fault(|faults| faults.down = true);
    let first = start("a", Vec::new(), &store).await;
    let second = start("b", vec![first.address], &store).await;
    sees(&first, |view| view.members.len() == 2).await;
    sees(&second, |view| view.members.len() == 2).await;
}

#[tokio::test]
async fn vms_find_each_other_by_the_platform_list_and_share_updates() {
    let store = store::Fake::default();
    let first = start("a", Vec::new(), &store).await;
    store.set_vms(vec![store::Vm {
        vm: "a".parse().unwrap(),
        address: first.address,
        data_centre: "dc-1".parse().unwrap(),
        leaving: false,
    }]);
    let second = start("b", Vec::new(), &store).await;
    sees(&first, |view| view.members.len() == 2).await;
    let mut received = second.service.updates();
    let update = member::Update {
        topic: member::Topic::Mark,
        key: "77".to_owned(),
        version: 1,
        body: bytes::Bytes::from_static(b"suspect"),
    };
    first.service.publish(update.clone());
    assert_eq!(received.recv().await.unwrap(), update);
    let held = second.service.all_updates(member::Topic::Mark);
    assert_eq!(held, [update]);
}

#[tokio::test]
async fn a_leaving_vm_is_known_as_such_and_a_dead_one_removed() {
    let store = store::Fake::default();
    let first = start("a", Vec::new(), &store).await;
    let second = start("b", vec![first.address], &store).await;
    sees(&second, |view| view.members.len() == 2).await;
    second.service.leave().await;
    let left = |view: &member::View| {
        let member = view.get(&"b".parse().unwrap());
        member.is_some_and(|member| member.state == member::State::Leaving)
    };
    sees(&first, left).await;
    second.stop.cancel();
    sees(&first, |view| view.members.len() == 1).await;
}

#[tokio::test]
async fn leaving_alone_or_after_the_stop_returns() {
    let alone = start("a", Vec::new(), &store::Fake::default()).await;
    alone.service.leave().await;
    alone.stop.cancel();
    alone.service.leave().await;
}
