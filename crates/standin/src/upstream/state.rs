//! State of an upstream: slots, running requests, faults, counts and the log of
//! registrations that ran.

use std::collections;
use std::sync;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use tokio_util::sync::CancellationToken;

use crate::upstream;

/// Counts since the start, kept across crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Searches that started to run.
    pub started: u64,
    /// Searches that ran to their end.
    pub finished: u64,
    /// Searches and registrations stopped by `DELETE /requests/{id}`.
    pub cancelled: u64,
    /// Searches and registrations refused as shed.
    pub shed: u64,
    /// Searches and registrations refused while draining.
    pub refused_draining: u64,
    /// Searches and registrations that arrived while draining.
    pub arrived_draining: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Waiting and running requests that were ended by a crash.
    pub cut: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections refused because the limit was reached.
    pub connections_refused: u64,
    /// Maximum number of connections open at the same time.
    pub connections_peak: u64,
    /// Maximum number of requests at the same time, including waiting ones.
    pub running_peak: u64,
}

impl Counts {
    /// Adds another upstream's counts; a peak becomes the higher of the two.
    pub fn add(&mut self, other: &Self) {
        self.started += other.started;
        self.finished += other.finished;
        self.cancelled += other.cancelled;
        self.shed += other.shed;
        self.refused_draining += other.refused_draining;
        self.arrived_draining += other.arrived_draining;
        self.crashes += other.crashes;
        self.cut += other.cut;
        self.connections += other.connections;
        self.connections_refused += other.connections_refused;
        self.connections_peak = self.connections_peak.max(other.connections_peak);
        self.running_peak = self.running_peak.max(other.running_peak);
    }

    /// Returns the number of searches that started to run, plus all searches and
    /// registrations that were refused as shed or draining.
    pub fn arrived(&self) -> u64 {
        self.started + self.shed + self.refused_draining
    }
}

/// A registration that ran at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// The registration's idempotency key; empty if the request had none.
    pub key: String,
    /// Id of the call (`Request-Id`), which the VM makes from the id of the caller's request.
    pub request: String,
    /// The shard that it ran on.
    pub shard: String,
}

/// An upstream's state, shared by all connections.
#[derive(Debug)]
pub struct State {
    pub(super) config: upstream::Config,
    pub(super) slots: tokio::sync::Semaphore,
    faults: sync::RwLock<upstream::Faults>,
    counts: sync::Mutex<Counts>,
    runs: sync::Mutex<Vec<Run>>,
    process: sync::Mutex<Process>,
    random: sync::Mutex<rand::rngs::StdRng>,
}

/// State of the simulated process, reset by a restart.
#[derive(Debug)]
struct Process {
    /// Cancelled when the process crashes or the upstream is stopped.
    stop: CancellationToken,
    started: tokio::time::Instant,
    connections: u64,
    /// Cancellation tokens of the waiting and running requests, by request id.
    requests: collections::HashMap<String, CancellationToken>,
    /// Connections opened before this time get no more replies.
    silent_before: Option<tokio::time::Instant>,
    draining_since: Option<tokio::time::Instant>,
}

impl State {
    pub(super) fn new(config: upstream::Config) -> Self {
        let process = Process {
            stop: CancellationToken::new(),
            started: tokio::time::Instant::now(),
            connections: 0,
            requests: collections::HashMap::new(),
            silent_before: None,
            draining_since: None,
        };
        Self {
            slots: tokio::sync::Semaphore::new(config.slots as usize),
            random: sync::Mutex::new(rand::rngs::StdRng::seed_from_u64(config.seed)),
            faults: sync::RwLock::default(),
            counts: sync::Mutex::default(),
            runs: sync::Mutex::default(),
            process: sync::Mutex::new(process),
            config,
        }
    }

    /// Returns the configuration that it was started with.
    pub fn config(&self) -> &upstream::Config {
        &self.config
    }

