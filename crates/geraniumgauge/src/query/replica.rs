//! Statistics of one replica as observed by this VM, shared by all searches that
//! use it.
//!
//! All fields are relaxed atomics: each is an independent hint, and a reader that
//! sees them out of step at worst chooses a slightly worse replica.

use std::sync::atomic;
use std::time;

use crate::ids;
use crate::mesh::message;
use crate::time as clock;

const ORDER: atomic::Ordering = atomic::Ordering::Relaxed;

/// Time after which a reported version range expires.
const RANGE_TTL: time::Duration = time::Duration::from_secs(10);
/// Time for which a replica is considered to lag behind a newer version. New
/// versions arrive all the time, and only another call shows that the replica has
/// caught up.
const LAG_TTL: time::Duration = time::Duration::from_millis(250);
/// Time after which a measured call time expires.
const CALL_TIME_TTL: time::Duration = time::Duration::from_secs(1);
/// Time for which a lost replica is avoided at first; doubles from the third loss
/// on. One call per quarter of a second notices the end of a restart in time for
/// waiting searches, whose deadlines are a second or less.
const INITIAL_DOWN_TIME: time::Duration = time::Duration::from_millis(250);
/// Losses within this time count as one: a crash ends all running calls.
const SAME_LOSS_WINDOW: time::Duration = time::Duration::from_millis(100);
/// Maximum number of doublings of [`INITIAL_DOWN_TIME`]: a replica that stays down
/// gets a call every eight seconds.
const MAX_DOWN_DOUBLINGS: u32 = 5;
/// Time for which a probe of a lost replica keeps other calls away.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time for which a draining replica is avoided.
const DRAIN_AVOID_TIME: time::Duration = time::Duration::from_secs(5);
/// Minimum time for which a replica that sheds load is avoided.
const MIN_SHED_AVOID_TIME: time::Duration = time::Duration::from_millis(20);
/// Time for which a replica whose connection stayed silent is avoided.
const SILENT_AVOID_TIME: time::Duration = time::Duration::from_millis(200);
/// Time over which the penalty for failed calls fades to nothing.
const FAILURE_FADE_TIME: time::Duration = time::Duration::from_secs(4);
/// Load penalty of a replica whose calls all fail: this many times its load is
/// added.
const FAILURE_PENALTY: u64 = 16;
/// A share of one, in millionths.
const FULL_SHARE: u64 = 1_000_000;
/// The weight of one sample in a moving average is one divided by this.
const SAMPLE_WEIGHT_DIVISOR: u64 = 8;
/// Samples are capped at this many times the mean, so that a single straggler
/// doesn't divert calls from a replica.
const MAX_SAMPLE_FACTOR: u64 = 4;

/// The inclusive range of index versions that a replica offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// The oldest version.
    pub oldest: ids::IndexVersion,
    /// The newest version.
    pub newest: ids::IndexVersion,
}

/// Statistics of one replica. Moments and durations are in microseconds.
#[derive(Debug, Default)]
pub struct Stats {
    outstanding: atomic::AtomicU32,
    oldest: atomic::AtomicU64,
    newest: atomic::AtomicU64,
    /// When the version range was reported.
    range_updated: atomic::AtomicU64,
    /// Mean call time.
    call_time: atomic::AtomicU64,
    /// When call time or queue wait were last updated.
    times_updated: atomic::AtomicU64,
    /// Mean time that calls waited in the home's queue.
    queue_wait: atomic::AtomicU64,
    /// Moment until which the replica is avoided.
    avoid_until: atomic::AtomicU64,
    /// Moving average of the share of calls that failed, in millionths.
    failure_share: atomic::AtomicU64,
    /// When a call last failed.
    last_failure: atomic::AtomicU64,
    /// When the replica last answered.
    last_answer: atomic::AtomicU64,
    /// Number of losses since it last answered.
    losses: atomic::AtomicU32,
    /// When the last counted loss occurred.
    last_loss: atomic::AtomicU64,
}

