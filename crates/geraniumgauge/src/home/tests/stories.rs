//! Failures, one by one.

use super::fake::Bench;
use super::fake::millis;
use super::*;

/// Story: a queue holds more work than fits before the deadlines. A caller that
/// is told so at once can go elsewhere; one that is told at the deadline can't.
#[test]
fn a_call_that_would_come_too_late_is_refused_at_once() {
    let mut bench = Bench::new(2, 25, PRIMARY);
    bench.learn(20, millis(20));
    let calls: Vec<_> = (0..20).map(|_| bench.call(millis(100))).collect();
    let late = calls
        .iter()
        .filter(|id| bench.outcome(id) == Some(Outcome::Late));
    let late = late.count();
    assert!((8..=13).contains(&late), "{late} refused");
    assert_eq!(bench.flying.len(), 2);
}

/// Story: the connections go silent while new ones work. The first call waits;
/// calls after it must not wait behind it, nor go on connections as old as its.
#[test]
fn calls_after_a_silent_one_go_on_new_connections() {
    let mut bench = Bench::new(2, 25, PRIMARY);
    bench.learn(20, millis(20));
    let silent = [bench.call(millis(1000)), bench.call(millis(1000))];
    bench.pass(millis(60));
    let next = bench.call(millis(1000));
    let (_, link, fresh) = bench.sent.last().unwrap().clone();
    assert!(fresh, "sent on a connection as old as the silent ones");
    bench.pass(millis(20));
    bench.finish(link, Ended::Done);
    assert_eq!(bench.outcome(&next), Some(Outcome::Hits));
    bench.live(millis(300));
    for id in silent {
        assert_eq!(bench.outcome(&id), Some(Outcome::Silent));
    }
    let closed = bench.closed.iter().filter(|(_, why)| *why == Why::Silent);
    assert!(closed.count() >= 2);
}

/// Story: the whole upstream turns ten times slower. Its calls must not be cut
/// as silent for ever: slow answers are answers.
#[test]
fn an_upstream_that_slows_down_gets_answers_again() {
    let mut bench = Bench::new(1, 25, PRIMARY);
    bench.learn(50, millis(20));
    let mut answered = 0;
    for _ in 0..40 {
        let id = bench.call(millis(5000));
        bench.live(millis(200));
        if let Some(link) = bench.link_of(&id) {
            bench.finish(link, Ended::Done);
        }
        answered += usize::from(bench.outcome(&id) == Some(Outcome::Hits));
        bench.live(millis(400));
    }
    assert!(answered >= 30, "{answered} of 40 answered");
}

/// Story: an upstream drains while its health report still says up. Each call
/// sent after its first refusal would be new work at a leaving upstream.
#[test]
fn no_call_follows_a_refusal_as_draining() {
    let mut bench = Bench::new(2, 25, PRIMARY);
    bench.learn(20, millis(20));
    let (first, second) = (bench.call(millis(1000)), bench.call(millis(1000)));
    let waiting = bench.call(millis(1000));
    let link = bench.link_of(&first).unwrap();
    bench.finish(link, Ended::Draining);
    assert_eq!(bench.outcome(&waiting), Some(Outcome::Draining));
    bench.live(millis(50));
    let link = bench.link_of(&second).expect("not cut by the drain");
    bench.finish(link, Ended::Done);
    assert_eq!(bench.outcome(&second), Some(Outcome::Hits));
    let refused = |bench: &mut Bench, seconds: usize| {
        for _ in 0..seconds * 10 {
            bench.live(millis(100));
            let id = bench.call(millis(1000));
            assert_eq!(bench.outcome(&id), Some(Outcome::Draining));
        }
    };
    refused(&mut bench, 19);
    assert_eq!(bench.sent.len(), 2);
    // One call finds out, much later, whether it still drains.
    bench.live(millis(1000));
    let test = bench.call(millis(1000));
    let link = bench.link_of(&test).expect("sent after the hold");
    bench.finish(link, Ended::Draining);
    refused(&mut bench, 39);
}

/// Story: a health report claims draining while the upstream works. Believed,
/// it would take a good replica away.
#[test]
fn a_lying_report_of_draining_stops_nothing() {
    let mut bench = Bench::new(2, 25, PRIMARY);
    bench.learn(20, millis(20));
    bench.status = upstream::Status::Draining;
    for _ in 0..50 {
        let id = bench.call(millis(1000));
        let link = bench.link_of(&id).expect("sent at once");
        bench.live(millis(20));
        bench.finish(link, Ended::Done);
    }
}

