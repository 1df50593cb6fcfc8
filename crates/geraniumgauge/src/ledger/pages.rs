//! Moves older claims of a bucket from its head to pages, so that updates stay
//! small however many claims the window contains.

use std::collections;
use std::time;

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::time as clock;

/// Size in bytes above which the settled entries of a head are moved to pages.
const PAGING_THRESHOLD_BYTES: usize = 96 * 1024;
/// Tolerated clock difference between VMs. Claims are kept this much longer than the
/// window, and the creation time in a key may be this far in the future.
pub const MAX_CLOCK_SKEW: time::Duration = time::Duration::from_secs(600);
/// Number of old pages with untimed keys that are compacted into one.
const PAGES_PER_COMPACTION: usize = 8;

/// Entries that are moved out of the head.
#[derive(Debug)]
pub(super) struct Batch {
    /// The page for those that are done.
    pub(super) page: head::Page,
    /// The body of the page.
    pub(super) body: bytes::Bytes,
    /// All entries to remove from the head.
    pub(super) moved: Vec<(ids::Key, head::Token)>,
}

/// Returns the entries to move out of a large head: one batch for timed keys, one
/// for the others. Entries that did not run are dropped, since their keys may be
/// claimed again.
pub(super) fn batches_to_move(prefix: &str, head: &head::Head, size: usize) -> Vec<Batch> {
    if size <= PAGING_THRESHOLD_BYTES {
        return Vec::new();
    }
    let settled = head
        .entries
        .iter()
        .filter(|(_, entry)| entry.state != head::State::Claimed);
    let (timed, untimed): (Vec<_>, Vec<_>) = settled.partition(|(key, _)| key::time(key).is_some());
    let batches = [timed, untimed];
    let full = batches.iter().filter(|entries| !entries.is_empty());
    full.map(|entries| batch(prefix, entries)).collect()
}

fn batch(prefix: &str, entries: &[(&ids::Key, &head::Entry)]) -> Batch {
    let done = |(_, entry): &&(&ids::Key, &head::Entry)| entry.state == head::State::Done;
    let kept: collections::BTreeMap<_, _> = entries.iter().filter(done).copied().collect();
    let body = serde_json::to_vec(&kept).unwrap_or_default();
    let times: Vec<_> = kept.keys().filter_map(|key| key::time(key)).collect();
    let oldest = times.iter().min().copied();
    let newest = kept.values().map(|entry| entry.since).max();
    let page = head::Page {
        id: page_key(prefix, &body),
        count: kept.len(),
        newest: newest.unwrap_or_default(),
        times: oldest.zip(times.iter().max().copied()),
        hashes_only: false,
    };
    let moved = entries
        .iter()
        .map(|(key, entry)| ((*key).clone(), entry.token.clone()));
    Batch {
        page,
        body: body.into(),
        moved: moved.collect(),
    }
}

/// Names a page by its content, so that VMs that create the same page
/// concurrently write the same object.
fn page_key(prefix: &str, body: &[u8]) -> String {
    format!("{prefix}/{:032x}", xxhash_rust::xxh3::xxh3_128(body))
}

/// Returns the time up to which timed keys may be deleted, or `None` if no claim
/// is that old.
pub(super) fn cutoff(
    head: &head::Head,
    window: time::Duration,
    wall: clock::Wall,
) -> Option<clock::Wall> {
    let kept = clock::millis(window + MAX_CLOCK_SKEW);
    let cutoff = clock::Wall(wall.0.saturating_sub(kept));
    let expired = |time: clock::Wall| time <= cutoff;
    let entry = head.entries.keys().filter_map(key::time).any(expired);
    let page = head
        .pages
        .iter()
        .filter_map(|page| page.times)
        .any(|(_, to)| expired(to));
    (entry || page).then_some(cutoff)
}

/// Returns the oldest pages of untimed keys whose results are outside the window,
/// once there are enough to compact.
pub(super) fn compactable(
    head: &head::Head,
    window: time::Duration,
    wall: clock::Wall,
) -> Option<Vec<head::Page>> {
    let outside_window = |page: &&head::Page| {
        page.times.is_none()
            && !page.hashes_only
            && wall.since(page.newest) > window + MAX_CLOCK_SKEW
    };
    let pages: Vec<_> = head
        .pages
        .iter()
        .filter(outside_window)
        .take(PAGES_PER_COMPACTION)
        .cloned()
        .collect();
    (pages.len() == PAGES_PER_COMPACTION).then_some(pages)
}

/// Creates the page of key hashes that replaces old pages with these entries.
pub(super) fn compact(prefix: &str, pages: &[head::Entries]) -> (head::Page, bytes::Bytes) {
    let mut hashes: Vec<_> = pages
        .iter()
        .flat_map(|page| page.keys().map(key::hash))
        .collect();
    hashes.sort_unstable();
    hashes.dedup();
    let body: Vec<u8> = hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect();
    let page = head::Page {
        id: page_key(prefix, &body),
        count: hashes.len(),
        newest: clock::Wall(0),
        times: None,
        hashes_only: true,
    };
    (page, body.into())
}
