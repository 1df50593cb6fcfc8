//! When this VM looks at the store, and what a look shows.

use std::time;

use rand::Rng as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Part of the look period by which the second VM that looks waits longer than
/// the first: more than an update takes to arrive.
const STEP: f64 = 1.0 / 24.0;
/// Parts of the look period after which the other VMs look for themselves, drawn
/// anew each time, so that the first of them can tell the rest.
pub(super) const ALONE: std::ops::Range<f64> = 1.4..1.8;
/// The same while a fleet starts for the first time: those that look for all
/// begin within it.
const ALONE_AT_FIRST: std::ops::Range<f64> = 1.4..2.6;
/// How long a look may be without a sign of the store before it is said to be
/// away. The others must hear of it before they look for themselves.
pub(super) const DOUBT: time::Duration = time::Duration::from_millis(300);
/// Part of the look period after which a store without a configuration is looked
/// at again: it may have one any moment.
const UNCONFIGURED: f64 = 1.0 / 3.0;
/// Look periods after which a VM that should look and doesn't is replaced.
const SILENCE: u32 = 3;
/// Look periods between two looks at the most, while the store can be read.
const LONGEST_LAG: u32 = 2;
/// Time that one VM's look takes until the others hear of it. VMs that start
/// together look that far apart, on average.
const APART: time::Duration = time::Duration::from_millis(4);
/// Longest wait of a VM that knows nothing for another one's look, as a part of
/// the look period.
const LONGEST_WAIT: f64 = 0.5;
/// The same in a fleet that starts for the first time, where VMs have yet to find
/// each other.
const FIRST_WAIT: f64 = 1.0;
/// Tries a second of all VMs that don't look for all, while the store is away.
const TRIES: f64 = 2.0;

impl state::State {
    /// This VM's place among those that look for all. Where a fleet starts for
    /// the first time, most VMs know few others yet, and would all think to be
    /// among them.
    pub fn duty(&self, now: clock::Moment) -> Option<usize> {
        let early = now.since(self.started) < self.period * state::SETTLE;
        if early && self.vms(now).is_none() {
            return None;
        }
        let place = self.members.duty(self.silence(), now);
        place.filter(|_| !self.resigned)
    }

    fn silence(&self) -> time::Duration {
        self.period * SILENCE
    }

