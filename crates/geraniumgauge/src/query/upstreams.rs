//! State that the searches of one service share on this VM: budgets, call times
//! and replica statistics.

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

/// Maximum tokens of the hedge budget.
pub const MAX_HEDGE_TOKENS: f64 = 32.0;
/// Maximum tokens of the retry budget: losing one home during a wide fan-out
/// fails some tens of calls at once.
pub const MAX_RETRY_TOKENS: f64 = 64.0;

/// State that the searches of one service share. Locks are held briefly, per
/// search or extra call but never per reply.
#[derive(Debug)]
pub struct Upstreams {
    hedge: sync::Mutex<rate::Budget>,
    retry: sync::Mutex<rate::Budget>,
    times: sync::Mutex<times::Times>,
    /// Time after which a call is hedged, in microseconds; zero until enough calls were
    /// recorded.
    hedge_after: atomic::AtomicU64,
    /// Median call time in microseconds; zero until enough calls were recorded.
    typical_call_time: atomic::AtomicU64,
    /// Counter of the round robin.
    turn: atomic::AtomicUsize,
    replicas: sync::Mutex<collections::HashMap<ids::Upstream, sync::Arc<replica::Stats>>>,
}

impl Upstreams {
    /// Creates full budgets with the given shares, and no measured times.
    pub fn new(budgets: &document::Budgets) -> Self {
        Self {
            hedge: sync::Mutex::new(rate::Budget::new(budgets.hedge, MAX_HEDGE_TOKENS)),
            retry: sync::Mutex::new(rate::Budget::new(budgets.retry, MAX_RETRY_TOKENS)),
            times: sync::Mutex::default(),
            hedge_after: atomic::AtomicU64::new(0),
            typical_call_time: atomic::AtomicU64::new(0),
            turn: atomic::AtomicUsize::new(0),
            replicas: sync::Mutex::default(),
        }
    }

    /// Adopts the budgets of a changed document.
    pub fn set_budgets(&self, budgets: &document::Budgets) {
        lock(&self.hedge).set(budgets.hedge, MAX_HEDGE_TOKENS);
        lock(&self.retry).set(budgets.retry, MAX_RETRY_TOKENS);
    }

    /// Adds to the budgets for `count` first attempts.
    pub fn earn(&self, count: usize) {
        lock(&self.hedge).earn(count);
        lock(&self.retry).earn(count);
    }

    /// Takes one hedge from the budget; returns `false` if it is exhausted.
    pub fn spend_hedge(&self) -> bool {
        lock(&self.hedge).spend()
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub fn spend_retry(&self) -> bool {
        lock(&self.retry).spend()
    }

    /// Returns the time after which a call is hedged; `None` until enough calls are
    /// measured.
    pub fn hedge_after(&self) -> Option<time::Duration> {
        known(&self.hedge_after)
    }

    /// Returns the median call time; `None` until enough calls are measured.
    pub fn call_time(&self) -> Option<time::Duration> {
        known(&self.typical_call_time)
    }

    /// Records the shard call times of one search.
    pub fn record_call_times(
        &self,
        call_times: &[time::Duration],
        budgets: &document::Budgets,
        now: clock::Moment,
    ) {
        let mut times = lock(&self.times);
        times.record(call_times, now);
        let Some(quantiles) = times.quantiles(budgets, now) else {
            return;
        };
        store(&self.hedge_after, quantiles.hedge);
        store(&self.typical_call_time, quantiles.typical_call_time);
    }

    /// Returns the next number of a round robin.
    pub fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Returns the statistics of `upstream`, which survive changes of the layout.
    pub fn stats(&self, upstream: &ids::Upstream) -> sync::Arc<replica::Stats> {
        let mut replicas = lock(&self.replicas);
        if let Some(known) = replicas.get(upstream) {
            return known.clone();
        }
        let stats = sync::Arc::<replica::Stats>::default();
        replicas.insert(upstream.clone(), stats.clone());
        stats
    }

    /// Returns the statistics of `upstream`, if there are any.
    pub fn known_stats(&self, upstream: &ids::Upstream) -> Option<sync::Arc<replica::Stats>> {
        lock(&self.replicas).get(upstream).cloned()
    }

    /// Removes the statistics of upstreams that `keep` rejects.
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
