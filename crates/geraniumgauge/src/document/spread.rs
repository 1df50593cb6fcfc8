//! State machine that distributes accepted documents and layouts to every VM.
//!
//! Watchers read the store. The other VMs learn of newer versions by gossip and
//! pull them from a peer. In addition, each VM compares digests with a random
//! peer every two seconds, so a lost gossip update delays a version by seconds
//! only. Versions only grow, so lost, delayed, duplicated and replayed messages
//! do no other harm.

use std::collections;
use std::mem;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;

use crate::document::frames;
use crate::document::held;
use crate::document::join;
use crate::document::missing;
use crate::document::report;
use crate::document::roles;
use crate::document::tally;
use crate::ids;
use crate::member;
use crate::mesh::message;
use crate::time as clock;

/// Time that a peer has to pull newer versions before it is notified again.
const NOTIFY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time between two comparisons of digests with a random peer.
const COMPARE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Maximum random delay of a report after a change, since all VMs change at the
/// same time.
const MAX_REPORT_JITTER: time::Duration = time::Duration::from_millis(300);

/// Input of the state machine.
#[derive(Debug)]
pub(super) enum Event {
    /// The membership changed.
    View(roles::Roles),
    /// A gossip update was received.
    Update(member::Update),
    /// A peer sent a request or a digest.
    Pull(ids::Vm, message::Pull),
    /// A peer sent an answer.
    Pulled(ids::Vm, message::Pulled),
    /// A document or layout was read from the store.
    Stored(ids::Service, held::Kind, held::VersionedBody),
    /// Everything that the store lists was read.
    Loaded,
    /// Reading the store failed.
    StoreFailed,
    /// Time has passed.
    Tick,
}

/// Output of the state machine.
#[derive(Debug)]
pub(super) enum Action {
    /// Put a document or layout in force.
    Apply(ids::Service, held::Content),
    /// Send a frame to a peer.
    Send(ids::Vm, message::Body),
    /// Publish a gossip update.
    Publish(member::Update),
    /// Read the document and the layout of a service from the store.
    Fetch(ids::Service),
    /// This VM may take requests.
    Ready(join::Source),
}

/// State of one VM.
#[derive(Debug)]
pub(super) struct Spread {
    local: ids::Vm,
    held: held::Held,
    digest: u64,
    roles: roles::Roles,
    missing: missing::Versions,
    /// Highest version that was received or published by gossip.
    gossiped: collections::BTreeMap<(held::Kind, ids::Service), u64>,
    tally: tally::Tally,
    join: join::Join,
    report: report::Report,
    next_compare: clock::Moment,
    /// Time from which a peer may be notified again of newer versions.
    next_notify: clock::Moment,
    random: rand::rngs::StdRng,
    actions: Vec<Action>,
}

