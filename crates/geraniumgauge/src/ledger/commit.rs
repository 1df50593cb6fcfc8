//! Group commit: writes many claims and outcomes of one bucket with one
//! conditional update.
//!
//! A state machine without I/O: its worker executes [`Action`]s one at a time and
//! passes back their results. A claim is granted only after a write with its
//! token took effect, as shown by the store's reply or by a later read.
//!
//! A bucket's head is the store object with its recent claims and the list of its
//! pages. A page is an object with older claims, or with only the hashes of their
//! keys.

use std::collections;

use crate::ids;
use crate::ledger::change;
use crate::ledger::head;
use crate::ledger::key;
use crate::store;

/// Maximum number of changes in one update.
const MAX_UPDATE_CHANGES: usize = 256;
/// Approximate maximum of bytes that one update adds to the head. Together with
/// [`head::MAX_HEAD_BYTES`] it keeps a head below the store's maximum object size.
const MAX_UPDATE_BYTES: usize = 192 * 1024;
/// Maximum number of queued changes; claims beyond it are refused at once.
const MAX_QUEUED_CHANGES: usize = 4096;
/// Number of consecutive store failures at which claims are refused. A single
/// failure is tolerated, since one lost connection is no outage.
const FAILURES_BEFORE_REFUSAL: u32 = 2;

/// What the worker has to do next.
#[derive(Debug)]
pub(super) enum Action {
    /// Read the head.
    ReadHead,
    /// Write the head.
    WriteHead(bytes::Bytes, store::Condition),
    /// Read a page.
    ReadPage(head::Page),
    /// Wait for the backoff delay after a failure.
    Backoff,
    /// Wait for a change.
    Idle,
}

/// A queued change.
///
/// A change whose write got no reply stays queued until a later write succeeds. A
/// read that shows the object unchanged isn't enough, since the first write may
/// still arrive. Once the object has a new version, that write can't take effect.
/// If the object is unchanged, applying the change again modifies the head as
/// before, so another write follows and gives the object a new version.
#[derive(Debug)]
struct Pending {
    ticket: change::Ticket,
    change: change::Change,
    /// Set when it was part of a write whose reply was lost.
    unconfirmed: bool,
}

/// The head as last read or written.
#[derive(Debug)]
struct Cached {
    version: ids::ObjectVersion,
    head: head::Head,
    /// Size of the encoded head.
    head_bytes: usize,
    /// Set by a read or write of the head; cleared when the queue is empty and after
    /// changes that needed no write. If it isn't set, another VM may have written the
    /// head since, and a verdict that depends on its latest state needs a new read.
    up_to_date: bool,
}

/// A write that the worker is executing, with the state and the verdicts that
/// take effect if it succeeds.
#[derive(Debug)]
struct Update {
    changes: Vec<Pending>,
    verdicts: Vec<(change::Ticket, change::Verdict)>,
    head: head::Head,
    head_bytes: usize,
}

/// The queued changes to one bucket and the cached state of its head.
#[derive(Debug, Default)]
pub(super) struct Commit {
    cached: Option<Cached>,
    /// The highest version seen; a read of a lower one is stale.
    max_version: ids::ObjectVersion,
    queue: collections::VecDeque<Pending>,
    update: Option<Update>,
    consecutive_failures: u32,
    /// Set when the next action is [`Action::Backoff`].
    backoff_due: bool,
    /// Number of unconfirmed writes whose effect became known since the last call of
    /// [`Self::take_resolved_writes`].
    resolved_writes: u64,
    page_hashes: change::PageHashes,
    verdicts: Vec<(change::Ticket, change::Verdict)>,
}

impl Commit {
    /// Queues a change.
    pub(super) fn submit(&mut self, ticket: change::Ticket, change: change::Change) {
        let claim = matches!(
            change,
            change::Change::Claim(..) | change::Change::Lookup(_)
        );
        if claim && self.queue.len() >= MAX_QUEUED_CHANGES {
            let reason = "too many claims are waiting for the store".to_owned();
            self.verdicts
                .push((ticket, change::Verdict::Failed(reason)));
            return;
        }
        let unconfirmed = false;
        self.queue.push_back(Pending {
            ticket,
            change,
            unconfirmed,
        });
    }

