//! What the searches of one service share at this entry: budgets, call times,
//! what was seen of its replicas.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::document;
use crate::ids;
use crate::query::replica;
use crate::query::times;
use crate::rate;
use crate::time as clock;

/// Tokens that the hedge budget holds at most.
pub const HEDGE_CAP: f64 = 32.0;
/// Tokens that the retry budget holds at most: one home lost under a wide
/// fan-out takes some tens of calls at once.
pub const RETRY_CAP: f64 = 64.0;

/// What the searches of one service share. Locks are held for a few
/// instructions, once a search or once an extra call, never once a reply.
#[derive(Debug)]
pub struct Fleet {
    hedge: sync::Mutex<rate::Budget>,
    retry: sync::Mutex<rate::Budget>,
    times: sync::Mutex<times::Times>,
    hedge_after: atomic::AtomicU64,
    typical: atomic::AtomicU64,
    turn: atomic::AtomicUsize,
    replicas: sync::Mutex<collections::HashMap<ids::Upstream, sync::Arc<replica::Stats>>>,
}

impl Fleet {
    /// Full budgets of the given shares; no times measured yet.
    pub fn new(budgets: &document::Budgets) -> Self {
        Self {
            hedge: sync::Mutex::new(rate::Budget::new(budgets.hedge, HEDGE_CAP)),
            retry: sync::Mutex::new(rate::Budget::new(budgets.retry, RETRY_CAP)),
            times: sync::Mutex::default(),
            hedge_after: atomic::AtomicU64::new(0),
            typical: atomic::AtomicU64::new(0),
            turn: atomic::AtomicUsize::new(0),
            replicas: sync::Mutex::default(),
        }
    }

    /// Follows a changed document.
    pub fn set(&self, budgets: &document::Budgets) {
        lock(&self.hedge).set(budgets.hedge, HEDGE_CAP);
        lock(&self.retry).set(budgets.retry, RETRY_CAP);
    }

    /// Earns for first attempts.
    pub fn earn(&self, count: usize) {
        lock(&self.hedge).earn(count);
        lock(&self.retry).earn(count);
    }

    /// Pays for one hedge.
    pub fn hedge(&self) -> bool {
        lock(&self.hedge).spend()
    }

    /// Pays for one retry.
    pub fn retry(&self) -> bool {
        lock(&self.retry).spend()
    }

    /// When a call is hedged; `None` while too few are measured.
    pub fn hedge_after(&self) -> Option<time::Duration> {
        known(&self.hedge_after)
    }

    /// The median call time; `None` while too few are measured.
    pub fn typical(&self) -> Option<time::Duration> {
        known(&self.typical)
    }

    /// Counts the shard call times of one search.
    pub fn measured(
        &self,
        spans: &[time::Duration],
        budgets: &document::Budgets,
        now: clock::Moment,
    ) {
        let mut times = lock(&self.times);
        times.record(spans, now);
        let Some(points) = times.points(budgets, now) else {
            return;
        };
        store(&self.hedge_after, points.hedge);
        store(&self.typical, points.typical);
    }

    /// The next turn, for round robin.
    pub fn turn(&self) -> usize {
        self.turn.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// What was seen of `upstream`; kept over changes of the layout.
    pub fn stats(&self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        let mut replicas = lock(&self.replicas);
        if let Some(known) = replicas.get(upstream) {
            return known.clone();
        }
        let stats = sync::Arc::<replica::Stats>::default();
        replicas.insert(upstream.clone(), stats.clone());
        stats
    }

    /// Forgets upstreams that `keep` doesn't name.
    pub fn retain(&self, keep: impl Fn(&ids::Upstream) -> bool) {
        lock(&self.replicas).retain(|upstream, _| keep(upstream));
    }
}

fn known(micros: &atomic::AtomicU64) -> Option<time::Duration> {
    let micros = micros.load(atomic::Ordering::Relaxed);
    (micros > 0).then(|| time::Duration::from_micros(micros))
}

fn store(micros: &atomic::AtomicU64, span: time::Duration) {
    micros.store(clock::micros(span).max(1), atomic::Ordering::Relaxed);
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
