//! Rules by which a VM relies on what others report, and when it polls the store
//! regardless.

use std::time;

use crate::ids;
use crate::spread;
use crate::spread::state;
use crate::spread::state::look;
use crate::time as clock;

/// Age of the latest poll, in poll intervals, at which a VM polls the store itself
/// although its request is queued at another VM. The rest of the time until a
/// change must be in force is left for that poll.
const IN_TURN: f64 = 1.95;
/// Poll intervals within which another VM is expected to answer.
const ANSWER: f64 = 0.25;
/// Poll intervals for which a VM relies on reports that the store is unavailable,
/// counted from the latest poll that it holds or its own last failed poll. The
/// store may serve this VM but not the ones that send the reports. The range is
/// random, so that VMs don't all poll at once.
const RELIANCE: std::ops::Range<f64> = 6.0..8.0;

impl state::State {
    /// Handles another VM's report that the store is unavailable. That doesn't
    /// prove that this VM can't read it, so a VM that is known to be behind, or
    /// whose latest poll is old, polls regardless.
    pub(super) fn hear_away(&mut self, teller: &ids::Vm, now: clock::Moment) {
        let age_ms = self.age(now).map(clock::millis);
        if !self.away {
            log::info!(age_ms:? = age_ms, teller:% = teller; "another VM can't read the store");
            self.draw_try(now);
        }
        self.away = true;
        if self.is_behind() {
            return;
        }
        let before = self.look_at;
        self.postpone(now);
        self.look_at = self.look_at.min(self.rely_until);
        if now.since(self.looked_at()) >= self.period.mul_f64(look::ALONE.end) {
            log::info!(
                age_ms:? = age_ms, teller:% = teller, failures = self.failures,
                due_before_ms = clock::millis(now.until(before)),
                due_ms = clock::millis(now.until(self.look_at));
                "own look put off"
            );
        }
    }

    /// Returns whether another VM has content that this one lacks, and remembers
    /// its position if so.
    pub(super) fn note_lack(&mut self, summary: &spread::Summary, now: clock::Moment) -> bool {
        let lacks = self.lacks(&summary.holds, summary.sure);
        if lacks {
            if !self.is_behind() {
                self.fall_behind(now);
            }
            self.heard_of = Some((summary.holds, summary.sure));
        }
        lacks
    }

    /// Returns whether another VM is known to have newer content.
    pub(super) fn is_behind(&self) -> bool {
        let told = self.heard_of.as_ref();
        told.is_some_and(|(holds, sure)| self.lacks(holds, *sure))
    }

    /// Handles the first report of newer content: the VM's own poll becomes due as
    /// if nothing had been received since the latest poll, whatever had postponed
    /// it.
    fn fall_behind(&mut self, now: clock::Moment) {
        let before = self.look_at;
        self.draw_look(self.looked_at(), now);
        self.look_at = self.look_at.min(before);
        self.await_answer(now);
    }

    /// Returns when the latest poll was made whose result this VM holds, or the
    /// VM's start if there is none.
    pub(super) fn looked_at(&self) -> clock::Moment {
        let latest = self.latest.as_ref();
        latest.map_or(self.started, |latest| latest.at)
    }

    /// Sets how long this VM relies on others, from `since`.
    pub(super) fn draw_reliance(&mut self, since: clock::Moment) {
        self.rely_until = since + self.part(RELIANCE);
    }

    /// Postpones the VM's own poll, and its next request unless it has no content
    /// yet.
    pub(super) fn postpone(&mut self, now: clock::Moment) {
        self.draw_look(now, now);
        if !self.knows_nothing() {
            self.draw_ask(now);
        }
    }

    /// Waits a short time for the answer of a VM that reported a newer poll.
    pub(super) fn await_answer(&mut self, now: clock::Moment) {
        self.wait_for_answer(look::ALONE.end, now);
    }

    /// Does the same for a request that is queued behind others.
    pub(super) fn await_turn(&mut self, now: clock::Moment) {
        self.wait_for_answer(IN_TURN, now);
    }

    /// Postpones the poll for an answer, to at most the given number of poll
    /// intervals after the latest poll.
    fn wait_for_answer(&mut self, periods: f64, now: clock::Moment) {
        if self.must_look {
            return;
        }
        let last = self.looked_at() + self.period.mul_f64(periods);
        let answered = now + self.period.mul_f64(ANSWER);
        self.look_at = self.look_at.max(answered.min(last));
    }

    /// Returns whether this VM accepts the content of an answer that took `took`. A
    /// VM without content would serve callers by what it accepts first, so it polls
    /// the store itself rather than accept an old poll's result, unless the store
    /// doesn't answer.
    pub fn trusts(
        &mut self,
        answer: &spread::Answer,
        took: time::Duration,
        now: clock::Moment,
    ) -> bool {
        let bears = answer.config.is_some() || answer.registrations.is_some();
        if !bears || !self.knows_nothing() {
            return true;
        }
        let age = answer.summary.look.as_ref().map(|look| look.age + took);
        // A VM that has content but no poll has just started itself.
        let fresh = age.is_none_or(|age| age < self.period.mul_f64(look::ALONE.end));
        let sign = self.look_sign();
        let silent = self.failures > 0 || sign.is_some_and(|sign| now.since(sign) >= look::DOUBT);
        if fresh || silent {
            return true;
        }
        log::info!(age_ms:? = age.map(clock::millis); "another VM's news are too old to start with");
        self.drawn = true;
        self.must_look = true;
        self.look_at = now;
        false
    }
}
