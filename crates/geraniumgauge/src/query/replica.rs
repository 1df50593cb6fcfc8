//! What this entry has seen of one replica, shared by all searches that use it.
//!
//! All fields are relaxed atomics: each is a hint on its own, and a reader that
//! sees them slightly apart only picks a slightly worse replica.

use std::sync::atomic;
use std::time;

use crate::ids;
use crate::mesh::message;
use crate::time as clock;

const ORDER: atomic::Ordering = atomic::Ordering::Relaxed;

/// How long a range of versions is believed without a new reply.
const RANGE_FOR: time::Duration = time::Duration::from_secs(10);
/// How long a replica is believed to lag behind a version. New versions arrive
/// all the time; a replica that is never asked again would never catch up here.
const LAG_FOR: time::Duration = time::Duration::from_millis(250);
/// How long a measured call time is believed.
const TOOK_FOR: time::Duration = time::Duration::from_secs(1);
/// First time for which a lost replica is left alone; doubles from the third
/// loss on. One call a quarter of a second sees a restart's end in time for the
/// searches that wait for it, whose deadlines are a second or less.
const DOWN_FOR: time::Duration = time::Duration::from_millis(250);
/// Losses within this span are one: a crash ends all calls that run there.
const TOGETHER: time::Duration = time::Duration::from_millis(100);
/// Most doublings of [`DOWN_FOR`]: one that is gone for good gets a call each
/// eight seconds.
const DOWN_DOUBLINGS: u32 = 5;
/// How long one call probes a lost replica before another one may.
const PROBE: time::Duration = time::Duration::from_millis(250);
/// How long a draining replica is left alone.
const DRAIN_FOR: time::Duration = time::Duration::from_secs(5);
/// How long a replica that sheds is left alone where it names no time.
const SHED_FOR: time::Duration = time::Duration::from_millis(20);
/// How long a replica is left alone whose connection stayed silent.
const SILENT_FOR: time::Duration = time::Duration::from_millis(200);
/// How long a share of failed calls counts against a replica.
const FAILED_FOR: time::Duration = time::Duration::from_secs(4);
/// How many times as costly a replica counts of which every call fails.
const PENALTY: u64 = 16;
/// A share of one.
const WHOLE: u64 = 1_000_000;
/// One sample's weight in the mean call time: one part in this.
const WEIGHT: u64 = 8;
/// A sample counts for at most this many times the mean: a single straggler is
/// no reason to leave a replica.
const OUTLIER: u64 = 4;

/// The versions that a replica offers, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// The oldest.
    pub oldest: ids::IndexVersion,
    /// The newest.
    pub newest: ids::IndexVersion,
}

/// What this entry has seen of one replica.
#[derive(Debug, Default)]
pub struct Stats {
    outstanding: atomic::AtomicU32,
    oldest: atomic::AtomicU64,
    newest: atomic::AtomicU64,
    ranged: atomic::AtomicU64,
    took: atomic::AtomicU64,
    timed: atomic::AtomicU64,
    wait: atomic::AtomicU64,
    avoid: atomic::AtomicU64,
    /// Mean share of calls that failed, in millionths, and when one last did.
    fails: atomic::AtomicU64,
    failed: atomic::AtomicU64,
    answered: atomic::AtomicU64,
    downs: atomic::AtomicU32,
    /// When the loss came that was counted last.
    lost: atomic::AtomicU64,
}

impl Stats {
    /// A call was sent.
    pub fn sent(&self) {
        self.outstanding.fetch_add(1, ORDER);
    }

    /// A call came to its end, whichever.
    pub fn ended(&self) {
        self.outstanding.fetch_sub(1, ORDER);
    }

    /// Calls under way from this entry.
    pub fn outstanding(&self) -> u32 {
        self.outstanding.load(ORDER)
    }

    /// Whether it is believed lost: its siblings carry its shards.
    pub fn down(&self) -> bool {
        self.downs.load(ORDER) > 0
    }

    /// Whether calls had better go elsewhere.
    pub fn avoided(&self, now: clock::Moment) -> bool {
        now.0 < self.avoid.load(ORDER)
    }

    /// Lets one call through to a replica believed lost, and no more until it
    /// is known what became of that one.
    pub fn probe(&self, now: clock::Moment) {
        if self.down() {
            self.avoid.fetch_max((now + PROBE).0, ORDER);
        }
    }

    /// How long a call is expected to take, in microseconds, behind those that
    /// are under way.
    pub fn load(&self, typical: time::Duration, now: clock::Moment) -> u64 {
        let fresh = now.0 < self.timed.load(ORDER) + clock::micros(TOOK_FOR);
        let took = if fresh {
            self.took.load(ORDER)
        } else {
            clock::micros(typical)
        };
        u64::from(self.outstanding() + 1) * took.max(1) * self.penalty(now)
    }

