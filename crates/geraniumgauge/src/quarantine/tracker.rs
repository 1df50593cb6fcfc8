//! State machine that decides which requests are suspect or quarantined. No I/O.

use std::collections;
use std::time;

use crate::ids;
use crate::quarantine;
use crate::quarantine::mark;
use crate::time as clock;

/// Time until a suspicion expires.
pub const SUSPICION_DURATION: time::Duration = time::Duration::from_secs(120);
/// Time until a quarantine expires.
pub const QUARANTINE_DURATION: time::Duration = time::Duration::from_secs(600);
/// Time until a quarantine expires if it is uncertain that the request caused the
/// crash: other upstreams were lost at the same time, or a trial's claim lapsed
/// before the outcome was known.
pub const UNCERTAIN_QUARANTINE_DURATION: time::Duration = time::Duration::from_secs(60);
/// Time after a request has completed during which it needs no canary.
pub const RECENT_COMPLETION_WINDOW: time::Duration = time::Duration::from_secs(60);
/// Losses of upstreams within this time count as one incident.
pub const INCIDENT_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Minimum time between the loss of an unrelated upstream and the start of a trial.
pub const TRIAL_DELAY_AFTER_LOSS: time::Duration = time::Duration::from_millis(300);
/// Number of upstreams lost in one incident from which the incident counts as a
/// shared outage, such as a failed rack.
pub const MIN_SHARED_OUTAGE_UPSTREAMS: usize = 3;
/// Minimum age of a suspicion before a trial starts. By then every VM has received
/// the mark and cancelled its canaries of the same request.
pub const TRIAL_DELAY_AFTER_SUSPICION: time::Duration = time::Duration::from_millis(250);
/// Time during which a lost upstream is assumed to be down unless it answers.
pub const ASSUMED_DOWN_DURATION: time::Duration = time::Duration::from_secs(20);
/// Maximum number of completed requests in each of the two maps of [`Completions`].
const MAX_COMPLETIONS_PER_MAP: usize = 32_768;

/// How a request ran when its connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Run {
    /// At the same time as other requests, as one call of a fan-out or as a
    /// registration.
    Concurrent,
    /// As a single call sent before the rest of its fan-out.
    Canary,
    /// As an isolated trial, alone on its upstream.
    Trial,
}

/// Input to the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A connection was lost while it ran a request.
    Lost {
        /// Service that the request belongs to.
        service: ids::Service,
        /// Fingerprint of the request.
        fingerprint: ids::Fingerprint,
        /// Upstream at the other end of the connection.
        upstream: ids::Upstream,
        /// How the request ran.
        run: Run,
    },
    /// A request completed at an upstream.
    Completed {
        /// Service that the request belongs to.
        service: ids::Service,
        /// Fingerprint of the request.
        fingerprint: ids::Fingerprint,
    },
    /// A mark was received from another VM or read from the store.
    Received(quarantine::Mark),
}

/// Output of the state machine, for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the mark to every VM and write it to the store.
    Publish(quarantine::Mark),
}

/// The current time by both clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Now {
    /// Monotonic clock of this process.
    pub moment: clock::Moment,
    /// Wall clock of this VM.
    pub wall: clock::Wall,
}

/// An upstream that was lost and may still be down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Down {
    /// Name of the upstream.
    pub upstream: ids::Upstream,
    /// When the upstream was lost.
    pub lost: clock::Moment,
}

type Key = (ids::Service, ids::Fingerprint);

/// Tracks which requests are suspect or quarantined, as far as this VM knows.
#[derive(Debug, Default)]
pub struct Tracker {
    marks: collections::BTreeMap<Key, quarantine::Mark>,
    completions: Completions,
    losses: collections::VecDeque<(clock::Moment, ids::Upstream)>,
}

/// Recently completed requests. When the current map is full it replaces the
/// previous one, which bounds the memory used.
#[derive(Debug, Default)]
struct Completions {
    current: collections::HashMap<Key, clock::Moment>,
    previous: collections::HashMap<Key, clock::Moment>,
}

impl Completions {
    fn insert(&mut self, key: Key, now: clock::Moment) {
        if self.current.len() >= MAX_COMPLETIONS_PER_MAP {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, now);
    }

    fn contains(&self, key: &Key, now: clock::Moment) -> bool {
        let completed = self.current.get(key).or_else(|| self.previous.get(key));
        completed.is_some_and(|at| now.since(*at) < RECENT_COMPLETION_WINDOW)
    }
}

