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

use crate::document::held;
use crate::document::join;
use crate::document::roles;
use crate::document::tally;
use crate::ids;
use crate::member;
use crate::mesh::message;
use crate::time as clock;

/// Time for a peer to answer before another one is asked.
const RETRY: time::Duration = time::Duration::from_millis(250);
/// How often a VM compares what it applies with a peer.
const COMPARE: time::Duration = time::Duration::from_secs(2);
/// How often a report is sent again that the keeper hasn't confirmed.
const REPORT_AGAIN: time::Duration = time::Duration::from_secs(1);
/// How often a confirmed report is refreshed.
const REPORT: time::Duration = time::Duration::from_secs(10);
/// Longest wait of a report after a change: all VMs change together.
const REPORT_JITTER: time::Duration = time::Duration::from_millis(300);
/// Pulls from random peers before the watchers are asked, who read the store.
const TRIES_AT_PEERS: u32 = 2;
/// Every so many pulls, the store is asked instead.
const STORE_EACH: u32 = 8;
/// Pulls after which a version that nobody has is given up: the VMs that had it
/// may all be gone. A rumour or a comparison brings it back.
const MOST_TRIES: u32 = 40;
/// Bytes of documents and layouts after which an answer goes on in another frame.
const FRAME: usize = 256 << 10;

/// What happens to the machine.
#[derive(Debug)]
pub(super) enum Event {
    /// The membership changed.
    View(roles::Roles),
    /// A member passed something on.
    Rumour(member::Rumour),
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
    Publish(member::Rumour),
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
    wanted: collections::BTreeMap<ids::Service, Want>,
    rumoured: collections::BTreeMap<(held::Kind, ids::Service), u64>,
    tally: tally::Tally,
    join: join::Join,
    report: Report,
    compare: clock::Moment,
    /// When a peer may be told again what it lacks.
    push: clock::Moment,
    random: rand::rngs::StdRng,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Want {
    document: u64,
    layout: u64,
    tries: u32,
    next: clock::Moment,
}

#[derive(Debug, Default)]
struct Report {
    /// The keeper and the digest that it has confirmed.
    confirmed: Option<(ids::Vm, u64)>,
    due: clock::Moment,
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
            wanted: collections::BTreeMap::new(),
            rumoured: collections::BTreeMap::new(),
            tally: tally::Tally::default(),
            join: join::Join::new(now),
            report: Report::default(),
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
                self.report.due = now;
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

    /// VMs that apply what other members told, the store being out.
    pub(super) fn unconfirmed(&self) -> Vec<ids::Vm> {
        self.tally.unconfirmed()
    }

    /// How far the versions of `service` have got.
    pub(super) fn count(&self, service: &ids::Service, now: clock::Moment) -> tally::Count {
        let wanted = message::Have {
            service: service.to_string(),
            generation: self.held.version(service, held::Kind::Document),
            layout: self.held.version(service, held::Kind::Layout),
        };
        self.tally.count(&wanted, self.roles.all.iter(), now)
    }

    fn view(&mut self, roles: roles::Roles, now: clock::Moment) {
        if roles.keeper() != self.roles.keeper() {
            self.report.confirmed = None;
            self.report.due = now;
        }
        self.tally.retain(&roles.all.iter().collect());
        self.roles = roles;
    }

