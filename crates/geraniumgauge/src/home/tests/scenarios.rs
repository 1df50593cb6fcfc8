//! Scenarios of single failures.

use super::world::World;
use super::world::millis;
use super::*;

/// More calls wait than can run before their deadlines. A caller that is refused at
/// once can go elsewhere; one that is refused at its deadline can't.
#[test]
fn a_call_that_would_come_too_late_is_refused_at_once() {
    let mut world = World::new(2, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let calls: Vec<_> = (0..20).map(|_| world.call(millis(100))).collect();
    let late = calls
        .iter()
        .filter(|id| world.outcome(id) == Some(Outcome::Late));
    let late = late.count();
    assert!((8..=13).contains(&late), "{late} refused");
    assert_eq!(world.running.len(), 2);
}

/// Open connections go silent while new ones work. Later calls must neither wait
/// behind the silent ones nor use connections that are as old.
#[test]
fn calls_after_a_silent_one_go_on_new_connections() {
    let mut world = World::new(2, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let silent = [world.call(millis(1000)), world.call(millis(1000))];
    world.pass(millis(60));
    let next = world.call(millis(1000));
    let (_, connection_id, must_connect) = world.sent.last().unwrap().clone();
    assert!(
        must_connect,
        "sent on a connection as old as the silent ones"
    );
    world.pass(millis(20));
    world.finish(connection_id, UpstreamOutcome::Done);
    assert_eq!(world.outcome(&next), Some(Outcome::Hits));
    world.pass_with_control(millis(300));
    for id in silent {
        assert_eq!(world.outcome(&id), Some(Outcome::Silent));
    }
    let closed = world
        .closed
        .iter()
        .filter(|(_, reason)| *reason == CloseReason::Silent);
    assert!(closed.count() >= 2);
}

/// The whole upstream becomes ten times slower. Its calls must not be ended as silent
/// for ever, since it does answer them.
#[test]
fn calls_succeed_again_after_an_upstream_slows_down() {
    let mut world = World::new(1, 25, PRIMARY);
    world.run_calls(50, millis(20));
    let mut answered = 0;
    for _ in 0..40 {
        let id = world.call(millis(5000));
        world.pass_with_control(millis(200));
        if let Some(connection_id) = world.connection_of(&id) {
            world.finish(connection_id, UpstreamOutcome::Done);
        }
        answered += usize::from(world.outcome(&id) == Some(Outcome::Hits));
        world.pass_with_control(millis(400));
    }
    assert!(answered >= 30, "{answered} of 40 answered");
}

/// An upstream drains while its health report still says up. It must get no new call
/// after the first refusal.
#[test]
fn no_call_follows_a_refusal_as_draining() {
    let mut world = World::new(2, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let (first, second) = (world.call(millis(1000)), world.call(millis(1000)));
    let waiting = world.call(millis(1000));
    let connection_id = world.connection_of(&first).unwrap();
    world.finish(connection_id, UpstreamOutcome::Draining);
    assert_eq!(world.outcome(&waiting), Some(Outcome::Draining));
    world.pass_with_control(millis(50));
    let connection_id = world
        .connection_of(&second)
        .expect("not ended by the drain");
    world.finish(connection_id, UpstreamOutcome::Done);
    assert_eq!(world.outcome(&second), Some(Outcome::Hits));
    let refused = |world: &mut World, seconds: usize| {
        for _ in 0..seconds * 10 {
            world.pass_with_control(millis(100));
            let id = world.call(millis(1000));
            assert_eq!(world.outcome(&id), Some(Outcome::Draining));
        }
    };
    refused(&mut world, 19);
    assert_eq!(world.sent.len(), 2);
    // After the hold, one call tests whether it still drains.
    world.pass_with_control(millis(1000));
    let test = world.call(millis(1000));
    let connection_id = world.connection_of(&test).expect("sent after the hold");
    world.finish(connection_id, UpstreamOutcome::Draining);
    refused(&mut world, 39);
}

/// A health report wrongly says draining while the upstream works. Acting on it would
/// take a good replica out of use.
#[test]
fn a_wrong_report_of_draining_stops_no_calls() {
    let mut world = World::new(2, 25, PRIMARY);
    world.run_calls(20, millis(20));
    world.status = upstream::Status::Draining;
    for _ in 0..50 {
        let id = world.call(millis(1000));
        let connection_id = world.connection_of(&id).expect("sent at once");
        world.pass_with_control(millis(20));
        world.finish(connection_id, UpstreamOutcome::Done);
    }
}

/// An upstream stops after a drain and restarts at the same address. It must get work
/// again, one call at a time while it is cold.
#[test]
fn a_drained_upstream_that_comes_back_is_used_again() {
    let mut world = World::new(4, 110, PRIMARY);
    world.run_calls(20, millis(20));
    let first = world.call(millis(1000));
    let running = world.call(millis(1000));
    let connection_id = world.connection_of(&first).unwrap();
    world.finish(connection_id, UpstreamOutcome::Draining);
    let connection_id = world.connection_of(&running).unwrap();
    world.finish(connection_id, UpstreamOutcome::Lost);
    world.pass_with_control(millis(1500));
    let calls: Vec<_> = (0..3).map(|_| world.call(millis(1000))).collect();
    assert_eq!(world.running.len(), 1);
    let connection_id = world.connection_of(&calls[0]).unwrap();
    world.finish(connection_id, UpstreamOutcome::Done);
    assert_eq!(world.outcome(&calls[0]), Some(Outcome::Hits));
}

/// A query no longer needs a call. The upstream is asked to stop it, and its slot is
/// not reused before the upstream has.
#[test]
fn a_cancelled_call_keeps_its_slot_until_the_upstream_ends_it() {
    let mut world = World::new(1, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let first = world.call(millis(1000));
    let next = world.call(millis(1000));
    let connection_id = world.connection_of(&first).unwrap();
    world.handle(Event::Cancel(first.clone()));
    assert_eq!(world.outcome(&first), Some(Outcome::Cancelled));
    assert_eq!(world.cancels, [connection_id]);
    assert_eq!(world.connection_of(&next), None);
    world.finish(connection_id, UpstreamOutcome::Failed);
    assert_eq!(world.connection_of(&next), Some(connection_id));
}

/// Guards against a request that crashes its upstream just after it was cancelled and is
/// never suspected.
#[test]
fn the_loss_of_a_cancelled_call_is_reported_once_a_probe_fails() {
    let mut world = World::new(1, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let call = world.call(millis(1000));
    let connection_id = world.connection_of(&call).unwrap();
    world.handle(Event::Cancel(call.clone()));
    world.finish(connection_id, UpstreamOutcome::Lost);
    assert_eq!(world.lost, []);
    let report = Err(upstream::Unanswered {
        connect_failed: true,
    });
    for began in std::mem::take(&mut world.probes) {
        world.handle(Event::Probed { began, report });
    }
    assert_eq!(world.lost, [call]);
}

/// Guards against a suspicion of requests whose cancelled calls the upstream ended by
/// closing the connection.
#[test]
fn the_end_of_a_cancelled_call_is_no_loss_while_the_upstream_answers() {
    let mut world = World::new(1, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let call = world.call(millis(1000));
    let connection_id = world.connection_of(&call).unwrap();
    world.handle(Event::Cancel(call));
    world.finish(connection_id, UpstreamOutcome::Lost);
    world.answer_control();
    world.pass(millis(2000));
    assert_eq!(world.lost, []);
}

#[test]
fn a_record_is_awaited_past_its_deadline_and_never_cancelled() {
    let mut world = World::new(2, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let job = world.record(millis(100));
    let record = world.submit(job);
    world.handle(Event::Cancel(record.clone()));
    world.pass_with_control(millis(500));
    assert_eq!((world.outcome(&record), world.cancels.len()), (None, 0));
    let connection_id = world.connection_of(&record).unwrap();
    world.finish(connection_id, UpstreamOutcome::Done);
    assert_eq!(world.outcome(&record), Some(Outcome::Hits));
}

/// This VM stops, or the upstream moves to another home. Waiting calls are refused so
/// that they can go elsewhere; running calls are finished.
#[test]
fn a_home_that_stops_refuses_waiting_calls_and_finishes_running_calls() {
    for (event, outcome) in [
        (Event::Leave, Outcome::Stopping),
        (Event::Role(None), Outcome::NotHome),
    ] {
        let mut world = World::new(1, 25, PRIMARY);
        world.run_calls(20, millis(20));
        let running = world.call(millis(9000));
        let waiting = world.call(millis(9000));
        world.handle(event);
        if outcome == Outcome::NotHome {
            // Other VMs may not have the new view yet.
            assert_eq!(world.outcome(&waiting), None);
            world.pass(MOVE_GRACE);
        }
        assert_eq!(world.outcome(&waiting), Some(outcome));
        let connection_id = world.connection_of(&running).expect("still runs");
        world.finish(connection_id, UpstreamOutcome::Done);
        assert_eq!(world.outcome(&running), Some(Outcome::Hits));
        assert!(world.state.is_idle() && world.open.is_empty());
    }
}

/// An upstream crashes and its port is closed. Calls to it must fail at once instead
/// of each trying to connect.
#[test]
fn calls_for_an_upstream_that_is_down_are_refused_at_once() {
    let mut world = World::new(2, 25, PRIMARY);
    world.run_calls(20, millis(20));
    let first = world.call(millis(1000));
    let connection_id = world.connection_of(&first).unwrap();
    world.finish(connection_id, UpstreamOutcome::Lost);
    assert_eq!(world.outcome(&first), Some(Outcome::Lost));
    let refused = Err(upstream::Unanswered {
        connect_failed: true,
    });
    let began = world.probes.pop().expect("probed at once");
    world.pass(millis(1));
    world.handle(Event::Probed {
        began,
        report: refused,
    });
    let next = world.call(millis(1000));
    assert_eq!(world.outcome(&next), Some(Outcome::Unreachable));
}

/// An upstream sheds calls although this home leaves slots free, since others use it
/// too. The limit must fall, then rise again.
#[test]
fn sheds_lower_the_limit_and_successes_raise_it() {
    let mut world = World::new(4, 110, PRIMARY);
    world.run_calls(20, millis(20));
    for _ in 0..6 {
        world.call(millis(1000));
        let Some((&connection_id, _)) = world.running.first_key_value() else {
            break;
        };
        world.finish(connection_id, UpstreamOutcome::Shed);
        world.pass(millis(20));
    }
    world.pass(millis(500));
    (0..8).for_each(|_| drop(world.call(millis(9000))));
    assert_eq!(world.running.len(), 1);
    for _ in 0..40 {
        let (&connection_id, _) = world.running.first_key_value().unwrap();
        world.pass_with_control(millis(20));
        world.finish(connection_id, UpstreamOutcome::Done);
        world.call(millis(9000));
    }
    assert_eq!(world.running.len(), 4);
}
