//! The timer service: modules subscribe to periodic ticks.
//!
//! It runs on tokio's clock, so tests with paused time control all subscribers. The
//! first tick can be jittered: otherwise VMs that start at the same time would call
//! the store and each other at the same time.

use std::time;

use tokio::time as clock;
use tokio_util::sync;

/// Creates subscriptions, which all end when its token is cancelled. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Service {
    stop: sync::CancellationToken,
}

/// A stream of ticks. Ticks that were missed while the subscriber was busy or the
/// process was paused are delivered as a single one.
#[derive(Debug)]
pub struct Subscription {
    interval: clock::Interval,
    stop: sync::CancellationToken,
}

impl Service {
    /// Creates a service whose subscriptions end when `stop` is cancelled.
    pub fn new(stop: sync::CancellationToken) -> Self {
        Self { stop }
    }

    /// Subscribes to a tick every `period`, the first after `delay`. A `period` below
    /// one millisecond is raised to that.
    pub fn every(&self, period: time::Duration, delay: time::Duration) -> Subscription {
        let period = period.max(time::Duration::from_millis(1));
        let mut interval = clock::interval_at(clock::Instant::now() + delay, period);
        interval.set_missed_tick_behavior(clock::MissedTickBehavior::Delay);
        Subscription {
            interval,
            stop: self.stop.clone(),
        }
    }

    /// Like [`Self::every`], with a random first delay of up to one period.
    pub fn jittered(&self, period: time::Duration) -> Subscription {
        self.every(period, period.mul_f64(rand::random::<f64>()))
    }

    /// Waits for `span`; false if the service is stopped before it has passed.
    pub async fn sleep(&self, span: time::Duration) -> bool {
        tokio::select! {
            () = clock::sleep(span) => true,
            () = self.stop.cancelled() => false,
        }
    }

    /// Returns the token that ends the subscriptions.
    pub fn stop(&self) -> &sync::CancellationToken {
        &self.stop
    }
}

impl Subscription {
    /// Waits for the next tick; `None` once the service is stopped.
    pub async fn tick(&mut self) -> Option<()> {
        tokio::select! {
            _ = self.interval.tick() => Some(()),
            () = self.stop.cancelled() => None,
        }
    }
}

#[cfg(test)]
mod tests;
