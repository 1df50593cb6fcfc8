//! Points in time, as the state machines are given them.
//!
//! [`Moment`] is monotonic and local to one process: never send it. Between
//! processes only time left goes on the wire, so that clocks that differ do no
//! harm. [`Wall`] is the VM's wall clock, for windows of minutes and more.

use std::cell;
use std::ops;
use std::rc;
use std::time;

/// A monotonic point in time of this process, in microseconds since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
#[display("{_0}us")]
pub struct Moment(pub u64);

impl Moment {
    /// The point `millis` milliseconds after the process's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Time from `earlier` to here; zero where `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` before this one; the process's start, where that is later.
    pub fn before(self, span: time::Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }

    /// Time left until `later`; zero where it has passed.
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

/// When something happened last; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Latest(rc::Rc<cell::Cell<Option<tokio::time::Instant>>>);

impl Latest {
    /// It happens now.
    pub fn note(&self) {
        self.0.set(Some(tokio::time::Instant::now()));
    }

    /// How long ago it happened; `None` where it never has.
    pub fn age(&self) -> Option<time::Duration> {
        self.0.get().map(|at| at.elapsed())
    }
}

/// Whole microseconds of `span`, saturating.
pub fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Whole milliseconds of `span`, saturating.
pub fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The VM's wall clock, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize, derive_more::Display)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// Time from `earlier` to here; zero where `earlier` is later.
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

/// Reads both clocks. Clones share the same start.
///
/// Monotonic time is tokio's, so tests that pause tokio's clock pause this one.
/// Wall time is the system's at the start plus the monotonic time since: it
/// doesn't jump while the process lives, and it too stands still when paused.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: tokio::time::Instant,
    wall: Wall,
}

impl Clock {
    /// A clock that starts now. Call within a tokio runtime.
    pub fn start() -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        Self::start_at(Wall::default() + since_epoch.unwrap_or_default())
    }

    /// A clock that starts now and takes `wall` for the time of day: for runs
    /// that must repeat exactly, and for clocks that are wrong.
    pub fn start_at(wall: Wall) -> Self {
        Self {
            start: tokio::time::Instant::now(),
            wall,
        }
    }

    /// Monotonic time now.
    pub fn now(&self) -> Moment {
        Moment(micros(self.start.elapsed()))
    }

    /// Wall time now.
    pub fn wall(&self) -> Wall {
        self.wall + self.start.elapsed()
    }

    /// The tokio instant of `moment`, for timers.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        self.start + time::Duration::from_micros(moment.0)
    }
}
