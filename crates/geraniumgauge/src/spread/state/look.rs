//! Schedule of this VM's polls of the store, and the handling of their results.

use std::time;

use rand::Rng as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Additional delay of the second poller, in poll intervals: longer than an update
/// takes to arrive.
const STEP: f64 = 1.0 / 24.0;
/// Age of the latest poll, in poll intervals, at which VMs that aren't pollers poll
/// the store themselves. It is random, so that the first one can update the others.
pub(super) const ALONE: std::ops::Range<f64> = 1.4..1.8;
/// The same while a fleet starts for the first time. The pollers begin within this
/// time.
const ALONE_AT_FIRST: std::ops::Range<f64> = 1.4..2.6;
/// Time without data from the store after which a poll in progress is reported as
/// unavailability. The report has to arrive before the other VMs poll the store
/// themselves.
pub(super) const DOUBT: time::Duration = time::Duration::from_millis(300);
/// Interval at which a store without a configuration is polled, in poll intervals.
/// The configuration may be written at any moment.
const UNCONFIGURED: f64 = 1.0 / 3.0;
/// Poll intervals after which a poller that doesn't poll is replaced.
const SILENCE: u32 = 3;
/// Most poll intervals between two polls while the store can be read.
const LONGEST_LAG: u32 = 2;
/// Time from the start of a VM's poll until the others receive its result. VMs that
/// start together poll at this distance on average.
const APART: time::Duration = time::Duration::from_millis(4);
/// Longest time, in poll intervals, for which a VM without content waits for
/// another VM's poll.
const LONGEST_WAIT: f64 = 0.5;
/// The same in a fleet that starts for the first time, whose VMs have yet to find
/// each other.
const FIRST_WAIT: f64 = 1.0;
/// Retries per second of all VMs that aren't pollers together, while the store is
/// unavailable.
const TRIES: f64 = 2.0;

impl state::State {
    /// Returns this VM's rank among the pollers, or `None` if it isn't one. While a
    /// fleet starts for the first time, most VMs know few others and would all rank
    /// themselves as pollers, so none is one.
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

    /// Returns when this VM polls next; `None` while a poll is in progress.
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
        // Every poller polls now and then even if the other one does, since its
        // polls show the others that it is alive.
        let taken = self.duty_since.map(|since| since + self.period);
        let own = self.own_look.map(|at| at + self.period * 2).max(taken);
        Some(own.map_or(by_age, |own| own.min(by_age)))
    }

    /// Returns when a poll that gets no reply is reported as failed.
    pub(super) fn doubt_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        let told = self.doubts || self.duty(now).is_none();
        self.look_sign().filter(|_| !told).map(|at| at + DOUBT)
    }

    /// Returns when the last data for the poll in progress arrived, or when the
    /// poll began if there was none.
    pub(super) fn look_sign(&self) -> Option<clock::Moment> {
        self.busy
            .look
            .map(|began| began.max(self.busy.heard.unwrap_or(began)))
    }

    /// Records that data from the store arrived `age` ago. A large reply over a
    /// slow link doesn't make the store unavailable.
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

    /// Updates whether this VM is a poller. A poller whose polls keep failing gives
    /// up the role: the store may refuse this VM and serve others.
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

    /// Ends a poll whose first read was sent `age` ago; `None` if it failed.
    /// [`Self::set_position`] has to be called first with its result.
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
        // If the clock went back between two starts, the numbers continue after
        // those of the earlier start.
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

    /// Returns whether the store was unavailable at some time since the last poll,
    /// `lag` ago.
    pub fn was_away(&self, lag: time::Duration) -> bool {
        self.away || lag >= self.period * LONGEST_LAG
    }

    /// Schedules the next retry of an unavailable store, so that all VMs together
    /// make a few retries a second.
    pub(super) fn draw_try(&mut self, now: clock::Moment) {
        let vms = self.vms(now).unwrap_or(self.members.count()) as f64;
        let wait = self.rng.random_range(0.0..2.0 * vms / TRIES);
        self.try_at = now + time::Duration::from_secs_f64(wait);
    }

    /// Schedules this VM's own poll, unless a poll made after `since` is reported
    /// before then.
    pub(super) fn draw_look(&mut self, since: clock::Moment, now: clock::Moment) {
        let alone = if self.vms(now).is_none() {
            ALONE_AT_FIRST
        } else {
            ALONE
        };
        self.look_at = since + self.part(alone);
    }

    /// Takes a poll whose result is included in what this VM holds.
    pub(super) fn take_look(&mut self, look: &spread::Look, now: clock::Moment) {
        self.members.looked(&look.vm, now);
        let known = self.numbers.get(&look.vm);
        // An update may arrive late or be sent by a VM that was paused, which must
        // not make its poll appear fresh.
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

    /// Returns the latest poll, as sent to other VMs.
    pub(super) fn look(&self, now: clock::Moment) -> Option<spread::Look> {
        self.latest.as_ref().map(|latest| spread::Look {
            vm: latest.vm.clone(),
            number: latest.number,
            age: now.since(latest.at),
        })
    }

    /// Schedules the first poll of a VM that has no content. It waits a little, so
    /// that one of the VMs that started with it can poll first.
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
