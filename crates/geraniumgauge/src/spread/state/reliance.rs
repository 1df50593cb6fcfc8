//! Rules by which a VM relies on what others report, and when it polls the store
//! regardless.

use std::time;

use crate::ids;
use crate::spread;
use crate::spread::state;
use crate::spread::state::poll;
use crate::time as clock;

/// Age of the latest poll, in poll intervals, at which a VM polls the store itself
/// although another VM has yet to answer its request. The rest of the time until a
/// change must be in force is left for that poll.
const ANSWER_DEADLINE_POLLS: f64 = 1.95;
/// Poll intervals within which another VM is expected to answer.
const ANSWER_TIMEOUT_POLLS: f64 = 0.25;
/// Poll intervals within which another VM is expected to answer one whose own poll has failed.
/// The range is random, so that VMs don't all poll at once.
const ANSWER_TIMEOUT_AFTER_FAILURE_POLLS: std::ops::Range<f64> = 0.25..1.0;

impl state::State {
    /// Handles another VM's report that the store is unavailable. That doesn't
    /// prove that this VM can't read it, so only a VM whose own poll has failed since the
    /// latest successful one relies on the report.
    pub(super) fn receive_unavailable(&mut self, sender: &ids::Vm, now: clock::Moment) {
        if !self.unavailable {
            log::info!(
                age_ms:? = self.age(now).map(clock::millis), teller:% = sender;
                "another VM can't read the store"
            );
        }
        self.unavailable = true;
        self.rely_on_others(now);
        self.postpone_fetch(now);
    }

    /// Postpones the next poll of a VM whose own poll has failed and that has just heard from
    /// another VM, as it will hear of a successful poll, too. Its regular retries go on.
    pub(super) fn rely_on_others(&mut self, now: clock::Moment) {
        if self.found_unavailable && !self.is_behind() {
            self.poll_at = now + self.fallback_delay(now);
        }
    }

    /// Returns whether another VM has content that this one lacks, and remembers
    /// its position if so.
    pub(super) fn note_newer(&mut self, summary: &spread::Summary, now: clock::Moment) -> bool {
        let lacks = self.lacks(&summary.position, summary.verified);
        if lacks {
            if !self.is_behind() {
                self.fall_behind(now);
            }
            self.newer_position = Some((summary.position, summary.verified));
        }
        lacks
    }

    /// Returns whether another VM is known to have newer content.
    pub(super) fn is_behind(&self) -> bool {
        let known = self.newer_position.as_ref();
        known.is_some_and(|(position, verified)| self.lacks(position, *verified))
    }

    /// Handles the first report of newer content. The VM's own poll becomes due as
    /// if nothing had been received since the latest poll, whatever had postponed
    /// it. If it has already polled since then and failed, it polls again only if no other VM
    /// answers in time, so that VMs that the store refused don't all call it once one of them
    /// has read it.
    fn fall_behind(&mut self, now: clock::Moment) {
        if self.found_unavailable {
            self.poll_at = now + self.random_delay(ANSWER_TIMEOUT_AFTER_FAILURE_POLLS);
            return;
        }
        let before = self.poll_at;
        self.schedule_poll(self.polled_at(), now);
        self.poll_at = self.poll_at.min(before);
        self.await_answer(now);
    }

    /// Returns when the latest poll was made whose result this VM holds, or the
    /// VM's start if there is none.
    pub(super) fn polled_at(&self) -> clock::Moment {
        let latest = self.latest.as_ref();
        latest.map_or(self.started, |latest| latest.at)
    }

    /// Postpones this VM's next request, unless it has no content yet.
    pub(super) fn postpone_fetch(&mut self, now: clock::Moment) {
        if !self.lacks_content() {
            self.schedule_fetch(now);
        }
    }

    /// Postpones the poll for the answer of a VM that has newer content, at most to
    /// [`ANSWER_DEADLINE_POLLS`].
    pub(super) fn await_answer(&mut self, now: clock::Moment) {
        if self.must_poll {
            return;
        }
        let deadline = self.polled_at() + self.poll_interval.mul_f64(ANSWER_DEADLINE_POLLS);
        let answered_at = now + self.poll_interval.mul_f64(ANSWER_TIMEOUT_POLLS);
        self.poll_at = self.poll_at.max(answered_at.min(deadline));
    }

    /// Returns whether this VM accepts the content of an answer that took `took`. A
    /// VM without content would serve callers by what it accepts first, so it polls
    /// the store itself rather than accept an old poll's result, unless the store
    /// doesn't answer.
    pub fn accepts(
        &mut self,
        answer: &spread::Answer,
        took: time::Duration,
        now: clock::Moment,
    ) -> bool {
        let has_content = answer.config.is_some() || answer.registrations.is_some();
        if !has_content || !self.lacks_content() {
            return true;
        }
        let age = answer.summary.poll.as_ref().map(|poll| poll.age + took);
        // A VM that has content but no poll has just started itself.
        let fresh =
            age.is_none_or(|age| age < self.poll_interval.mul_f64(poll::FALLBACK_DELAY_POLLS.end));
        let activity = self.last_poll_activity();
        let store_silent = self.failures > 0
            || activity.is_some_and(|activity| now.since(activity) >= poll::SILENT_POLL_TIMEOUT);
        if fresh || store_silent {
            return true;
        }
        log::info!(age_ms:? = age.map(clock::millis); "answer of another VM is too old to start with");
        self.first_poll_scheduled = true;
        self.must_poll = true;
        self.poll_at = now;
        false
    }
}
