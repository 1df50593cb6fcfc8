//! Tests of single failures.

use std::time;

use super::world;
use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::tracker;
use crate::query;
use crate::query::gather;
use crate::query::upstreams;

fn all_shards(world: &world::World) -> Vec<u32> {
    (0..world.plan.shards.len() as u32).collect()
}

fn search(world: &world::World, setup: gather::Setup) -> gather::Gather {
    gather::Gather::new(
        setup,
        world.plan.clone(),
        all_shards(world),
        world.upstreams.clone(),
    )
}

fn sends(actions: &[gather::Action]) -> Vec<(ids::Vm, Vec<message::Call>)> {
    let send = |action: &gather::Action| match action {
        gather::Action::Send { vm, calls, .. } => Some((vm.clone(), calls.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn answer(actions: Vec<gather::Action>) -> Option<query::Answer> {
    actions.into_iter().find_map(|action| match action {
        gather::Action::Finish(answer) => Some(*answer),
        _ => None,
    })
}

fn failed(call: &message::Call, outcome: message::Outcome) -> message::Reply {
    message::Reply {
        attempt: call.attempt,
        upstream: call.upstream.clone(),
        shard: call.shard.clone(),
        outcome: outcome.into(),
        ..message::Reply::default()
    }
}

/// A valid reply without hits, at the newest version of [`learn_versions`].
fn hits(call: &message::Call) -> message::Reply {
    message::Reply {
        index_version: 5,
        layout: 1,
        body: bytes::Bytes::from_static(b"{\"hits\":[]}"),
        ..failed(call, message::Outcome::Hits)
    }
}

/// Makes the versions of all upstreams known, so that the search doesn't have to ask
/// one upstream for its versions first.
fn learn_versions(world: &world::World) {
    for replica in &world.plan.replicas {
        let reply = message::Reply {
            oldest: 1,
            newest: 5,
            ..message::Reply::default()
        };
        replica.stats.record_reply(&reply, world.now);
    }
}

/// Guards against missing shards that another replica holds, when a refused
/// first call isn't retried at the sibling.
#[test]
fn a_refused_call_is_tried_at_the_sibling() {
    let mut world = world::World::new(
        1,
        6,
        2,
        world::Faults {
            bad: 20,
            ..world::NO_FAULTS
        },
    );
    learn_versions(&world);
    let setup = world.setup(world::FIRST_ATTEMPT);
    let counts = world.run(setup);
    assert!(counts.retries > 0);
    assert!(world.answers[0].coverage.complete);
}

/// Two in a hundred shard calls take thirty times as long. Without hedges
/// nearly every wide search would wait for one of them.
#[test]
fn a_straggler_is_hedged_and_the_loser_cancelled() {
    let mut world = world::World::new(
        3,
        100,
        2,
        world::Faults {
            slow: 2,
            ..world::NO_FAULTS
        },
    );
    learn_versions(&world);
    let setup = world.setup(world::FIRST_ATTEMPT);
    let deadline = setup.deadline;
    let counts = world.run(setup);
    assert!(counts.hedges > 0);
    assert!(world.answers[0].coverage.complete);
    assert_eq!(world.cancelled.len() as u64, counts.cancels);
    assert!(counts.cancels > 0 && world.now < deadline);
}

/// A search is pinned to a version that one shard no longer offers. Without a
/// restart that shard would be missing although the previous version covers all.
#[test]
fn a_version_no_longer_offered_restarts_the_search() {
    let mut world = world::World::new(4, 5, 2, world::NO_FAULTS);
    learn_versions(&world);
    for position in 0..2 {
        world.ranges.insert(format!("u-3-{position}"), (1, 4));
    }
    let setup = world.setup(world::FIRST_ATTEMPT);
    let counts = world.run(setup);
    assert_eq!(counts.restarts, 1);
    assert_eq!(world.answers[0].snapshot.version, ids::IndexVersion(4));
    assert!(world.answers[0].coverage.complete);
}

/// After a repartition every upstream refuses the old layout. A running search
/// would end without hits; it must restart at the new layout instead.
#[test]
fn a_search_restarts_when_a_repartition_removes_all_its_shards() {
    let mut world = world::World::new(5, 4, 2, world::NO_FAULTS);
    learn_versions(&world);
    world.repartition(6, 2);
    for range in world.ranges.values_mut() {
        *range = (9, 9);
    }
    let setup = world.setup(world::FIRST_ATTEMPT);
    let counts = world.run(setup);
    assert!(counts.restarts >= 1);
    assert_eq!(world.answers[0].coverage.shards, 6);
    assert!(world.answers[0].coverage.complete);
}

/// All replicas of the only shard are unreachable. The answer is final then,
/// and the caller must not wait for it until the deadline.
#[test]
fn a_final_answer_does_not_wait_for_the_deadline() {
    let world = world::World::new(6, 1, 1, world::NO_FAULTS);
    let mut setup = world.setup(world::FIRST_ATTEMPT);
    setup.deadline = world.now + time::Duration::from_millis(60);
    let mut search = search(&world, setup);
    let mut now = world.now;
    let mut actions = search.handle(gather::Event::Start(quarantine::Verdict::Clear), now);
    for _ in 0..20 {
        let Some((vm, calls)) = sends(&actions).pop() else {
            if let Some(answer) = answer(actions) {
                assert!(now < world.now + time::Duration::from_millis(60));
                assert_eq!(
                    answer.coverage.missing[0].reason,
                    query::Reason::Unreachable
                );
                return;
            }
            now = search.wake();
            actions = search.handle(gather::Event::Tick, now);
            continue;
        };
        let replies = vec![failed(&calls[0], message::Outcome::Unreachable)];
        actions = search.handle(gather::Event::Replies { from: vm, replies }, now);
    }
    panic!("no answer");
}

/// The retry budget is empty, as in an overload. Retrying refused calls would
/// add to the load that caused the refusals.
#[test]
fn an_empty_retry_budget_gives_an_incomplete_answer() {
    let mut world = world::World::new(
        7,
        8,
        2,
        world::Faults {
            bad: 100,
            ..world::NO_FAULTS
        },
    );
    learn_versions(&world);
    while world.upstreams.spend_retry() {}
    let setup = world.setup(world::FIRST_ATTEMPT);
    let counts = world.run(setup);
    assert_eq!(counts.retries, 0);
    assert!(counts.retries_refused > 0);
    assert!(!world.answers[0].coverage.complete);
}

/// Several coordinators receive the same query, and each sends a canary. If they
/// chose different upstreams, a query that crashes upstreams would crash one for each
/// coordinator.
#[test]
fn canaries_of_one_request_go_to_the_same_replica() {
    let world = world::World::new(8, 20, 2, world::NO_FAULTS);
    learn_versions(&world);
    let targets: Vec<_> = (0..4)
        .map(|coordinator| {
            let mut setup = world.setup(coordinator * world::FIRST_ATTEMPT);
            setup.canary = true;
            let mut search = search(&world, setup);
            let start = gather::Event::Start(quarantine::Verdict::Clear);
            let sent = sends(&search.handle(start, world.now));
            assert_eq!(sent.len(), 1);
            assert_eq!(sent[0].1.len(), 1);
            sent[0].1[0].upstream.clone()
        })
        .collect();
    assert!(targets.iter().all(|target| *target == targets[0]));
}

/// A canary's connection is lost and the search becomes suspect. Its next call
/// could cause a second crash, so it waits for a trial; if that is denied, the
/// shards are missing as quarantined.
#[test]
fn a_lost_canary_stops_the_search_until_a_trial() {
    let world = world::World::new(9, 20, 2, world::NO_FAULTS);
    learn_versions(&world);
    let mut setup = world.setup(world::FIRST_ATTEMPT);
    setup.canary = true;
    let mut search = search(&world, setup);
    let start = gather::Event::Start(quarantine::Verdict::Clear);
    let (vm, calls) = sends(&search.handle(start, world.now)).remove(0);
    let replies = vec![failed(&calls[0], message::Outcome::Lost)];
    let actions = search.handle(gather::Event::Replies { from: vm, replies }, world.now);
    assert!(matches!(actions.as_slice(), [gather::Action::Lost { .. }]));
    let suspect = gather::Event::Verdict(quarantine::Verdict::Suspect);
    let actions = search.handle(suspect, world.now);
    assert!(matches!(
        actions.as_slice(),
        [gather::Action::RequestTrial(_)]
    ));
    let answer = answer(search.handle(gather::Event::Denied(None), world.now)).unwrap();
    assert_eq!(answer.coverage.missing.len(), 20);
    let reasons = answer.coverage.missing.iter().map(|missing| missing.reason);
    assert!(
        reasons
            .into_iter()
            .all(|reason| reason == query::Reason::Quarantined)
    );
}

/// The fan-out follows a completed isolated trial. The trial must not run at a
/// replica whose sibling is down.
#[test]
fn a_completed_trial_lets_the_search_go_on() {
    let world = world::World::new(10, 6, 2, world::NO_FAULTS);
    learn_versions(&world);
    let mut search = search(&world, world.setup(world::FIRST_ATTEMPT));
    let now = world.now;
    let start = gather::Event::Start(quarantine::Verdict::Suspect);
    assert!(matches!(
        search.handle(start, now).as_slice(),
        [gather::Action::RequestTrial(_)]
    ));
    let down = vec![tracker::Down {
        upstream: "u-0-0".parse().unwrap(),
        lost: now,
    }];
    let (vm, calls) = sends(&search.handle(gather::Event::Granted(down), now)).remove(0);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].kind(), message::Kind::Trial);
    assert!(!calls[0].upstream.starts_with("u-0-"));
    let replies = vec![hits(&calls[0])];
    let actions = search.handle(gather::Event::Replies { from: vm, replies }, now);
    let rest: usize = sends(&actions).iter().map(|(_, calls)| calls.len()).sum();
    assert_eq!(rest, 5);
}

/// A home that has handed over its upstreams refuses calls. The first move to another
/// home is free, since no upstream failed. A second move needs the retry budget, which
/// is empty here.
#[test]
fn only_the_first_move_to_another_home_is_free() {
    let world = world::World::new(11, 4, 1, world::NO_FAULTS);
    learn_versions(&world);
    while world.upstreams.spend_retry() {}
    let mut search = search(&world, world.setup(world::FIRST_ATTEMPT));
    let start = gather::Event::Start(quarantine::Verdict::Clear);
    let mut actions = search.handle(start, world.now);
    for moved in [true, false] {
        let sent = sends(&actions);
        assert!(!sent.is_empty());
        let mut next = Vec::new();
        for (from, calls) in sent {
            let reply = |call| failed(call, message::Outcome::NotHome);
            let replies = calls.iter().map(reply).collect();
            next.extend(search.handle(gather::Event::Replies { from, replies }, world.now));
        }
        if moved {
            assert!(matches!(next.as_slice(), [gather::Action::Replan]));
            let plan = gather::Event::Plan(Some(world.plan.clone()));
            next = search.handle(plan, world.now);
        }
        actions = next;
    }
    assert_eq!(search.counts().moved, 4);
    assert_eq!(search.counts().retries, 0);
    let mut now = world.now;
    while answer(std::mem::take(&mut actions)).is_none() {
        now = search.wake();
        actions = search.handle(gather::Event::Tick, now);
    }
    assert!(now < world.now + time::Duration::from_millis(500));
    assert!(search.counts().retries_refused > 0);
}

/// The first two homes of every upstream are dead and still members, and the retry
/// budget is spent. Guards against answers without the shards whose calls never left
/// this VM.
#[test]
fn calls_to_homes_that_cannot_be_connected_to_need_no_retry_budget() {
    for canary in [false, true] {
        let world = world::World::new(14, 4, 2, world::NO_FAULTS);
        learn_versions(&world);
        while world.upstreams.spend_retry() {}
        let dead: Vec<ids::Vm> = vec!["vm-0".parse().unwrap(), "vm-1".parse().unwrap()];
        let setup = gather::Setup {
            canary,
            ..world.setup(world::FIRST_ATTEMPT)
        };
        let mut search = search(&world, setup);
        let mut events = vec![gather::Event::Start(quarantine::Verdict::Clear)];
        let mut answers = Vec::new();
        while let Some(event) = events.pop() {
            for action in search.handle(event, world.now) {
                match action {
                    gather::Action::Send { vm, .. } if dead.contains(&vm) => {
                        events.push(gather::Event::LinkNotOpened(vm));
                    }
                    gather::Action::Send { vm, calls, .. } => {
                        let replies = calls.iter().map(hits).collect();
                        events.push(gather::Event::Replies { from: vm, replies });
                    }
                    gather::Action::Replan => {
                        events.push(gather::Event::Plan(Some(world.plan.clone())));
                    }
                    gather::Action::Finish(answer) => answers.push(answer),
                    _ => {}
                }
            }
        }
        assert!(answers[0].coverage.complete, "canary {canary}: {answers:?}");
        assert_eq!(search.counts().retries, 0);
    }
}

/// Under the latency objective the answer is given at the latency target, and
/// outstanding shards are listed as missing with the reason `CutOff`.
#[test]
fn the_latency_objective_cuts_the_last_shards_off() {
    let mut world = world::World::new(
        12,
        10,
        1,
        world::Faults {
            lost: 30,
            ..world::NO_FAULTS
        },
    );
    learn_versions(&world);
    let mut setup = world.setup(world::FIRST_ATTEMPT);
    let at = world.now + time::Duration::from_millis(30);
    setup.policy = query::Policy::NoHedge;
    setup.soft_deadline = Some(gather::SoftDeadline { at, min_covered: 5 });
    world.run(setup);
    let coverage = &world.answers[0].coverage;
    assert!(!coverage.missing.is_empty());
    assert!(
        coverage
            .missing
            .iter()
            .all(|missing| missing.reason == query::Reason::CutOff)
    );
}

/// Guards against a hedge budget that starts above its maximum and so allows a burst
/// of hedges.
#[test]
fn a_new_hedge_budget_holds_at_most_its_maximum() {
    let world = world::World::new(13, 1, 1, world::NO_FAULTS);
    let mut allowed = 0.0;
    while world.upstreams.spend_hedge() {
        allowed += 1.0;
    }
    assert!(allowed <= upstreams::MAX_HEDGE_TOKENS);
}
