//! Moves older claims of a bucket out of its head, so that each update writes
//! little however many claims the window holds.

use std::collections;
use std::time;

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::time as clock;

/// Heads above this many bytes give their settled entries to pages.
const PAGE_AT: usize = 96 * 1024;
/// Clock differences between VMs that cost no key its window.
pub const SKEW: time::Duration = time::Duration::from_secs(600);
/// Old pages of keys without a time that are replaced together.
const BURIED: usize = 8;

/// Entries that leave the head.
#[derive(Debug)]
pub(super) struct Batch {
    /// The page that takes the settled ones.
    pub(super) page: head::Page,
    /// Its body.
    pub(super) body: bytes::Bytes,
    /// All that leave.
    pub(super) moved: Vec<(ids::Key, head::Token)>,
}

/// Entries to be moved: one batch for keys with a time, one for the others.
/// Entries that did not run are dropped: their keys may be claimed again.
pub(super) fn split(prefix: &str, head: &head::Head, size: usize) -> Vec<Batch> {
    if size <= PAGE_AT {
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
        id: name(prefix, &body),
        count: kept.len(),
        newest: newest.unwrap_or_default(),
        times: oldest.zip(times.iter().max().copied()),
        hashes: false,
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

/// A page is named by its content: VMs that make it at once make the same.
fn name(prefix: &str, body: &[u8]) -> String {
    format!("{prefix}/{:032x}", xxhash_rust::xxh3::xxh3_128(body))
}

/// The time up to which timed keys may be forgotten, where any claim is that old.
pub(super) fn cutoff(
    head: &head::Head,
    window: time::Duration,
    wall: clock::Wall,
) -> Option<clock::Wall> {
    let kept = clock::millis(window + SKEW);
    let cutoff = clock::Wall(wall.0.saturating_sub(kept));
    let old = |time: clock::Wall| time <= cutoff;
    let entry = head.entries.keys().filter_map(key::time).any(old);
    let page = head
        .pages
        .iter()
        .filter_map(|page| page.times)
        .any(|(_, to)| old(to));
    (entry || page).then_some(cutoff)
}

/// Pages of keys without a time whose results are past the window.
pub(super) fn old(
    head: &head::Head,
    window: time::Duration,
    wall: clock::Wall,
) -> Option<Vec<head::Page>> {
    let old = |page: &&head::Page| {
        page.times.is_none() && !page.hashes && wall.since(page.newest) > window + SKEW
    };
    let pages: Vec<_> = head
        .pages
        .iter()
        .filter(old)
        .take(BURIED)
        .cloned()
        .collect();
    (pages.len() == BURIED).then_some(pages)
}

/// The page of hashes that replaces `entries` of old pages.
pub(super) fn bury(prefix: &str, pages: &[head::Entries]) -> (head::Page, bytes::Bytes) {
    let mut hashes: Vec<_> = pages
        .iter()
        .flat_map(|page| page.keys().map(key::hash))
        .collect();
    hashes.sort_unstable();
    hashes.dedup();
    let body: Vec<u8> = hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect();
    let page = head::Page {
        id: name(prefix, &body),
        count: hashes.len(),
        newest: clock::Wall(0),
        times: None,
        hashes: true,
    };
    (page, body.into())
}