impl Tracker {
    /// Handles one event and returns the actions that it requires.
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
            Event::Received(mark) => {
                let mut actions = self.received(mark, now);
                actions.extend(self.clear_outage_suspects(now));
                actions
            }
        }
    }

    /// Returns the verdict on a request at time `wall`.
    pub fn verdict(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        wall: clock::Wall,
    ) -> quarantine::Verdict {
        let mark = self.marks.get(&(service.clone(), fingerprint));
        mark.map_or(quarantine::Verdict::Clear, |mark| mark.verdict(wall))
    }

    /// Returns the mark of a request, if there is one.
    pub fn mark(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
    ) -> Option<&quarantine::Mark> {
        self.marks.get(&(service.clone(), fingerprint))
    }

    /// Returns true if the request completed recently on this VM, so that a wide
    /// fan-out of it needs no canary.
    pub fn completed_recently(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        now: clock::Moment,
    ) -> bool {
        self.completions
            .contains(&(service.clone(), fingerprint), now)
    }

    /// Checks whether a trial of this request may start: the suspicion must have
    /// reached every VM, and no unrelated upstream may have been lost just before.
    /// A trial that runs while a rack goes down would prove nothing, and the
    /// request could be quarantined for losses that it didn't cause.
    ///
    /// # Errors
    /// Returns the reason to wait, and the time until the next check.
    pub fn check_trial_start(
        &self,
        service: &ids::Service,
        fingerprint: ids::Fingerprint,
        now: Now,
    ) -> Result<(), (quarantine::Delay, time::Duration)> {
        let Some(mark) = self.marks.get(&(service.clone(), fingerprint)) else {
            return Ok(());
        };
        let earliest = mark.since + TRIAL_DELAY_AFTER_SUSPICION;
        if earliest.since(now.wall) > time::Duration::ZERO {
            return Err((quarantine::Delay::Spreading, earliest.since(now.wall)));
        }
        let others = self.losses.iter().filter(|(_, up)| !mark.lists(up));
        let last = others.map(|(at, _)| *at).max();
        match last.map(|at| now.moment.until(at + TRIAL_DELAY_AFTER_LOSS)) {
            Some(left) if left > time::Duration::ZERO => Err((quarantine::Delay::RecentLoss, left)),
            _ => Ok(()),
        }
    }

    /// Returns the upstreams that are listed in marks and may still be down.
    pub fn down(&self, now: Now) -> Vec<Down> {
        let mut down = Vec::new();
        for mark in self.marks.values() {
            let age = now.wall.since(mark.since);
            if age >= ASSUMED_DOWN_DURATION {
                continue;
            }
            let lost = now.moment.before(age);
            let upstreams = mark.crashed.iter().chain(&mark.lost);
            down.extend(upstreams.map(|upstream| Down {
                upstream: upstream.clone(),
                lost,
            }));
        }
        down
    }

    /// Returns every mark in force, without clearances.
    pub fn list(&self, wall: clock::Wall) -> Vec<quarantine::Mark> {
        let unexpired = self.marks.values().filter(|mark| wall < mark.until);
        let restricting = unexpired.filter(|mark| mark.state != quarantine::State::Clear);
        restricting.cloned().collect()
    }

    /// Drops expired marks and losses of past incidents.
    pub fn expire(&mut self, now: Now) {
        self.marks.retain(|_, mark| now.wall < mark.until);
        self.drop_old_losses(now.moment);
    }

    /// Returns true if there are no marks.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn lost(&mut self, key: Key, upstream: &ids::Upstream, run: Run, now: Now) -> Vec<Action> {
        self.drop_old_losses(now.moment);
        self.losses.push_back((now.moment, upstream.clone()));
        let existing = self.marks.get(&key).filter(|mark| now.wall < mark.until);
        let before = existing.cloned();
        let mut mark = match before.as_ref() {
            Some(existing) if existing.state != quarantine::State::Clear => existing.clone(),
            _ => new_suspicion(&key, existing, now),
        };
        let list = match run {
            Run::Concurrent => &mut mark.lost,
            Run::Canary | Run::Trial => &mut mark.crashed,
        };
        mark::add(list, upstream);
        if run == Run::Trial || mark.crashed.len() > 1 {
            mark.state = quarantine::State::Quarantined;
            let span = if self.in_shared_outage(&mark) {
                UNCERTAIN_QUARANTINE_DURATION
            } else {
                QUARANTINE_DURATION
            };
            mark.until = mark.until.max(now.wall + span);
        }
        if self.caused_by_outage(&key, &mark, now) {
            return self.clear(&key, now);
        }
        if before.as_ref() == Some(&mark) {
            return Vec::new();
        }
        self.publish(key, mark, now)
    }

    /// Returns true if a shared outage rather than this request explains the losses
    /// in `mark`. A failing rack takes down many upstreams, and every request that
    /// was running there would become suspect. A request that has completed
    /// recently isn't what took three upstreams down within a second, so it stays
    /// clear and its lost shards may be retried elsewhere. A request that never
    /// completed stays suspect.
    fn caused_by_outage(&self, key: &Key, mark: &quarantine::Mark, now: Now) -> bool {
        let weak = mark.crashed.is_empty() && mark.state == quarantine::State::Suspect;
        weak && self.count_lost(|_| true) >= MIN_SHARED_OUTAGE_UPSTREAMS
            && self.completions.contains(key, now.moment)
    }

    /// Clears requests that became suspect before the shared outage was recognized,
    /// since the losses of the other upstreams are reported one by one.
    fn clear_outage_suspects(&mut self, now: Now) -> Vec<Action> {
        let marks = self.marks.iter();
        let explained = marks.filter(|(key, mark)| self.caused_by_outage(key, mark, now));
        let keys: Vec<Key> = explained.map(|(key, _)| key.clone()).collect();
        keys.iter().flat_map(|key| self.clear(key, now)).collect()
    }

    /// Returns true if the current incident includes enough upstreams that this mark
    /// doesn't list to count as a shared outage.
    fn in_shared_outage(&self, mark: &quarantine::Mark) -> bool {
        self.count_lost(|upstream| !mark.lists(upstream)) + 1 >= MIN_SHARED_OUTAGE_UPSTREAMS
    }

    /// Returns the number of distinct upstreams lost in the current incident that
    /// `wanted` accepts.
    fn count_lost(&self, wanted: impl Fn(&ids::Upstream) -> bool) -> usize {
        let names = self.losses.iter().map(|(_, upstream)| upstream);
        let names: collections::BTreeSet<_> = names.filter(|name| wanted(name)).collect();
        names.len()
    }

    fn completed(&mut self, key: Key, now: Now) -> Vec<Action> {
        let existing = self.marks.get(&key).map(|mark| mark.state);
        let cleared = match existing {
            Some(quarantine::State::Suspect) => self.clear(&key, now),
            _ => Vec::new(),
        };
        if existing != Some(quarantine::State::Quarantined) {
            self.completions.insert(key, now.moment);
        }
        cleared
    }

    fn received(&mut self, received: quarantine::Mark, now: Now) -> Vec<Action> {
        if now.wall >= received.until {
            return Vec::new();
        }
        let key = (received.service.clone(), received.fingerprint);
        self.add_received_losses(&received, now);
        let Some(existing) = self.marks.get(&key) else {
            self.marks.insert(key, received);
            return Vec::new();
        };
        let merged = existing.merge(&received);
        let second_crash = merged.crashed.len() > 1 && merged.state == quarantine::State::Suspect;
        if second_crash {
            let mut merged = merged;
            merged.state = quarantine::State::Quarantined;
            merged.until = merged.until.max(now.wall + QUARANTINE_DURATION);
            return self.publish(key, merged, now);
        }
        let sender_is_outdated = merged != received && merged.version == received.version;
        if sender_is_outdated {
            return self.publish(key, merged, now);
        }
        self.marks.insert(key, merged);
        Vec::new()
    }

    /// Adds the losses in a received mark to the current incident, so that shared
    /// outages seen by other VMs are recognized here too.
    fn add_received_losses(&mut self, received: &quarantine::Mark, now: Now) {
        self.drop_old_losses(now.moment);
        if received.state == quarantine::State::Clear
            || now.wall.since(received.since) > INCIDENT_WINDOW
        {
            return;
        }
        for upstream in received.crashed.iter().chain(&received.lost) {
            if !self.losses.iter().any(|(_, known)| known == upstream) {
                self.losses.push_back((now.moment, upstream.clone()));
            }
        }
    }

    /// Replaces the mark of `key`, if there is one, with a clearance.
    fn clear(&mut self, key: &Key, now: Now) -> Vec<Action> {
        let Some(existing) = self.marks.get(key) else {
            return Vec::new();
        };
        let mark = quarantine::Mark {
            state: quarantine::State::Clear,
            until: now.wall + SUSPICION_DURATION,
            ..existing.clone()
        };
        self.publish(key.clone(), mark, now)
    }

    /// Stores `mark` with a new version and returns the action that publishes it.
    fn publish(&mut self, key: Key, mut mark: quarantine::Mark, now: Now) -> Vec<Action> {
        mark.version = now.wall.0.max(mark.version + 1);
        self.marks.insert(key, mark.clone());
        vec![Action::Publish(mark)]
    }

    /// Drops losses that are older than [`INCIDENT_WINDOW`].
    fn drop_old_losses(&mut self, now: clock::Moment) {
        while self
            .losses
            .front()
            .is_some_and(|(at, _)| now.since(*at) > INCIDENT_WINDOW)
        {
            self.losses.pop_front();
        }
    }
}

fn new_suspicion(key: &Key, existing: Option<&quarantine::Mark>, now: Now) -> quarantine::Mark {
    quarantine::Mark {
        service: key.0.clone(),
        fingerprint: key.1,
        state: quarantine::State::Suspect,
        version: existing.map_or(0, |mark| mark.version),
        crashed: Vec::new(),
        lost: Vec::new(),
        since: now.wall,
        until: now.wall + SUSPICION_DURATION,
    }
}
