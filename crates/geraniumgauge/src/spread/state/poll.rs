//! Schedule of this VM's polls of the store, and the handling of their results.

use std::time;

use rand::Rng as _;

use crate::spread;
use crate::spread::state;
use crate::time as clock;

/// Additional delay of the second poller, in poll intervals: longer than an update
/// takes to arrive.
const SECOND_POLLER_DELAY_POLLS: f64 = 1.0 / 24.0;
/// Age of the latest poll, in poll intervals, at which VMs that aren't pollers poll
/// the store themselves, from the first to the last in the ranking. The rest of the time
/// until a change must be in force is left for the last VM's poll and for its updates.
pub(super) const FALLBACK_DELAY_POLLS: std::ops::Range<f64> = 1.4..1.8;
/// Age of the latest poll, in poll intervals, at which the VM that made it polls again
/// though it isn't a poller. The store serves that VM and may refuse the pollers.
const REPEAT_DELAY_POLLS: f64 = 1.1;
/// Age of the latest poll, in poll intervals, at which VMs that aren't pollers poll
/// the store themselves while a fleet starts for the first time. The pollers begin
/// within this time.
const FIRST_START_FALLBACK_DELAY_POLLS: std::ops::Range<f64> = 1.4..2.6;
/// Time without data from the store after which a poll in progress is reported as
/// unavailability. VMs that have failed themselves rely on such reports.
pub(super) const SILENT_POLL_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Interval at which a store without a configuration is polled, in poll intervals.
/// The configuration may be written at any moment.
const UNCONFIGURED_INTERVAL_POLLS: f64 = 1.0 / 3.0;
/// Poll intervals after which a poller that doesn't poll is replaced.
const POLLER_TIMEOUT_POLLS: u32 = 3;
/// Most poll intervals between two polls while the store can be read.
const MAX_LAG_POLLS: u32 = 2;
/// Time from the start of a VM's poll until the others receive its result. VMs that
/// start together poll at this distance on average.
const START_SPACING: time::Duration = time::Duration::from_millis(4);
/// Longest time, in poll intervals, for which a VM without content waits for
/// another VM's poll.
const MAX_FIRST_POLL_DELAY_POLLS: f64 = 0.5;
/// Longest time, in poll intervals, for which a VM without content waits for another
/// VM's poll in a fleet that starts for the first time, whose VMs have yet to find
/// each other.
const FIRST_START_DELAY_POLLS: f64 = 1.0;
/// Retries per second of all VMs that aren't pollers together, while the store is
/// unavailable, unless the retries of each VM would be more than
/// [`MAX_RETRY_CYCLE_POLLS`] apart.
const RETRIES_PER_SECOND: f64 = 1.5;
/// Longest time between two retries of a VM, in poll intervals. A store that is unavailable
/// to all may then serve just this VM.
const MAX_RETRY_CYCLE_POLLS: f64 = 7.0;

impl state::State {
    /// Returns this VM's rank among the pollers, or `None` if it isn't one. While a
    /// fleet starts for the first time, most VMs know few others and would all rank
    /// themselves as pollers, so none is one.
    pub fn poller_rank(&self, now: clock::Moment) -> Option<usize> {
        let early = now.since(self.started) < self.poll_interval * state::SETTLE_TIME_POLLS;
        if early && self.vms(now).is_none() {
            return None;
        }
        let rank = self.members.poller_rank(self.poller_timeout(), now);
        rank.filter(|_| !self.stepped_down)
    }

    fn poller_timeout(&self) -> time::Duration {
        self.poll_interval * POLLER_TIMEOUT_POLLS
    }

