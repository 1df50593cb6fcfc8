//! Checks the answer to a search against the hits that the stand-in upstreams return.

use std::collections;

use geraniumgauge::layout;
use geraniumgauge::query;

use crate::measure::load;
use crate::measure::outcome;
use crate::upstream::corpus;

/// Promise that all hits have the index version of the answer's snapshot.
pub const ONE_SNAPSHOT: &str = "one snapshot";
/// Promise that the answer states correctly which shards are covered and missing.
pub const CORRECT_COVERAGE: &str = "true coverage";
/// Promise that an answer has the best hits of its own query from the covered shards, and no
/// others.
pub const CORRECT_HITS: &str = "own whole answer";
/// Number of hits that each search asks for.
pub const HIT_LIMIT: u32 = 20;
/// Promise that every request gets an answer or an error code.
pub const ANSWERED: &str = "answered at all";

/// Returns the promises that the reply to `query` in `sample` breaks. A refusal with
/// an error code and a request that was never sent break none.
pub fn search(
    layout: &layout::Layout,
    query: &serde_json::Value,
    sample: &load::Sample,
) -> Vec<outcome::Violation> {
    let mut outcome = outcome::Outcome::default();
    let request = sample.request_id();
    match &sample.reply {
        Err(load::Failure::NotSent(_)) => {}
        Err(load::Failure::NoReply(why)) => outcome.add_violation(ANSWERED, request, why),
        Ok(reply) if reply.status == 200 => {
            match serde_json::from_value::<query::Answer>(reply.body.clone()) {
                Ok(answer) => check_answer(layout, query, &answer, &mut outcome),
                Err(error) => outcome.add_violation(CORRECT_HITS, request, error.to_string()),
            }
        }
        Ok(reply) => {
            if reply.body["error"]["code"].as_str().is_none() {
                let seen = format!("status {} without an error code", reply.status);
                outcome.add_violation(ANSWERED, request, seen);
            }
        }
    }
    outcome.violations
}

fn check_answer(
    layout: &layout::Layout,
    query: &serde_json::Value,
    answer: &query::Answer,
    outcome: &mut outcome::Outcome,
) {
    let request = answer.request_id.to_string();
    let coverage = &answer.coverage;
    let missing: collections::BTreeSet<_> = coverage.missing.iter().map(|m| &m.shard).collect();
    let consistent = coverage.covered + missing.len() == coverage.shards
        && missing.len() == coverage.missing.len()
        && coverage.shards == layout.shards.len()
        && coverage.complete == missing.is_empty();
    if !consistent {
        outcome.add_violation(CORRECT_COVERAGE, &request, format!("{coverage:?}"));
    }
    let version = answer.snapshot.version.0;
    let mismatch = answer
        .hits
        .iter()
        .find(|hit| hit.rest.get("version") != Some(&version.into()));
    if let Some(hit) = mismatch {
        let seen = format!("hit {} at {:?} under version {version}", hit.id, hit.rest);
        outcome.add_violation(ONE_SNAPSHOT, &request, seen);
    }
    let covered = layout
        .shards
        .iter()
        .filter(|shard| !missing.contains(&shard.id));
    let text = query.to_string();
    let mut expected: Vec<_> = covered
        .flat_map(|shard| corpus::hits(&shard.id, &text, version))
        .collect();
    expected.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    expected.truncate(HIT_LIMIT as usize);
    let same = expected
        .iter()
        .map(|hit| &hit.id)
        .eq(answer.hits.iter().map(|hit| &hit.id));
    if !same {
        let seen = format!("hits {:?}, expected {expected:?}", answer.hits);
        outcome.add_violation(CORRECT_HITS, &request, seen);
    }
}
