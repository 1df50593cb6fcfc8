//! Tracks the observed latency, failures and load of one upstream.

use std::time;

use crate::store;
use crate::time as clock;

/// Weight of the newest reply in the moving average of slowness.
const REPLY_WEIGHT: f64 = 0.3;
/// Weight of a slow reply that follows other slow replies.
const REPEATED_SLOW_WEIGHT: f64 = 0.6;
/// Multiple of the typical time from which a reply counts as slow. Work varies
/// by a third either way, and one call in a hundred takes five times as long.
const SLOW_RATIO: f64 = 3.0;
/// Number of consecutive slow replies from which the slowness is updated.
const MIN_SLOW_REPLIES: u32 = 2;
/// Upper bound for the slowness taken from one call, so that a single straggler
/// doesn't exclude an upstream for long.
const MAX_SLOWNESS: f64 = 12.0;
/// Lower bound for the slowness used to predict the time of a call, however
/// fast the last calls were.
const MIN_SLOWNESS: f64 = 0.2;
/// Time after which a third of the observed slowness remains while an upstream
/// gets no calls, so that it is tried again. Long enough to keep most calls
/// away from an upstream that is slow for some seconds, short enough to use it
/// again afterwards.
const SLOWNESS_DECAY_TIME: time::Duration = time::Duration::from_millis(1500);
/// Backoff after the first failed connection.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);
/// Longest backoff after failed connections. An upstream that restarts is back
/// after some seconds, and one attempt per second costs little.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(1000);
/// Weight of the newest call in the moving average of declined calls. At ten
/// calls per second to an upstream, the average follows a change within a
/// second.
const DECLINE_WEIGHT: f64 = 0.1;
/// Share of declined calls below which it is treated as zero. It would cost
/// less than half a millisecond.
const MIN_DECLINED_SHARE: f64 = 0.003;
/// Time after which a third of the observed share of declined calls remains
/// while an upstream gets no calls, so that it is tried again.
const DECLINE_DECAY_TIME: time::Duration = time::Duration::from_millis(4000);
/// Cost of a call that will be declined: a later second call, charged to a
/// budget that other calls need more.
const DECLINED_CALL_COST: time::Duration = time::Duration::from_millis(150);
/// Factor by which an upstream is expected to be slower while it warms up.
const WARM_UP_SLOWNESS: f64 = 1.6;

/// Slowness from which a relay advises against an upstream. From here on,
/// calling an upstream in another data centre costs less, including the way
/// there.
const ADVICE_MIN_SLOWNESS: f64 = 2.5;
/// Share of declined calls from which a relay advises against an upstream.
const ADVICE_MIN_DECLINED: f64 = 0.2;

/// A relay's observation that an upstream is slow or declines calls.
///
/// In a large fleet, each VM makes too few calls to an upstream to notice this.
/// The relays that make the calls of other VMs notice it at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advice {
    /// The time that calls take relative to their typical time.
    pub slowness: f64,
    /// The share of calls that the upstream declines.
    pub declined: f64,
}

/// Observed health of one upstream.
#[derive(Debug, Clone)]
pub struct Health {
    running: u32,
    slowness: f64,
    slowness_updated: clock::Moment,
    /// Set while a late call has no reply.
    late: bool,
    /// Set while the check of a new connection is overdue.
    check_late: bool,
    slow_replies: u32,
    slow_until: clock::Moment,
    backoff: store::Backoff,
    down_until: clock::Moment,
    full_until: clock::Moment,
    /// Share of calls that the upstream declined, as of `declined_updated`.
    declined: f64,
    declined_updated: clock::Moment,
    misdirected: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            running: 0,
            slowness: 1.0,
            slowness_updated: clock::Moment::default(),
            late: false,
            check_late: false,
            slow_replies: 0,
            slow_until: clock::Moment::default(),
            backoff: store::Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
            down_until: clock::Moment::default(),
            full_until: clock::Moment::default(),
            declined: 0.0,
            declined_updated: clock::Moment::default(),
            misdirected: false,
        }
    }
}

impl Health {
    /// Records that a call was sent.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Records that a call ended, with any result.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records the reply to a call that began at `began`. `ratio` is the time
    /// it took relative to the route's typical time.
    pub fn replied(&mut self, ratio: f64, began: clock::Moment, now: clock::Moment) {
        self.late = false;
        self.backoff.succeeded();
        self.down_until = clock::Moment::default();
        self.update_declined(0.0, now);
        if ratio > SLOW_RATIO {
            return self.record_slow(ratio, began, now);
        }
        self.slow_replies = 0;
        self.update_slowness(REPLY_WEIGHT, ratio, now);
    }

    /// Records that a call is late and has no reply yet.
    pub fn mark_late(&mut self) {
        self.late = true;
    }

    /// Records that a call that began at `began` was abandoned without a reply
    /// after `ratio` times the typical time.
    pub fn abandoned(&mut self, ratio: f64, began: clock::Moment, now: clock::Moment) {
        self.late = false;
        if ratio > SLOW_RATIO {
            self.record_slow(ratio, began, now);
        }
    }

