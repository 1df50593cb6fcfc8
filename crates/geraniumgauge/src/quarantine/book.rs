//! Decides which requests are suspect or quarantined. No I/O.

use std::collections;
use std::time;

use crate::ids;
use crate::quarantine;
use crate::quarantine::mark;
use crate::time as clock;

/// How long a suspicion holds.
pub const SUSPECT_FOR: time::Duration = time::Duration::from_secs(120);
/// How long a quarantine holds.
pub const QUARANTINE_FOR: time::Duration = time::Duration::from_secs(600);
/// How long a quarantine holds where other upstreams went at the same time, so
/// that the request may be innocent.
pub const DOUBTFUL_FOR: time::Duration = time::Duration::from_secs(60);
/// How long a completed request needs no canary.
pub const LATELY: time::Duration = time::Duration::from_secs(60);
/// Losses within this span belong together.
pub const INCIDENT: time::Duration = time::Duration::from_secs(1);
/// No trial starts within this span of another upstream's loss.
pub const CALM: time::Duration = time::Duration::from_millis(300);
/// This many upstreams lost in one incident are a failure of the place.
pub const PLACE: usize = 3;
/// No trial starts before a suspicion is this old: by then every VM has heard
/// it and has cancelled its canaries of the same request.
pub const SETTLE: time::Duration = time::Duration::from_millis(250);
/// How long an upstream that was lost counts as down, unless it answers before.
pub const DOWN_FOR: time::Duration = time::Duration::from_secs(20);
/// Completed requests remembered, in each of two halves.
const REMEMBERED: usize = 32_768;

/// How a request ran when its connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Run {
    /// Beside other requests, as a part of a fan-out or as a registration.
    Plain,
    /// Ahead of its own fan-out.
    Canary,
    /// Alone on its upstream.
    Trial,
}

/// What the book is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A connection was lost while it ran a request.
    Lost {
        /// The service.
        service: ids::Service,
        /// The request.
        fingerprint: ids::Fingerprint,
        /// The upstream.
        upstream: ids::Upstream,
        /// How it ran.
        run: Run,
    },
    /// A request completed at an upstream.
    Completed {
        /// The service.
        service: ids::Service,
        /// The request.
        fingerprint: ids::Fingerprint,
    },
    /// Another VM or the store holds this.
    Heard(quarantine::Mark),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Tell every VM, and keep it in the store.
    Publish(quarantine::Mark),
}

/// A point in time by both clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Now {
    /// Monotonic.
    pub moment: clock::Moment,
    /// Wall clock.
    pub wall: clock::Wall,
}

/// An upstream that was lost a while ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Down {
    /// The upstream.
    pub upstream: ids::Upstream,
    /// When it was lost.
    pub lost: clock::Moment,
}

type Key = (ids::Service, ids::Fingerprint);

/// What this VM holds of every request that may crash upstreams.
#[derive(Debug, Default)]
pub struct Book {
    marks: collections::BTreeMap<Key, quarantine::Mark>,
    completed: Recent,
    losses: collections::VecDeque<(clock::Moment, ids::Upstream)>,
}

/// Requests completed lately. Two halves that take turns bound its size.
#[derive(Debug, Default)]
struct Recent {
    young: collections::HashMap<Key, clock::Moment>,
    old: collections::HashMap<Key, clock::Moment>,
}

impl Recent {
    fn add(&mut self, key: Key, now: clock::Moment) {
        if self.young.len() >= REMEMBERED {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, now);
    }

    fn has(&self, key: &Key, now: clock::Moment) -> bool {
        let seen = self.young.get(key).or_else(|| self.old.get(key));
        seen.is_some_and(|at| now.since(*at) < LATELY)
    }
}

impl Book {
    /// Takes one event.
    pub fn handle(&mut self, event: Event, now: Now) -> Vec<Action> {
        match event {
            Event::Lost {
                service,
                fingerprint,
                upstream,
                run,
            } => self.lost((service, fingerprint), &upstream, run, now),
            Event::Completed {
                service,
                fingerprint,
            } => self.completed((service, fingerprint), now),
            Event::Heard(mark) => {
                let mut actions = self.heard(mark, now);
                actions.extend(self.excuse(now));
                actions
            }
        }
    }

