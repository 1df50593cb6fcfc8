//! The content of the store that a VM holds: how it is received from the store and
//! from other VMs, and how it is sent to others.

use std::net;
use std::time;

use crate::follow;
use crate::ids;
use crate::rate;
use crate::registry;
use crate::spread;
use crate::time as clock;

/// Largest size of changes in a datagram, in bytes. The rest is left for the other
/// fields of the update.
const MAX_CHANGES_BYTES: usize = 1000;

/// Content of the store that this VM holds.
#[derive(Debug, Default)]
pub(super) struct Content {
    registrations: follow::Inventory,
    config: Option<(ids::Revision, String)>,
    /// Set if the registrations are equal to what a poll showed.
    verified: bool,
}

impl Content {
    fn position(&self) -> spread::Position {
        spread::Position {
            revision: self.registrations.revision(),
            digest: self.registrations.digest(),
            config: self.config.as_ref().map(|(revision, _)| *revision),
        }
    }
}

impl<H: spread::Listener> spread::Service<H> {
    /// Returns the revision up to which the registrations are held.
    pub(super) fn revision(&self) -> Option<ids::Revision> {
        self.0.content.borrow().registrations.revision()
    }

    /// Returns the answer to another VM's request, and the reservation of
    /// bandwidth for it. If the bandwidth is used up, the answer only contains what is
    /// small.
    pub fn answer(&self, fetch: &spread::Fetch) -> (spread::Answer, Option<spread::Slot>) {
        let mut answer = self.handle(|state, now| state.answer(fetch, now));
        if fetch.members_only {
            return (answer, None);
        }
        let content = self.0.content.borrow();
        let config = content.config.as_ref();
        let config = config.filter(|(revision, _)| Some(*revision) > fetch.position.config);
        let held = &content.registrations;
        let differs = held.digest() != fetch.position.digest || fetch.full;
        let registrations = differs && held.revision().is_some();
        let registrations = registrations.then(|| self.registrations_for(held, fetch));
        let size = config.map_or(0, |(_, text)| text.len())
            + registrations.as_ref().map_or(0, spread::wire::size_of);
        match self.reserve(fetch, rate::Bytes(size as u64)) {
            Ok(slot) => {
                answer.config = config.map(|(_, text)| text.clone());
                answer.registrations = registrations;
                (answer, slot)
            }
            Err(redirect) => {
                log::info!(
                    asker:% = fetch.member.vm, bytes = size, named = redirect.vms.len(),
                    after_ms = clock::millis(redirect.retry_after);
                    "no bandwidth left for an answer; redirected the VM"
                );
                answer.redirect = Some(redirect);
                (answer, None)
            }
        }
    }

    fn registrations_for(
        &self,
        held: &follow::Inventory,
        fetch: &spread::Fetch,
    ) -> spread::Registrations {
        let item = |(name, revision): (String, ids::Revision)| follow::Item {
            value: self.0.listener.find_registration(&name),
            name,
            revision,
        };
        let known = fetch.position.revision.filter(|_| !fetch.full);
        match known.and_then(|revision| held.since(revision)) {
            Some(since) => {
                let gone = since.gone.into_iter().map(follow::Change::Deleted);
                let put = since.put.into_iter().map(item).map(follow::Change::Put);
                follow::Delta::Changes(gone.chain(put).collect())
            }
            None => follow::Delta::All(held.all().put.into_iter().map(item).collect()),
        }
    }

    /// Applies the answer of another VM, which took `took`.
    pub(super) fn apply_answer(
        &self,
        from: net::SocketAddr,
        answer: &mut spread::Answer,
        took: time::Duration,
    ) {
        let now = self.clock().now();
        if !self.0.state.borrow_mut().accepts(answer, took, now) {
            answer.config = None;
            answer.registrations = None;
            return;
        }
        let source = format!("VM at {from}");
        let (position, verified) = (answer.summary.position, answer.summary.verified);
        if let (Some(text), Some(revision)) = (answer.config.take(), position.config) {
            self.apply_config(revision, text, &source);
        }
        let Some(revision) = position.revision else {
            return;
        };
        // An empty value stays in the answer, which shows that it contained
        // registrations.
        let empty = follow::Delta::Changes(Vec::new());
        let received = answer.registrations.as_mut();
        match received.map(|received| std::mem::replace(received, empty)) {
            Some(follow::Delta::All(items)) => {
                let snapshot = follow::Snapshot { items, revision };
                self.apply_list(snapshot, verified, &source);
            }
            Some(follow::Delta::Changes(changes)) => {
                self.apply_changes(changes, revision, self.lag());
            }
            None => {}
        }
        self.adopt_revision(&position, verified);
    }

    /// Applies the changes in an update if they apply to the registrations that are
    /// held.
    pub(super) fn apply_update(&self, update: &spread::Update) {
        let summary = &update.summary;
        let held = self.0.content.borrow().position();
        if let (Some(received), Some(revision)) = (&update.changes, summary.position.revision)
            && held.revision.is_some()
            && held.digest == received.before
            && held.digest != summary.position.digest
        {
            self.apply_changes(received.changes.clone(), revision, time::Duration::ZERO);
        }
        self.adopt_revision(&summary.position, summary.verified);
    }