    /// Records a slow call. Calls that wait for the same pause of the upstream
    /// are slow together and count once. An upstream that pauses now and then
    /// isn't slow afterwards, and avoiding it would move its load to the others
    /// for seconds.
    fn record_slow(&mut self, ratio: f64, began: clock::Moment, now: clock::Moment) {
        if began < self.slow_until {
            return;
        }
        self.slow_until = now;
        self.slow_replies += 1;
        if self.slow_replies >= MIN_SLOW_REPLIES {
            self.update_slowness(REPEATED_SLOW_WEIGHT, ratio, now);
        }
    }

    fn update_slowness(&mut self, weight: f64, ratio: f64, now: clock::Moment) {
        let before = self.slowness(now);
        self.slowness = before + weight * (ratio.min(MAX_SLOWNESS) - before);
        self.slowness_updated = now;
    }

    /// Records a failure reply or a lost connection.
    pub fn failed(&mut self, now: clock::Moment) {
        self.late = false;
        self.update_slowness(REPLY_WEIGHT, MAX_SLOWNESS / 2.0, now);
    }

    /// Records a failed attempt to connect.
    pub fn unreachable(&mut self, now: clock::Moment) {
        // No jitter: each VM retries only when it has calls to make.
        self.down_until = now + self.backoff.failed(1.0);
        self.late = false;
    }

    /// Records that the upstream reported no capacity and asked to be retried
    /// after `delay`.
    pub fn mark_full(&mut self, delay: time::Duration, now: clock::Moment) {
        self.full_until = now + delay;
        self.update_declined(1.0, now);
    }

    fn update_declined(&mut self, sample: f64, now: clock::Moment) {
        if self.declined + sample < MIN_DECLINED_SHARE {
            // Every reply leads here, and nearly all upstreams decline nothing.
            self.declined = 0.0;
            return;
        }
        let before = self.declined(now);
        self.declined = before + DECLINE_WEIGHT * (sample - before);
        self.declined_updated = now;
    }

    /// Returns the reason to call another upstream first, or `None` if this one
    /// is healthy. A late call counts until it has a reply, since calls that
    /// wait for the same pause would all be late.
    pub fn advice(&self, now: clock::Moment) -> Option<Advice> {
        let advice = Advice {
            slowness: self.slowness(now),
            declined: self.declined(now),
        };
        let is_unhealthy = self.is_late()
            || !self.is_up(now)
            || advice.slowness >= ADVICE_MIN_SLOWNESS
            || advice.declined >= ADVICE_MIN_DECLINED;
        is_unhealthy.then_some(advice)
    }

    /// Applies what a relay observed. It decays like this VM's own
    /// observations, and later calls of this VM override it.
    pub fn apply_advice(&mut self, advice: Advice, now: clock::Moment) {
        self.slowness = self.slowness(now).max(advice.slowness);
        self.slowness_updated = now;
        self.declined = self.declined(now).max(advice.declined);
        self.declined_updated = now;
    }

    /// Returns the estimated share of calls that the upstream declines.
    fn declined(&self, now: clock::Moment) -> f64 {
        let age = now.since(self.declined_updated).as_secs_f64() / DECLINE_DECAY_TIME.as_secs_f64();
        self.declined * (-age).exp()
    }

    /// Returns the average cost of the calls that the upstream will decline.
    ///
    /// An upstream that declines some calls while it has capacity looks fast,
    /// because it answers the others at once. If it were chosen as often as the
    /// other upstreams, its declined calls would use up the budget for extra
    /// calls, and then searches would fail.
    pub fn decline_cost(&self, now: clock::Moment) -> time::Duration {
        if self.declined < MIN_DECLINED_SHARE {
            return time::Duration::ZERO;
        }
        DECLINED_CALL_COST.mul_f64(self.declined(now))
    }

    /// Records that another upstream answered at this one's address.
    pub fn mark_misdirected(&mut self) {
        self.misdirected = true;
    }

    /// Returns whether the upstream can be tried at `now`.
    pub fn is_up(&self, now: clock::Moment) -> bool {
        !self.misdirected && self.down_until <= now
    }

    /// Returns whether the upstream recently reported that it has no capacity.
    pub fn is_full(&self, now: clock::Moment) -> bool {
        self.full_until > now
    }

    /// Records whether the check of a new connection is overdue.
    pub fn set_check_late(&mut self, late: bool) {
        self.check_late = late;
    }

    /// Returns whether a call to the upstream, or the check of a connection, is overdue.
    pub fn is_late(&self) -> bool {
        self.late || self.check_late
    }

    /// Returns the estimated time of calls relative to their typical time.
    pub fn slowness(&self, now: clock::Moment) -> f64 {
        let age =
            now.since(self.slowness_updated).as_secs_f64() / SLOWNESS_DECAY_TIME.as_secs_f64();
        1.0 + (self.slowness - 1.0) * (-age).exp()
    }

    /// Returns the expected time of a call that typically takes `typical_call_time`.
    pub fn expected_time(
        &self,
        typical_call_time: time::Duration,
        slots: u32,
        cold: bool,
        now: clock::Moment,
    ) -> time::Duration {
        let queued = f64::from((self.running + 1).saturating_sub(slots)) / f64::from(slots.max(1));
        let cold = if cold { WARM_UP_SLOWNESS } else { 1.0 };
        typical_call_time.mul_f64(self.slowness(now).max(MIN_SLOWNESS) * cold * (1.0 + queued))
    }
}
