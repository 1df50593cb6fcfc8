//! Points in time, which are passed to the state machines.
//!
//! [`Moment`] is monotonic and local to one process; it must not be sent to others.
//! Messages between processes contain durations, such as the time left, so that
//! clock differences don't matter. [`Wall`] is the VM's wall clock, for windows of
//! minutes and more.

use std::cell;
use std::ops;
use std::rc;
use std::time;

/// A monotonic point in time, in microseconds since this process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
#[display("{_0}us")]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the point `millis` milliseconds after the process's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `span` before this one, but not before the process's start.
    pub fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }

    /// Returns the time from this point until `later`; zero if `later` is earlier.
    pub fn until(self, later: Self) -> time::Duration {
        later.since(self)
    }
}

impl ops::Add<time::Duration> for Moment {
    type Output = Self;
    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

/// The time of an event's latest occurrence; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Latest(rc::Rc<cell::Cell<Option<tokio::time::Instant>>>);

impl Latest {
    /// Records that the event occurs now.
    pub fn note(&self) {
        self.0.set(Some(tokio::time::Instant::now()));
    }

    /// Returns the time since the latest occurrence; `None` if there was none.
    pub fn age(&self) -> Option<time::Duration> {
        self.0.get().map(|at| at.elapsed())
    }
}

/// Returns `span` in whole microseconds, saturating.
pub fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns `span` in whole milliseconds, saturating.
pub fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A point in time of the VM's wall clock, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// Returns the time from `earlier` to this point; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Wall {
    type Output = Self;
    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }
}

/// The monotonic and the wall clock. Clones share the same start.
///
/// Monotonic time is tokio's, so tests that pause tokio's clock pause this one.
/// Wall time is the system time at the start plus the monotonic time since then, so
/// it doesn't jump while the process runs, and it can be paused as well.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: tokio::time::Instant,
    wall: Wall,
}

impl Clock {
    /// Creates a clock that starts now. Must be called within a tokio runtime.
    pub fn start() -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        Self::start_at(Wall::default() + since_epoch.unwrap_or_default())
    }

    /// Creates a clock that starts now with the wall time `wall`, for reproducible runs
    /// and for tests with wrong clocks.
    pub fn start_at(wall: Wall) -> Self {
        Self {
            start: tokio::time::Instant::now(),
            wall,
        }
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Moment {
        Moment(micros(self.start.elapsed()))
    }

    /// Returns the current wall time.
    pub fn wall(&self) -> Wall {
        self.wall + self.start.elapsed()
    }

    /// Converts `moment` to tokio's instant, for timers.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        self.start + time::Duration::from_micros(moment.0)
    }
}