    /// When this VM looks next; `None` while it does.
    pub(super) fn look_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        if self.busy.look.is_some() {
            return None;
        }
        if let Some(until) = self.starting_until(now) {
            return Some(until);
        }
        let Some(place) = self.duty(now) else {
            let due = self.look_at;
            return Some(if self.away { due.min(self.try_at) } else { due });
        };
        if self.failures > 0 {
            return Some(self.try_at);
        }
        let Some(latest) = &self.latest else {
            return Some(self.look_at);
        };
        let wait = match self.holds.config {
            None => self.period.mul_f64(UNCONFIGURED),
            Some(_) => self.period,
        };
        let by_age = latest.at + wait + self.period.mul_f64(STEP) * place as u32;
        // Each of them looks now and then though the other one does, by which
        // the others know that it lives.
        let taken = self.duty_since.map(|since| since + self.period);
        let own = self.own_look.map(|at| at + self.period * 2).max(taken);
        Some(own.map_or(by_age, |own| own.min(by_age)))
    }

    /// When a look that has no reply yet is told of as failed.
    pub(super) fn doubt_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        let told = self.doubts || self.duty(now).is_none();
        self.look_sign().filter(|_| !told).map(|at| at + DOUBT)
    }

    /// The last sign of the store while this VM looks; where there is none, when it
    /// began.
    pub(super) fn look_sign(&self) -> Option<clock::Moment> {
        self.busy
            .look
            .map(|began| began.max(self.busy.heard.unwrap_or(began)))
    }

    /// Bytes of the store came `age` ago, while this VM may be looking: a large
    /// reply over a narrow link is no outage.
    pub fn look_heard(&mut self, age: time::Duration, now: clock::Moment) {
        self.busy.heard = Some(now.before(age));
    }

    pub(super) fn doubt_if_due(&mut self, now: clock::Moment) {
        if self.doubt_due(now).is_some_and(|due| now >= due) {
            log::info!(age_ms:? = self.age(now).map(clock::millis); "store is slow to answer");
            self.away = true;
            self.doubts = true;
            self.tell(None, now);
        }
    }

    pub(super) fn look_if_due(&mut self, now: clock::Moment) {
        self.note_duty(now);
        if !self.drawn && self.starting_until(now).is_none() {
            self.drawn = true;
            if self.latest.is_none() {
                self.draw_first_look(now);
            }
        }
        if self.look_due(now).is_some_and(|due| now >= due) {
            self.busy.look = Some(now);
            self.actions.push(state::Action::Look);
        }
    }

    /// Notes whether this VM looks for all. One that fails for long leaves it to
    /// others: the store may turn it away and serve them.
    fn note_duty(&mut self, now: clock::Moment) {
        if let Some(since) = self.duty_since
            && self.failures > 0
        {
            let succeeded = self.own_look.unwrap_or_default();
            self.resigned = now.since(since.max(succeeded)) >= self.silence();
        }
        let duty = self.duty(now);
        if duty.is_some() == self.duty_since.is_some() {
            return;
        }
        log::info!(
            place:? = duty, vms = self.members.count(), failures = self.failures,
            age_ms:? = self.age(now).map(clock::millis);
            "duty of reading the store changed"
        );
        self.duty_since = duty.map(|_| now);
    }

    /// A look has ended, whose first read was sent `age` ago: [`Self::hold`] was
    /// told what it showed; `None` where the store didn't tell.
    pub fn looked(&mut self, age: Option<time::Duration>, now: clock::Moment) {
        self.busy.look = None;
        self.must_look = false;
        match age {
            Some(age) => self.look_succeeded(age, now),
            None => self.look_failed(now),
        }
    }

    fn look_succeeded(&mut self, age: time::Duration, now: clock::Moment) {
        if self.failures > 0 {
            log::info!(failures = self.failures; "store is back");
        }
        self.failures = 0;
        self.backoff.succeeded();
        self.resigned = false;
        self.away = false;
        self.doubts = false;
        self.own_look = Some(now);
        // A start whose clock is behind an earlier one's goes on from that.
        self.number = self.number.max(self.members.own().incarnation.0) + 1;
        let vm = self.members.own().vm.clone();
        let look = spread::Look {
            vm,
            number: self.number,
            age,
        };
        self.take_look(&look, now);
        self.tell(None, now);
    }

    fn look_failed(&mut self, now: clock::Moment) {
        self.failures = self.failures.saturating_add(1);
        let pause = self.backoff.failed(1.0);
        if self.failures == 1 {
            log::warn!(age_ms:? = self.age(now).map(clock::millis); "store can't be read");
        }
        self.away = true;
        self.doubts = true;
        self.draw_reliance(now);
        self.postpone(now);
        if self.duty(now).is_some() {
            let jitter = self.rng.random_range(spread::store::JITTER);
            self.try_at = now + pause.mul_f64(jitter);
            let told = self.told_at.map(|at| now.since(at));
            if told.is_none_or(|since| since >= self.period / 2) {
                self.tell(None, now);
            }
        } else {
            self.draw_try(now);
        }
    }

    /// Whether the store was away between the last look, `lag` ago, and now.
    pub fn was_away(&self, lag: time::Duration) -> bool {
        self.away || lag >= self.period * LONGEST_LAG
    }

    /// Draws when this VM tries a store that is away, so that all of them
    /// together make a few tries a second.
    pub(super) fn draw_try(&mut self, now: clock::Moment) {
        let vms = self.vms(now).unwrap_or(self.members.count()) as f64;
        let wait = self.rng.random_range(0.0..2.0 * vms / TRIES);
        self.try_at = now + time::Duration::from_secs_f64(wait);
    }

    /// Draws when this VM looks for itself, if nothing is heard after `since`.
    pub(super) fn draw_look(&mut self, since: clock::Moment, now: clock::Moment) {
        let alone = if self.vms(now).is_none() {
            ALONE_AT_FIRST
        } else {
            ALONE
        };
        self.look_at = since + self.part(alone);
    }

    /// Takes a look that what this VM holds includes.
    pub(super) fn take_look(&mut self, look: &spread::Look, now: clock::Moment) {
        self.members.looked(&look.vm, now);
        let known = self.numbers.get(&look.vm);
        // An update may come late, or by a VM that was paused: the look is no
        // fresher for that.
        if known.is_some_and(|known| *known >= look.number) {
            return;
        }
        self.numbers.insert(look.vm.clone(), look.number);
        let at = now.before(look.age);
        if self.latest.as_ref().is_some_and(|latest| latest.at >= at) {
            return;
        }
        self.latest = Some(state::Latest {
            vm: look.vm.clone(),
            number: look.number,
            at,
        });
        self.away = false;
        self.doubts = false;
        self.draw_reliance(at);
        self.draw_look(at, now);
        self.draw_ask(at);
    }

    /// The latest look as it is told to others.
    pub(super) fn look(&self, now: clock::Moment) -> Option<spread::Look> {
        self.latest.as_ref().map(|latest| spread::Look {
            vm: latest.vm.clone(),
            number: latest.number,
            age: now.since(latest.at),
        })
    }

    /// A VM that knows nothing, and was told nothing, waits a little for one of
    /// those that started with it to look.
    fn draw_first_look(&mut self, now: clock::Moment) {
        let longest = self.period.mul_f64(LONGEST_WAIT);
        let vms = self.vms(now).and_then(|vms| u32::try_from(vms).ok());
        let most = match vms {
            Some(vms) => APART.saturating_mul(vms - 1).min(longest),
            None if self.seeds.is_empty() => longest,
            None => self.period.mul_f64(FIRST_WAIT),
        };
        self.look_at = now + most.mul_f64(self.rng.random_range(0.0..1.0));
    }
}
