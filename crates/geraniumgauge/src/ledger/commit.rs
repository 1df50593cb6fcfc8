//! Commits many claims and outcomes of one bucket with one conditional update.
//!
//! A state machine without I/O: its worker carries out [`Action`]s one at a
//! time and hands back what came of them. A claim is granted only after a
//! write with its token took effect, which the store's reply or a later read
//! shows.

use std::collections;

use crate::ids;
use crate::ledger::change;
use crate::ledger::head;
use crate::ledger::key;
use crate::store;

/// Most changes in one update.
const GROUP: usize = 256;
/// Bytes of results that one update adds, about; with [`head::FULL`] it keeps
/// a head below the largest object that the store takes.
const GROUP_BYTES: usize = 192 * 1024;
/// Most changes that wait; beyond it claims are refused at once.
const QUEUE: usize = 4096;
/// Failures of the store in a row after which claims are refused. One is borne:
/// a single lost connection is no outage.
const PATIENCE: u32 = 2;

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

/// A change that waits. One that was part of a write without a reply stays
/// until another write succeeds, even where a read shows the object as it was:
/// the lost write may only be late, and can't take effect once the object has
/// moved on. Applied again to the same state, it always makes that write.
#[derive(Debug)]
struct Pending {
    ticket: change::Ticket,
    change: change::Change,
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
    verdicts: Vec<(change::Ticket, change::Verdict)>,
    head: head::Head,
    size: usize,
}

/// Changes to one bucket that wait, and what is known of it.
#[derive(Debug, Default)]
pub(super) struct Commit {
    known: Option<Known>,
    /// The highest version seen: a read of an older one is out of date.
    high: ids::ObjectVersion,
    queue: collections::VecDeque<Pending>,
    flight: Option<Flight>,
    failures: u32,
    pause: bool,
    settled: u64,
    indexes: collections::HashMap<String, collections::HashSet<u128>>,
    verdicts: Vec<(change::Ticket, change::Verdict)>,
}

impl Commit {
    /// Takes a change.
    pub(super) fn submit(&mut self, ticket: change::Ticket, change: change::Change) {
        let claim = matches!(change, change::Change::Claim(..) | change::Change::Look(_));
        if claim && self.queue.len() >= QUEUE {
            let reason = "too many claims wait for the store".to_owned();
            self.verdicts
                .push((ticket, change::Verdict::Failed(reason)));
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
    pub(super) fn abandon(&mut self, ticket: change::Ticket, key: ids::Key, entry: head::Entry) {
        let unsent = |pending: &Pending| pending.ticket == ticket && !pending.doubted;
        if let Some(at) = self.queue.iter().position(unsent) {
            self.queue.remove(at);
            return;
        }
        let state = head::State::NotRun;
        self.submit(
            ticket,
            change::Change::Settle(key, head::Entry { state, ..entry }),
        );
    }

    /// Verdicts since the last call.
    pub(super) fn verdicts(&mut self) -> Vec<(change::Ticket, change::Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether nothing waits.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none()
    }

    /// Whether a write is likely to come next.
    pub(super) fn is_due(&self) -> bool {
        let changes = |pending: &Pending| !matches!(pending.change, change::Change::Look(_));
        self.known.is_some() && self.queue.iter().any(changes)
    }

    /// Lost replies that were settled since the last call.
    pub(super) fn settled(&mut self) -> u64 {
        std::mem::take(&mut self.settled)
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
        let mut changed = false;
        let mut taken = 0;
        let mut bytes = 0;
        for pending in self.queue.iter().take(GROUP) {
            if bytes > GROUP_BYTES {
                break;
            }
            bytes += pending.change.size();
            let applied = change::apply(&mut head, &pending.change, fresh, size, &self.indexes);
            match applied {
                change::Applied::Changed(verdict) => {
                    changed = true;
                    verdicts.push((pending.ticket, verdict));
                }
                change::Applied::Same(verdict) => verdicts.push((pending.ticket, verdict)),
                change::Applied::Refresh => return Some(Action::Read),
                change::Applied::Load(page) => return Some(Action::Load(page)),
            }
            taken += 1;
        }
        let changes: Vec<_> = self.queue.drain(..taken).collect();
        if !changed {
            self.settled += doubted(&changes);
            self.verdicts.extend(verdicts);
            self.aged();
            return None;
        }
        let body = serde_json::to_vec(&head).unwrap_or_default();
        let size = body.len();
        self.flight = Some(Flight {
            changes,
            verdicts,
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
                self.high = self.high.max(version);
                let (head, size) = (flight.head, flight.size);
                let listed = |id: &str| head.pages.iter().any(|page| page.id == id);
                if self.indexes.len() > head.pages.len() {
                    self.indexes.retain(|id, _| listed(id));
                }
                self.known = Some(Known {
                    version,
                    head,
                    size,
                    fresh: true,
                });
                self.settled += doubted(&flight.changes);
                self.verdicts.extend(flight.verdicts);
            }
            Err(store::Error::Conflict { .. }) => {
                self.known = None;
                self.requeue(flight.changes, false);
            }
            Err(store::Error::Unconfirmed { .. }) => {
                self.known = None;
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
        self.refuse(reason);
    }

    /// Refuses the claims that wait and can't be in the store.
    pub(super) fn refuse(&mut self, reason: &str) {
        let refusable = |pending: &Pending| match pending.change {
            change::Change::Claim(..) => !pending.doubted,
            change::Change::Look(_) => true,
            _ => false,
        };
        let (refused, kept) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition::<Vec<_>, _>(refusable);
        self.queue = kept.into();
        for pending in refused {
            let verdict = change::Verdict::Failed(reason.to_owned());
            self.verdicts.push((pending.ticket, verdict));
        }
    }
}

/// One where any of the changes was in doubt: they shared a write.
fn doubted(changes: &[Pending]) -> u64 {
    u64::from(changes.iter().any(|pending| pending.doubted))
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

#[cfg(test)]
#[path = "tests/commit.rs"]
mod tests;