/// Story: an upstream stops after a drain and comes back under the same
/// address. It must get work again, one call at a time while it is cold.
#[test]
fn a_drained_upstream_that_comes_back_is_used_again() {
    let mut bench = Bench::new(4, 110, PRIMARY);
    bench.learn(20, millis(20));
    let first = bench.call(millis(1000));
    let running = bench.call(millis(1000));
    let link = bench.link_of(&first).unwrap();
    bench.finish(link, Ended::Draining);
    let link = bench.link_of(&running).unwrap();
    bench.finish(link, Ended::Lost);
    bench.live(millis(1500));
    let calls: Vec<_> = (0..3).map(|_| bench.call(millis(1000))).collect();
    assert_eq!(bench.flying.len(), 1);
    let link = bench.link_of(&calls[0]).unwrap();
    bench.finish(link, Ended::Done);
    assert_eq!(bench.outcome(&calls[0]), Some(Outcome::Hits));
}

/// Story: a caller's query has its answer from elsewhere. The upstream is told
/// to stop, and its slot is not given away before it has.
#[test]
fn a_cancelled_call_keeps_its_slot_until_the_upstream_lets_go() {
    let mut bench = Bench::new(1, 25, PRIMARY);
    bench.learn(20, millis(20));
    let first = bench.call(millis(1000));
    let next = bench.call(millis(1000));
    let link = bench.link_of(&first).unwrap();
    bench.handle(Event::Cancel(first.clone()));
    assert_eq!(bench.outcome(&first), Some(Outcome::Cancelled));
    assert_eq!(bench.cancels, [link]);
    assert_eq!(bench.link_of(&next), None);
    bench.finish(link, Ended::Failed);
    assert_eq!(bench.link_of(&next), Some(link));
}

#[test]
fn a_record_is_waited_for_past_its_deadline_and_never_cancelled() {
    let mut bench = Bench::new(2, 25, PRIMARY);
    bench.learn(20, millis(20));
    let job = bench.record(millis(100));
    let record = bench.put(job);
    bench.handle(Event::Cancel(record.clone()));
    bench.live(millis(500));
    assert_eq!((bench.outcome(&record), bench.cancels.len()), (None, 0));
    let link = bench.link_of(&record).unwrap();
    bench.finish(link, Ended::Done);
    assert_eq!(bench.outcome(&record), Some(Outcome::Hits));
}

/// Story: this VM stops, or the replica moves to another home. What waits can
/// go elsewhere and is told so; what runs is finished.
#[test]
fn a_home_that_goes_hands_over_what_waits_and_finishes_what_runs() {
    for (event, outcome) in [
        (Event::Leave, Outcome::Stopping),
        (Event::Role(None), Outcome::NotHome),
    ] {
        let mut bench = Bench::new(1, 25, PRIMARY);
        bench.learn(20, millis(20));
        let running = bench.call(millis(9000));
        let waiting = bench.call(millis(9000));
        bench.handle(event);
        if outcome == Outcome::NotHome {
            // Others may not have the new view yet.
            assert_eq!(bench.outcome(&waiting), None);
            bench.pass(MOVE_GRACE);
        }
        assert_eq!(bench.outcome(&waiting), Some(outcome));
        let link = bench.link_of(&running).expect("still runs");
        bench.finish(link, Ended::Done);
        assert_eq!(bench.outcome(&running), Some(Outcome::Hits));
        assert!(bench.state.is_idle() && bench.links.is_empty());
    }
}

/// Story: an upstream crashes and its port is closed. Calls for it must fail at
/// once, not run into a dead address each.
#[test]
fn calls_for_an_upstream_that_is_down_are_refused_at_once() {
    let mut bench = Bench::new(2, 25, PRIMARY);
    bench.learn(20, millis(20));
    let first = bench.call(millis(1000));
    let link = bench.link_of(&first).unwrap();
    bench.finish(link, Ended::Lost);
    assert_eq!(bench.outcome(&first), Some(Outcome::Lost));
    let refused = Err(upstream::Unanswered { refused: true });
    let began = bench.probes.pop().expect("asked at once");
    bench.pass(millis(1));
    bench.handle(Event::Probed {
        began,
        report: refused,
    });
    let next = bench.call(millis(1000));
    assert_eq!(bench.outcome(&next), Some(Outcome::Unreachable));
}

/// Story: an upstream sheds although its slots are free, since others use it
/// too. Calls must come slower, then faster again.
#[test]
fn the_limit_follows_sheds_down_and_successes_up() {
    let mut bench = Bench::new(4, 110, PRIMARY);
    bench.learn(20, millis(20));
    for _ in 0..6 {
        bench.call(millis(1000));
        let Some((&link, _)) = bench.flying.first_key_value() else {
            break;
        };
        bench.finish(link, Ended::Shed);
        bench.pass(millis(20));
    }
    bench.pass(millis(500));
    (0..8).for_each(|_| drop(bench.call(millis(9000))));
    assert_eq!(bench.flying.len(), 1);
    for _ in 0..40 {
        let (&link, _) = bench.flying.first_key_value().unwrap();
        bench.live(millis(20));
        bench.finish(link, Ended::Done);
        bench.call(millis(9000));
    }
    assert_eq!(bench.flying.len(), 4);
}
