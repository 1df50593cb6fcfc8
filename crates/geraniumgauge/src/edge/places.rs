//! The places of connections: what each connection holds, and which ones end when there is no
//! room for others.
//!
//! Room is made by ending those connections that make the least progress: incomplete requests,
//! answers that aren't read, and idle connections. A request that runs is never ended.

mod pace;

use std::cell;
use std::collections;
use std::rc;
use std::time;

use tokio::sync;

use crate::edge::overload;
use crate::memory;
use crate::rate;

/// How long a request or an answer may take before it counts as slow.
const SLOW_AFTER: time::Duration = time::Duration::from_millis(250);
/// Part of the places that is freed at once when there is none: one in this many. Ending them
/// one by one would mean a search through all of them for each new connection.
const FREED_PART: usize = 64;
/// Rate below which a message makes room for others.
const STALLED_RATE: rate::BytesPerSecond = rate::BytesPerSecond(64.0 * 1024.0);
/// Number of requests that are large to decode and are decoded in the same turn of all tasks.
const LARGE_DECODED_PER_TURN: usize = 4;
/// Number of times that other tasks may run until ended connections have freed their memory.
const MAX_YIELDS: usize = 32;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The first request hasn't begun to arrive.
    New,
    /// A request is arriving.
    Receiving,
    /// A request is running.
    Running,
    /// An answer is being sent.
    Answering,
    /// The connection waits for its next request.
    Idle,
}

/// The order in which connections end when there are too many; the first ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// A request that has been arriving for [`SLOW_AFTER`], or hasn't begun to.
    SlowRequest,
    /// An answer that has been going for as long.
    SlowAnswer,
    /// A connection between two requests: its caller loses least.
    Idle,
    /// A request or an answer that may still be quick.
    Recent,
}

/// The places of all connections of a listener. Clones share them.
#[derive(Debug, Clone)]
pub(super) struct Places {
    shared: rc::Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Maximum number of connections, without those that are ending.
    max: usize,
    budget: memory::Budget,
    overload: overload::Overload,
    entries: cell::RefCell<collections::BTreeMap<u64, rc::Rc<Entry>>>,
    last_id: cell::Cell<u64>,
    /// Number of ended connections that still have their place.
    ending: cell::Cell<usize>,
    /// What ended connections still hold.
    ending_held: cell::Cell<u64>,
    /// The turns of requests that are large to decode.
    large: sync::Semaphore,
}

/// A connection's place. Dropping it frees the place.
#[derive(Debug)]
pub(super) struct Place {
    places: Places,
    id: u64,
    entry: rc::Rc<Entry>,
}

#[derive(Debug)]
struct Entry {
    stage: cell::Cell<Stage>,
    /// When the stage began.
    since: cell::Cell<tokio::time::Instant>,
    /// Bytes of the budget that ending the connection frees.
    held: cell::Cell<u64>,
    pace: cell::Cell<pace::Pace>,
    /// Set with what it held, once it is to end.
    ended: cell::Cell<Option<u64>>,
    end: sync::Notify,
}

impl Places {
    /// Creates places for `max` connections, whose messages take up memory from `budget`.
    pub(super) fn new(max: usize, budget: memory::Budget, overload: overload::Overload) -> Self {
        Self {
            shared: rc::Rc::new(Shared {
                max,
                budget,
                overload,
                entries: cell::RefCell::default(),
                last_id: cell::Cell::new(0),
                ending: cell::Cell::new(0),
                ending_held: cell::Cell::new(0),
                large: sync::Semaphore::new(LARGE_DECODED_PER_TURN),
            }),
        }
    }

    /// Returns the budget of the connections' messages.
    pub(super) fn budget(&self) -> &memory::Budget {
        &self.shared.budget
    }

    pub(super) fn overload(&self) -> &overload::Overload {
        &self.shared.overload
    }

