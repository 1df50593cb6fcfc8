//! Rules by which a VM relies on what others report, and when it polls the store
//! regardless.

use std::time;

use crate::ids;
use crate::spread;
use crate::spread::state;
use crate::spread::state::poll;
use crate::time as clock;

/// Age of the latest poll, in poll intervals, at which a VM polls the store itself
/// although its request is queued at another VM. The rest of the time until a
/// change must be in force is left for that poll.
const QUEUED_ANSWER_DEADLINE_POLLS: f64 = 1.95;
/// Poll intervals within which another VM is expected to answer.
const ANSWER_TIMEOUT_POLLS: f64 = 0.25;
/// Poll intervals for which a VM relies on reports that the store is unavailable,
/// counted from the latest poll that it holds or its own last failed poll. The
/// store may serve this VM but not the ones that send the reports. The range is
/// random, so that VMs don't all poll at once.
const RELIANCE_WINDOW_POLLS: std::ops::Range<f64> = 6.0..8.0;

impl state::State {
    /// Handles another VM's report that the store is unavailable. That doesn't
    /// prove that this VM can't read it, so a VM that is known to be behind, or
    /// whose latest poll is old, polls regardless. So does a backup poller, unless it
    /// has found the store unavailable itself since the latest poll: the store may
    /// serve it, and then it updates all.
    pub(super) fn receive_unavailable(&mut self, sender: &ids::Vm, now: clock::Moment) {
        let age_ms = self.age(now).map(clock::millis);
        if !self.unavailable {
            log::info!(age_ms:? = age_ms, teller:% = sender; "another VM can't read the store");
            self.schedule_retry(now);
        }
        self.unavailable = true;
        let polls_as_backup = !self.found_unavailable && self.members.is_backup_poller();
        if self.is_behind() || polls_as_backup {
            return;
        }
        let before = self.poll_at;
        self.postpone(now);
        self.poll_at = self.poll_at.min(self.rely_until);
        if now.since(self.polled_at()) >= self.poll_interval.mul_f64(poll::FALLBACK_DELAY_POLLS.end)
        {
            log::info!(
                age_ms:? = age_ms, teller:% = sender, failures = self.failures,
                due_before_ms = clock::millis(now.until(before)),
                due_ms = clock::millis(now.until(self.poll_at));
                "own poll postponed"
            );
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

    /// Handles the first report of newer content: the VM's own poll becomes due as
    /// if nothing had been received since the latest poll, whatever had postponed
    /// it.
    fn fall_behind(&mut self, now: clock::Moment) {
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

    /// Sets how long this VM relies on others, from `since`.
    pub(super) fn set_reliance(&mut self, since: clock::Moment) {
        self.rely_until = since + self.random_delay(RELIANCE_WINDOW_POLLS);
    }

    /// Postpones the VM's own poll, and its next request unless it has no content
    /// yet.
    pub(super) fn postpone(&mut self, now: clock::Moment) {
        self.schedule_poll(now, now);
        if !self.lacks_content() {
            self.schedule_fetch(now);
        }
    }

    /// Waits a short time for the answer of a VM that reported a newer poll.
    pub(super) fn await_answer(&mut self, now: clock::Moment) {
        self.wait_for_answer(poll::FALLBACK_DELAY_POLLS.end, now);
    }

    /// Waits for the answer to a request that is queued at another VM. The poll may be
    /// postponed further than by [`Self::await_answer`].
    pub(super) fn await_queued_answer(&mut self, now: clock::Moment) {
        self.wait_for_answer(QUEUED_ANSWER_DEADLINE_POLLS, now);
    }

    /// Postpones the poll for an answer, to at most the given number of poll
    /// intervals after the latest poll.
    fn wait_for_answer(&mut self, max_age_polls: f64, now: clock::Moment) {
        if self.must_poll {
            return;
        }
        let latest_poll_at = self.polled_at() + self.poll_interval.mul_f64(max_age_polls);
        let answered_at = now + self.poll_interval.mul_f64(ANSWER_TIMEOUT_POLLS);
        self.poll_at = self.poll_at.max(answered_at.min(latest_poll_at));
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
