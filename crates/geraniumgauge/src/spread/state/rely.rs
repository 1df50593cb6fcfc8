//! How far this VM relies on what others say, and when it looks all the same.

use std::time;

use crate::ids;
use crate::spread;
use crate::spread::state;
use crate::spread::state::look;
use crate::time as clock;

/// Parts of the look period after which a VM looks for itself whose turn to be
/// answered doesn't come: what is left until a change must be in force is for the
/// look.
const IN_TURN: f64 = 1.95;
/// Part of the look period in which another VM is to answer.
const ANSWER: f64 = 0.25;
/// Look periods for which a VM relies on others' word that the store is away, since
/// a look that it holds or failed to make. The store may serve this VM and not
/// those it hears; drawn, so that not all try at once.
const RELIANCE: std::ops::Range<f64> = 6.0..8.0;

impl state::State {
    /// Another VM says that the store is away. That is no proof that this one
    /// can't read it: what is known to be lacking, or was last seen long ago, is
    /// looked for all the same.
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

    /// Whether another VM's news show what this VM lacks, which it remembers then.
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

    /// Whether this VM knows that others hold something newer.
    pub(super) fn is_behind(&self) -> bool {
        let told = self.heard_of.as_ref();
        told.is_some_and(|(holds, sure)| self.lacks(holds, *sure))
    }

    /// This VM learns that others hold something newer: whatever had put its own
    /// look off, it is due as if nothing had been heard since the latest one.
    fn fall_behind(&mut self, now: clock::Moment) {
        let before = self.look_at;
        self.draw_look(self.looked_at(), now);
        self.look_at = self.look_at.min(before);
        self.await_answer(now);
    }

    /// When the latest look was made that this VM holds; its start, where it holds
    /// none.
    pub(super) fn looked_at(&self) -> clock::Moment {
        let latest = self.latest.as_ref();
        latest.map_or(self.started, |latest| latest.at)
    }

    /// Draws how long this VM relies on others, from `since`.
    pub(super) fn draw_reliance(&mut self, since: clock::Moment) {
        self.rely_until = since + self.part(RELIANCE);
    }

    /// Relies on others for a while; one that knows nothing goes on asking them.
    pub(super) fn postpone(&mut self, now: clock::Moment) {
        self.draw_look(now, now);
        if !self.knows_nothing() {
            self.draw_ask(now);
        }
    }

    /// Another VM has looked, and is asked what it saw: this one waits for the
    /// answer, but not for long.
    pub(super) fn await_answer(&mut self, now: clock::Moment) {
        self.wait_for_answer(look::ALONE.end, now);
    }

    /// The same where the answer has to wait for others'.
    pub(super) fn await_turn(&mut self, now: clock::Moment) {
        self.wait_for_answer(IN_TURN, now);
    }

    /// Puts the look off for an answer, but no later than so many look periods
    /// after the latest one.
    fn wait_for_answer(&mut self, periods: f64, now: clock::Moment) {
        if self.must_look {
            return;
        }
        let last = self.looked_at() + self.period.mul_f64(periods);
        let answered = now + self.period.mul_f64(ANSWER);
        self.look_at = self.look_at.max(answered.min(last));
    }

    /// Whether this VM takes what another one has told after `took`. One that knows
    /// nothing yet serves by what it takes first: it looks itself rather than rely
    /// on a look of long ago, unless the store doesn't answer.
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
        // A VM that holds something and no look has just started itself.
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