    /// Waits for the turn to decode a large request. While the returned turn is kept, other
    /// large ones wait, and small ones don't.
    pub(super) async fn large_turn(&self) -> Option<sync::SemaphorePermit<'_>> {
        self.shared.large.acquire().await.ok()
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.shared.entries.borrow().len()
    }

    /// Returns a place for a new connection. If all are taken, ends other connections; `None`
    /// if all of those run requests.
    pub(super) fn enter(&self) -> Option<Place> {
        let now = tokio::time::Instant::now();
        let shared = &self.shared;
        if self.len() - shared.ending.get() >= shared.max && !self.end_slowest(now) {
            let open = self.len();
            let cause = overload::Cause::ConnectionClosed;
            shared
                .overload
                .count(cause, format_args!("{open} connections run requests"));
            return None;
        }
        let id = shared.last_id.get() + 1;
        shared.last_id.set(id);
        let entry = rc::Rc::new(Entry {
            stage: cell::Cell::new(Stage::New),
            since: cell::Cell::new(now),
            held: cell::Cell::new(0),
            pace: cell::Cell::new(pace::Pace::start(now)),
            ended: cell::Cell::new(None),
            end: sync::Notify::new(),
        });
        shared.entries.borrow_mut().insert(id, entry.clone());
        Some(Place {
            places: self.clone(),
            id,
            entry,
        })
    }

    /// Ends the connections that go first, as many as [`FREED_PART`] says. Returns whether
    /// there was one.
    fn end_slowest(&self, now: tokio::time::Instant) -> bool {
        let entries = self.shared.entries.borrow();
        let ranked = entries.values().filter_map(|entry| {
            let rank = entry.rank(now)?;
            Some((rank, entry.since.get(), entry))
        });
        let mut ranked: Vec<_> = ranked.collect();
        let Some(first) = ranked.iter().map(|(rank, _, _)| *rank).min() else {
            return false;
        };
        ranked.retain(|(rank, _, _)| *rank == first);
        let count = (self.shared.max / FREED_PART).clamp(1, ranked.len());
        if count < ranked.len() {
            ranked.select_nth_unstable_by_key(count, |(_, since, _)| *since);
        }
        for (_, since, entry) in &ranked[..count] {
            let cause = overload::Cause::EndedForConnections;
            let stage = entry.stage.get();
            let age = (now - *since).as_millis();
            self.end(
                entry,
                cause,
                format_args!("{stage:?} for {age} ms; {} connections", entries.len()),
            );
        }
        true
    }

    /// Makes room for a message that lacks `missing` bytes, by ending connections whose messages
    /// hardly come or go, and more slowly than that of `own`, the message's connection, if it has
    /// a place.
    /// Returns whether it is worth trying again.
    pub(super) async fn make_room(&self, own: Option<&Place>, missing: rate::Bytes) -> bool {
        if !self.end_stalled(own, missing) {
            return false;
        }
        let used = self.budget().used();
        for _ in 0..MAX_YIELDS {
            tokio::task::yield_now().await;
            if self.shared.ending_held.get() == 0 || self.budget().used().0 + missing.0 <= used.0 {
                break;
            }
        }
        true
    }

    /// Ends connections until they have held `missing` bytes together. Returns whether there
    /// was one, or enough of them are ending already.
    fn end_stalled(&self, own: Option<&Place>, missing: rate::Bytes) -> bool {
        let shared = &self.shared;
        let mut freed = shared.ending_held.get();
        if freed >= missing.0 {
            return true;
        }
        let now = tokio::time::Instant::now();
        let own_rate = own.map_or(f64::INFINITY, |place| place.entry.rate(now).0);
        let max_rate = own_rate.min(STALLED_RATE.0);
        let entries = shared.entries.borrow();
        let slower = entries.values().filter_map(|entry| {
            let rate = entry.rate(now).0;
            let may_end = entry.may_end() && entry.held.get() > 0 && rate < max_rate;
            may_end.then_some((rate, entry))
        });
        let mut slower: Vec<_> = slower.collect();
        slower.sort_unstable_by(|(one, _), (other, _)| one.total_cmp(other));
        for (rate, entry) in slower {
            if freed >= missing.0 {
                break;
            }
            let held = rate::Bytes(entry.held.get());
            freed += held.0;
            let stage = entry.stage.get();
            let age = (now - entry.since.get()).as_millis();
            let cause = overload::Cause::EndedForMemory;
            let details = format_args!("{stage:?} for {age} ms, {held} held, {rate:.0} B/s");
            self.end(entry, cause, details);
        }
        freed > 0
    }

    fn end(&self, entry: &Entry, cause: overload::Cause, details: std::fmt::Arguments<'_>) {
        let shared = &self.shared;
        let held = entry.held.get();
        entry.ended.set(Some(held));
        shared.ending.set(shared.ending.get() + 1);
        shared.ending_held.set(shared.ending_held.get() + held);
        entry.end.notify_one();
        shared.overload.count(cause, details);
    }
}

impl Place {
    /// Notes that the connection is now in `stage`, since `now`. Returns whether it wasn't
    /// before.
    pub(super) fn set_stage(&self, stage: Stage, now: tokio::time::Instant) -> bool {
        let is_new = self.entry.stage.replace(stage) != stage;
        if is_new {
            self.entry.since.set(now);
            self.entry.pace.set(pace::Pace::start(now));
        }
        is_new
    }

    /// Notes that a request runs.
    pub(super) fn start_running(&self) {
        self.entry.stage.set(Stage::Running);
    }

    /// Notes how many bytes the connection holds that ending it would free.
    pub(super) fn set_held(&self, held: rate::Bytes) {
        self.entry.held.set(held.0);
    }

    /// Notes how many bytes of the message have been received or sent until `now`.
    pub(super) fn set_moved(&self, moved: rate::Bytes, now: tokio::time::Instant) {
        let pace = &self.entry.pace;
        pace.set(pace.get().moved(moved, now));
    }

    /// Returns whether the connection is to end.
    pub(super) fn is_ended(&self) -> bool {
        self.entry.ended.get().is_some()
    }

    /// Waits until the connection is to end.
    pub(super) async fn ended(&self) {
        if !self.is_ended() {
            self.entry.end.notified().await;
        }
    }

    pub(super) fn places(&self) -> &Places {
        &self.places
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let shared = &self.places.shared;
        shared.entries.borrow_mut().remove(&self.id);
        if let Some(held) = self.entry.ended.get() {
            shared.ending.set(shared.ending.get() - 1);
            shared.ending_held.set(shared.ending_held.get() - held);
        }
    }
}

impl Entry {
    fn may_end(&self) -> bool {
        self.ended.get().is_none() && self.stage.get() != Stage::Running
    }

    fn rank(&self, now: tokio::time::Instant) -> Option<Rank> {
        if !self.may_end() {
            return None;
        }
        let is_slow = now - self.since.get() >= SLOW_AFTER;
        match self.stage.get() {
            Stage::New | Stage::Receiving if is_slow => Some(Rank::SlowRequest),
            Stage::Answering if is_slow => Some(Rank::SlowAnswer),
            Stage::Idle => Some(Rank::Idle),
            Stage::New | Stage::Receiving | Stage::Answering => Some(Rank::Recent),
            Stage::Running => None,
        }
    }

    /// Returns the rate at which the message comes or goes.
    fn rate(&self, now: tokio::time::Instant) -> rate::BytesPerSecond {
        self.pace.get().rate(now)
    }
}
