//! Chooses the index version that a search is pinned to.

use crate::ids;
use crate::query::plan;
use crate::time as clock;

/// An index version and its coverage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// The index version.
    pub version: ids::IndexVersion,
    /// Number of shards with a replica that offers it, or whose range is unknown.
    pub covered: usize,
}

/// Returns the version offered by the most of `shards`, and the newest of them if
/// several are; `None` if no replica's range is known.
pub fn pick(plan: &plan::Plan, shards: &[u32], now: clock::Moment) -> Option<Pick> {
    let mut versions: Vec<_> = newest(plan, shards, now).collect();
    versions.sort_unstable();
    versions.dedup();
    let mut best: Option<Pick> = None;
    for version in versions.into_iter().rev() {
        let covered = count_covered(plan, shards, version, now);
        if best.is_none_or(|best| covered > best.covered) {
            best = Some(Pick { version, covered });
        }
        if covered == shards.len() {
            break;
        }
    }
    best
}

/// Returns how many of `shards` offer `version`; a replica of unknown range counts
/// as offering it.
pub fn count_covered(
    plan: &plan::Plan,
    shards: &[u32],
    version: ids::IndexVersion,
    now: clock::Moment,
) -> usize {
    let offered = |shard: &&u32| {
        let mut replicas = plan.replicas_of(**shard);
        replicas.any(|replica| replica.stats.offers(version, now) != Some(false))
    };
    shards.iter().filter(offered).count()
}

/// Returns the newest version of each replica whose range is known.
fn newest(
    plan: &plan::Plan,
    shards: &[u32],
    now: clock::Moment,
) -> impl Iterator<Item = ids::IndexVersion> {
    let replicas = shards.iter().flat_map(|shard| plan.replicas_of(*shard));
    replicas.filter_map(move |replica| Some(replica.stats.range(now)?.newest))
}
