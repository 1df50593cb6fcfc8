//! Reads shard replies and merges their hits.

use std::borrow;
use std::cmp;
use std::collections;

use bytes::Bytes;

use crate::ids;
use crate::query;

/// The hits of one shard: where they stand in its reply, best first.
#[derive(Debug, Clone)]
pub struct Found {
    body: Bytes,
    hits: Vec<Place>,
}

#[derive(Debug, Clone)]
struct Place {
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

#[derive(serde::Deserialize)]
struct Head<'a> {
    #[serde(borrow)]
    id: borrow::Cow<'a, str>,
    score: f64,
    #[serde(borrow, default)]
    shard: Option<borrow::Cow<'a, str>>,
}

#[derive(serde::Deserialize)]
struct Whole {
    id: String,
    score: f64,
    #[serde(flatten)]
    rest: collections::BTreeMap<String, serde_json::Value>,
}

/// Reads a shard's reply; `None` where it is no reply of that shard. Only ids
/// and scores are read here: most hits never reach the answer.
pub fn read(body: Bytes, shard: &ids::Shard, limit: usize) -> Option<Found> {
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
            hits.push(Place {
                score: head.score,
                id: head.id.into_owned(),
                start,
                end: start + raw.get().len(),
            });
        }
        hits
    };
    hits.sort_by(best);
    hits.truncate(limit);
    Some(Found { body, hits })
}

/// The best `limit` hits, best first; equal scores by shard, then by id, so
/// that every order of replies gives the same answer.
pub fn merge<'a>(
    found: impl Iterator<Item = (&'a ids::Shard, &'a Found)>,
    limit: usize,
) -> Vec<query::Hit> {
    let mut all = Vec::new();
    for (shard, found) in found {
        all.extend(found.hits.iter().map(|place| (shard, found, place)));
    }
    let order = |a: &(&ids::Shard, &Found, &Place), b: &(&ids::Shard, &Found, &Place)| {
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
    let whole = all
        .into_iter()
        .filter_map(|(shard, found, place)| found.hit(shard, place));
    whole.collect()
}

impl Found {
    fn hit(&self, shard: &ids::Shard, place: &Place) -> Option<query::Hit> {
        let raw = self.body.get(place.start..place.end)?;
        let mut whole: Whole = serde_json::from_slice(raw).ok()?;
        whole.rest.remove("shard");
        Some(query::Hit {
            id: whole.id,
            score: whole.score,
            shard: shard.clone(),
            rest: whole.rest,
        })
    }
}

fn best(a: &Place, b: &Place) -> cmp::Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id))
}