    /// What holds for a request.
    pub fn verdict(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        wall: clock::Wall,
    ) -> quarantine::Verdict {
        let mark = self.marks.get(&(service.clone(), fingerprint));
        mark.map_or(quarantine::Verdict::Clear, |mark| mark.verdict(wall))
    }

    /// Whether the request completed lately at this VM, so that a wide fan-out
    /// of it needs no canary.
    pub fn lately(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        now: clock::Moment,
    ) -> bool {
        self.completed.has(&(service.clone(), fingerprint), now)
    }

    /// Whether a trial of this request may start: its suspicion has settled,
    /// and no upstream was lost a moment ago. While a rack goes down a trial
    /// would prove nothing and could take the blame for it.
    pub fn calm(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        now: Now,
    ) -> Result<(), time::Duration> {
        let Some(mark) = self.marks.get(&(service.clone(), fingerprint)) else {
            return Ok(());
        };
        let settled = mark.since + SETTLE;
        if settled.since(now.wall) > time::Duration::ZERO {
            return Err(settled.since(now.wall));
        }
        let others = self.losses.iter().filter(|(_, up)| !mark.names(up));
        let last = others.map(|(at, _)| *at).max();
        match last.map(|at| now.moment.until(at + CALM)) {
            Some(left) if left > time::Duration::ZERO => Err(left),
            _ => Ok(()),
        }
    }

    /// Upstreams that a mark names and that may still be down, with the time of
    /// the loss.
    pub fn down(&self, now: Now) -> Vec<Down> {
        let mut down = Vec::new();
        for mark in self.marks.values() {
            let age = now.wall.since(mark.since);
            if age >= DOWN_FOR {
                continue;
            }
            let lost = now.moment.before(age);
            let named = mark.crashed.iter().chain(&mark.lost);
            down.extend(named.map(|upstream| Down {
                upstream: upstream.clone(),
                lost,
            }));
        }
        down
    }

    /// Every mark that holds, clearances left out.
    pub fn list(&self, wall: clock::Wall) -> Vec<quarantine::Mark> {
        let held = self.marks.values().filter(|mark| wall < mark.until);
        let blamed = held.filter(|mark| mark.state != quarantine::State::Clear);
        blamed.cloned().collect()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Now) {
        self.marks.retain(|_, mark| now.wall < mark.until);
        self.forget(now.moment);
    }