    /// Takes over another VM's revision if it holds the same registrations, and
    /// their verification by a poll.
    fn adopt_revision(&self, theirs: &spread::Position, verified: bool) {
        let mut content = self.0.content.borrow_mut();
        let own = content.position();
        if own.revision.is_some() && own.digest == theirs.digest {
            content.verified |= verified;
            if let Some(revision) = theirs.revision {
                content.registrations.advance(revision);
            }
        }
        drop(content);
        self.publish_position();
    }

    fn publish_position(&self) {
        let content = self.0.content.borrow();
        let (position, verified) = (content.position(), content.verified);
        let now = self.clock().now();
        self.0
            .state
            .borrow_mut()
            .set_position(position, verified, now);
    }

    /// Applies a configuration if it is newer than the one that is held.
    pub(super) fn apply_config(&self, revision: ids::Revision, text: String, source: &str) {
        let known = self.0.content.borrow().position().config;
        if known.is_some_and(|known| known >= revision) {
            return;
        }
        log::info!(revision:% = revision, before:? = known, source = source; "configuration read");
        self.0.listener.apply_config(&text);
        self.0.content.borrow_mut().config = Some((revision, text));
        self.publish_position();
    }

    /// Applies a full list unless it is older than what is held.
    pub(super) fn apply_list(
        &self,
        snapshot: follow::Snapshot<registry::Entry>,
        verified: bool,
        source: &str,
    ) {
        let lag = self.lag();
        let mut content = self.0.content.borrow_mut();
        let before = content.position();
        if !content.registrations.apply_list(&snapshot) {
            return;
        }
        content.verified = verified;
        let digest = content.registrations.digest();
        drop(content);
        if before.revision.is_none() || before.digest != digest {
            log::info!(
                revision:% = snapshot.revision, before:? = before.revision,
                objects = snapshot.items.len(), source = source;
                "registrations listed"
            );
            let delta = follow::Delta::All(snapshot.items);
            self.0.listener.apply_registrations(delta, lag);
            self.0.watch_missed.notify_waiters();
        }
        self.publish_position();
    }

    /// Handles a poll that found nothing new since an earlier one at `revision`.
    /// Returns whether the registrations that are held are those of the earlier
    /// poll.
    pub(super) fn confirm(&self, revision: ids::Revision, digest: follow::Digest) -> bool {
        let mut content = self.0.content.borrow_mut();
        let position = content.position();
        let same = position.digest == digest && position.revision >= Some(revision);
        content.verified |= same;
        drop(content);
        self.publish_position();
        same
    }

    /// Returns the time since the last poll, or zero if the store was unavailable
    /// since then: registrations that expired during an outage may be back soon.
    fn lag(&self) -> time::Duration {
        let state = self.0.state.borrow();
        let lag = state.age(self.0.clock.now()).unwrap_or_default();
        if state.was_unavailable(lag) {
            time::Duration::ZERO
        } else {
            lag
        }
    }

    /// Applies changes that lead to `revision`, and returns those that were new. The
    /// deleted ones may have been gone for up to `lag`.
    fn apply_changes(
        &self,
        changes: Vec<follow::Change<registry::Entry>>,
        revision: ids::Revision,
        lag: time::Duration,
    ) -> Vec<follow::Change<registry::Entry>> {
        let mut content = self.0.content.borrow_mut();
        let kept = content.registrations.apply_changes(changes, revision);
        if !kept.is_empty() {
            content.verified = false;
        }
        drop(content);
        if !kept.is_empty() {
            let delta = follow::Delta::Changes(kept.clone());
            self.0.listener.apply_registrations(delta, lag);
        }
        self.publish_position();
        kept
    }

    /// Applies changes from the watch and sends them to the other VMs. Returns
    /// whether any were new.
    pub(super) fn apply_watched(
        &self,
        changes: Vec<follow::Change<registry::Entry>>,
        revision: ids::Revision,
    ) -> bool {
        let before = self.0.content.borrow().registrations.digest();
        let kept = self.apply_changes(changes, revision, time::Duration::ZERO);
        if kept.is_empty() {
            return false;
        }
        for change in &kept {
            log_change(change);
        }
        let changes = spread::Changes {
            before,
            changes: kept,
        };
        let changes = Some(changes).filter(|changes| changes.size() <= MAX_CHANGES_BYTES);
        self.handle(|state, now| state.watch_changed(changes, now));
        true
    }
}

/// Logs a change that was received from the store. Other VMs only count changes.
fn log_change(change: &follow::Change<registry::Entry>) {
    match change {
        follow::Change::Put(follow::Item {
            name,
            revision,
            value: Some(entry),
        }) => log::info!(
            upstream = name.as_str(), revision:% = revision, service = entry.service.as_str(),
            state:? = entry.state, address:% = entry.address, born:% = entry.started_at;
            "registration written"
        ),
        follow::Change::Put(item) => {
            log::info!(name = item.name.as_str(), revision:% = item.revision; "registration doesn't name an upstream");
        }
        follow::Change::Deleted(name) => {
            log::info!(upstream = name.as_str(); "registration deleted");
        }
    }
}
