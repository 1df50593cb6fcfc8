//! What this VM's own calls show of one upstream.

use std::time;

use crate::store;
use crate::time as clock;

/// Weight of the newest call in the running slowness.
const NEWEST: f64 = 0.3;
/// Weight of a slow reply once several came in a row.
const NEWEST_SLOW: f64 = 0.6;
/// Times the usual from which a reply is slow. Work varies by a third either
/// way, and one call in a hundred takes five times as long.
const SLOW: f64 = 3.0;
/// Slow replies in a row from which the upstream counts as slow.
const SLOW_IN_A_ROW: u32 = 2;
/// A call is taken as at most this many times slower than usual, so that one
/// straggler doesn't rule an upstream out for long.
const MOST: f64 = 12.0;
/// A call is expected to take at least this part of the usual time, however fast
/// the last ones were.
const LEAST: f64 = 0.2;
/// How fast an upstream's slowness is forgotten while it gets no calls: after
/// this time a third of it is left, and it is tried again. Long enough to spare
/// most calls a slow spell of seconds, short enough to use it again after one.
const FORGET: time::Duration = time::Duration::from_millis(1500);
/// First pause after a failed connection.
const BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Longest pause after failed connections. An upstream that restarts is back
/// after some seconds; a try a second costs little.
const BACKOFF_MOST: time::Duration = time::Duration::from_millis(1000);
/// Weight of the newest call in the running share of calls that were declined.
/// At ten calls a second to an upstream it follows a change within a second.
const NEWEST_DECLINED: f64 = 0.1;
/// A share that counts as none: it would cost less than half a millisecond.
const NOTHING_DECLINED: f64 = 0.003;
/// How fast that share is forgotten while an upstream gets no calls: a third is
/// left after this time, and it is tried again.
const FORGET_DECLINED: time::Duration = time::Duration::from_millis(4000);
/// What a call that will be declined costs: another call a while later, out of a
/// budget that other calls need more.
const DECLINED: time::Duration = time::Duration::from_millis(150);
/// How much slower an upstream is taken to be that is warming up.
const COLD: f64 = 1.6;

/// Times the usual from which an upstream is advised against: a call to another
/// data centre and the way there cost less.
const ADVISED_SLOW: f64 = 2.5;
/// Share of declined calls from which an upstream is advised against.
const ADVISED_DECLINED: f64 = 0.2;

/// What a VM that makes calls for others tells of an upstream that does badly.
///
/// On a large fleet each VM makes too few calls to an upstream to see that it is
/// slow or declines; those that make the others' calls see it at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advice {
    /// How many times slower than usual it is.
    pub slowness: f64,
    /// The share of calls that it declines.
    pub declined: f64,
}

/// The standing of one upstream.
#[derive(Debug, Clone)]
pub struct Standing {
    running: u32,
    slowness: f64,
    seen: clock::Moment,
    /// Whether a call is late that has no reply yet.
    late: bool,
    slow_replies: u32,
    slow_until: clock::Moment,
    backoff: store::Backoff,
    down_until: clock::Moment,
    full_until: clock::Moment,
    /// The share of calls that it declined, and when it last took or declined one.
    declined: f64,
    declined_seen: clock::Moment,
    misdirected: bool,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            running: 0,
            slowness: 1.0,
            seen: clock::Moment::default(),
            late: false,
            slow_replies: 0,
            slow_until: clock::Moment::default(),
            backoff: store::Backoff::new(BACKOFF, BACKOFF_MOST),
            down_until: clock::Moment::default(),
            full_until: clock::Moment::default(),
            declined: 0.0,
            declined_seen: clock::Moment::default(),
            misdirected: false,
        }
    }
}

impl Standing {
    /// A call goes out.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// A call is over, however it ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// It replied to a call that began at `began`; `ratio` is the call's time by
    /// the route's usual one.
    pub fn replied(&mut self, ratio: f64, began: clock::Moment, now: clock::Moment) {
        self.late = false;
        self.backoff.succeeded();
        self.down_until = clock::Moment::default();
        self.learn_declined(0.0, now);
        if ratio > SLOW {
            return self.slow(ratio, began, now);
        }
        self.slow_replies = 0;
        self.learn(NEWEST, ratio, now);
    }

    /// A call has no reply yet though it is late.
    pub fn late(&mut self) {
        self.late = true;
    }

    /// A call that began at `began` was given up, with no reply after `ratio`
    /// times the usual time.
    pub fn given_up(&mut self, ratio: f64, began: clock::Moment, now: clock::Moment) {
        self.late = false;
        if ratio > SLOW {
            self.slow(ratio, began, now);
        }
    }

