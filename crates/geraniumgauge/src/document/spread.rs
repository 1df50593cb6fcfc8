//! How accepted documents and layouts reach every VM.
//!
//! Watchers read the store; the others hear of a newer version by rumour and
//! pull it from a peer. Besides, each VM compares digests with a random peer
//! every two seconds, so that a lost rumour costs seconds and not for ever.
//! Versions only grow, so loss, delay, doubles and replays change nothing else.

use std::collections;
use std::mem;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;

use crate::document::frames;
use crate::document::held;
use crate::document::join;
use crate::document::report;
use crate::document::roles;
use crate::document::tally;
use crate::document::want;
use crate::ids;
use crate::member;
use crate::mesh::message;
use crate::time as clock;

/// Time for a peer to fetch what it was told of, before it is told again.
const TOLD: time::Duration = time::Duration::from_millis(250);
/// How often a VM compares what it applies with a peer.
const COMPARE: time::Duration = time::Duration::from_secs(2);
/// Longest wait of a report after a change: all VMs change together.
const REPORT_JITTER: time::Duration = time::Duration::from_millis(300);
/// What happens to the machine.
#[derive(Debug)]
pub(super) enum Event {
    /// The membership changed.
    View(roles::Roles),
    /// A member passed something on.
    Rumour(member::Update),
    /// A peer asks.
    Pull(ids::Vm, message::Pull),
    /// A peer answers.
    Pulled(ids::Vm, message::Pulled),
    /// A part was read from the store.
    Stored(ids::Service, held::Kind, held::Part),
    /// Everything that the store lists is held.
    Loaded,
    /// The store didn't answer.
    StoreFailed,
    /// Time has passed.
    Tick,
}

/// What to do about it.
#[derive(Debug)]
pub(super) enum Action {
    /// Put this in force.
    Apply(ids::Service, held::Content),
    /// Tell a peer.
    Send(ids::Vm, message::Body),
    /// Tell everybody.
    Publish(member::Update),
    /// Read both parts of a service from the store.
    Fetch(ids::Service),
    /// This VM may take requests.
    Ready(join::Source),
}

/// One VM's part in spreading.
#[derive(Debug)]
pub(super) struct Spread {
    local: ids::Vm,
    held: held::Held,
    digest: u64,
    roles: roles::Roles,
    wanted: want::Wanted,
    rumoured: collections::BTreeMap<(held::Kind, ids::Service), u64>,
    tally: tally::Tally,
    join: join::Join,
    report: report::Report,
    compare: clock::Moment,
    /// When a peer may be told again what it lacks.
    push: clock::Moment,
    random: rand::rngs::StdRng,
    actions: Vec<Action>,
}