    fn rumour(&mut self, rumour: &member::Rumour, now: clock::Moment) {
        if rumour.topic != member::Topic::Catalog {
            return;
        }
        let Some((kind, service)) = topic(&rumour.key) else {
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
        let want = self.wanted.entry(service.clone()).or_insert(Want {
            document: 0,
            layout: 0,
            tries: 0,
            next: now,
        });
        match kind {
            held::Kind::Document => want.document = want.document.max(version),
            held::Kind::Layout => want.layout = want.layout.max(version),
        }
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
        self.report.due = self.report.due.min(now + jitter);
        let held = &self.held;
        self.wanted.retain(|service, want| {
            want.document > held.version(service, held::Kind::Document)
                || want.layout > held.version(service, held::Kind::Layout)
        });
        let known = self.rumoured.entry((kind, service.clone())).or_default();
        if *known < version {
            *known = version;
            self.actions
                .push(Action::Publish(rumour(kind, service, version)));
        }
    }

    fn pull(&mut self, from: &ids::Vm, pull: message::Pull, now: clock::Moment) {
        if !pull.services.is_empty() {
            return self.answer(from, &pull.services);
        }
        let keeper = self.roles.keeper() == Some(&self.local);
        // The sender may be the only VM that holds something.
        self.compared(from, &pull.have, now);
        let known = match (keeper, pull.have.is_empty()) {
            (false, _) => true,
            (true, true) => self.tally.refresh(from, pull.digest, pull.unconfirmed, now),
            (true, false) => {
                self.tally.report(from, pull.have, pull.unconfirmed, now);
                true
            }
        };
        let differs = pull.digest != self.digest;
        let reply = message::Pulled {
            entries: Vec::new(),
            digest: self.digest,
            have: if differs {
                self.held.have()
            } else {
                Vec::new()
            },
            tell: keeper && !known,
            settled: self.join.ready(),
        };
        self.send(from, message::Body::Pulled(reply));
    }

    /// A frame is bounded, so a long answer goes out as several.
    fn answer(&mut self, from: &ids::Vm, services: &[String]) {
        let known = services.iter().filter_map(|name| name.parse().ok());
        let entries: Vec<_> = known
            .filter_map(|service| self.held.entry(&service))
            .collect();
        let mut frame = Vec::new();
        let mut size = 0;
        for entry in entries {
            size += entry.document.len() + entry.layout.len();
            frame.push(entry);
            if size >= FRAME {
                self.send(from, entries_frame(mem::take(&mut frame)));
                size = 0;
            }
        }
        if !frame.is_empty() {
            self.send(from, entries_frame(frame));
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
        self.join.answered(from, pulled.settled);
        let keeper = self.roles.keeper() == Some(from);
        if keeper && pulled.tell {
            self.report.confirmed = None;
            self.report.due = now;
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
            if let Some(want) = self.wanted.get_mut(&service) {
                want.next = now + RETRY;
                newer.push(theirs.service.clone());
            }
        }
        if !newer.is_empty() {
            self.send(from, wanted_frame(newer));
        }
    }

    /// Tells a peer what this VM has, where that is newer: the peer fetches it.
    /// Bounded in time, since the answer still shows the older versions.
    fn push(&mut self, to: &ids::Vm, have: &[message::Have], now: clock::Moment) {
        if have.is_empty() || now < self.push {
            return;
        }
        let theirs: collections::BTreeMap<_, _> = have
            .iter()
            .map(|have| (have.service.as_str(), have))
            .collect();
        let mine = self.held.have();
        let newer = mine.iter().any(|mine| {
            let theirs = theirs.get(mine.service.as_str());
            theirs.is_none_or(|theirs| {
                mine.generation > theirs.generation || mine.layout > theirs.layout
            })
        });
        if newer {
            self.push = now + RETRY;
            let pull = message::Pull {
                digest: self.digest,
                have: mine,
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

    /// Asks one peer for everything that is wanted and due. Random peers come
    /// first, so that the watchers aren't asked by the whole fleet at once.
    fn ask(&mut self, now: clock::Moment) {
        self.wanted.retain(|_, want| want.tries < MOST_TRIES);
        let mut due = Vec::new();
        let mut tries = 0;
        for (service, want) in &mut self.wanted {
            if want.next > now {
                continue;
            }
            tries = tries.max(want.tries);
            want.tries += 1;
            want.next = now + RETRY;
            due.push(service.clone());
        }
        if due.is_empty() {
            return;
        }
        if tries % STORE_EACH == STORE_EACH - 1 {
            return self.actions.extend(due.into_iter().map(Action::Fetch));
        }
        if let Some(peer) = self.choose(tries) {
            let names = due.iter().map(ToString::to_string).collect();
            self.send(&peer, wanted_frame(names));
        }
    }

    fn choose(&mut self, tries: u32) -> Option<ids::Vm> {
        let near = tries == 0 && !self.roles.near.is_empty();
        let watchers: Vec<_> = self
            .roles
            .watchers
            .iter()
            .filter(|vm| **vm != self.local)
            .cloned()
            .collect();
        let from = if near {
            &self.roles.near
        } else if tries < TRIES_AT_PEERS || watchers.is_empty() {
            &self.roles.peers
        } else {
            &watchers
        };
        from.choose(&mut self.random).cloned()
    }

    fn report(&mut self, now: clock::Moment) {
        let Some(keeper) = self.roles.keeper().cloned() else {
            return;
        };
        let unconfirmed = !self.join.confirmed();
        if keeper == self.local {
            let have = self.held.have();
            return self.tally.report(&self.local, have, unconfirmed, now);
        }
        if now < self.report.due {
            return;
        }
        let confirmed = self.report.confirmed == Some((keeper.clone(), self.digest));
        let (have, again) = if confirmed {
            (Vec::new(), REPORT)
        } else {
            (self.held.have(), REPORT_AGAIN)
        };
        // The next report is the short form; a keeper that has missed this one
        // asks for the full form then.
        self.report.confirmed = Some((keeper.clone(), self.digest));
        self.report.due = now + again;
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

fn wanted_frame(services: Vec<String>) -> message::Body {
    message::Body::Pull(message::Pull {
        services,
        ..message::Pull::default()
    })
}

fn entries_frame(entries: Vec<message::Entry>) -> message::Body {
    message::Body::Pulled(message::Pulled {
        entries,
        ..message::Pulled::default()
    })
}

/// Rumours of the two parts of a service grow apart, so each has its own key.
fn rumour(kind: held::Kind, service: &ids::Service, version: u64) -> member::Rumour {
    member::Rumour {
        topic: member::Topic::Catalog,
        key: format!("{kind}/{service}"),
        version,
        body: bytes::Bytes::new(),
    }
}

fn topic(key: &str) -> Option<(held::Kind, ids::Service)> {
    let (kind, service) = key.split_once('/')?;
    let kind = match kind {
        "document" => held::Kind::Document,
        "layout" => held::Kind::Layout,
        _ => return None,
    };
    Some((kind, service.parse().ok()?))
}

#[cfg(test)]
#[path = "tests/spread.rs"]
mod tests;
