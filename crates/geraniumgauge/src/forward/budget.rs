//! Limits the extra calls to one service.

use std::time;

use crate::forward;
use crate::time as clock;

/// Number of buckets that a window is divided into. The requests of one bucket
/// per window aren't counted.
const WINDOW_BUCKETS: usize = 20;
/// Number of buckets that are kept: the current window, the previous one, and
/// the partially covered buckets at their ends.
const BUCKETS: usize = 2 * WINDOW_BUCKETS + 2;
/// Number of buckets by which an extra call may arrive late without passing the allowance
/// even if no more requests come meanwhile: half a window.
const LATE_BUCKETS: usize = WINDOW_BUCKETS / 2;
/// Share of the allowance that is used. A request is counted here when it
/// arrives, but on the caller's side when it was sent. The uncounted buckets at
/// the ends of a window make up for half a second of that difference.
const USABLE_SHARE: f64 = 0.97;

/// Share of the fleet's allowance that one budget may spend.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// This budget's fraction of [`forward::Policy::extra_calls`], which are allowed
    /// at any load.
    pub fixed: f64,
    /// This budget's factor on [`forward::Policy::extra_share`], which is applied to
    /// the requests that the budget counted.
    pub proportional: f64,
}

impl Share {
    /// Returns the smaller fraction and the smaller factor of both.
    pub fn min(self, other: Self) -> Self {
        Self {
            fixed: self.fixed.min(other.fixed),
            proportional: self.proportional.min(other.proportional),
        }
    }

    /// Returns the share of one of `vms` VMs among which the allowance is
    /// divided evenly.
    pub fn of(vms: usize) -> Self {
        Self {
            fixed: 1.0 / vms.max(1) as f64,
            proportional: 1.0,
        }
    }
}

/// How full the last window of a budget is.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(derive_more::Display)]
#[display("{arrived}+{in_transit}/{allowed:.1}")]
pub struct Usage {
    /// Number of extra calls that have arrived within the window.
    pub arrived: u32,
    /// Number of extra calls that may still arrive.
    pub in_transit: u32,
    /// Number of extra calls that the budget may spend in the window.
    pub allowed: f64,
}

impl Usage {
    /// Returns the extra calls of the window as a share of those allowed.
    pub fn used(&self) -> f64 {
        f64::from(self.arrived + self.in_transit) / self.allowed.max(f64::MIN_POSITIVE)
    }
}

/// Counts one service's requests and extra calls over two windows.
///
/// Guards against retry storms, in which a slow or refusing service draws more
/// calls the worse it gets. Each budget stays within its own share of the
/// allowance, so the fleet stays within the sum even if VMs don't know of each
/// other.
///
/// The allowance of a window is a share of the requests in that window or in
/// the previous one, whichever has more. A window may begin at any time, so
/// each extra call must be allowed in every window that contains it. It counts
/// when it arrives, which is only known to be between its charge and
/// [`Budget::arrived`], so it counts in every window that contains a part of
/// that time.
///
/// A budget allows a share of the mean of a window's requests and those of the
/// window before it. It uses the mean instead of the larger count because the
/// sum of all VMs' means never exceeds the larger of the fleet's two counts,
/// whereas the sum of their larger counts may.
///
/// Allowing a share of all requests of the last ten seconds instead would
/// allow too many extra calls when requests come in two bursts ten seconds
/// apart, e.g. 192 instead of 136.
#[derive(Debug, Clone)]
pub struct Budget {
    requests: [u32; BUCKETS],
    /// Extra calls by the time at which they had arrived.
    extras: [u32; BUCKETS],
    /// Number of extra calls that may not have arrived yet.
    in_transit: u32,
    bucket: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            requests: [0; BUCKETS],
            extras: [0; BUCKETS],
            in_transit: 0,
            bucket: 0,
        }
    }
}

impl Budget {
    /// Counts a request.
    pub fn count_request(&mut self, policy: &forward::Policy, now: clock::Moment) {
        self.advance(policy.extra_window, now);
        self.requests[self.index(0)] += 1;
    }

    /// Charges an extra call if it fits into `share` of the allowance. Returns
    /// whether it does. Until [`Self::arrived`] or [`Self::refund`], the call
    /// counts in every window.
    pub fn take_extra(
        &mut self,
        policy: &forward::Policy,
        share: Share,
        now: clock::Moment,
    ) -> bool {
        if !self.has_capacity(policy, share, now) {
            return false;
        }
        self.in_transit += 1;
        true
    }

