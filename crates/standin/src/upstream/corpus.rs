//! Hits that follow from the query, shard and version alone, so that a checker
//! can tell what a shard must have answered at a version.

use geraniumgauge::ids;

/// Hits of one shard for one query.
pub const HITS: u64 = 5;

/// One record found.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hit {
    /// The record's id.
    pub id: String,
    /// Higher is better.
    pub score: f64,
    /// The index version it was found in.
    pub version: u64,
}

/// What `shard` answers to `query` (its JSON text) at `version`.
pub fn hits(shard: &ids::Shard, query: &str, version: u64) -> Vec<Hit> {
    let seed = xxhash_rust::xxh3::xxh3_64(query.as_bytes());
    (0..HITS)
        .map(|number| hit(shard, seed, version, number))
        .collect()
}

fn hit(shard: &ids::Shard, seed: u64, version: u64, number: u64) -> Hit {
    let id = format!("{shard}/{number}");
    let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed ^ version);
    let score = (mixed % 1_000_000) as f64 / 1e6;
    Hit { id, score, version }
}
