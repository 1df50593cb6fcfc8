//! Tests of the state machine, of merged marks and of the trial rules.

use std::time;

use crate::ids;
use crate::quarantine::Mark;
use crate::quarantine::Verdict;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::time as clock;

const SERVICE: &str = "port";
const QUERY: ids::Fingerprint = ids::Fingerprint(7);

fn service() -> ids::Service {
    SERVICE.parse().unwrap()
}

fn at(millis: u64) -> tracker::Now {
    tracker::Now {
        moment: clock::Moment::from_millis(millis),
        wall: clock::Wall(1_000_000 + millis),
    }
}

fn lost(query: ids::Fingerprint, upstream: &str, run: tracker::Run) -> tracker::Event {
    tracker::Event::Lost {
        service: service(),
        fingerprint: query,
        upstream: upstream.parse().unwrap(),
        run,
    }
}

fn completed(query: ids::Fingerprint) -> tracker::Event {
    tracker::Event::Completed {
        service: service(),
        fingerprint: query,
    }
}

fn verdict(tracker: &tracker::Tracker, query: ids::Fingerprint, now: tracker::Now) -> Verdict {
    tracker.verdict(&service(), query, now.wall)
}

fn published(actions: Vec<tracker::Action>) -> Mark {
    let [tracker::Action::Publish(mark)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    mark.clone()
}

/// A query crashes the upstream that runs it, and its caller sends it again. The
/// first loss makes it suspect, and the loss of the trial quarantines it.
#[test]
fn a_second_crash_quarantines() {
    let mut tracker = tracker::Tracker::default();
    tracker.handle(lost(QUERY, "a", tracker::Run::Canary), at(0));
    assert_eq!(verdict(&tracker, QUERY, at(0)), Verdict::Suspect);
    tracker.handle(lost(QUERY, "b", tracker::Run::Trial), at(2000));
    assert_eq!(verdict(&tracker, QUERY, at(2000)), Verdict::Quarantined);
    let expired = 2000 + tracker::QUARANTINE_DURATION.as_millis() as u64;
    assert_eq!(verdict(&tracker, QUERY, at(expired)), Verdict::Clear);
}

/// A query becomes suspect because another one crashed the upstream that was running
/// both. Once its trial has completed it is clear again on every VM, even on one that
/// receives the suspicion again later.
#[test]
fn a_completed_trial_clears_here_and_elsewhere() {
    let mut here = tracker::Tracker::default();
    let mut there = tracker::Tracker::default();
    let suspicion = published(here.handle(lost(QUERY, "a", tracker::Run::Concurrent), at(0)));
    there.handle(tracker::Event::Received(suspicion.clone()), at(1));
    assert_eq!(verdict(&there, QUERY, at(1)), Verdict::Suspect);
    let clearance = published(here.handle(completed(QUERY), at(500)));
    there.handle(tracker::Event::Received(clearance), at(501));
    there.handle(tracker::Event::Received(suspicion), at(502));
    assert_eq!(verdict(&there, QUERY, at(502)), Verdict::Clear);
}

/// A rack failure takes down eight upstreams. Without the rule for shared outages
/// every query that was running there would be refused for minutes.
#[test]
fn a_rack_failure_leaves_completed_queries_clear() {
    let mut tracker = tracker::Tracker::default();
    tracker.handle(completed(QUERY), at(0));
    for upstream in 0..8 {
        let upstream = format!("u{upstream}");
        tracker.handle(lost(QUERY, &upstream, tracker::Run::Concurrent), at(1000));
    }
    assert_eq!(verdict(&tracker, QUERY, at(1000)), Verdict::Clear);
}

/// Several VMs see one loss each of a rack failure. A query that became suspect
/// before the other VMs' marks arrived must be cleared by them.
#[test]
fn a_rack_failure_recognized_later_clears_suspects() {
    let mut here = tracker::Tracker::default();
    let mut there = tracker::Tracker::default();
    here.handle(completed(QUERY), at(0));
    here.handle(lost(QUERY, "a", tracker::Run::Concurrent), at(1000));
    assert_eq!(verdict(&here, QUERY, at(1000)), Verdict::Suspect);
    for (query, upstream) in [(8, "b"), (9, "c")] {
        let query = ids::Fingerprint(query);
        let mark =
            published(there.handle(lost(query, upstream, tracker::Run::Concurrent), at(1001)));
        here.handle(tracker::Event::Received(mark), at(1005));
    }
    assert_eq!(verdict(&here, QUERY, at(1005)), Verdict::Clear);
}

/// A trial that runs while a rack goes down may be lost with it, which proves
/// nothing.
#[test]
fn no_trial_starts_while_upstreams_go_down() {
    let mut tracker = tracker::Tracker::default();
    tracker.handle(lost(QUERY, "a", tracker::Run::Canary), at(0));
    assert!(tracker.check_trial_start(&service(), QUERY, at(0)).is_err());
    let earliest = tracker::TRIAL_DELAY_AFTER_SUSPICION.as_millis() as u64;
    assert!(
        tracker
            .check_trial_start(&service(), QUERY, at(earliest))
            .is_ok()
    );
    let other = ids::Fingerprint(8);
    tracker.handle(lost(other, "b", tracker::Run::Concurrent), at(earliest));
    assert!(
        tracker
            .check_trial_start(&service(), QUERY, at(earliest + 1))
            .is_err()
    );
}

quickcheck::quickcheck! {
    /// VMs that receive the same marks in different orders end up with the same mark.
    fn the_order_of_marks_changes_nothing(seeds: Vec<(u8, u8, bool)>) -> bool {
        let marks: Vec<Mark> = seeds.iter().take(4).map(|seed| mark(*seed)).collect();
        let merge = |order: &[&Mark]| {
            let first = order.first().map(|mark| (*mark).clone());
            order.iter().skip(1).fold(first, |merged, mark| merged.map(|merged| merged.merge(mark)))
        };
        let forward: Vec<&Mark> = marks.iter().collect();
        let backward: Vec<&Mark> = marks.iter().rev().collect();
        merge(&forward) == merge(&backward)
    }
}

fn mark((version, upstream, quarantined): (u8, u8, bool)) -> Mark {
    let state = if quarantined {
        crate::quarantine::State::Quarantined
    } else {
        crate::quarantine::State::Suspect
    };
    Mark {
        service: service(),
        fingerprint: QUERY,
        state,
        version: u64::from(version),
        crashed: vec![format!("u{}", upstream % 3).parse().unwrap()],
        lost: Vec::new(),
        since: clock::Wall(u64::from(upstream)),
        until: clock::Wall(u64::from(version) + 1000),
    }
}

fn claim(token: u64, wall: clock::Wall) -> trial::Claim {
    trial::Claim {
        fingerprint: QUERY,
        vm: "vm-1".parse().unwrap(),
        token,
        until: wall + trial::CLAIM_DURATION,
        place: place("u-0", &["u-1"]),
    }
}

fn place(upstream: &str, siblings: &[&str]) -> Option<trial::Place> {
    let siblings = siblings.iter().map(|name| name.parse().unwrap());
    Some(trial::Place {
        upstream: upstream.parse().unwrap(),
        siblings: siblings.collect(),
    })
}

/// Two VMs that tried the same request at once could crash an upstream each, so the
/// second one has to wait until the first claim is released.
#[test]
fn one_trial_runs_at_a_time() {
    let wall = at(0).wall;
    let ledger = trial::Ledger::default();
    let trial::Start::Granted(claimed) = ledger.start(&claim(1, wall), wall) else {
        panic!("the first trial may start");
    };
    assert_eq!(claimed.start(&claim(2, wall), wall), trial::Start::Busy);
    let free = claimed.release(&claim(1, wall)).unwrap();
    assert!(matches!(
        free.start(&claim(2, wall), wall),
        trial::Start::Granted(_)
    ));
}

/// After eight upstreams restart at once, many queries wait for trials. Trials of
/// different queries run at the same time if their upstreams share no shard; with
/// a shared shard they could crash all its replicas, so they have to wait.
#[test]
fn trials_of_different_requests_run_at_the_same_time() {
    let wall = at(0).wall;
    let trial::Start::Granted(claimed) = trial::Ledger::default().start(&claim(1, wall), wall)
    else {
        panic!("the first trial may start");
    };
    let other = trial::Claim {
        fingerprint: ids::Fingerprint(8),
        place: place("u-1", &["u-0"]),
        ..claim(2, wall)
    };
    assert_eq!(claimed.start(&other, wall), trial::Start::Busy);
    let anywhere = trial::Claim {
        place: None,
        ..other.clone()
    };
    assert_eq!(claimed.start(&anywhere, wall), trial::Start::Busy);
    let apart = trial::Claim {
        place: place("u-2", &["u-3"]),
        ..other.clone()
    };
    let trial::Start::Granted(both) = claimed.start(&apart, wall) else {
        panic!("a trial at another shard may start");
    };
    assert_eq!(both.claims.len(), 2);
    let free = both.release(&claim(1, wall)).unwrap();
    assert_eq!(free.claims, [apart]);
}

/// If a VM is paused or dies after claiming a trial, nobody knows whether an upstream
/// crashed. A second trial could cause a third crash.
#[test]
fn a_trial_without_an_end_counts_as_a_crash() {
    let wall = at(0).wall;
    let mut tracker = tracker::Tracker::default();
    let suspicion = published(tracker.handle(lost(QUERY, "a", tracker::Run::Canary), at(0)));
    let mut ledger = trial::Ledger::default();
    ledger.merge(&suspicion, wall);
    let trial::Start::Granted(claimed) = ledger.start(&claim(1, wall), wall) else {
        panic!("the first trial may start");
    };
    let later = wall + trial::CLAIM_DURATION + time::Duration::from_millis(1);
    let trial::Start::Quarantined(next) = claimed.start(&claim(2, later), later) else {
        panic!("no second trial may start");
    };
    assert_eq!(
        next.mark(QUERY).unwrap().verdict(later),
        Verdict::Quarantined
    );
}
