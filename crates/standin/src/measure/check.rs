//! Checks one search's answer against what the upstreams must have said.

use std::collections;

use geraniumgauge::layout;
use geraniumgauge::query;

use crate::measure::load;
use crate::measure::outcome;
use crate::upstream::corpus;

/// Every hit is of the stated snapshot.
pub const ONE_SNAPSHOT: &str = "one snapshot";
/// What is covered and missing is stated truly.
pub const TRUE_COVERAGE: &str = "true coverage";
/// Each caller gets its own whole answer.
pub const OWN_ANSWER: &str = "own whole answer";
/// Hits that every search of the measurements asks for.
pub const LIMIT: u32 = 20;
/// A request gets an answer or a refusal.
pub const ANSWERED: &str = "answered at all";

/// What is wrong with the answer to `query` that `sample` holds. A refusal and
/// a request that was never sent break nothing here.
pub fn search(
    layout: &layout::Layout,
    query: &serde_json::Value,
    sample: &load::Sample,
) -> Vec<outcome::Violation> {
    let mut wrong = outcome::Outcome::default();
    let request = sample.request_id();
    match &sample.reply {
        Err(load::Lost::Unsent(_)) => {}
        Err(load::Lost::Sent(why)) => wrong.violate(ANSWERED, request, why),
        Ok(reply) if reply.status == 200 => {
            match serde_json::from_value::<query::Answer>(reply.body.clone()) {
                Ok(answer) => answered(layout, query, &answer, &mut wrong),
                Err(error) => wrong.violate(OWN_ANSWER, request, error.to_string()),
            }
        }
        Ok(reply) => {
            if reply.body["error"]["code"].as_str().is_none() {
                let seen = format!("status {} without an error code", reply.status);
                wrong.violate(ANSWERED, request, seen);
            }
        }
    }
    wrong.violations
}

fn answered(
    layout: &layout::Layout,
    query: &serde_json::Value,
    answer: &query::Answer,
    wrong: &mut outcome::Outcome,
) {
    let request = answer.request_id.to_string();
    let coverage = &answer.coverage;
    let missing: collections::BTreeSet<_> = coverage.missing.iter().map(|m| &m.shard).collect();
    let sums = coverage.covered + missing.len() == coverage.shards
        && missing.len() == coverage.missing.len()
        && coverage.shards == layout.shards.len()
        && coverage.complete == missing.is_empty();
    if !sums {
        wrong.violate(TRUE_COVERAGE, &request, format!("{coverage:?}"));
    }
    let version = answer.snapshot.version.0;
    let mixed = answer
        .hits
        .iter()
        .find(|hit| hit.rest.get("version") != Some(&version.into()));
    if let Some(hit) = mixed {
        let seen = format!("hit {} at {:?} under version {version}", hit.id, hit.rest);
        wrong.violate(ONE_SNAPSHOT, &request, seen);
    }
    let covered = layout
        .shards
        .iter()
        .filter(|shard| !missing.contains(&shard.id));
    let text = query.to_string();
    let mut due: Vec<_> = covered
        .flat_map(|shard| corpus::hits(&shard.id, &text, version))
        .collect();
    due.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    due.truncate(LIMIT as usize);
    let same = due
        .iter()
        .map(|hit| &hit.id)
        .eq(answer.hits.iter().map(|hit| &hit.id));
    if !same {
        let seen = format!("hits {:?} where {due:?} were due", answer.hits);
        wrong.violate(OWN_ANSWER, &request, seen);
    }
}
