//! Changes to a bucket, and how each is applied to its head.

use std::collections;

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::time;

/// Estimated size of an entry without its result, in bytes.
const ENTRY_BYTES: usize = 512;

/// Identifies one submitted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Ticket(pub(super) u64);

/// A change to the bucket, or a lookup in it.
#[derive(Debug, Clone)]
pub(super) enum Change {
    /// Creates a claim.
    Claim(ids::Key, head::Entry),
    /// Replaces the state of a claim if it is still held by the same token.
    Settle(ids::Key, head::Entry),
    /// Looks up what is recorded for a key.
    Lookup(ids::Key),
    /// Removes entries from the head that were written to a page.
    PageOut(head::Page, Vec<(ids::Key, head::Token)>),
    /// Deletes timed keys up to this time.
    Expire(time::Wall),
    /// Replaces pages by one page with the hashes of their keys.
    Compact(Vec<String>, head::Page),
}

impl Change {
    /// Estimates how many bytes the change adds to a head.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Claim(_, entry) | Self::Settle(_, entry) => {
                let result = entry.result.as_ref();
                ENTRY_BYTES + result.map_or(0, |result| result.get().len())
            }
            _ => 0,
        }
    }
}

/// The result of a change.
#[derive(Debug, Clone)]
pub(super) enum Verdict {
    /// The claim is in the store, and its submitter may send the record.
    Granted,
    /// The key has a claim already.
    Taken(head::Entry),
    /// The key was claimed with another body.
    BodyMismatch,
    /// The key is older than the window, so whether it ran is unknown.
    Expired,
    /// The key is in this page.
    Paged(head::Page),
    /// The bucket accepts no more claims.
    Full,
    /// Nothing is recorded for the key.
    Unrecorded,
    /// The change is in the store, or no longer applies.
    Settled,
    /// The change is in the store, and these pages are no longer listed.
    Dropped(Vec<head::Page>),
    /// The store is unavailable; the change had no effect.
    Failed(String),
}

/// The effect of a change on the head.
pub(super) enum Applied {
    /// The head has changed.
    Changed(Verdict),
    /// The head already contains the change, or doesn't accept it.
    Unchanged(Verdict),
    /// The head must be read again, since the cached one may be stale.
    ReadHead,
    /// This page must be read before the change can be applied.
    ReadPage(head::Page),
}

/// Hashes of the keys in each page that was read, by the page's store key.
pub(super) type PageHashes = collections::HashMap<String, collections::HashSet<u128>>;

/// Applies one change to `head`, whose encoded form is `head_bytes` long.
/// `up_to_date` is set if `head` was just read or written, so that it needs no
/// further read.
pub(super) fn apply(
    head: &mut head::Head,
    change: &Change,
    up_to_date: bool,
    head_bytes: usize,
    page_hashes: &PageHashes,
) -> Applied {
    match change {
        Change::Claim(key, entry) => claim(head, key, entry, up_to_date, head_bytes, page_hashes),
        Change::Settle(key, entry) => settle(head, key, entry),
        Change::Lookup(key) => look_up(head, key, up_to_date, page_hashes),
        Change::PageOut(page, moved) => page_out(head, page, moved),
        Change::Expire(cutoff) => Applied::Changed(Verdict::Dropped(head.expire(*cutoff))),
        Change::Compact(old, page) => compact(head, old, page),
    }
}

fn claim(
    head: &mut head::Head,
    key: &ids::Key,
    entry: &head::Entry,
    up_to_date: bool,
    head_bytes: usize,
    page_hashes: &PageHashes,
) -> Applied {
    if let Some(present) = head.entries.get(key) {
        if present.token == entry.token && present.state == head::State::Claimed {
            return Applied::Unchanged(Verdict::Granted);
        }
        if present.fingerprint != entry.fingerprint {
            return Applied::Unchanged(Verdict::BodyMismatch);
        }
        match present.state {
            head::State::NotRun => {}
            head::State::Claimed if !up_to_date => return Applied::ReadHead,
            _ => return Applied::Unchanged(Verdict::Taken(present.clone())),
        }
    } else if let Some(found) = find_expired_or_paged(head, key, page_hashes) {
        return found;
    }
    if head_bytes > head::MAX_HEAD_BYTES {
        return Applied::Unchanged(Verdict::Full);
    }
    head.entries.insert(key.clone(), entry.clone());
    Applied::Changed(Verdict::Granted)
}

/// Checks a key that isn't among the head's entries against the expiry floor and
/// the pages. Returns `None` if nothing is recorded for it.
fn find_expired_or_paged(
    head: &head::Head,
    key: &ids::Key,
    page_hashes: &PageHashes,
) -> Option<Applied> {
    let timed = key::time(key);
    if timed.is_some_and(|time| time <= head.floor) {
        return Some(Applied::Unchanged(Verdict::Expired));
    }
    let hash = key::hash(key);
    for page in head.pages.iter().filter(|page| page.may_hold(timed)) {
        let Some(hashes) = page_hashes.get(&page.id) else {
            return Some(Applied::ReadPage(page.clone()));
        };
        if hashes.contains(&hash) {
            return Some(Applied::Unchanged(Verdict::Paged(page.clone())));
        }
    }
    None
}

fn look_up(
    head: &head::Head,
    key: &ids::Key,
    up_to_date: bool,
    page_hashes: &PageHashes,
) -> Applied {
    if !up_to_date {
        return Applied::ReadHead;
    }
    if let Some(present) = head.entries.get(key) {
        return Applied::Unchanged(Verdict::Taken(present.clone()));
    }
    find_expired_or_paged(head, key, page_hashes).unwrap_or(Applied::Unchanged(Verdict::Unrecorded))
}

fn settle(head: &mut head::Head, key: &ids::Key, entry: &head::Entry) -> Applied {
    let open = |present: &&mut head::Entry| {
        present.token == entry.token && present.state == head::State::Claimed
    };
    if let Some(present) = head.entries.get_mut(key).filter(open) {
        *present = entry.clone();
        return Applied::Changed(Verdict::Settled);
    }
    Applied::Unchanged(Verdict::Settled)
}

fn page_out(
    head: &mut head::Head,
    page: &head::Page,
    moved: &[(ids::Key, head::Token)],
) -> Applied {
    let before = head.entries.len();
    for (key, token) in moved {
        let same = |present: &head::Entry| {
            present.token == *token && present.state != head::State::Claimed
        };
        if head.entries.get(key).is_some_and(same) {
            head.entries.remove(key);
        }
    }
    if head.entries.len() == before {
        return Applied::Unchanged(Verdict::Settled);
    }
    if page.count > 0 {
        head.pages.push(page.clone());
    }
    Applied::Changed(Verdict::Settled)
}

fn compact(head: &mut head::Head, old: &[String], page: &head::Page) -> Applied {
    let listed = |id: &String| head.pages.iter().any(|page| page.id == *id);
    if !old.iter().all(listed) {
        // Another VM has already compacted them.
        return Applied::Unchanged(Verdict::Dropped(Vec::new()));
    }
    let gone = |page: &mut head::Page| old.contains(&page.id);
    let dropped = head.pages.extract_if(.., gone).collect();
    head.pages.insert(0, page.clone());
    Applied::Changed(Verdict::Dropped(dropped))
}
