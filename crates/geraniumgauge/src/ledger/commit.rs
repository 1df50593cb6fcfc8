//! Commits many claims and outcomes of one bucket with one conditional update.
//!
//! A state machine without I/O: its worker carries out [`Action`]s one at a
//! time and hands back what came of them. A claim is granted only after a
//! write with its token took effect, which the store's reply or a later read
//! shows.

use std::collections;

use crate::ids;
use crate::ledger::head;
use crate::ledger::key;
use crate::store;
use crate::time;

/// Most changes in one update.
const GROUP: usize = 256;
/// Most changes that wait; beyond it claims are refused at once.
const QUEUE: usize = 4096;
/// Failures of the store in a row after which claims are refused. One is borne:
/// a single lost connection is no outage.
const PATIENCE: u32 = 2;

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

/// What the worker does next.
#[derive(Debug)]
pub(super) enum Action {
    /// Read the head.
    Read,
    /// Write the head.
    Write(bytes::Bytes, store::Condition),
    /// Read a page.
    Load(head::Page),
    /// Wait a little, or for another change.
    Pause,
    /// Wait for a change.
    Idle,
}

#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    change: Change,
    /// It was part of a write whose reply was lost.
    doubted: bool,
}

#[derive(Debug)]
struct Known {
    version: ids::ObjectVersion,
    head: head::Head,
    size: usize,
    /// Read or written since there was last nothing to do.
    fresh: bool,
}

#[derive(Debug)]
struct Flight {
    changes: Vec<Pending>,
    verdicts: Vec<(Ticket, Verdict)>,
    base: ids::ObjectVersion,
    head: head::Head,
    size: usize,
}

enum Applied {
    /// The head has changed.
    Changed(Verdict),
    /// The head holds it already, or can't take it.
    Same(Verdict),
    /// What is known of the head may be out of date.
    Refresh,
    /// This page must be read first.
    Load(head::Page),
}

/// Changes to one bucket that wait, and what is known of it.
#[derive(Debug, Default)]
pub(super) struct Commit {
    known: Option<Known>,
    /// The highest version seen: a read of an older one is out of date.
    high: ids::ObjectVersion,
    queue: collections::VecDeque<Pending>,
    flight: Option<Flight>,
    /// A write on this version may still take effect. It can't once another
    /// write has moved the object on, so one is made even where a read shows
    /// the claim absent: the lost write may only be late.
    doubt: Option<ids::ObjectVersion>,
    failures: u32,
    pause: bool,
    indexes: collections::HashMap<String, collections::HashSet<u128>>,
    verdicts: Vec<(Ticket, Verdict)>,
}

impl Commit {
    /// Takes a change.
    pub(super) fn submit(&mut self, ticket: Ticket, change: Change) {
        let claim = matches!(change, Change::Claim(..) | Change::Look(_));
        if claim && self.queue.len() >= QUEUE {
            let reason = "too many claims wait for the store".to_owned();
            self.verdicts.push((ticket, Verdict::Failed(reason)));
            return;
        }
        let doubted = false;
        self.queue.push_back(Pending {
            ticket,
            change,
            doubted,
        });
    }

    /// The submitter of a claim has given up and will not send. A claim that
    /// can't be in the store is dropped; any other is recorded as not run.
    pub(super) fn abandon(&mut self, ticket: Ticket, key: ids::Key, entry: head::Entry) {
        let unsent = |pending: &Pending| pending.ticket == ticket && !pending.doubted;
        if let Some(at) = self.queue.iter().position(unsent) {
            self.queue.remove(at);
            return;
        }
        let state = head::State::NotRun;
        self.submit(ticket, Change::Settle(key, head::Entry { state, ..entry }));
    }

    /// Verdicts since the last call.
    pub(super) fn verdicts(&mut self) -> Vec<(Ticket, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether nothing waits.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none() && self.doubt.is_none()
    }