    /// How many times as costly its calls count for the share that fails. It
    /// fades with time, or a replica once left would never be tried again.
    fn penalty(&self, now: clock::Moment) -> u64 {
        let age = now.since(clock::Moment(self.failed.load(ORDER)));
        let left = FAILED_FOR.saturating_sub(age).as_micros() as u64;
        let share = self.fails.load(ORDER) * left / clock::micros(FAILED_FOR);
        1 + PENALTY * share / WHOLE
    }

    /// When it last answered.
    pub fn answered(&self) -> clock::Moment {
        clock::Moment(self.answered.load(ORDER))
    }

    /// Mean time that calls waited at the home, while it is fresh.
    pub fn wait(&self, now: clock::Moment) -> time::Duration {
        let fresh = now.0 < self.timed.load(ORDER) + clock::micros(TOOK_FOR);
        let wait = if fresh { self.wait.load(ORDER) } else { 0 };
        time::Duration::from_micros(wait)
    }

    /// Whether it offers `version`; `None` where that isn't known any more.
    pub fn offers(&self, version: ids::IndexVersion, now: clock::Moment) -> Option<bool> {
        let range = self.range(now)?;
        if version > range.newest {
            let age = now.since(clock::Moment(self.ranged.load(ORDER)));
            return (age < LAG_FOR).then_some(false);
        }
        Some(version >= range.oldest)
    }

    /// The versions it offers, where that is known.
    pub fn range(&self, now: clock::Moment) -> Option<Range> {
        let newest = self.newest.load(ORDER);
        let ranged = clock::Moment(self.ranged.load(ORDER));
        let known = newest > 0 && now.since(ranged) < RANGE_FOR;
        known.then(|| Range {
            oldest: ids::IndexVersion(self.oldest.load(ORDER)),
            newest: ids::IndexVersion(newest),
        })
    }

    /// Learns from a reply of the replica.
    pub fn learn(&self, reply: &message::Reply, now: clock::Moment) {
        if reply.newest > 0 {
            self.oldest.store(reply.oldest, ORDER);
            self.newest.store(reply.newest, ORDER);
            self.ranged.store(now.0, ORDER);
        }
        mean(&self.wait, reply.queued_us);
        self.timed.store(now.0, ORDER);
    }

    /// A call took this long, or had not ended after it.
    pub fn took(&self, span: time::Duration, now: clock::Moment) {
        let held = self.took.load(ORDER);
        let span = clock::micros(span).max(1);
        let sample = if held == 0 {
            span
        } else {
            span.min(held * OUTLIER)
        };
        mean(&self.took, sample);
        self.timed.store(now.0, ORDER);
    }

    /// It answered.
    pub fn good(&self, now: clock::Moment) {
        self.answered.store(now.0, ORDER);
        if self.fails.load(ORDER) > 0 {
            blend(&self.fails, 0);
        }
        if self.downs.load(ORDER) > 0 {
            self.downs.store(0, ORDER);
            self.avoid.store(0, ORDER);
        }
    }

    /// It failed in the way that `outcome` says.
    pub fn bad(&self, outcome: message::Outcome, retry_after: time::Duration, now: clock::Moment) {
        use message::Outcome;
        let span = match outcome {
            Outcome::Lost | Outcome::Unreachable => self.lost(now),
            Outcome::Draining => DRAIN_FOR,
            Outcome::Shed | Outcome::Late => retry_after.max(SHED_FOR),
            Outcome::Silent => SILENT_FOR,
            Outcome::Crossed | Outcome::Failed => time::Duration::ZERO,
            _ => return,
        };
        blend(&self.fails, WHOLE);
        self.failed.store(now.0, ORDER);
        self.avoid.fetch_max((now + span).0, ORDER);
    }
}

impl Stats {
    /// How long it is left alone after one more loss. Counted one by one, calls
    /// lost together in a restart of 300 ms kept a replica unused for seconds.
    fn lost(&self, now: clock::Moment) -> time::Duration {
        let first = clock::Moment(self.lost.load(ORDER));
        if self.down() && now.since(first) < TOGETHER {
            return time::Duration::ZERO;
        }
        self.lost.store(now.0, ORDER);
        let times = self.downs.fetch_add(1, ORDER);
        let doublings = times.saturating_sub(1);
        DOWN_FOR * 2_u32.pow(doublings.min(DOWN_DOUBLINGS))
    }
}

/// As [`blend`], but the first sample counts whole.
fn mean(held: &atomic::AtomicU64, sample: u64) {
    if held.load(ORDER) == 0 {
        held.store(sample, ORDER);
    } else {
        blend(held, sample);
    }
}

fn blend(held: &atomic::AtomicU64, sample: u64) {
    let before = held.load(ORDER);
    held.store((before * (WEIGHT - 1) + sample) / WEIGHT, ORDER);
}
