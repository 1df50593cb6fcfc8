use super::world;
use crate::forward;
use crate::registry;
use crate::route;

fn merged(world: &world::World) -> Option<(usize, usize)> {
    match &world.outcome {
        Some(forward::Outcome::Merged(merged)) => Some((merged.signatures.len(), merged.missing)),
        _ => None,
    }
}

#[test]
fn a_search_is_answered_as_soon_as_all_parts_are_in() {
    let mut world = world::World::new(3, 2);
    let mut job = world.start(world::shards(3, 50));
    assert_eq!(world.sends.len(), 3);
    world.advance_to(&mut job, 5);
    for (send, letter) in [(0, b'a'), (1, b'c'), (2, b'b')] {
        assert!(world.outcome.is_none());
        world.end(&mut job, send, world::good(letter));
    }
    let Some(forward::Outcome::Merged(merged)) = &world.outcome else {
        panic!("{:?}", world.outcome);
    };
    assert_eq!((merged.signatures.len(), merged.missing), (3, 0));
    assert!(merged.records.starts_with(b"cc") && merged.records.ends_with(b"aa"));
}

/// The upstream of one shard pauses. Another upstream is called after the hedge
/// delay, the answer is complete and in time, and the late call is abandoned.
#[test]
fn a_late_part_is_hedged_elsewhere_and_the_late_call_abandoned() {
    let mut world = world::World::new(2, 2);
    let mut job = world.start(world::shards(2, 50));
    world.advance_to(&mut job, 5);
    world.end(&mut job, 0, world::good(b'a'));
    world.advance_to(&mut job, 40);
    assert_eq!(world.sends.len(), 3);
    let (first, hedge) = (&world.sends[1], &world.sends[2]);
    assert_eq!((hedge.reason, hedge.part), (forward::CallReason::Hedge, 1));
    assert_ne!(first.upstream, hedge.upstream);
    let first = first.call;
    world.end(&mut job, 2, world::good(b'b'));
    assert_eq!(merged(&world), Some((2, 0)));
    assert_eq!(world.abandoned, vec![first]);
}

/// A shard misses the latency target. An incomplete answer is sent if it covers
/// enough shards; otherwise the job waits for the rest.
#[test]
fn at_the_latency_target_enough_parts_make_an_answer() {
    for (min_coverage, expected) in [(60, Some((2, 1))), (80, None)] {
        let mut world = world::World::new(3, 2);
        let mut job = world.start(world::shards(3, min_coverage));
        world.end(&mut job, 0, world::good(b'a'));
        world.end(&mut job, 1, world::good(b'b'));
        world.advance_to(&mut job, 95);
        assert_eq!(merged(&world), expected, "{min_coverage}");
    }
}

#[test]
fn too_few_parts_at_the_deadline_make_a_timeout() {
    let mut world = world::World::new(3, 2);
    let mut job = world.start(world::shards(3, 80));
    world.end(&mut job, 0, world::good(b'a'));
    world.advance_to(&mut job, 600);
    let outcome = &world.outcome;
    assert!(
        matches!(
            outcome,
            Some(forward::Outcome::Unknown {
                reason: forward::Reason::Timeout
            })
        ),
        "{outcome:?}"
    );
    let calls = world.sends.len();
    assert_eq!(
        world.abandoned.len(),
        calls - 1,
        "all other calls are abandoned"
    );
}

/// All upstreams of most shards are down, so the search can't succeed. No call
/// is made, and the caller learns at once when to retry.
#[test]
fn a_search_that_cannot_succeed_is_refused_before_anything_is_sent() {
    let mut world = world::World::new(3, 1);
    for service in 0..2 {
        let handle = world.fleet.registry.of(&world::name(service))[0];
        let now = world.now;
        world.fleet.health(handle).unreachable(now);
    }
    world.start(world::shards(3, 60));
    let outcome = &world.outcome;
    assert!(
        matches!(
            outcome,
            Some(forward::Outcome::NotRun {
                reason: forward::Reason::NoUpstream,
                ..
            })
        ),
        "{outcome:?}"
    );
    assert!(world.sends.is_empty());
}

/// A request must run at most once, and its connection is lost or it fails. It
/// must neither be sent again nor be reported to the caller as not run.
#[test]
fn a_request_that_may_have_run_once_is_not_repeated_nor_refused() {
    for verdict in [forward::Verdict::Lost, world::failure()] {
        let mut world = world::World::new(1, 3);
        let mut job = world.start(world::single(route::Repeat::Once));
        world.advance_to(&mut job, 50);
        assert_eq!(world.sends.len(), 1, "it is never hedged");
        world.end(&mut job, 0, verdict);
        assert_eq!(world.sends.len(), 1);
        let refused = matches!(world.outcome, Some(forward::Outcome::NotRun { .. }));
        assert!(world.outcome.is_some() && !refused, "{:?}", world.outcome);
    }
}

