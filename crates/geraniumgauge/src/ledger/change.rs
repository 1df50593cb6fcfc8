//! Changes to a bucket, and what each does to its head.

use std::collections;

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::time;

/// About what an entry without its result takes, in bytes.
const ENTRY: usize = 512;

/// Names one change that was submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Ticket(pub(super) u64);

/// A change to the bucket, or a question.
#[derive(Debug, Clone)]
pub(super) enum Change {
    /// Create a claim.
    Claim(ids::Key, head::Entry),
    /// Replace a claim's state, where the same token still holds it.
    Settle(ids::Key, head::Entry),
    /// What is recorded of a key.
    Look(ids::Key),
    /// Entries that were written to a page leave the head.
    Move(head::Page, Vec<(ids::Key, head::Token)>),
    /// Timed keys up to this time are forgotten.
    Expire(time::Wall),
    /// Pages are replaced by one with the hashes of their keys.
    Bury(Vec<String>, head::Page),
}

impl Change {
    /// About what it adds to a head, in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            Self::Claim(_, entry) | Self::Settle(_, entry) => {
                let result = entry.result.as_ref();
                ENTRY + result.map_or(0, |result| result.get().len())
            }
            _ => 0,
        }
    }
}

/// What came of a change.
#[derive(Debug, Clone)]
pub(super) enum Verdict {
    /// The claim is in the store and its submitter may send.
    Granted,
    /// The key has a claim already.
    Taken(head::Entry),
    /// The key stands for another body.
    Different,
    /// The key is too old to tell.
    Expired,
    /// The key is in this page.
    Paged(head::Page),
    /// The bucket takes no more.
    Full,
    /// Nothing is recorded of the key.
    Unseen,
    /// The change is in the store.
    Settled,
    /// The pages that are no longer listed.
    Dropped(Vec<head::Page>),
    /// The store can't be had; the change has had no effect.
    Failed(String),
}

pub(super) enum Applied {
    /// The head has changed.
    Changed(Verdict),
    /// The head holds it already, or can't take it.
    Same(Verdict),
    /// What is known of the head may be out of date.
    Refresh,
    /// This page must be read first.
    Load(head::Page),
}

/// Hashes of the keys in each page that was read.
pub(super) type Indexes = collections::HashMap<String, collections::HashSet<u128>>;

/// Applies one change. `fresh` says that `head` was just read or written, and
/// `size` is its size in bytes.
pub(super) fn apply(
    head: &mut head::Head,
    change: &Change,
    fresh: bool,
    size: usize,
    indexes: &Indexes,
) -> Applied {
    match change {
        Change::Claim(key, entry) => claim(head, key, entry, fresh, size, indexes),
        Change::Settle(key, entry) => settle(head, key, entry),
        Change::Look(key) => look(head, key, fresh, indexes),
        Change::Move(page, moved) => move_out(head, page, moved),
        Change::Expire(cutoff) => Applied::Changed(Verdict::Dropped(head.expire(*cutoff))),
        Change::Bury(old, page) => bury(head, old, page),
    }
}

fn claim(
    head: &mut head::Head,
    key: &ids::Key,
    entry: &head::Entry,
    fresh: bool,
    size: usize,
    indexes: &Indexes,
) -> Applied {
    if let Some(present) = head.entries.get(key) {
        if present.token == entry.token && present.state == head::State::Claimed {
            return Applied::Same(Verdict::Granted);
        }
        if present.fingerprint != entry.fingerprint {
            return Applied::Same(Verdict::Different);
        }
        match present.state {
            head::State::NotRun => {}
            head::State::Claimed if !fresh => return Applied::Refresh,
            _ => return Applied::Same(Verdict::Taken(present.clone())),
        }
    } else if let Some(found) = older(head, key, indexes) {
        return found;
    }
    if size > head::FULL {
        return Applied::Same(Verdict::Full);
    }
    head.entries.insert(key.clone(), entry.clone());
    Applied::Changed(Verdict::Granted)
}

/// Looks beyond the head's own entries. `None` where the key is nowhere.
fn older(head: &head::Head, key: &ids::Key, indexes: &Indexes) -> Option<Applied> {
    let timed = key::time(key);
    if timed.is_some_and(|time| time <= head.floor) {
        return Some(Applied::Same(Verdict::Expired));
    }
    let hash = key::hash(key);
    for page in head.pages.iter().filter(|page| page.may_hold(timed)) {
        let Some(index) = indexes.get(&page.id) else {
            return Some(Applied::Load(page.clone()));
        };
        if index.contains(&hash) {
            return Some(Applied::Same(Verdict::Paged(page.clone())));
        }
    }
    None
}

fn look(head: &head::Head, key: &ids::Key, fresh: bool, indexes: &Indexes) -> Applied {
    if !fresh {
        return Applied::Refresh;
    }
    if let Some(present) = head.entries.get(key) {
        return Applied::Same(Verdict::Taken(present.clone()));
    }
    older(head, key, indexes).unwrap_or(Applied::Same(Verdict::Unseen))
}

fn settle(head: &mut head::Head, key: &ids::Key, entry: &head::Entry) -> Applied {
    let open = |present: &&mut head::Entry| {
        present.token == entry.token && present.state == head::State::Claimed
    };
    if let Some(present) = head.entries.get_mut(key).filter(open) {
        *present = entry.clone();
        return Applied::Changed(Verdict::Settled);
    }
    Applied::Same(Verdict::Settled)
}

fn move_out(
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
        return Applied::Same(Verdict::Settled);
    }
    if page.count > 0 {
        head.pages.push(page.clone());
    }
    Applied::Changed(Verdict::Settled)
}

fn bury(head: &mut head::Head, old: &[String], page: &head::Page) -> Applied {
    let listed = |id: &String| head.pages.iter().any(|page| page.id == *id);
    if !old.iter().all(listed) {
        // Another VM has done it.
        return Applied::Same(Verdict::Dropped(Vec::new()));
    }
    let gone = |page: &mut head::Page| old.contains(&page.id);
    let dropped = head.pages.extract_if(.., gone).collect();
    head.pages.insert(0, page.clone());
    Applied::Changed(Verdict::Dropped(dropped))
}
