//! Properties that hold when replies are reordered, lost, duplicated or late.

use std::collections;
use std::time;

use super::world;
use crate::query;
use crate::query::gather;
use crate::query::upstreams;

const ALL_FAULTS: world::Faults = world::Faults {
    bad: 15,
    lost: 5,
    duplicated: 15,
    corrupted: 10,
    slow: 5,
    versions_change: true,
};

fn size(seed: u64) -> (usize, usize) {
    let shards = 1 + (seed % 23) as usize;
    let replicas = 1 + (seed / 23 % 4) as usize;
    (shards, replicas)
}

fn run(seed: u64) -> (world::World, gather::Counts) {
    let (shards, replicas) = size(seed);
    let mut world = world::World::new(seed, shards, replicas, ALL_FAULTS);
    if seed.is_multiple_of(3) {
        world.repartition(shards + 2, replicas);
    }
    let mut setup = world.setup(world::FIRST_ATTEMPT);
    setup.canary = seed.is_multiple_of(2);
    setup.limit = 1000;
    setup.early_hedge_shards = (seed / 7 % 4) as usize;
    if seed.is_multiple_of(5) {
        let at = world.now + time::Duration::from_millis(60);
        let min_covered = shards.div_ceil(2);
        setup.soft_deadline = Some(gather::SoftDeadline { at, min_covered });
    }
    let counts = world.run(setup);
    (world, counts)
}

/// Checks an answer against the simulated hits, which name their shard, version
/// and layout.
fn check_answer(answer: &query::Answer, shards: usize) -> Result<(), String> {
    let coverage = &answer.coverage;
    if coverage.shards != shards || coverage.covered + coverage.missing.len() != shards {
        return Err(format!("{coverage:?} of {shards}"));
    }
    if coverage.complete != coverage.missing.is_empty() {
        return Err(format!("{coverage:?}"));
    }
    let mut from = collections::BTreeMap::<String, usize>::new();
    for hit in &answer.hits {
        let pin = answer.snapshot;
        let of = serde_json::json!([hit.shard.as_str(), pin.version.0, pin.layout.0]);
        if hit.rest["of"] != of {
            return Err(format!("{hit:?} at {pin:?}"));
        }
        *from.entry(hit.shard.to_string()).or_default() += 1;
    }
    if from.len() != coverage.covered || from.values().any(|count| *count != 2) {
        return Err(format!("{from:?} for {coverage:?}"));
    }
    let missing = coverage
        .missing
        .iter()
        .map(|missing| missing.shard.to_string());
    match missing.filter(|shard| from.contains_key(shard)).count() {
        0 => Ok(()),
        _ => Err(format!("{coverage:?} names a covered shard")),
    }
}

quickcheck::quickcheck! {
    fn one_answer_at_one_pin_with_correct_coverage(seed: u64) -> Result<(), String> {
        let (world, _) = run(seed);
        let [answer] = world.answers.as_slice() else {
            return Err(format!("{} answers", world.answers.len()));
        };
        let (shards, _) = size(seed);
        let repartitioned = answer.snapshot.layout.0 == 2;
        check_answer(answer, if repartitioned { shards + 2 } else { shards })
    }

    fn extra_calls_stay_within_the_budgets(seed: u64) -> bool {
        let (shards, _) = size(seed);
        let (world, counts) = run(seed);
        let earned = shards as f64 * 0.05;
        let sent = world.sent.len() as u64;
        counts.hedges as f64 <= upstreams::MAX_HEDGE_TOKENS + earned
            && counts.retries as f64 <= upstreams::MAX_RETRY_TOKENS + earned
            && counts.first <= shards as u64
            && counts.moved <= 3 * (shards as u64 + 2)
            && counts.restarts <= 2
            && counts.repeated <= counts.restarts * (shards as u64 + 2)
            && sent == counts.first + counts.extra()
    }

    fn every_call_ends_by_its_reply_or_a_cancel(seed: u64) -> bool {
        let (world, _) = run(seed);
        let replicas = world.plan.replicas.iter();
        let later = world.next_plan.iter().flat_map(|plan| &plan.replicas);
        replicas.chain(later).all(|replica| replica.stats.outstanding() == 0)
    }

    fn the_order_of_replies_changes_nothing(seed: u64) -> bool {
        let (shards, replicas) = size(seed);
        let ids = |seed| {
            let mut world = world::World::new(seed, shards, replicas, world::NO_FAULTS);
            let setup = world.setup(world::FIRST_ATTEMPT);
            world.run(setup);
            let hits = world.answers.remove(0).hits;
            hits.into_iter().map(|hit| hit.id).collect::<Vec<_>>()
        };
        ids(seed) == ids(seed.wrapping_add(1))
    }
}