impl Stats {
    /// Records that a call was sent.
    pub fn sent(&self) {
        self.outstanding.fetch_add(1, ORDER);
    }

    /// Records that a call has ended, whatever its outcome.
    pub fn ended(&self) {
        self.outstanding.fetch_sub(1, ORDER);
    }

    /// Returns the number of running calls from this VM.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(ORDER)
    }

    /// Returns whether the replica was lost and hasn't answered since.
    pub fn down(&self) -> bool {
        self.losses.load(ORDER) > 0
    }

    /// Returns whether calls should prefer other replicas.
    pub fn avoided(&self, now: clock::Moment) -> bool {
        now.0 < self.avoid_until.load(ORDER)
    }

    /// Returns for how long calls should still prefer other replicas.
    pub fn avoided_for(&self, now: clock::Moment) -> time::Duration {
        now.until(clock::Moment(self.avoid_until.load(ORDER)))
    }

    /// Records a call to a lost replica as its probe: other calls avoid the replica
    /// until the probe has ended or [`PROBE_TIMEOUT`] has passed.
    pub fn record_probe(&self, now: clock::Moment) {
        if self.down() {
            self.avoid_until.fetch_max((now + PROBE_TIMEOUT).0, ORDER);
        }
    }

    /// Returns the expected duration of a call behind the running ones, in
    /// microseconds, weighted by the penalty for failures.
    pub fn load(&self, typical_call_time: time::Duration, now: clock::Moment) -> u64 {
        let recent = now.0 < self.times_updated.load(ORDER) + clock::micros(CALL_TIME_TTL);
        let call_time = if recent {
            self.call_time.load(ORDER)
        } else {
            clock::micros(typical_call_time)
        };
        u64::from(self.outstanding() + 1) * call_time.max(1) * self.penalty(now)
    }

    /// Returns the load factor for the share of failed calls. It fades with time;
    /// otherwise a replica that is no longer chosen would never be called again.
    fn penalty(&self, now: clock::Moment) -> u64 {
        let age = now.since(clock::Moment(self.last_failure.load(ORDER)));
        let left = FAILURE_FADE_TIME.saturating_sub(age).as_micros() as u64;
        let share = self.failure_share.load(ORDER) * left / clock::micros(FAILURE_FADE_TIME);
        1 + FAILURE_PENALTY * share / FULL_SHARE
    }

    /// Returns when the replica last answered.
    pub fn answered(&self) -> clock::Moment {
        clock::Moment(self.last_answer.load(ORDER))
    }

    /// Returns the mean time that calls waited in the home's queue; zero if it
    /// wasn't measured recently.
    pub fn wait(&self, now: clock::Moment) -> time::Duration {
        let recent = now.0 < self.times_updated.load(ORDER) + clock::micros(CALL_TIME_TTL);
        let wait = if recent {
            self.queue_wait.load(ORDER)
        } else {
            0
        };
        time::Duration::from_micros(wait)
    }

    /// Returns whether the replica offers `version`; `None` if unknown.
    pub fn offers(&self, version: ids::IndexVersion, now: clock::Moment) -> Option<bool> {
        let range = self.range(now)?;
        if version > range.newest {
            let age = now.since(clock::Moment(self.range_updated.load(ORDER)));
            return (age < LAG_TTL).then_some(false);
        }
        Some(version >= range.oldest)
    }

    /// Returns the offered versions; `None` if they aren't known or have expired.
    pub fn range(&self, now: clock::Moment) -> Option<Range> {
        let newest = self.newest.load(ORDER);
        let updated = clock::Moment(self.range_updated.load(ORDER));
        let known = newest > 0 && now.since(updated) < RANGE_TTL;
        known.then(|| Range {
            oldest: ids::IndexVersion(self.oldest.load(ORDER)),
            newest: ids::IndexVersion(newest),
        })
    }

    /// Updates version range and queue wait from a reply.
    pub fn record_reply(&self, reply: &message::Reply, now: clock::Moment) {
        if reply.newest > 0 {
            self.oldest.store(reply.oldest, ORDER);
            self.newest.store(reply.newest, ORDER);
            self.range_updated.store(now.0, ORDER);
        }
        mean(&self.queue_wait, reply.queued_us);
        self.times_updated.store(now.0, ORDER);
    }

    /// Records the duration of a call, or how long a cancelled one had run.
    pub fn record_time(&self, span: time::Duration, now: clock::Moment) {
        let average = self.call_time.load(ORDER);
        let span = clock::micros(span).max(1);
        let sample = if average == 0 {
            span
        } else {
            span.min(average * MAX_SAMPLE_FACTOR)
        };
        mean(&self.call_time, sample);
        self.times_updated.store(now.0, ORDER);
    }

    /// Records a valid reply: the replica is up again if it was lost.
    pub fn record_success(&self, now: clock::Moment) {
        self.last_answer.store(now.0, ORDER);
        if self.failure_share.load(ORDER) > 0 {
            blend(&self.failure_share, 0);
        }
        if self.losses.load(ORDER) > 0 {
            self.losses.store(0, ORDER);
            self.avoid_until.store(0, ORDER);
        }
    }

    /// Records that the replica has answered its home something that was sent at
    /// `sent` or later. It is up again if it was lost before.
    pub fn record_contact(&self, sent: clock::Moment) {
        self.last_answer.fetch_max(sent.0, ORDER);
        if self.down() && sent.0 > self.last_loss.load(ORDER) {
            self.losses.store(0, ORDER);
            self.avoid_until.store(0, ORDER);
        }
    }

    /// Records a failed call.
    pub fn record_failure(
        &self,
        outcome: message::Outcome,
        retry_after: time::Duration,
        now: clock::Moment,
    ) {
        use message::Outcome;
        let span = match outcome {
            Outcome::Lost | Outcome::Unreachable => self.record_loss(now),
            Outcome::Draining => DRAIN_AVOID_TIME,
            Outcome::Shed | Outcome::Late => retry_after.max(MIN_SHED_AVOID_TIME),
            Outcome::Silent => SILENT_AVOID_TIME,
            Outcome::Crossed | Outcome::Failed => time::Duration::ZERO,
            _ => return,
        };
        blend(&self.failure_share, FULL_SHARE);
        self.last_failure.store(now.0, ORDER);
        self.avoid_until.fetch_max((now + span).0, ORDER);
    }
}