    /// Returns when this VM polls next; `None` while a poll is in progress.
    pub(super) fn poll_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        if self.pending.poll.is_some() {
            return None;
        }
        if let Some(until) = self.starting_until(now) {
            return Some(until);
        }
        let Some(rank) = self.poller_rank(now) else {
            let due = self.poll_at;
            return Some(if self.found_unavailable {
                due.min(self.retry_at)
            } else {
                due
            });
        };
        if self.found_unavailable {
            return Some(self.retry_at);
        }
        let Some(latest) = &self.latest else {
            return Some(self.poll_at);
        };
        let delay = match self.position.config {
            None => self.poll_interval.mul_f64(UNCONFIGURED_INTERVAL_POLLS),
            Some(_) => self.poll_interval,
        };
        let by_age =
            latest.at + delay + self.poll_interval.mul_f64(SECOND_POLLER_DELAY_POLLS) * rank as u32;
        // Every poller polls now and then even if the other one does, since its
        // polls show the others that it is alive.
        let first_due = self.poller_since.map(|since| since + self.poll_interval);
        let own = self
            .own_poll_began
            .map(|at| at + self.poll_interval * 2)
            .max(first_due);
        Some(own.map_or(by_age, |own| own.min(by_age)))
    }

    /// Returns when a poll that gets no reply is reported as failed.
    pub(super) fn slow_poll_due(&self, now: clock::Moment) -> Option<clock::Moment> {
        let reported = self.found_unavailable || self.poller_rank(now).is_none();
        self.last_poll_activity()
            .filter(|_| !reported)
            .map(|at| at + SILENT_POLL_TIMEOUT)
    }

    /// Returns when the last data for the poll in progress arrived, or when the
    /// poll began if there was none.
    pub(super) fn last_poll_activity(&self) -> Option<clock::Moment> {
        self.pending
            .poll
            .map(|began| began.max(self.pending.received.unwrap_or(began)))
    }

    /// Records that data from the store arrived `age` ago. A large reply over a
    /// slow link doesn't make the store unavailable.
    pub fn poll_progressed(&mut self, age: time::Duration, now: clock::Moment) {
        self.pending.received = Some(now.before(age));
    }

    pub(super) fn report_slow_poll(&mut self, now: clock::Moment) {
        if self.slow_poll_due(now).is_some_and(|due| now >= due) {
            log::info!(age_ms:? = self.age(now).map(clock::millis); "store is slow to answer");
            self.unavailable = true;
            self.found_unavailable = true;
            self.broadcast(None, now);
        }
    }

    pub(super) fn poll_if_due(&mut self, now: clock::Moment) {
        self.update_role(now);
        if !self.first_poll_scheduled && self.starting_until(now).is_none() {
            self.first_poll_scheduled = true;
            if self.latest.is_none() {
                self.schedule_first_poll(now);
            }
        }
        if self.poll_due(now).is_some_and(|due| now >= due) {
            self.pending.poll = Some(now);
            self.own_poll_began = Some(now);
            self.actions.push(state::Action::Poll);
        }
    }

    /// Updates whether this VM is a poller. A poller whose polls keep failing gives
    /// up the role: the store may refuse this VM and serve others.
    fn update_role(&mut self, now: clock::Moment) {
        if let Some(since) = self.poller_since
            && self.failures > 0
        {
            let succeeded = self.own_poll.unwrap_or_default();
            self.stepped_down = now.since(since.max(succeeded)) >= self.poller_timeout();
        }
        let poller_rank = self.poller_rank(now);
        if poller_rank.is_some() == self.poller_since.is_some() {
            return;
        }
        log::info!(
            place:? = poller_rank, vms = self.members.count(), failures = self.failures,
            age_ms:? = self.age(now).map(clock::millis);
            "rank among the pollers changed"
        );
        self.poller_since = poller_rank.map(|_| now);
        if poller_rank.is_some() {
            self.retry_at = now;
        }
    }

    /// Ends a poll whose first read was sent `age` ago; `None` if it failed.
    /// [`Self::set_position`] has to be called first with its result.
    pub fn polled(&mut self, age: Option<time::Duration>, now: clock::Moment) {
        self.pending.poll = None;
        self.must_poll = false;
        match age {
            Some(age) => self.poll_succeeded(age, now),
            None => self.poll_failed(now),
        }
    }

    fn poll_succeeded(&mut self, age: time::Duration, now: clock::Moment) {
        if self.failures > 0 {
            log::info!(failures = self.failures; "store is back");
        }
        self.failures = 0;
        self.backoff.succeeded();
        self.stepped_down = false;
        self.unavailable = false;
        self.found_unavailable = false;
        self.own_poll = Some(now);
        // If the clock went back between two starts, the numbers continue after
        // those of the earlier start.
        self.poll_number = self.poll_number.max(self.members.own().incarnation.0) + 1;
        let vm = self.members.own().vm.clone();
        let poll = spread::Poll {
            vm,
            number: self.poll_number,
            age,
        };
        self.apply_poll(&poll, now);
        self.broadcast(None, now);
    }

    fn poll_failed(&mut self, now: clock::Moment) {
        self.failures = self.failures.saturating_add(1);
        let delay = self.backoff.failed(1.0);
        if self.failures == 1 {
            log::warn!(age_ms:? = self.age(now).map(clock::millis); "store can't be read");
        }
        self.unavailable = true;
        self.found_unavailable = true;
        self.poll_at = now + self.fallback_delay(now);
        self.postpone_fetch(now);
        if self.poller_rank(now).is_some() {
            let jitter = self.rng.random_range(spread::store::RETRY_JITTER);
            self.retry_at = now + delay.mul_f64(jitter);
            let elapsed = self.last_broadcast.map(|at| now.since(at));
            if elapsed.is_none_or(|since| since >= self.poll_interval / 2) {
                self.broadcast(None, now);
            }
        } else {
            self.retry_at = self.next_retry(now);
        }
    }

    /// Returns whether the store was unavailable at some time since the last poll,
    /// `lag` ago.
    pub fn was_unavailable(&self, lag: time::Duration) -> bool {
        self.unavailable || lag >= self.poll_interval * MAX_LAG_POLLS
    }

    /// Returns when this VM retries an unavailable store next. The VMs retry at equal
    /// intervals, in the order of the ranking, so that the time until the store has
    /// been called by each is bounded.
    fn next_retry(&self, now: clock::Moment) -> clock::Moment {
        let vms = self.vms(now).unwrap_or(self.members.count()) as f64;
        let longest = self.poll_interval.mul_f64(MAX_RETRY_CYCLE_POLLS);
        let cycle = time::Duration::from_secs_f64(vms / RETRIES_PER_SECOND).min(longest);
        let turn = (self.members.place() + 1) as f64 / self.members.count() as f64;
        let polled_by_all = self.polled_at() + self.poll_interval.mul_f64(FALLBACK_DELAY_POLLS.end);
        let first = polled_by_all + cycle.mul_f64(turn);
        let earliest = now + spread::store::MAX_RETRY_DELAY;
        let cycles = earliest.since(first).div_duration_f64(cycle).ceil();
        first + cycle.mul_f64(cycles)
    }

    /// Schedules this VM's own poll, unless a poll made after `since` is reported
    /// before then.
    pub(super) fn schedule_poll(&mut self, since: clock::Moment, now: clock::Moment) {
        self.poll_at = since + self.fallback_delay(now);
    }

    /// Returns the age of the latest poll at which this VM polls the store itself. The
    /// intervals between the VMs' polls get shorter from one to the next, so that few VMs have
    /// polled when the store serves one of the first, and all have in time if it serves only
    /// the last one.
    pub(super) fn fallback_delay(&mut self, now: clock::Moment) -> time::Duration {
        if self.vms(now).is_none() {
            return self.random_delay(FIRST_START_FALLBACK_DELAY_POLLS);
        }
        let own = &self.members.own().vm;
        if self.latest.as_ref().is_some_and(|latest| latest.vm == *own) {
            return self.poll_interval.mul_f64(REPEAT_DELAY_POLLS);
        }
        let place = self.members.place().saturating_sub(spread::member::POLLERS);
        let last = self
            .members
            .count()
            .saturating_sub(spread::member::POLLERS + 1);
        let share = (place as f64 / last.max(1) as f64).sqrt();
        let std::ops::Range { start, end } = FALLBACK_DELAY_POLLS;
        self.poll_interval.mul_f64(start + (end - start) * share)
    }

    /// Takes a poll whose result is included in what this VM holds.
    pub(super) fn apply_poll(&mut self, poll: &spread::Poll, now: clock::Moment) {
        self.members.polled(&poll.vm, now);
        let known = self.poll_numbers.get(&poll.vm);
        // An update may arrive late or be sent by a VM that was paused, which must
        // not make its poll appear fresh.
        if known.is_some_and(|known| *known >= poll.number) {
            return;
        }
        self.poll_numbers.insert(poll.vm.clone(), poll.number);
        let at = now.before(poll.age);
        if self.latest.as_ref().is_some_and(|latest| latest.at >= at) {
            return;
        }
        self.latest = Some(state::LatestPoll {
            vm: poll.vm.clone(),
            number: poll.number,
            at,
        });
        self.unavailable = false;
        self.found_unavailable = false;
        self.schedule_poll(at, now);
        self.schedule_fetch(at);
    }

    /// Returns the latest poll, as sent to other VMs.
    pub(super) fn poll(&self, now: clock::Moment) -> Option<spread::Poll> {
        self.latest.as_ref().map(|latest| spread::Poll {
            vm: latest.vm.clone(),
            number: latest.number,
            age: now.since(latest.at),
        })
    }

    /// Schedules the first poll of a VM that has no content. It waits a little, so
    /// that one of the VMs that started with it can poll first.
    fn schedule_first_poll(&mut self, now: clock::Moment) {
        let max_first_delay = self.poll_interval.mul_f64(MAX_FIRST_POLL_DELAY_POLLS);
        let vms = self.vms(now).and_then(|vms| u32::try_from(vms).ok());
        let max_delay = match vms {
            Some(vms) => START_SPACING.saturating_mul(vms - 1).min(max_first_delay),
            None if self.seeds.is_empty() => max_first_delay,
            None => self.poll_interval.mul_f64(FIRST_START_DELAY_POLLS),
        };
        self.poll_at = now + max_delay.mul_f64(self.rng.random_range(0.0..1.0));
    }
}
