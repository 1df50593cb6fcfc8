use super::*;

/// A VM is paused for a minute. A subscriber with a period of one second must not get
/// 60 ticks at once when the VM resumes, and send its peers 60 rounds of messages.
#[tokio::test(start_paused = true)]
async fn missed_ticks_come_once() {
    let second = time::Duration::from_secs(1);
    let service = Service::new(sync::CancellationToken::new());
    let mut ticks = service.every(second, second);
    clock::advance(60 * second).await;
    assert_eq!(ticks.tick().await, Some(()));
    let resumed = clock::Instant::now();
    assert_eq!(ticks.tick().await, Some(()));
    assert!(resumed.elapsed() >= second);
}

#[tokio::test(start_paused = true)]
async fn stopping_the_service_ends_its_subscriptions() {
    let service = Service::new(sync::CancellationToken::new());
    let mut ticks = service.jittered(time::Duration::from_secs(5));
    service.stop().cancel();
    assert_eq!(ticks.tick().await, None);
}
