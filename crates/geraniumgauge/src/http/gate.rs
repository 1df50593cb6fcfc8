//! Limits the number of running requests and records whether the VM is stopping.

use std::sync;
use std::sync::atomic;

/// Counter of the running requests and the stop flag; clones share one state.
#[derive(Debug, Clone)]
pub struct Gate {
    state: sync::Arc<tokio::sync::watch::Sender<State>>,
    max_running: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    /// Number of requests that are received or run.
    inside: u32,
    /// Number of those that run.
    running: u32,
    stopping: bool,
}

/// Permit of an admitted request. Dropping it ends the request in the count.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    is_running: atomic::AtomicBool,
}

impl Gate {
    /// Returns a gate that lets at most `max_running` requests run at once.
    pub fn new(max_running: u32) -> Self {
        let state = sync::Arc::new(tokio::sync::watch::Sender::new(State::default()));
        Self { state, max_running }
    }

    /// Admits a request that is received first, or returns `None` when so many run already that
    /// it couldn't.
    pub fn enter(&self) -> Option<Permit> {
        let admitted = self.state.send_if_modified(|state| {
            let below_limit = state.running < self.max_running;
            state.inside += u32::from(below_limit);
            below_limit
        });
        admitted.then(|| Permit {
            gate: self.clone(),
            is_running: atomic::AtomicBool::new(false),
        })
    }

    /// Marks the VM as stopping: from now on answers ask the caller to close its
    /// connection.
    pub fn stop(&self) {
        self.state.send_modify(|state| state.stopping = true);
    }

    /// Returns whether [`Self::stop`] was called.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping
    }

    /// Returns the number of requests that are received or run.
    pub fn inside(&self) -> u32 {
        self.state.borrow().inside
    }

    /// Waits until no request is received or runs.
    pub async fn idle(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.inside == 0).await;
    }
}

impl Permit {
    /// Starts to run the request once it is received. Returns whether the limit allows it; a
    /// caller that sends its request slowly doesn't count towards the limit until then.
    pub fn start(&self) -> bool {
        let started = self.gate.state.send_if_modified(|state| {
            let below_limit = state.running < self.gate.max_running;
            state.running += u32::from(below_limit);
            below_limit
        });
        self.is_running.store(started, atomic::Ordering::Relaxed);
        started
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let was_running = *self.is_running.get_mut();
        self.gate.state.send_modify(|state| {
            state.inside = state.inside.saturating_sub(1);
            state.running = state.running.saturating_sub(u32::from(was_running));
        });
    }
}