    /// Abandons a claim whose submitter has given up and will not send the record.
    /// A claim that can't be in the store is dropped; any other is recorded as
    /// not run.
    pub(super) fn abandon(&mut self, ticket: change::Ticket, key: ids::Key, entry: head::Entry) {
        let unsent = |pending: &Pending| pending.ticket == ticket && !pending.unconfirmed;
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

    /// Returns the verdicts since the last call.
    pub(super) fn take_verdicts(&mut self) -> Vec<(change::Ticket, change::Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns whether no change is queued or being written.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.update.is_none()
    }

    /// Returns whether the next action is probably a write.
    pub(super) fn expects_write(&self) -> bool {
        let changes = |pending: &Pending| !matches!(pending.change, change::Change::Lookup(_));
        self.cached.is_some() && self.queue.iter().any(changes)
    }

    /// Returns the number of unconfirmed writes resolved since the last call.
    pub(super) fn take_resolved_writes(&mut self) -> u64 {
        std::mem::take(&mut self.resolved_writes)
    }

    /// Returns whether the store has failed often enough to refuse claims.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILURES_BEFORE_REFUSAL
    }

    /// Returns the cached head and its size in bytes.
    pub(super) fn head(&self) -> Option<(&head::Head, usize)> {
        let cached = self.cached.as_ref()?;
        Some((&cached.head, cached.head_bytes))
    }

    /// Returns the next action.
    pub(super) fn next(&mut self) -> Action {
        if std::mem::take(&mut self.backoff_due) && !self.is_idle() {
            return Action::Backoff;
        }
        loop {
            if self.is_idle() {
                self.mark_stale();
                return Action::Idle;
            }
            if let Some(action) = self.prepare_update() {
                return action;
            }
        }
    }

    /// Returns the next action for the queued changes: a read that they need first,
    /// or the write of the changed head. If no write is needed, sets their verdicts
    /// and returns `None`.
    fn prepare_update(&mut self) -> Option<Action> {
        let Some(cached) = &self.cached else {
            return Some(Action::ReadHead);
        };
        let mut head = cached.head.clone();
        let (base_version, up_to_date) = (cached.version, cached.up_to_date);
        let head_bytes = cached.head_bytes;
        let mut verdicts = Vec::new();
        let mut changed = false;
        let mut taken = 0;
        let mut bytes = 0;
        for pending in self.queue.iter().take(MAX_UPDATE_CHANGES) {
            if bytes > MAX_UPDATE_BYTES {
                break;
            }
            bytes += pending.change.size();
            let hashes = &self.page_hashes;
            let applied = change::apply(&mut head, &pending.change, up_to_date, head_bytes, hashes);
            match applied {
                change::Applied::Changed(verdict) => {
                    changed = true;
                    verdicts.push((pending.ticket, verdict));
                }
                change::Applied::Unchanged(verdict) => verdicts.push((pending.ticket, verdict)),
                change::Applied::ReadHead => return Some(Action::ReadHead),
                change::Applied::ReadPage(page) => return Some(Action::ReadPage(page)),
            }
            taken += 1;
        }
        let changes: Vec<_> = self.queue.drain(..taken).collect();
        if !changed {
            self.resolved_writes += count_unconfirmed(&changes);
            self.verdicts.extend(verdicts);
            self.mark_stale();
            return None;
        }
        let body = serde_json::to_vec(&head).unwrap_or_default();
        let head_bytes = body.len();
        self.update = Some(Update {
            changes,
            verdicts,
            head,
            head_bytes,
        });
        let condition = match base_version {
            ids::ObjectVersion(0) => store::Condition::Absent,
            version => store::Condition::Version(version),
        };
        Some(Action::WriteHead(body.into(), condition))
    }