impl Spread {
    /// A VM that holds nothing yet.
    pub(super) fn new(local: ids::Vm, seed: u64, now: clock::Moment) -> Self {
        let held = held::Held::default();
        Self {
            local,
            digest: held.digest(),
            held,
            roles: roles::Roles::default(),
            wanted: want::Wanted::default(),
            rumoured: collections::BTreeMap::new(),
            tally: tally::Tally::default(),
            join: join::Join::new(now),
            report: report::Report::new(now),
            compare: now,
            push: now,
            random: rand::rngs::StdRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Takes one event.
    pub(super) fn handle(&mut self, event: Event, now: clock::Moment) -> Vec<Action> {
        match event {
            Event::View(roles) => self.view(roles, now),
            Event::Rumour(rumour) => self.rumour(&rumour, now),
            Event::Pull(from, pull) => self.pull(&from, pull, now),
            Event::Pulled(from, pulled) => self.pulled(&from, pulled, now),
            Event::Stored(service, kind, part) => self.offer(&service, kind, part, now),
            Event::Loaded => {
                self.join.loaded();
                self.report.soon(now);
            }
            Event::StoreFailed => self.join.store_failed(),
            Event::Tick => self.tick(now),
        }
        mem::take(&mut self.actions)
    }

    /// What is held.
    pub(super) fn held(&self) -> &held::Held {
        &self.held
    }

    /// The roles by the newest view.
    pub(super) fn roles(&self) -> &roles::Roles {
        &self.roles
    }

    /// Whether something newer is known of and not yet held: a keeper that
    /// decided now would decide by what is no longer in force.
    pub(super) fn behind(&self) -> bool {
        !self.wanted.is_empty()
    }

    /// Whether what this VM holds counts for others.
    pub(super) fn settled(&self) -> bool {
        self.join.ready()
    }

    /// What VMs reported to this one.
    pub(super) fn tally(&self) -> &tally::Tally {
        &self.tally
    }

    /// How far the versions of `service` have got.
    pub(super) fn count(&self, service: &ids::Service, now: clock::Moment) -> tally::Count {
        let wanted = self.held.have_of(service);
        self.tally.count(&wanted, self.roles.all.iter(), now)
    }

    fn view(&mut self, roles: roles::Roles, now: clock::Moment) {
        if roles.keeper() != self.roles.keeper() {
            self.report.renew(now);
        }
        self.tally.retain(&roles.all.iter().collect());
        self.roles = roles;
    }

    fn rumour(&mut self, rumour: &member::Update, now: clock::Moment) {
        if rumour.topic != member::Topic::Catalog {
            return;
        }
        let Some((kind, service)) = frames::topic(&rumour.key) else {
            return;
        };
        let known = self.rumoured.entry((kind, service.clone())).or_default();
        *known = rumour.version.max(*known);
        self.want(&service, kind, rumour.version, now);
    }

    fn want(&mut self, service: &ids::Service, kind: held::Kind, version: u64, now: clock::Moment) {
        if version <= self.held.version(service, kind) {
            return;
        }
        self.wanted.add(service, kind, version, now);
    }

    fn offer(
        &mut self,
        service: &ids::Service,
        kind: held::Kind,
        part: held::Part,
        now: clock::Moment,
    ) {
        let version = part.version;
        let Some(content) = self.held.offer(service, kind, part) else {
            return;
        };
        self.actions.push(Action::Apply(service.clone(), content));
        self.digest = self.held.digest();
        let jitter = REPORT_JITTER.mul_f64(self.random.random());
        self.report.soon(now + jitter);
        self.wanted.settle(&self.held);
        let known = self.rumoured.entry((kind, service.clone())).or_default();
        if *known < version {
            *known = version;
            self.actions
                .push(Action::Publish(frames::rumour(kind, service, version)));
        }
    }

    fn pull(&mut self, from: &ids::Vm, pull: message::Pull, now: clock::Moment) {
        if !pull.services.is_empty() {
            return self.answer(from, &pull);
        }
        let keeper = self.roles.keeper() == Some(&self.local);
        // The sender may be the only VM that holds something.
        self.compared(from, &pull.have, now);
        let (digest, unconfirmed) = (pull.digest, pull.unconfirmed);
        let known = !keeper || self.tally.take(from, pull.have, digest, unconfirmed, now);
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

    /// Sends what is wanted and newer than what the asker has. An asker that
    /// gets nothing asks elsewhere.
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
            for (kind, part) in held::parts(entry) {
                self.offer(&service, kind, part, now);
            }
        }
        if pulled.digest == 0 {
            return;
        }
        self.compared(from, &pulled.have, now);
        self.push(from, &pulled.have, now);
        self.join.answered(from, pulled.ready);
        let keeper = self.roles.keeper() == Some(from);
        match (keeper, pulled.report_requested) {
            (true, true) => self.report.renew(now),
            (true, false) => self.report.fits(now),
            (false, _) => {}
        }
    }

    /// Asks `from` for everything of which it has a newer version.
    fn compared(&mut self, from: &ids::Vm, have: &[message::Have], now: clock::Moment) {
        let mut newer = Vec::new();
        for theirs in have {
            let Ok(service) = theirs.service.parse::<ids::Service>() else {
                continue;
            };
            self.want(&service, held::Kind::Document, theirs.generation, now);
            self.want(&service, held::Kind::Layout, theirs.layout, now);
            if self.wanted.asked(&service, now) {
                newer.push(service);
            }
        }
        if !newer.is_empty() {
            let frame = frames::wanted(&self.held, &newer);
            self.send(from, frame);
        }
    }

    /// Tells a peer what this VM has, where that is newer: the peer fetches it.
    /// Bounded in time, since the answer still shows the older versions.
    fn push(&mut self, to: &ids::Vm, have: &[message::Have], now: clock::Moment) {
        if have.is_empty() || now < self.push {
            return;
        }
        if self.held.exceeds(have) {
            self.push = now + TOLD;
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
        self.ask(now);
        self.report(now);
        self.compare(now);
        for peer in self.join.ask(&self.roles.peers, now) {
            let frame = self.digest_frame();
            self.send(&peer, frame);
        }
        if let Some(source) = self
            .join
            .tick(&self.roles.peers, self.wanted.is_empty(), now)
        {
            self.actions.push(Action::Ready(source));
        }
    }

    /// Asks one peer, or the store, for everything that is wanted and due.
    fn ask(&mut self, now: clock::Moment) {
        let Some(due) = self.wanted.due(now) else {
            return;
        };
        let peer = match due.whom {
            want::Whom::Store => {
                let fetches = due.services.into_iter().map(Action::Fetch);
                return self.actions.extend(fetches);
            }
            want::Whom::Near if !self.roles.near.is_empty() => &self.roles.near,
            want::Whom::Near | want::Whom::Anyone => &self.roles.peers,
            want::Whom::Watchers => &self.roles.others,
        };
        if let Some(peer) = peer.choose(&mut self.random).cloned() {
            let frame = frames::wanted(&self.held, &due.services);
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
            self.tally.take(&self.local, have, digest, unconfirmed, now);
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
        if now < self.compare {
            return;
        }
        self.compare = now + COMPARE.mul_f64(self.random.random_range(0.75..1.25));
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
