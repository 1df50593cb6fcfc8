//! The timer service: parts subscribe to ticks instead of sleeping themselves.
//!
//! It runs on tokio's clock, so tests with paused time drive every part that
//! subscribes. Periods are jittered per subscription: parts of many VMs that
//! start together would otherwise call the store and each other together.

use std::time;

use tokio::time as clock;
use tokio_util::sync;

/// Hands out subscriptions; cheap to clone. Cancelling it ends them all.
#[derive(Debug, Clone)]
pub struct Service {
    stop: sync::CancellationToken,
}

/// A stream of ticks. Ticks that were missed while the subscriber was busy or
/// the process was paused come once, not one after another.
#[derive(Debug)]
pub struct Subscription {
    interval: clock::Interval,
    stop: sync::CancellationToken,
}

impl Service {
    /// A service whose subscriptions end when `stop` is cancelled.
    pub fn new(stop: sync::CancellationToken) -> Self {
        Self { stop }
    }

    /// Ticks each `period`, the first after `delay`. `period` must not be zero;
    /// zero is taken as one millisecond.
    pub fn every(&self, period: time::Duration, delay: time::Duration) -> Subscription {
        let period = period.max(time::Duration::from_millis(1));
        let mut interval = clock::interval_at(clock::Instant::now() + delay, period);
        interval.set_missed_tick_behavior(clock::MissedTickBehavior::Delay);
        Subscription {
            interval,
            stop: self.stop.clone(),
        }
    }

    /// As [`Self::every`], with a random first delay of up to one period.
    pub fn jittered(&self, period: time::Duration) -> Subscription {
        self.every(period, period.mul_f64(rand::random::<f64>()))
    }

    /// Waits for `span`; false where the service was stopped before.
    pub async fn pause(&self, span: time::Duration) -> bool {
        tokio::select! {
            () = clock::sleep(span) => true,
            () = self.stop.cancelled() => false,
        }
    }

    /// The token that ends the subscriptions.
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