    /// Handles the arrival of an extra call, which may have been earlier.
    pub fn arrived(&mut self, policy: &forward::Policy, now: clock::Moment) {
        self.advance(policy.extra_window, now);
        self.in_transit = self.in_transit.saturating_sub(1);
        self.extras[self.index(0)] += 1;
    }

    /// Counts extra calls that have arrived without a charge, even beyond the allowance.
    pub fn add_uncharged(&mut self, calls: u32, policy: &forward::Policy, now: clock::Moment) {
        self.advance(policy.extra_window, now);
        self.extras[self.index(0)] += calls;
    }

    /// Removes an extra call that was charged but not made.
    pub fn refund(&mut self) {
        self.in_transit = self.in_transit.saturating_sub(1);
    }

    /// Returns the numbers of extra calls that have arrived in the last window, and that may
    /// still arrive.
    pub fn spent(&mut self, policy: &forward::Policy, now: clock::Moment) -> (u32, u32) {
        let usage = self.usage(policy, Share::default(), now);
        (usage.arrived, usage.in_transit)
    }

    /// Returns how full the last window is if the budget has `share` of the allowance.
    pub fn usage(&mut self, policy: &forward::Policy, share: Share, now: clock::Moment) -> Usage {
        self.advance(policy.extra_window, now);
        let sum = |counts: &[u32; BUCKETS], ages: std::ops::Range<usize>| -> u32 {
            ages.map(|age| counts[self.index(age)]).sum()
        };
        let ratio = policy.extra_share.get() * share.proportional;
        let requests = f64::from(sum(&self.requests, 0..2 * WINDOW_BUCKETS));
        let allowed = ratio * requests / 2.0 + policy.extra_calls * share.fixed;
        Usage {
            // The oldest bucket lies in the window only in part.
            arrived: sum(&self.extras, 0..WINDOW_BUCKETS + 1),
            in_transit: self.in_transit,
            allowed: USABLE_SHARE * allowed,
        }
    }

    /// Returns whether an extra call may be made now.
    fn has_capacity(&mut self, policy: &forward::Policy, share: Share, now: clock::Moment) -> bool {
        self.advance(policy.extra_window, now);
        let fixed = policy.extra_calls * share.fixed;
        let ratio = policy.extra_share.get() * share.proportional;
        let mut extras = 1 + self.in_transit;
        // All calls in transit may arrive in a later window, to which only these requests
        // are sure to count.
        let recent: u32 = (0..LATE_BUCKETS)
            .map(|age| self.requests[self.index(age)])
            .sum();
        if f64::from(extras) > USABLE_SHARE * (ratio * f64::from(recent) / 2.0 + fixed) {
            return false;
        }
        let mut requests_within = 0;
        let mut requests_before: u32 = (1..WINDOW_BUCKETS)
            .map(|age| self.requests[self.index(age)])
            .sum();
        // Checks the windows in the order of their first buckets, newest first.
        // A window begins anywhere within its first bucket, so requests in that
        // bucket, and in the first bucket of the previous window, may lie in
        // neither window.
        for age in 0..=WINDOW_BUCKETS {
            extras += self.extras[self.index(age)];
            let requests_in_both = f64::from(requests_within + requests_before);
            let allowed = ratio * requests_in_both / 2.0 + fixed;
            if f64::from(extras) > USABLE_SHARE * allowed {
                return false;
            }
            requests_within += self.requests[self.index(age)];
            requests_before += self.requests[self.index(age + WINDOW_BUCKETS)];
            requests_before -= self.requests[self.index(age + 1)];
        }
        true
    }

    /// Returns the index of the bucket that is `age` buckets old.
    fn index(&self, age: usize) -> usize {
        let at = self.bucket + BUCKETS as u64 - age as u64;
        (at % BUCKETS as u64) as usize
    }

    /// Returns the number of the bucket that contains a point in time.
    fn bucket_of(window: time::Duration, at: clock::Moment) -> u64 {
        let width = clock::micros(window) / WINDOW_BUCKETS as u64;
        at.0 / width.max(1)
    }

    fn advance(&mut self, window: time::Duration, now: clock::Moment) {
        let bucket = Self::bucket_of(window, now);
        let passed = bucket.saturating_sub(self.bucket);
        if passed >= BUCKETS as u64 {
            *self = Self {
                in_transit: self.in_transit,
                bucket,
                ..Self::default()
            };
            return;
        }
        for _ in 0..passed {
            self.bucket += 1;
            let index = self.index(0);
            self.requests[index] = 0;
            self.extras[index] = 0;
        }
    }
}