    /// Handles the result of [`Action::ReadHead`].
    pub(super) fn on_head_read(&mut self, found: Result<store::Object, store::Error>) {
        let (version, body) = match found {
            Ok(object) => (object.version, object.body),
            Err(store::Error::Missing { .. }) => (ids::ObjectVersion(0), "{}".into()),
            Err(error) => return self.on_failure(&error.to_string()),
        };
        if version < self.max_version {
            // A stale read, or a store that was restored to an older state: it
            // lacks the claims made since.
            return self.on_failure("the store shows an older state of the ledger");
        }
        let Ok(head) = serde_json::from_slice(&body) else {
            return self.on_failure("the ledger's object in the store can't be parsed");
        };
        self.consecutive_failures = 0;
        self.max_version = version;
        let head_bytes = body.len();
        self.cached = Some(Cached {
            version,
            head,
            head_bytes,
            up_to_date: true,
        });
    }

    /// Handles the result of [`Action::WriteHead`].
    pub(super) fn on_head_written(&mut self, done: Result<ids::ObjectVersion, store::Error>) {
        let Some(update) = self.update.take() else {
            return;
        };
        match done {
            Ok(version) => {
                self.consecutive_failures = 0;
                self.max_version = self.max_version.max(version);
                let (head, head_bytes) = (update.head, update.head_bytes);
                let listed = |id: &str| head.pages.iter().any(|page| page.id == id);
                if self.page_hashes.len() > head.pages.len() {
                    self.page_hashes.retain(|id, _| listed(id));
                }
                self.cached = Some(Cached {
                    version,
                    head,
                    head_bytes,
                    up_to_date: true,
                });
                self.resolved_writes += count_unconfirmed(&update.changes);
                self.verdicts.extend(update.verdicts);
            }
            Err(store::Error::Conflict { .. }) => {
                self.cached = None;
                self.requeue(update.changes, false);
            }
            Err(store::Error::Unconfirmed { .. }) => {
                self.cached = None;
                self.requeue(update.changes, true);
            }
            Err(error) => {
                self.requeue(update.changes, false);
                self.on_failure(&error.to_string());
            }
        }
    }

    /// Handles the result of [`Action::ReadPage`].
    pub(super) fn on_page_read(
        &mut self,
        page: &head::Page,
        found: Result<store::Object, store::Error>,
    ) {
        match found.map(|object| key_hashes(page, &object.body)) {
            Ok(Some(hashes)) => {
                self.page_hashes.insert(page.id.clone(), hashes);
            }
            Ok(None) => self.on_failure("a page of the ledger can't be parsed"),
            Err(store::Error::Missing { .. }) => {
                // Pages are deleted only after the head no longer lists them, so
                // the cached head is stale.
                self.cached = None;
                self.on_failure("a page of the ledger does not exist");
            }
            Err(error) => self.on_failure(&error.to_string()),
        }
    }

    /// Marks the cached head as possibly stale.
    fn mark_stale(&mut self) {
        if let Some(cached) = &mut self.cached {
            cached.up_to_date = false;
        }
    }

    fn requeue(&mut self, changes: Vec<Pending>, unconfirmed: bool) {
        for mut pending in changes.into_iter().rev() {
            pending.unconfirmed |= unconfirmed;
            self.queue.push_front(pending);
        }
    }

    fn on_failure(&mut self, reason: &str) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_due = true;
        if self.consecutive_failures < FAILURES_BEFORE_REFUSAL {
            return;
        }
        self.refuse(reason);
    }

    /// Refuses the queued lookups, and the queued claims that can't be in the store.
    pub(super) fn refuse(&mut self, reason: &str) {
        let refusable = |pending: &Pending| match pending.change {
            change::Change::Claim(..) => !pending.unconfirmed,
            change::Change::Lookup(_) => true,
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

/// Returns the number of unconfirmed writes among `changes`: 1 if any change is
/// unconfirmed, since they shared one write.
fn count_unconfirmed(changes: &[Pending]) -> u64 {
    u64::from(changes.iter().any(|pending| pending.unconfirmed))
}

/// Returns the hashes of a page's keys, or `None` if the page can't be parsed.
fn key_hashes(page: &head::Page, body: &[u8]) -> Option<collections::HashSet<u128>> {
    if page.hashes_only {
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
