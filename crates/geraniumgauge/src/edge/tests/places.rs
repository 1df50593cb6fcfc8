//! Which connections make room for others.

use std::time;

use crate::edge;
use crate::edge::overload;
use crate::edge::places;
use crate::memory;
use crate::metrics;
use crate::rate;

const BUDGET: rate::Bytes = rate::Bytes(80 << 10);

fn places(max: usize) -> places::Places {
    let metrics = metrics::Metrics::new().expect("metrics");
    let instruments = edge::Instruments::new(&metrics.meter());
    let overload = overload::Overload::new(instruments);
    places::Places::new(max, memory::Budget::new(BUDGET), overload)
}

/// Runs a test in virtual time.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(test);
}

fn enter(places: &places::Places, stage: places::Stage) -> places::Place {
    let place = places.enter().expect("a place");
    place.set_stage(stage, tokio::time::Instant::now());
    place
}

async fn wait(millis: u64) {
    tokio::time::advance(time::Duration::from_millis(millis)).await;
}

async fn is_ended(place: &places::Place) -> bool {
    tokio::time::timeout(time::Duration::ZERO, place.ended())
        .await
        .is_ok()
}

/// Guards against a crowd of slow clients that takes all connections, so that each new caller
/// is turned away.
#[test]
fn a_slow_request_makes_room_for_a_new_connection() {
    run(async {
        let places = places(4);
        let idle = enter(&places, places::Stage::Idle);
        wait(9000).await;
        let running = enter(&places, places::Stage::Receiving);
        running.start_running();
        let slow = enter(&places, places::Stage::Receiving);
        wait(300).await;
        let recent = enter(&places, places::Stage::Receiving);
        let new = places.enter();
        assert!(new.is_some());
        assert!(is_ended(&slow).await);
        for other in [&idle, &running, &recent] {
            assert!(!is_ended(other).await);
        }
    });
}

/// Guards against a crowd of idle connections that makes a VM end those that have just come.
#[test]
fn an_idle_connection_goes_before_a_recent_one() {
    run(async {
        let places = places(2);
        let idle = enter(&places, places::Stage::Idle);
        let recent = places.enter().expect("a place");
        assert!(places.enter().is_some());
        assert!(is_ended(&idle).await);
        assert!(!is_ended(&recent).await);
    });
}

/// Guards against a running request that is cut for a new connection, though it may have run.
#[test]
fn a_running_request_is_never_ended() {
    run(async {
        let places = places(1);
        let running = enter(&places, places::Stage::Receiving);
        running.start_running();
        wait(60_000).await;
        assert!(places.enter().is_none());
        assert!(!is_ended(&running).await);
        drop(running);
        assert!(places.enter().is_some());
    });
}

/// A connection whose message holds a part of the budget.
struct Holder {
    place: places::Place,
    _hold: memory::Hold,
}

fn hold(places: &places::Places, bytes: rate::Bytes) -> Holder {
    let place = enter(places, places::Stage::Receiving);
    let mut hold = places.budget().hold();
    hold.resize(bytes).expect("room");
    place.set_held(bytes);
    place.set_moved(bytes, tokio::time::Instant::now());
    Holder { place, _hold: hold }
}

/// Guards against held bodies that take up all memory, so that each further one is refused.
#[test]
fn a_stalled_message_makes_room_for_one_that_comes() {
    run(async {
        let places = places(8);
        let stalled = hold(&places, rate::Bytes(30 << 10));
        wait(5000).await;
        let quick = hold(&places, rate::Bytes(30 << 10));
        let own = enter(&places, places::Stage::Receiving);
        let missing = rate::Bytes(20 << 10);
        let ending = async {
            stalled.place.ended().await;
            drop(stalled);
        };
        let (made, ()) = tokio::join!(places.make_room(Some(&own), missing), ending);
        assert!(made);
        assert!(!is_ended(&quick.place).await);
        let mut hold = places.budget().hold();
        hold.resize(missing).expect("the stalled one's part");
    });
}

/// Guards against a slow message that ends quicker ones to make room for itself.
#[test]
fn the_slowest_message_makes_no_room_for_itself() {
    run(async {
        let places = places(8);
        let slow = hold(&places, rate::Bytes(30 << 10));
        wait(5000).await;
        let quick = hold(&places, rate::Bytes(30 << 10));
        assert!(!places.make_room(Some(&slow.place), BUDGET).await);
        assert!(!is_ended(&quick.place).await);
    });
}

/// Guards against limits whose sum is more than the memory of a machine.
#[test]
fn the_parts_of_a_machine_are_within_its_memory() {
    for (megabytes, descriptors) in [(160, 4100), (260, 4100), (512, 8192)] {
        let memory = megabytes * 1_000_000;
        let capacity = edge::Capacity::of(rate::Bytes(memory), descriptors);
        let sockets = 2 * capacity.socket_buffer.0 * capacity.connections as u64;
        assert!(sockets + capacity.messages.0 <= memory * 5 / 8);
        assert!(capacity.connections >= 1000);
        assert!(capacity.messages.0 >= 20 * (256 << 10));
    }
}
