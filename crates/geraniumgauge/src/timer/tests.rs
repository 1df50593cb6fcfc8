use super::*;

/// Story: a VM is paused for a minute. On waking, a part that ticks each second
/// must not run sixty rounds at once and flood its peers.
#[tokio::test(start_paused = true)]
async fn missed_ticks_come_once() {
    let second = time::Duration::from_secs(1);
    let service = Service::new(sync::CancellationToken::new());
    let mut ticks = service.every(second, second);
    clock::advance(60 * second).await;
    assert_eq!(ticks.tick().await, Some(()));
    let woken = clock::Instant::now();
    assert_eq!(ticks.tick().await, Some(()));
    assert!(woken.elapsed() >= second);
}

#[tokio::test(start_paused = true)]
async fn stopping_the_service_ends_its_subscriptions() {
    let service = Service::new(sync::CancellationToken::new());
    let mut ticks = service.jittered(time::Duration::from_secs(5));
    service.stop().cancel();
    assert_eq!(ticks.tick().await, None);
}