#[test]
fn proof_that_it_has_not_run_allows_a_retry() {
    let mut world = world::World::new(1, 2);
    let mut job = world.start(world::single(route::Repeat::Once));
    world.end(&mut job, 0, forward::Verdict::NotRun);
    assert_eq!(world.sends.len(), 2);
    world.end(&mut job, 1, forward::Verdict::NotSent);
    let outcome = &world.outcome;
    assert!(
        matches!(outcome, Some(forward::Outcome::NotRun { .. })),
        "{outcome:?}"
    );
}

/// Maps a number to one of the ways in which a call can end.
fn verdict(kind: u8) -> forward::Verdict {
    match kind % 7 {
        0 => forward::Verdict::Lost,
        1 => world::failure(),
        2 => forward::Verdict::NotRun,
        3 => forward::Verdict::Misdirected,
        4 => forward::Verdict::NotSent,
        _ => world::good(b'g'),
    }
}

quickcheck::quickcheck! {
    /// In any order of events, a job ends exactly once and by its deadline. No
    /// part runs at more upstreams than its attempts allow, or more than once
    /// if it must run once, and a request is refused only if it can't have run.
    fn invariants_hold_in_any_order(once: bool, shards: bool, events: Vec<(u8, u8, u8)>) -> bool {
        let mut world = world::World::new(4, 3);
        let repeat = if once { route::Repeat::Once } else { route::Repeat::Idempotent };
        let route = if shards { world::shards(4, 60) } else { world::single(repeat) };
        let once = once && !shards;
        let mut job = world.start(route);
        let mut ended: Vec<Option<bool>> = Vec::new();
        for (kind, which, delay_ms) in events {
            if world.outcome.is_some() {
                break;
            }
            let since = world.now.since(job.began()).as_millis() as u64;
            world.advance_to(&mut job, since + u64::from(delay_ms % 40));
            ended.resize(world.sends.len(), None);
            let open: Vec<usize> = (0..ended.len())
                .filter(|index| ended[*index].is_none())
                .filter(|index| !world.abandoned.contains(&world.sends[*index].call))
                .collect();
            if open.is_empty() || world.outcome.is_some() {
                continue;
            }
            let index = open[usize::from(which) % open.len()];
            let verdict = verdict(kind);
            let ran = matches!(
                verdict,
                forward::Verdict::Lost | forward::Verdict::Failure(_) | forward::Verdict::Good(_)
            );
            ended[index] = Some(ran);
            world.end(&mut job, index, verdict);
        }
        world.advance_to(&mut job, 600);
        ended.resize(world.sends.len(), None);
        let may_have_run = |index: &usize| ended[*index].unwrap_or(true);
        let max_runs = if once { 1 } else { 2 };
        let runs_are_limited = (0..4).all(|part| {
            let of_part = (0..world.sends.len()).filter(|index| world.sends[*index].part == part);
            let ran: Vec<registry::Handle> =
                of_part.filter(may_have_run).map(|index| world.sends[index].upstream).collect();
            ran.len() <= max_runs
        });
        let refused = matches!(world.outcome, Some(forward::Outcome::NotRun { .. }));
        let refusal_is_correct = !refused || !(0..world.sends.len()).any(|index| may_have_run(&index));
        world.outcome.is_some() && runs_are_limited && refusal_is_correct
    }
}

/// Both upstreams of a shard decline some calls although they have capacity. The shard must
/// not be given up after one declined call to each, since the next may be accepted. A shard
/// that keeps declining is given up after a few calls.
#[test]
fn upstreams_that_declined_are_tried_again_where_no_other_is_left() {
    let mut world = world::World::new(1, 2);
    let mut job = world.start(world::shards(1, 50));
    for send in 0..2 {
        world.end(&mut job, send, forward::Verdict::NotRun);
    }
    assert_eq!(world.sends.len(), 3, "one of them is called again");
    world.end(&mut job, 2, world::good(b'a'));
    assert_eq!(merged(&world), Some((1, 0)));

    let mut world = world::World::new(1, 2);
    let mut job = world.start(world::shards(1, 50));
    let mut send = 0;
    while world.outcome.is_none() {
        world.end(&mut job, send, forward::Verdict::NotRun);
        send += 1;
    }
    assert!(world.sends.len() <= 4, "{}", world.sends.len());
}
