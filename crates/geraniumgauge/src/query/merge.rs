//! Parses shard replies and merges their hits.

use std::borrow;
use std::cmp;
use std::collections;

use bytes::Bytes;

use crate::ids;
use crate::query;

/// The hits of one shard's reply, best first, as byte ranges of its body.
#[derive(Debug, Clone)]
pub struct ShardHits {
    body: Bytes,
    hits: Vec<Candidate>,
}

/// The sort key of one hit and its byte range in the body.
#[derive(Debug, Clone)]
struct Candidate {
    score: f64,
    id: String,
    start: usize,
    end: usize,
}

#[derive(serde::Deserialize)]
struct Reply<'a> {
    #[serde(borrow)]
    hits: Vec<&'a serde_json::value::RawValue>,
}

/// The fields of a hit that are needed for merging.
#[derive(serde::Deserialize)]
struct Head<'a> {
    #[serde(borrow)]
    id: borrow::Cow<'a, str>,
    score: f64,
    #[serde(borrow, default)]
    shard: Option<borrow::Cow<'a, str>>,
}

/// All fields of a hit.
#[derive(serde::Deserialize)]
struct FullHit {
    id: String,
    score: f64,
    #[serde(flatten)]
    rest: collections::BTreeMap<String, serde_json::Value>,
}

/// Parses a shard's reply and keeps the best `limit` hits; `None` if it is
/// malformed or names another shard. Decodes only ids and scores, since most hits
/// don't reach the answer.
pub fn parse(body: Bytes, shard: &ids::Shard, limit: usize) -> Option<ShardHits> {
    let mut hits = {
        let reply: Reply<'_> = serde_json::from_slice(&body).ok()?;
        let base = body.as_ptr() as usize;
        let mut hits = Vec::with_capacity(reply.hits.len());
        for raw in reply.hits {
            let head: Head<'_> = serde_json::from_str(raw.get()).ok()?;
            if head.shard.is_some_and(|named| named != shard.as_str()) {
                return None;
            }
            let start = (raw.get().as_ptr() as usize).checked_sub(base)?;
            hits.push(Candidate {
                score: head.score,
                id: head.id.into_owned(),
                start,
                end: start + raw.get().len(),
            });
        }
        hits
    };
    hits.sort_by(by_rank);
    hits.truncate(limit);
    Some(ShardHits { body, hits })
}

/// Returns the best `limit` hits, best first. Equal scores are ordered by shard,
/// then by id, so that the order of replies doesn't affect the answer.
pub fn merge<'a>(
    found: impl Iterator<Item = (&'a ids::Shard, &'a ShardHits)>,
    limit: usize,
) -> Vec<query::Hit> {
    let mut all = Vec::new();
    for (shard, found) in found {
        all.extend(found.hits.iter().map(|candidate| (shard, found, candidate)));
    }
    let order = |a: &(&ids::Shard, &ShardHits, &Candidate),
                 b: &(&ids::Shard, &ShardHits, &Candidate)| {
        let score = b.2.score.total_cmp(&a.2.score);
        score
            .then_with(|| a.0.cmp(b.0))
            .then_with(|| a.2.id.cmp(&b.2.id))
    };
    if all.len() > limit && limit > 0 {
        all.select_nth_unstable_by(limit - 1, order);
    }
    all.truncate(limit);
    all.sort_by(order);
    let hits = all
        .into_iter()
        .filter_map(|(shard, found, candidate)| found.hit(shard, candidate));
    hits.collect()
}

impl ShardHits {
    fn hit(&self, shard: &ids::Shard, candidate: &Candidate) -> Option<query::Hit> {
        let raw = self.body.get(candidate.start..candidate.end)?;
        let mut hit: FullHit = serde_json::from_slice(raw).ok()?;
        hit.rest.remove("shard");
        Some(query::Hit {
            id: hit.id,
            score: hit.score,
            shard: shard.clone(),
            rest: hit.rest,
        })
    }
}

fn by_rank(a: &Candidate, b: &Candidate) -> cmp::Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}