    /// Calls that wait behind one pause are slow together and count once: an
    /// upstream that pauses now and then isn't slow afterwards, and leaving it
    /// alone would move its load to the others for seconds.
    fn slow(&mut self, ratio: f64, began: clock::Moment, now: clock::Moment) {
        if began < self.slow_until {
            return;
        }
        self.slow_until = now;
        self.slow_replies += 1;
        if self.slow_replies >= SLOW_IN_A_ROW {
            self.learn(NEWEST_SLOW, ratio, now);
        }
    }

    fn learn(&mut self, weight: f64, ratio: f64, now: clock::Moment) {
        let before = self.slowness(now);
        self.slowness = before + weight * (ratio.min(MOST) - before);
        self.seen = now;
    }

    /// It replied with a failure, or a call's connection was lost.
    pub fn failed(&mut self, now: clock::Moment) {
        self.late = false;
        self.learn(NEWEST, MOST / 2.0, now);
    }

    /// No connection could be made.
    pub fn unreachable(&mut self, now: clock::Moment) {
        // No random part: each VM tries on its own calls' behalf.
        self.down_until = now + self.backoff.failed(1.0);
        self.late = false;
    }

    /// It said that it has no room, and when to come back.
    pub fn full(&mut self, pause: time::Duration, now: clock::Moment) {
        self.full_until = now + pause;
        self.learn_declined(1.0, now);
    }

    fn learn_declined(&mut self, sample: f64, now: clock::Moment) {
        if self.declined + sample < NOTHING_DECLINED {
            // Each reply comes here, and nearly all upstreams decline nothing.
            self.declined = 0.0;
            return;
        }
        let before = self.declined(now);
        self.declined = before + NEWEST_DECLINED * (sample - before);
        self.declined_seen = now;
    }

    /// Why another upstream is better called first; `None` where this one does
    /// well. A late call counts as long as it has no reply: calls that wait for
    /// the same pause would all be late.
    pub fn advice(&self, now: clock::Moment) -> Option<Advice> {
        let advice = Advice {
            slowness: self.slowness(now),
            declined: self.declined(now),
        };
        let badly = self.late
            || !self.up(now)
            || advice.slowness >= ADVISED_SLOW
            || advice.declined >= ADVISED_DECLINED;
        badly.then_some(advice)
    }

    /// Another VM has seen more of it. What is heard is forgotten like what was
    /// seen, and calls that are made all the same overrule it.
    pub fn hear(&mut self, advice: Advice, now: clock::Moment) {
        self.slowness = self.slowness(now).max(advice.slowness);
        self.seen = now;
        self.declined = self.declined(now).max(advice.declined);
        self.declined_seen = now;
    }

    /// The share of calls that it declines, as far as is known.
    fn declined(&self, now: clock::Moment) -> f64 {
        let age = now.since(self.declined_seen).as_secs_f64() / FORGET_DECLINED.as_secs_f64();
        self.declined * (-age).exp()
    }

    /// What the calls that it will decline cost, on average.
    ///
    /// An upstream that declines a part of its calls while it has room looks
    /// fast: what it does take it answers at once. Chosen as often as its
    /// sibling, it uses up the budget of extra calls, and then searches fail.
    pub fn decline_cost(&self, now: clock::Moment) -> time::Duration {
        if self.declined < NOTHING_DECLINED {
            return time::Duration::ZERO;
        }
        DECLINED.mul_f64(self.declined(now))
    }

    /// Another upstream answered at its address.
    pub fn misdirected(&mut self) {
        self.misdirected = true;
    }

    /// Whether it can be tried at `now`.
    pub fn up(&self, now: clock::Moment) -> bool {
        !self.misdirected && self.down_until <= now
    }

    /// Whether it said lately that it has no room.
    pub fn is_full(&self, now: clock::Moment) -> bool {
        self.full_until > now
    }

    /// Whether a call to it is overdue.
    pub fn is_late(&self) -> bool {
        self.late
    }

    /// How many times slower than usual it is taken to be.
    pub fn slowness(&self, now: clock::Moment) -> f64 {
        let age = now.since(self.seen).as_secs_f64() / FORGET.as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age).exp()
    }

    /// The time that a call is expected to take which usually takes `usual`.
    pub fn expect(
        &self,
        usual: time::Duration,
        slots: u32,
        cold: bool,
        now: clock::Moment,
    ) -> time::Duration {
        let queued = f64::from((self.running + 1).saturating_sub(slots)) / f64::from(slots.max(1));
        let cold = if cold { COLD } else { 1.0 };
        usual.mul_f64(self.slowness(now).max(LEAST) * cold * (1.0 + queued))
    }
}
