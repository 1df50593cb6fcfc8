//! What a VM holds of the store, as the store and other VMs tell it, and what it
//! tells others of it.

use std::net;
use std::time;

use crate::follow;
use crate::ids;
use crate::rate;
use crate::registry;
use crate::spread;
use crate::time as clock;

/// Largest part of a datagram that changes may take; the rest is the update's.
const CHANGES: usize = 1000;

/// What is held of the store.
#[derive(Debug, Default)]
pub(super) struct Content {
    registrations: follow::Inventory,
    config: Option<(ids::Revision, String)>,
    /// Whether the registrations are just those that a look showed.
    sure: bool,
}

impl Content {
    fn holds(&self) -> spread::Holds {
        spread::Holds {
            revision: self.registrations.revision(),
            digest: self.registrations.digest(),
            config: self.config.as_ref().map(|(revision, _)| *revision),
        }
    }
}

impl<H: spread::Hear> spread::Service<H> {
    /// The revision up to which the registrations are held.
    pub(super) fn revision(&self) -> Option<ids::Revision> {
        self.0.content.borrow().registrations.revision()
    }

    /// What this VM answers to another one, and the part of its link that the
    /// answer takes; where there is none left, only what is small.
    pub fn answer(&self, fetch: &spread::Fetch) -> (spread::Answer, Option<spread::Slot>) {
        let mut answer = self.handle(|state, now| state.asked(fetch, now));
        if fetch.brief {
            return (answer, None);
        }
        let content = self.0.content.borrow();
        let config = content.config.as_ref();
        let config = config.filter(|(revision, _)| Some(*revision) > fetch.holds.config);
        let held = &content.registrations;
        let differs = held.digest() != fetch.holds.digest || fetch.whole;
        let registrations = differs && held.revision().is_some();
        let registrations = registrations.then(|| self.told(held, fetch));
        let size = config.map_or(0, |(_, text)| text.len())
            + registrations.as_ref().map_or(0, spread::wire::size_of);
        match self.slot(fetch, rate::Bytes(size as u64)) {
            Ok(slot) => {
                answer.config = config.map(|(_, text)| text.clone());
                answer.registrations = registrations;
                (answer, slot)
            }
            Err(elsewhere) => {
                log::info!(
                    asker:% = fetch.member.vm, bytes = size, named = elsewhere.vms.len(),
                    after_ms = clock::millis(elsewhere.after);
                    "link is full of answers; VM sent elsewhere"
                );
                answer.elsewhere = Some(elsewhere);
                (answer, None)
            }
        }
    }

    fn told(&self, held: &follow::Inventory, fetch: &spread::Fetch) -> spread::Registrations {
        let item = |(name, revision): (String, ids::Revision)| follow::Item {
            value: self.0.hear.registration(&name),
            name,
            revision,
        };
        let known = fetch.holds.revision.filter(|_| !fetch.whole);
        match known.and_then(|revision| held.since(revision)) {
            Some(since) => {
                let gone = since.gone.into_iter().map(follow::Change::Deleted);
                let put = since.put.into_iter().map(item).map(follow::Change::Put);
                follow::Delta::Changes(gone.chain(put).collect())
            }
            None => follow::Delta::All(held.all().put.into_iter().map(item).collect()),
        }
    }

    /// Takes what another VM has answered after `took`.
    pub(super) fn take_answer(
        &self,
        from: net::SocketAddr,
        answer: &mut spread::Answer,
        took: time::Duration,
    ) {
        let now = self.clock().now();
        if !self.0.state.borrow_mut().trusts(answer, took, now) {
            answer.config = None;
            answer.registrations = None;
            return;
        }
        let source = format!("VM at {from}");
        let (holds, sure) = (answer.summary.holds, answer.summary.sure);
        if let (Some(text), Some(revision)) = (answer.config.take(), holds.config) {
            self.take_config(revision, text, &source);
        }
        let Some(revision) = holds.revision else {
            return;
        };
        // Kept empty, as the sign that there were some.
        let empty = follow::Delta::Changes(Vec::new());
        let told = answer.registrations.as_mut();
        match told.map(|told| std::mem::replace(told, empty)) {
            Some(follow::Delta::All(items)) => {
                let snapshot = follow::Snapshot { items, revision };
                self.take_list(snapshot, sure, &source);
            }
            Some(follow::Delta::Changes(changes)) => {
                self.change(changes, revision, self.lag());
            }
            None => {}
        }
        self.agree(&holds, sure);
    }

    /// Takes the changes that came with an update, if they lead on from what is
    /// held.
    pub(super) fn take_changes(&self, update: &spread::Update) {
        let summary = &update.summary;
        let held = self.0.content.borrow().holds();
        if let (Some(told), Some(revision)) = (&update.changes, summary.holds.revision)
            && held.revision.is_some()
            && held.digest == told.before
            && held.digest != summary.holds.digest
        {
            self.change(told.changes.clone(), revision, time::Duration::ZERO);
        }
        self.agree(&summary.holds, summary.sure);
    }

