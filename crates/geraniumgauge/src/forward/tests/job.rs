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
    world.at(&mut job, 5);
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

/// Story: one shard's upstream pauses. The other one is asked after a part of
/// the aim; the answer is whole and in time, and the loser is let go.
#[test]
fn a_late_part_is_hedged_elsewhere_and_the_loser_let_go() {
    let mut world = world::World::new(2, 2);
    let mut job = world.start(world::shards(2, 50));
    world.at(&mut job, 5);
    world.end(&mut job, 0, world::good(b'a'));
    world.at(&mut job, 40);
    assert_eq!(world.sends.len(), 3);
    let (first, hedge) = (world.sends[1], world.sends[2]);
    assert_eq!((hedge.why, hedge.part), (forward::Why::Hedge, 1));
    assert_ne!(first.upstream, hedge.upstream);
    world.end(&mut job, 2, world::good(b'b'));
    assert_eq!(merged(&world), Some((2, 0)));
    assert_eq!(world.abandoned, vec![first.call]);
}

/// Story: a shard answers too late for the aim. What is there is worth more
/// now than the whole later, if it is enough; else the whole is waited for.
#[test]
fn at_the_aim_enough_parts_make_an_answer() {
    for (least, due) in [(60, Some((2, 1))), (80, None)] {
        let mut world = world::World::new(3, 2);
        let mut job = world.start(world::shards(3, least));
        world.end(&mut job, 0, world::good(b'a'));
        world.end(&mut job, 1, world::good(b'b'));
        world.at(&mut job, 95);
        assert_eq!(merged(&world), due, "{least}");
    }
}

#[test]
fn too_few_parts_at_the_deadline_make_a_timeout() {
    let mut world = world::World::new(3, 2);
    let mut job = world.start(world::shards(3, 80));
    world.end(&mut job, 0, world::good(b'a'));
    world.at(&mut job, 600);
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
        "no call goes on for nobody"
    );
}

/// Story: all upstreams of most shards are down. The search can't succeed, so
/// nothing of it is sent, and its caller learns at once when to come back.
#[test]
fn a_search_that_cannot_succeed_is_refused_before_anything_is_sent() {
    let mut world = world::World::new(3, 1);
    for service in 0..2 {
        let handle = world.fleet.registry.of(&world::name(service))[0];
        let now = world.now;
        world.fleet.standing(handle).unreachable(now);
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

/// Story: a record must be entered once at most, and the upstream's connection
/// is lost under it. Neither may it be sent again, nor may the caller be told
/// that it hasn't run.
#[test]
fn a_request_that_may_have_run_once_is_not_repeated_nor_refused() {
    for verdict in [forward::Verdict::Lost, world::failure()] {
        let mut world = world::World::new(1, 3);
        let mut job = world.start(world::single(route::Repeat::Once));
        world.at(&mut job, 50);
        assert_eq!(world.sends.len(), 1, "it is never hedged");
        world.end(&mut job, 0, verdict);
        assert_eq!(world.sends.len(), 1);
        let refused = matches!(world.outcome, Some(forward::Outcome::NotRun { .. }));
        assert!(world.outcome.is_some() && !refused, "{:?}", world.outcome);
    }
}

#[test]
fn proof_that_it_has_not_run_allows_another_try() {
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

/// What may happen to a job: a call ends somehow, or time passes.
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
    /// Whatever happens in whatever order: a job ends once, by its deadline; no
    /// part may run at more upstreams than attempts allow, nor twice where it
    /// may run once; a refusal is only told where nothing may have run.
    fn promises_hold_in_any_order(once: bool, shards: bool, events: Vec<(u8, u8, u8)>) -> bool {
        let mut world = world::World::new(4, 3);
        let repeat = if once { route::Repeat::Once } else { route::Repeat::Idempotent };
        let route = if shards { world::shards(4, 60) } else { world::single(repeat) };
        let once = once && !shards;
        let mut job = world.start(route);
        let mut ended: Vec<Option<bool>> = Vec::new();
        for (kind, which, pause) in events {
            if world.outcome.is_some() {
                break;
            }
            let since = world.now.since(job.began()).as_millis() as u64;
            world.at(&mut job, since + u64::from(pause % 40));
            ended.resize(world.sends.len(), None);
            let open: Vec<usize> = (0..ended.len())
                .filter(|place| ended[*place].is_none())
                .filter(|place| !world.abandoned.contains(&world.sends[*place].call))
                .collect();
            if open.is_empty() || world.outcome.is_some() {
                continue;
            }
            let place = open[usize::from(which) % open.len()];
            let verdict = verdict(kind);
            let ran = matches!(
                verdict,
                forward::Verdict::Lost | forward::Verdict::Failure(_) | forward::Verdict::Good(_)
            );
            ended[place] = Some(ran);
            world.end(&mut job, place, verdict);
        }
        world.at(&mut job, 600);
        ended.resize(world.sends.len(), None);
        let may_have_run = |place: &usize| ended[*place].unwrap_or(true);
        let bound = if once { 1 } else { 2 };
        let within = (0..4).all(|part| {
            let of_part = (0..world.sends.len()).filter(|place| world.sends[*place].part == part);
            let ran: Vec<registry::Handle> =
                of_part.filter(may_have_run).map(|place| world.sends[place].upstream).collect();
            ran.len() <= bound
        });
        let refused = matches!(world.outcome, Some(forward::Outcome::NotRun { .. }));
        let true_refusal = !refused || !(0..world.sends.len()).any(|place| may_have_run(&place));
        world.outcome.is_some() && within && true_refusal
    }
}

/// Story: both upstreams of a shard decline a part of their calls though they have
/// room. One call to each was declined, and the shard was given up, with it
/// searches that needed it; the next call would have been taken. A shard that
/// declines on is given up after a few.
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