impl Spread {
    /// Creates the state of a VM that holds nothing yet.
    pub(super) fn new(local: ids::Vm, seed: u64, now: clock::Moment) -> Self {
        let held = held::Held::default();
        Self {
            local,
            digest: held.digest(),
            held,
            roles: roles::Roles::default(),
            missing: missing::Versions::default(),
            gossiped: collections::BTreeMap::new(),
            tally: tally::Tally::default(),
            join: join::Join::new(now),
            report: report::Report::new(now),
            next_compare: now,
            next_notify: now,
            random: rand::rngs::StdRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub(super) fn handle(&mut self, event: Event, now: clock::Moment) -> Vec<Action> {
        match event {
            Event::View(roles) => self.view(roles, now),
            Event::Update(update) => self.update(&update, now),
            Event::Pull(from, pull) => self.pull(&from, pull, now),
            Event::Pulled(from, pulled) => self.pulled(&from, pulled, now),
            Event::Stored(service, kind, versioned) => self.offer(&service, kind, versioned, now),
            Event::Loaded => {
                self.join.loaded();
                self.report.schedule(now);
            }
            Event::StoreFailed => self.join.store_failed(),
            Event::Tick => self.tick(now),
        }
        mem::take(&mut self.actions)
    }

    /// Returns the documents and layouts that this VM holds.
    pub(super) fn held(&self) -> &held::Held {
        &self.held
    }

    /// Returns the roles in the newest view.
    pub(super) fn roles(&self) -> &roles::Roles {
        &self.roles
    }

    /// Returns whether a newer version is known but not yet held. A keeper must
    /// not decide then, because its decision would be based on old versions.
    pub(super) fn behind(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns whether this VM may accept requests and decide as keeper.
    pub(super) fn ready(&self) -> bool {
        self.join.ready()
    }

    /// Returns the reports that this VM received.
    pub(super) fn tally(&self) -> &tally::Tally {
        &self.tally
    }

    /// Returns the rollout of the held versions of `service`.
    pub(super) fn rollout(&self, service: &ids::Service, now: clock::Moment) -> tally::Rollout {
        let wanted = self.held.have_of(service);
        self.tally.rollout(&wanted, self.roles.members.iter(), now)
    }

    fn view(&mut self, roles: roles::Roles, now: clock::Moment) {
        if roles.keeper() != self.roles.keeper() {
            self.report.reset(now);
        }
        self.tally.retain(&roles.members.iter().collect());
        self.roles = roles;
    }

    fn update(&mut self, update: &member::Update, now: clock::Moment) {
        if update.topic != member::Topic::Catalog {
            return;
        }
        let Some((kind, service)) = frames::parse_key(&update.key) else {
            return;
        };
        let known = self.gossiped.entry((kind, service.clone())).or_default();
        *known = update.version.max(*known);
        self.add_missing(&service, kind, update.version, now);
    }

    fn add_missing(
        &mut self,
        service: &ids::Service,
        kind: held::Kind,
        version: u64,
        now: clock::Moment,
    ) {
        if version <= self.held.version(service, kind) {
            return;
        }
        self.missing.add(service, kind, version, now);
    }

    fn offer(
        &mut self,
        service: &ids::Service,
        kind: held::Kind,
        versioned: held::VersionedBody,
        now: clock::Moment,
    ) {
        let version = versioned.version;
        let Some(content) = self.held.offer(service, kind, versioned) else {
            return;
        };
        self.actions.push(Action::Apply(service.clone(), content));
        self.digest = self.held.digest();
        let jitter = MAX_REPORT_JITTER.mul_f64(self.random.random());
        self.report.schedule(now + jitter);
        self.missing.remove_held(&self.held);
        let known = self.gossiped.entry((kind, service.clone())).or_default();
        if *known < version {
            *known = version;
            self.actions
                .push(Action::Publish(frames::update(kind, service, version)));
        }
    }

    fn pull(&mut self, from: &ids::Vm, pull: message::Pull, now: clock::Moment) {
        if !pull.services.is_empty() {
            return self.answer(from, &pull);
        }
        let keeper = self.roles.keeper() == Some(&self.local);
        // The sender may be the only VM that holds a version.
        self.request_newer(from, &pull.have, now);
        let (digest, unconfirmed) = (pull.digest, pull.unconfirmed);
        let known = !keeper || self.tally.record(from, pull.have, digest, unconfirmed, now);
        let differs = digest != self.digest;
        let have = if differs {
            self.held.have()
        } else {
            Vec::new()
        };
        let reply = message::Pulled {
            entries: Vec::new(),
            digest: self.digest,
            have,
            report_requested: keeper && !known,
            ready: self.join.ready(),
        };
        self.send(from, message::Body::Pulled(reply));
    }

    /// Sends the requested documents and layouts that are newer than the sender's. A
    /// sender that gets no answer asks another VM.
    fn answer(&mut self, from: &ids::Vm, pull: &message::Pull) {
        let newer = |name: &&String| {
            let theirs = pull.have.iter().find(|have| have.service == **name);
            theirs.is_none_or(|theirs| self.held.exceeds_one(theirs))
        };
        let known = pull.services.iter().filter(newer);
        let known = known.filter_map(|name| name.parse().ok());
        let entries = known.filter_map(|service| self.held.entry(&service));
        for body in frames::entries(entries.collect()) {
            self.send(from, body);
        }
    }

    fn pulled(&mut self, from: &ids::Vm, pulled: message::Pulled, now: clock::Moment) {
        for entry in pulled.entries {
            let Ok(service) = entry.service.parse::<ids::Service>() else {
                continue;
            };
            for (kind, versioned) in held::split(entry) {
                self.offer(&service, kind, versioned, now);
            }
        }
        if pulled.digest == 0 {
            return;
        }
        self.request_newer(from, &pulled.have, now);
        self.notify(from, &pulled.have, now);
        self.join.answered(from, pulled.ready);
        let keeper = self.roles.keeper() == Some(from);
        match (keeper, pulled.report_requested) {
            (true, true) => self.report.reset(now),
            (true, false) => self.report.confirmed(now),
            (false, _) => {}
        }
    }

    /// Requests all services of which `from` has newer versions.
    fn request_newer(
        &mut self,
        from: &ids::Vm,
        have: &[message::AppliedVersions],
        now: clock::Moment,
    ) {
        let mut newer = Vec::new();
        for theirs in have {
            let Ok(service) = theirs.service.parse::<ids::Service>() else {
                continue;
            };
            self.add_missing(&service, held::Kind::Document, theirs.generation, now);
            self.add_missing(&service, held::Kind::Layout, theirs.layout, now);
            if self.missing.mark_requested(&service, now) {
                newer.push(service);
            }
        }
        if !newer.is_empty() {
            let frame = frames::request(&self.held, &newer);
            self.send(from, frame);
        }
    }

    /// Notifies a peer of the versions that this VM holds if any is newer, so that
    /// the peer pulls them. The rate is limited, because the peer's next answer
    /// still shows its older versions.
    fn notify(&mut self, to: &ids::Vm, have: &[message::AppliedVersions], now: clock::Moment) {
        if have.is_empty() || now < self.next_notify {
            return;
        }
        if self.held.exceeds(have) {
            self.next_notify = now + NOTIFY_INTERVAL;
            let pull = message::Pull {
                digest: self.digest,
                have: self.held.have(),
                unconfirmed: !self.join.confirmed(),
                ..message::Pull::default()
            };
            self.send(to, message::Body::Pull(pull));
        }
    }

    fn tick(&mut self, now: clock::Moment) {
        self.request_missing(now);
        self.report(now);
        self.compare(now);
        for peer in self.join.ask(&self.roles.peers, now) {
            let frame = self.digest_frame();
            self.send(&peer, frame);
        }
        if let Some(source) = self
            .join
            .tick(&self.roles.peers, self.missing.is_empty(), now)
        {
            self.actions.push(Action::Ready(source));
        }
    }

    /// Requests all missing versions that are due from one peer or the store.
    fn request_missing(&mut self, now: clock::Moment) {
        let Some(due) = self.missing.due(now) else {
            return;
        };
        let peer = match due.target {
            missing::Target::Store => {
                let fetches = due.services.into_iter().map(Action::Fetch);
                return self.actions.extend(fetches);
            }
            missing::Target::SameDataCentre if !self.roles.local_peers.is_empty() => {
                &self.roles.local_peers
            }
            missing::Target::SameDataCentre | missing::Target::AnyPeer => &self.roles.peers,
            missing::Target::Watchers => &self.roles.other_watchers,
        };
        if let Some(peer) = peer.choose(&mut self.random).cloned() {
            let frame = frames::request(&self.held, &due.services);
            self.send(&peer, frame);
        }
    }

    fn report(&mut self, now: clock::Moment) {
        let Some(keeper) = self.roles.keeper().cloned() else {
            return;
        };
        let unconfirmed = !self.join.confirmed();
        if keeper == self.local {
            let have = self.held.have();
            let digest = self.digest;
            self.tally
                .record(&self.local, have, digest, unconfirmed, now);
            return;
        }
        let held = &self.held;
        let Some(have) = self.report.next(&keeper, || held.have(), now) else {
            return;
        };
        let pull = message::Pull {
            digest: self.digest,
            have,
            unconfirmed,
            ..message::Pull::default()
        };
        self.send(&keeper, message::Body::Pull(pull));
    }

    fn compare(&mut self, now: clock::Moment) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + COMPARE_INTERVAL.mul_f64(self.random.random_range(0.75..1.25));
        if let Some(peer) = self.roles.peers.choose(&mut self.random).cloned() {
            let frame = self.digest_frame();
            self.send(&peer, frame);
        }
    }

    fn digest_frame(&self) -> message::Body {
        message::Body::Pull(message::Pull {
            digest: self.digest,
            unconfirmed: !self.join.confirmed(),
            ..message::Pull::default()
        })
    }

    fn send(&mut self, to: &ids::Vm, body: message::Body) {
        self.actions.push(Action::Send(to.clone(), body));
    }
}

#[cfg(test)]
#[path = "tests/spread.rs"]
mod tests;