impl Stats {
    /// Records a loss and returns for how long to avoid the replica. When calls that
    /// were lost together counted separately, a restart of 300 ms left a replica
    /// unused for seconds.
    fn record_loss(&self, now: clock::Moment) -> time::Duration {
        let first = clock::Moment(self.last_loss.load(ORDER));
        if self.down() && now.since(first) < SAME_LOSS_WINDOW {
            return time::Duration::ZERO;
        }
        self.last_loss.store(now.0, ORDER);
        let times = self.losses.fetch_add(1, ORDER);
        let doublings = times.saturating_sub(1);
        INITIAL_DOWN_TIME * 2_u32.pow(doublings.min(MAX_DOWN_DOUBLINGS))
    }
}

/// Updates a moving average like [`blend`], but starts at the first sample.
fn mean(average: &atomic::AtomicU64, sample: u64) {
    if average.load(ORDER) == 0 {
        average.store(sample, ORDER);
    } else {
        blend(average, sample);
    }
}

/// Updates an exponentially weighted moving average.
fn blend(average: &atomic::AtomicU64, sample: u64) {
    let before = average.load(ORDER);
    average.store(
        (before * (SAMPLE_WEIGHT_DIVISOR - 1) + sample) / SAMPLE_WEIGHT_DIVISOR,
        ORDER,
    );
}