    /// Where another VM holds the same registrations, its revision is this one's
    /// too, and so is the look that showed them.
    fn agree(&self, theirs: &spread::Holds, sure: bool) {
        let mut content = self.0.content.borrow_mut();
        let own = content.holds();
        if own.revision.is_some() && own.digest == theirs.digest {
            content.sure |= sure;
            if let Some(revision) = theirs.revision {
                content.registrations.advance(revision);
            }
        }
        drop(content);
        self.hold();
    }

    fn hold(&self) {
        let content = self.0.content.borrow();
        let (holds, sure) = (content.holds(), content.sure);
        let now = self.clock().now();
        self.0.state.borrow_mut().hold(holds, sure, now);
    }

    /// Takes a configuration; one that isn't newer changes nothing.
    pub(super) fn take_config(&self, revision: ids::Revision, text: String, source: &str) {
        let known = self.0.content.borrow().holds().config;
        if known.is_some_and(|known| known >= revision) {
            return;
        }
        log::info!(revision:% = revision, before:? = known, source = source; "configuration read");
        self.0.hear.config(&text);
        self.0.content.borrow_mut().config = Some((revision, text));
        self.hold();
    }

    /// Takes a whole list, unless it is older than what is held.
    pub(super) fn take_list(
        &self,
        snapshot: follow::Snapshot<registry::Entry>,
        sure: bool,
        source: &str,
    ) {
        let lag = self.lag();
        let mut content = self.0.content.borrow_mut();
        let before = content.holds();
        if !content.registrations.apply_list(&snapshot) {
            return;
        }
        content.sure = sure;
        let digest = content.registrations.digest();
        drop(content);
        if before.revision.is_none() || before.digest != digest {
            log::info!(
                revision:% = snapshot.revision, before:? = before.revision,
                objects = snapshot.items.len(), source = source;
                "registrations listed"
            );
            let news = follow::Delta::All(snapshot.items);
            self.0.hear.registrations(news, lag);
            self.0.missed.notify_waiters();
        }
        self.hold();
    }

    /// A look found nothing new since an earlier one at `revision`; whether
    /// what is held is what that one showed.
    pub(super) fn confirm(&self, revision: ids::Revision, digest: follow::Digest) -> bool {
        let mut content = self.0.content.borrow_mut();
        let holds = content.holds();
        let same = holds.digest == digest && holds.revision >= Some(revision);
        content.sure |= same;
        drop(content);
        self.hold();
        same
    }

    /// How long ago the last look was that what is held includes, as far as the
    /// store could be read since: registrations that lapsed while it was away
    /// may be back soon.
    fn lag(&self) -> time::Duration {
        let state = self.0.state.borrow();
        let lag = state.age(self.0.clock.now()).unwrap_or_default();
        if state.was_away(lag) {
            time::Duration::ZERO
        } else {
            lag
        }
    }

    /// Takes changes that lead to `revision`, as far as they are news; what is
    /// gone may have gone `lag` ago.
    fn change(
        &self,
        changes: Vec<follow::Change<registry::Entry>>,
        revision: ids::Revision,
        lag: time::Duration,
    ) -> Vec<follow::Change<registry::Entry>> {
        let mut content = self.0.content.borrow_mut();
        let kept = content.registrations.apply_changes(changes, revision);
        if !kept.is_empty() {
            content.sure = false;
        }
        drop(content);
        if !kept.is_empty() {
            let news = follow::Delta::Changes(kept.clone());
            self.0.hear.registrations(news, lag);
        }
        self.hold();
        kept
    }

    /// Takes what the watch told, and tells the others; whether it was news.
    pub(super) fn take_watched(
        &self,
        changes: Vec<follow::Change<registry::Entry>>,
        revision: ids::Revision,
    ) -> bool {
        let before = self.0.content.borrow().registrations.digest();
        let kept = self.change(changes, revision, time::Duration::ZERO);
        if kept.is_empty() {
            return false;
        }
        for change in &kept {
            tell_story(change);
        }
        let changes = spread::Changes {
            before,
            changes: kept,
        };
        let changes = Some(changes).filter(|changes| changes.size() <= CHANGES);
        self.handle(|state, now| state.watched(changes, now));
        true
    }
}

/// Logs a registration's change where the store told of it; the other VMs only
/// count changes.
fn tell_story(change: &follow::Change<registry::Entry>) {
    match change {
        follow::Change::Put(follow::Item {
            name,
            revision,
            value: Some(entry),
        }) => log::info!(
            upstream = name.as_str(), revision:% = revision, service = entry.service.as_str(),
            state:? = entry.state, address:% = entry.address, born:% = entry.born;
            "registration written"
        ),
        follow::Change::Put(item) => {
            log::info!(name = item.name.as_str(), revision:% = item.revision; "registration of no upstream");
        }
        follow::Change::Deleted(name) => {
            log::info!(upstream = name.as_str(); "registration gone");
        }
    }
}
