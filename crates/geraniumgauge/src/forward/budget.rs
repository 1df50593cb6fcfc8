//! What may be spent on extra calls to one service.

use std::time;

use crate::forward;
use crate::time as clock;

/// Buckets that a window is counted in. One more than the window holds, so that
/// any span of its length lies within what is counted.
const BUCKETS: usize = 11;
/// Part of the allowance that is used. The rest covers requests that were
/// counted here but whose caller is counted a moment earlier.
const USED: f64 = 0.9;

/// Counts one service's requests and extra calls over a sliding window.
///
/// Guards against retry storms: a slow or refusing service would draw more
/// calls the worse it does. Every VM holds to its own part of the allowance,
/// so the sum holds for the fleet without any message between VMs.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    firsts: [u32; BUCKETS],
    extras: [u32; BUCKETS],
    bucket: u64,
}

impl Budget {
    /// Counts a request.
    pub fn first(&mut self, policy: &forward::Policy, now: clock::Moment) {
        self.turn(policy.extra_window, now);
        self.firsts[self.place()] += 1;
    }

    /// Counts an extra call where the allowance of one of `vms` VMs has room.
    pub fn extra(&mut self, policy: &forward::Policy, vms: usize, now: clock::Moment) -> bool {
        if !self.room(policy, vms, now) {
            return false;
        }
        self.extras[self.place()] += 1;
        true
    }

    /// Whether an extra call could be made now.
    pub fn room(&mut self, policy: &forward::Policy, vms: usize, now: clock::Moment) -> bool {
        self.turn(policy.extra_window, now);
        let oldest = (self.place() + 1) % BUCKETS;
        // Requests of the oldest bucket may lie outside the window already.
        let firsts: u32 = self.firsts.iter().sum::<u32>() - self.firsts[oldest];
        let extras: u32 = self.extras.iter().sum();
        let share = policy.extra_share.get() * f64::from(firsts);
        let allowed = USED * (share + policy.extra_calls / vms.max(1) as f64);
        f64::from(extras) + 1.0 <= allowed
    }

    fn place(&self) -> usize {
        (self.bucket % BUCKETS as u64) as usize
    }

    fn turn(&mut self, window: time::Duration, now: clock::Moment) {
        let width = clock::micros(window) / (BUCKETS as u64 - 1);
        let bucket = now.0 / width.max(1);
        let passed = bucket.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 1..=passed {
            let place = ((self.bucket + step) % BUCKETS as u64) as usize;
            self.firsts[place] = 0;
            self.extras[place] = 0;
        }
        if passed == BUCKETS as u64 {
            *self = Self::default();
        }
        self.bucket = self.bucket.max(bucket);
    }
}
