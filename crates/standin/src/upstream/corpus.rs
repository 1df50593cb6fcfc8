//! Search hits computed from query, shard and index version alone, so that a check can
//! compute the expected answer.

use geraniumgauge::ids;

/// Number of hits that each shard returns for a query.
pub const HITS_PER_SHARD: u64 = 5;

/// A record that matches a query.
#[derive(Debug, Clone, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Hit {
    /// The record's id.
    pub id: String,
    /// Relevance; higher is better.
    pub score: f64,
    /// The index version that it was found in.
    pub version: u64,
}

/// Returns the hits of `shard` for `query` (as JSON text) at index version `version`.
pub fn hits(shard: &ids::Shard, query: &str, version: u64) -> Vec<Hit> {
    let seed = xxhash_rust::xxh3::xxh3_64(query.as_bytes());
    (0..HITS_PER_SHARD)
        .map(|number| hit(shard, seed, version, number))
        .collect()
}

fn hit(shard: &ids::Shard, seed: u64, version: u64, number: u64) -> Hit {
    let id = format!("{shard}/{number}");
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed ^ version);
    let score = (hash % 1_000_000) as f64 / 1e6;
    Hit { id, score, version }
}