    /// Returns the current faults.
    pub fn faults(&self) -> upstream::Faults {
        self.faults
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut upstream::Faults)) {
        let mut faults = self
            .faults
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        change(&mut faults);
        let now = tokio::time::Instant::now();
        let mut process = lock(&self.process);
        if std::mem::take(&mut faults.silence_open) {
            process.silent_before = Some(now);
        }
        process.draining_since = match (faults.draining, process.draining_since) {
            (false, _) => None,
            (true, since) => since.or(Some(now)),
        };
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Returns the registrations that ran, in the order in which they started.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Returns the number of requests that are waiting or running.
    pub fn running(&self) -> usize {
        lock(&self.process).requests.len()
    }

    /// Returns how long it has been draining, or `None` if it isn't.
    pub fn draining_for(&self) -> Option<time::Duration> {
        lock(&self.process)
            .draining_since
            .map(|since| since.elapsed())
    }

    /// Crashes the simulated process: all its requests and connections end at once. Does
    /// nothing if it has crashed and not yet restarted.
    pub fn crash(&self) {
        let process = lock(&self.process);
        if !process.stop.is_cancelled() {
            self.end(process);
        }
    }

    /// Crashes the simulated process under one of its requests. Returns false if the
    /// request's process is gone, which runs nothing any more.
    pub(super) fn crash_under(&self, id: &str) -> bool {
        let process = lock(&self.process);
        let runs = !process.stop.is_cancelled() && process.requests.contains_key(id);
        if runs {
            self.end(process);
        }
        runs
    }

    fn end(&self, mut process: sync::MutexGuard<'_, Process>) {
        let cut = process.requests.len() as u64;
        process.requests.clear();
        process.connections = 0;
        process.stop.cancel();
        drop(process);
        self.count(|counts| {
            counts.crashes += 1;
            counts.cut += cut;
        });
    }

    /// Resets the simulated process; `stop` is what a crash cancels.
    pub(super) fn restart(&self, stop: CancellationToken) {
        let mut process = lock(&self.process);
        process.stop = stop;
        process.started = tokio::time::Instant::now();
        process.connections = 0;
        process.requests.clear();
        process.silent_before = None;
    }

    /// Returns whether the process has crashed and not yet restarted.
    pub(super) fn is_crashed(&self) -> bool {
        lock(&self.process).stop.is_cancelled()
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut lock(&self.counts));
    }

    pub(super) fn log_run(&self, run: Run) {
        lock(&self.runs).push(run);
    }

    /// Counts a new connection; returns false if the limit is reached.
    pub(super) fn open_connection(&self) -> bool {
        let mut process = lock(&self.process);
        if process.connections >= u64::from(self.config.connections) {
            drop(process);
            self.count(|counts| counts.connections_refused += 1);
            return false;
        }
        process.connections += 1;
        let open = process.connections;
        drop(process);
        self.count(|counts| {
            counts.connections += 1;
            counts.connections_peak = counts.connections_peak.max(open);
        });
        true
    }

    pub(super) fn close_connection(&self) {
        let mut process = lock(&self.process);
        process.connections = process.connections.saturating_sub(1);
    }

    /// Returns whether a connection opened at `opened` gets no replies.
    pub(super) fn is_silent(&self, opened: tokio::time::Instant) -> bool {
        self.faults().silent
            || lock(&self.process)
                .silent_before
                .is_some_and(|before| opened < before)
    }

    /// Admits a request and returns its cancellation token, or `None` if slots and queue
    /// are full.
    pub(super) fn admit(&self, id: &str) -> Option<CancellationToken> {
        let capacity = self.config.slots + self.config.queue;
        let mut process = lock(&self.process);
        if process.requests.len() >= capacity as usize {
            return None;
        }
        let cancel = process.stop.child_token();
        process.requests.insert(id.to_owned(), cancel.clone());
        let running = process.requests.len() as u64;
        drop(process);
        self.count(|counts| counts.running_peak = counts.running_peak.max(running));
        Some(cancel)
    }

    pub(super) fn remove_request(&self, id: &str) {
        lock(&self.process).requests.remove(id);
    }

    /// Cancels a request; returns false if there is none with this id.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let found = lock(&self.process).requests.get(id).cloned();
        let Some(cancel) = found else { return false };
        cancel.cancel();
        true
    }

    /// Returns true with probability `share`.
    pub(super) fn chance(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.random).random::<f64>() < share
    }

    /// Draws the running time of a request: 0.5 to 1.5 times the median, multiplied for
    /// stragglers and after a cold start, plus the configured delay.
    pub(super) fn running_time(&self) -> time::Duration {
        let faults = self.faults();
        let spread = 0.5 + lock(&self.random).random::<f64>();
        let is_straggler = self.chance(faults.straggler_share);
        let straggler_factor = if is_straggler {
            faults.straggler_factor
        } else {
            1.0
        };
        let millis = self.config.median_running_time_ms
            * spread
            * straggler_factor
            * self.cold_start_factor(&faults);
        time::Duration::from_secs_f64((millis + faults.delay_ms as f64) / 1e3)
    }

    /// Returns the factor on running times after a start, which falls linearly from
    /// `cold_factor` to 1 over `cold_ms`.
    fn cold_start_factor(&self, faults: &upstream::Faults) -> f64 {
        if faults.cold_ms == 0 {
            return 1.0;
        }
        let elapsed_ms = lock(&self.process).started.elapsed().as_secs_f64() * 1e3;
        let remaining = (1.0 - elapsed_ms / faults.cold_ms as f64).max(0.0);
        1.0 + (faults.cold_factor - 1.0) * remaining
    }

    /// Returns whether requests still run longer because of a recent start.
    pub(super) fn is_cold(&self) -> bool {
        self.cold_start_factor(&self.faults()) > 1.0
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