    /// Whether a write in doubt is still to be settled.
    pub(super) fn in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Whether the store has failed often enough to refuse claims.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= PATIENCE
    }

    /// The head as last known, with its size in bytes.
    pub(super) fn head(&self) -> Option<(&head::Head, usize)> {
        let known = self.known.as_ref()?;
        Some((&known.head, known.size))
    }

    /// What to do next.
    pub(super) fn next(&mut self) -> Action {
        if std::mem::take(&mut self.pause) && !self.is_idle() {
            return Action::Pause;
        }
        loop {
            if self.is_idle() {
                self.aged();
                return Action::Idle;
            }
            let Some(known) = &self.known else {
                return Action::Read;
            };
            if self.doubt.is_some_and(|doubted| doubted != known.version) {
                self.doubt = None;
            }
            if let Some(action) = self.group() {
                return action;
            }
        }
    }

    /// Applies what waits to a copy of the head. `None` where nothing has to
    /// be written.
    fn group(&mut self) -> Option<Action> {
        let Some(known) = &self.known else {
            return Some(Action::Read);
        };
        let mut head = known.head.clone();
        let (base, fresh, size) = (known.version, known.fresh, known.size);
        let mut verdicts = Vec::new();
        let mut changed = self.doubt == Some(base);
        let mut taken = 0;
        for pending in self.queue.iter().take(GROUP) {
            let applied = apply(&mut head, &pending.change, fresh, size, &self.indexes);
            match applied {
                Applied::Changed(verdict) => {
                    changed = true;
                    verdicts.push((pending.ticket, verdict));
                }
                Applied::Same(verdict) => verdicts.push((pending.ticket, verdict)),
                Applied::Refresh => return Some(Action::Read),
                Applied::Load(page) => return Some(Action::Load(page)),
            }
            taken += 1;
        }
        let changes = self.queue.drain(..taken).collect();
        if !changed {
            self.verdicts.extend(verdicts);
            self.aged();
            return None;
        }
        let body = serde_json::to_vec(&head).unwrap_or_default();
        let size = body.len();
        self.flight = Some(Flight {
            changes,
            verdicts,
            base,
            head,
            size,
        });
        let condition = match base {
            ids::ObjectVersion(0) => store::Condition::Absent,
            version => store::Condition::Version(version),
        };
        Some(Action::Write(body.into(), condition))
    }

    /// What came of [`Action::Read`].
    pub(super) fn read(&mut self, found: Result<store::Object, store::Error>) {
        let (version, body) = match found {
            Ok(object) => (object.version, object.body),
            Err(store::Error::Missing { .. }) => (ids::ObjectVersion(0), "{}".into()),
            Err(error) => return self.failed(&error.to_string()),
        };
        if version < self.high {
            // An out-of-date read, or a store restored to an older state:
            // claims made since would be missing from it.
            return self.failed("the store shows an older state of the ledger");
        }
        let Ok(head) = serde_json::from_slice(&body) else {
            return self.failed("the ledger in the store can't be read");
        };
        self.failures = 0;
        self.high = version;
        let size = body.len();
        self.known = Some(Known {
            version,
            head,
            size,
            fresh: true,
        });
    }

    /// What came of [`Action::Write`].
    pub(super) fn written(&mut self, done: Result<ids::ObjectVersion, store::Error>) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        match done {
            Ok(version) => {
                self.failures = 0;
                self.doubt = None;
                self.high = self.high.max(version);
                let (head, size) = (flight.head, flight.size);
                self.known = Some(Known {
                    version,
                    head,
                    size,
                    fresh: true,
                });
                self.verdicts.extend(flight.verdicts);
            }
            Err(store::Error::Conflict { .. }) => {
                self.known = None;
                self.requeue(flight.changes, false);
            }
            Err(store::Error::Unsure { .. }) => {
                self.known = None;
                self.doubt = Some(flight.base);
                self.requeue(flight.changes, true);
            }
            Err(error) => {
                self.requeue(flight.changes, false);
                self.failed(&error.to_string());
            }
        }
    }

    /// What came of [`Action::Load`].
    pub(super) fn loaded(&mut self, page: &head::Page, found: Result<store::Object, store::Error>) {
        let hashes = found.map(|object| hashes(page, &object.body));
        match hashes {
            Ok(Some(hashes)) => {
                self.indexes.insert(page.id.clone(), hashes);
            }
            Ok(None) => self.failed("a page of the ledger can't be read"),
            Err(store::Error::Missing { .. }) => {
                // Pages go only after the head no longer lists them.
                self.known = None;
                self.failed("a page of the ledger is gone");
            }
            Err(error) => self.failed(&error.to_string()),
        }
    }

    /// What is known of the head may be out of date from here on.
    fn aged(&mut self) {
        if let Some(known) = &mut self.known {
            known.fresh = false;
        }
    }

    fn requeue(&mut self, changes: Vec<Pending>, unsure: bool) {
        for mut pending in changes.into_iter().rev() {
            pending.doubted |= unsure;
            self.queue.push_front(pending);
        }
    }

    fn failed(&mut self, reason: &str) {
        self.failures = self.failures.saturating_add(1);
        self.pause = true;
        if self.failures < PATIENCE {
            return;
        }
        let refusable = |pending: &Pending| match pending.change {
            Change::Claim(..) => !pending.doubted,
            Change::Look(_) => true,
            _ => false,
        };
        let (refused, kept) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition::<Vec<_>, _>(refusable);
        self.queue = kept.into();
        for pending in refused {
            let verdict = Verdict::Failed(reason.to_owned());
            self.verdicts.push((pending.ticket, verdict));
        }
    }
}

/// The hashes of a page's keys.
fn hashes(page: &head::Page, body: &[u8]) -> Option<collections::HashSet<u128>> {
    if page.hashes {
        let (chunks, rest) = body.as_chunks::<16>();
        let read = chunks.iter().map(|chunk| u128::from_le_bytes(*chunk));
        return rest.is_empty().then(|| read.collect());
    }
    let entries: head::Entries = serde_json::from_slice(body).ok()?;
    Some(entries.keys().map(key::hash).collect())
}

fn apply(
    head: &mut head::Head,
    change: &Change,
    fresh: bool,
    size: usize,
    indexes: &collections::HashMap<String, collections::HashSet<u128>>,
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
    indexes: &collections::HashMap<String, collections::HashSet<u128>>,
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
fn older(
    head: &head::Head,
    key: &ids::Key,
    indexes: &collections::HashMap<String, collections::HashSet<u128>>,
) -> Option<Applied> {
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

fn look(
    head: &head::Head,
    key: &ids::Key,
    fresh: bool,
    indexes: &collections::HashMap<String, collections::HashSet<u128>>,
) -> Applied {
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

#[cfg(test)]
#[path = "tests/commit.rs"]
mod tests;