    /// Whether no mark is held.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn lost(&mut self, key: Key, upstream: &ids::Upstream, run: Run, now: Now) -> Vec<Action> {
        self.forget(now.moment);
        self.losses.push_back((now.moment, upstream.clone()));
        let held = self.marks.get(&key).filter(|mark| now.wall < mark.until);
        let before = held.cloned();
        let mut mark = match before.as_ref() {
            Some(held) if held.state != quarantine::State::Clear => held.clone(),
            _ => fresh(&key, held, now),
        };
        let list = match run {
            Run::Plain => &mut mark.lost,
            Run::Canary | Run::Trial => &mut mark.crashed,
        };
        mark::add(list, upstream);
        if run == Run::Trial || mark.crashed.len() > 1 {
            mark.state = quarantine::State::Quarantined;
            let span = if self.place(&mark) {
                DOUBTFUL_FOR
            } else {
                QUARANTINE_FOR
            };
            mark.until = mark.until.max(now.wall + span);
        }
        if self.excused(&key, &mark, now) {
            return self.clear(&key, now);
        }
        if before.as_ref() == Some(&mark) {
            return Vec::new();
        }
        self.publish(key, mark, now)
    }

    /// A rack that goes takes many upstreams with it, and every request that
    /// ran there would be blamed. A request that has completed lately is not
    /// what took three upstreams down within a second: it is excused, and its
    /// lost shards may be tried elsewhere. One that never completed is not.
    fn excused(&self, key: &Key, mark: &quarantine::Mark, now: Now) -> bool {
        let plain = mark.crashed.is_empty() && mark.state == quarantine::State::Suspect;
        plain && self.distinct(|_| true) >= PLACE && self.completed.has(key, now.moment)
    }

    /// Excuses what was marked before the failure of the place was seen: the
    /// other upstreams' losses are heard of one by one.
    fn excuse(&mut self, now: Now) -> Vec<Action> {
        let marks = self.marks.iter();
        let excused = marks.filter(|(key, mark)| self.excused(key, mark, now));
        let keys: Vec<Key> = excused.map(|(key, _)| key.clone()).collect();
        keys.iter().flat_map(|key| self.clear(key, now)).collect()
    }

    /// Whether upstreams that this mark doesn't name went down with its own.
    fn place(&self, mark: &quarantine::Mark) -> bool {
        self.distinct(|upstream| !mark.names(upstream)) + 1 >= PLACE
    }

    fn distinct(&self, wanted: impl Fn(&ids::Upstream) -> bool) -> usize {
        let names = self.losses.iter().map(|(_, upstream)| upstream);
        let names: collections::BTreeSet<_> = names.filter(|name| wanted(name)).collect();
        names.len()
    }

    fn completed(&mut self, key: Key, now: Now) -> Vec<Action> {
        let held = self.marks.get(&key).map(|mark| mark.state);
        let cleared = match held {
            Some(quarantine::State::Suspect) => self.clear(&key, now),
            _ => Vec::new(),
        };
        if held != Some(quarantine::State::Quarantined) {
            self.completed.add(key, now.moment);
        }
        cleared
    }

    fn heard(&mut self, heard: quarantine::Mark, now: Now) -> Vec<Action> {
        if now.wall >= heard.until {
            return Vec::new();
        }
        let key = (heard.service.clone(), heard.fingerprint);
        self.hear_losses(&heard, now);
        let Some(held) = self.marks.get(&key) else {
            self.marks.insert(key, heard);
            return Vec::new();
        };
        let joined = held.join(&heard);
        let second = joined.crashed.len() > 1 && joined.state == quarantine::State::Suspect;
        if second {
            let mut joined = joined;
            joined.state = quarantine::State::Quarantined;
            joined.until = joined.until.max(now.wall + QUARANTINE_FOR);
            return self.publish(key, joined, now);
        }
        let news = joined != heard && joined.version == heard.version;
        if news {
            return self.publish(key, joined, now);
        }
        self.marks.insert(key, joined);
        Vec::new()
    }

    /// Losses that others saw count for the judgement of places here too.
    fn hear_losses(&mut self, heard: &quarantine::Mark, now: Now) {
        self.forget(now.moment);
        if heard.state == quarantine::State::Clear || now.wall.since(heard.since) > INCIDENT {
            return;
        }
        for upstream in heard.crashed.iter().chain(&heard.lost) {
            if !self.losses.iter().any(|(_, known)| known == upstream) {
                self.losses.push_back((now.moment, upstream.clone()));
            }
        }
    }

    fn clear(&mut self, key: &Key, now: Now) -> Vec<Action> {
        let Some(held) = self.marks.get(key) else {
            return Vec::new();
        };
        let mark = quarantine::Mark {
            state: quarantine::State::Clear,
            until: now.wall + SUSPECT_FOR,
            ..held.clone()
        };
        self.publish(key.clone(), mark, now)
    }

    fn publish(&mut self, key: Key, mut mark: quarantine::Mark, now: Now) -> Vec<Action> {
        mark.version = now.wall.0.max(mark.version + 1);
        self.marks.insert(key, mark.clone());
        vec![Action::Publish(mark)]
    }

    fn forget(&mut self, now: clock::Moment) {
        while self
            .losses
            .front()
            .is_some_and(|(at, _)| now.since(*at) > INCIDENT)
        {
            self.losses.pop_front();
        }
    }
}

fn fresh(key: &Key, held: Option<&quarantine::Mark>, now: Now) -> quarantine::Mark {
    quarantine::Mark {
        service: key.0.clone(),
        fingerprint: key.1,
        state: quarantine::State::Suspect,
        version: held.map_or(0, |mark| mark.version),
        crashed: Vec::new(),
        lost: Vec::new(),
        since: now.wall,
        until: now.wall + SUSPECT_FOR,
    }
}
