//! Counts requests in and out, and knows whether the VM is stopping.

use std::sync;

/// Requests that run; clones share one state.
#[derive(Debug, Clone)]
pub struct Gate {
    state: sync::Arc<tokio::sync::watch::Sender<State>>,
    most: u32,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    running: u32,
    stopping: bool,
}

/// A request that was let in; counts itself out when dropped.
#[derive(Debug)]
pub struct Entered {
    gate: Gate,
}

impl Gate {
    /// A gate that lets `most` requests run at once.
    pub fn new(most: u32) -> Self {
        let state = sync::Arc::new(tokio::sync::watch::Sender::new(State::default()));
        Self { state, most }
    }

    /// Lets a request in, where there is room.
    pub fn enter(&self) -> Option<Entered> {
        let entered = self.state.send_if_modified(|state| {
            let room = state.running < self.most;
            state.running += u32::from(room);
            room
        });
        entered.then(|| Entered { gate: self.clone() })
    }

    /// From now on answers ask the caller to close its connection.
    pub fn stop(&self) {
        self.state.send_modify(|state| state.stopping = true);
    }

    /// Whether [`Self::stop`] was called.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.state.borrow().running
    }

    /// Waits until none runs.
    pub async fn idle(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.running == 0).await;
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.gate
            .state
            .send_modify(|state| state.running = state.running.saturating_sub(1));
    }
}
