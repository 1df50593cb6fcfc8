//! Limits the number of running requests and records whether the VM is stopping.

use std::sync;

/// Counter of the running requests and the stop flag; clones share one state.
#[derive(Debug, Clone)]
pub struct Gate {
    state: sync::Arc<tokio::sync::watch::Sender<State>>,
    max_running: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    running: u32,
    stopping: bool,
}

/// Permit of an admitted request. Dropping it ends the request in the count.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
}

impl Gate {
    /// Returns a gate that admits at most `max_running` requests at once.
    pub fn new(max_running: u32) -> Self {
        let state = sync::Arc::new(tokio::sync::watch::Sender::new(State::default()));
        Self { state, max_running }
    }

    /// Admits a request, or returns `None` when the limit is reached.
    pub fn enter(&self) -> Option<Permit> {
        let admitted = self.state.send_if_modified(|state| {
            let below_limit = state.running < self.max_running;
            state.running += u32::from(below_limit);
            below_limit
        });
        admitted.then(|| Permit { gate: self.clone() })
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

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.state.borrow().running
    }

    /// Waits until no request is running.
    pub async fn idle(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.running == 0).await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate
            .state
            .send_modify(|state| state.running = state.running.saturating_sub(1));
    }
}
