//! What may be spent on extra calls to one service.

use std::time;

use crate::forward;
use crate::time as clock;

/// Buckets that a window is cut into. Requests of one bucket in this many count
/// for nothing.
const WINDOW: usize = 20;
/// Buckets that are kept: this window, the one before it, and those at their
/// ends that lie in them only in part.
const BUCKETS: usize = 2 * WINDOW + 2;
/// Part of the allowance that is used. A caller's request is counted here when it
/// has come, on its own side when it was sent; buckets at the ends of windows,
/// which count for nothing, cover half a second of that.
const USED: f64 = 0.97;

/// The part of the fleet's allowance that one budget may spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Of the calls that are allowed whatever the load.
    pub fixed: f64,
    /// Of the calls that the requests counted in the budget allow.
    pub share: f64,
}

impl Part {
    /// What one of `vms` VMs may spend where each holds as much as any other.
    pub fn of(vms: usize) -> Self {
        Self {
            fixed: 1.0 / vms.max(1) as f64,
            share: 1.0,
        }
    }
}

/// Counts one service's requests and extra calls over two windows.
///
/// Guards against retry storms: a slow or refusing service would draw more
/// calls the worse it does. Every budget holds to its own part of the allowance,
/// so the sum holds for the fleet whatever VMs know of each other.
///
/// The allowance of a window is a share of the requests in it or in the window
/// before it, whichever has more. Before each extra call, every window that the
/// call lies in is looked at, and half of the requests in both is counted: half
/// of a sum is never more than the greater part, also when the parts of several
/// VMs are added. Counting the last ten seconds whole went over the allowance
/// where requests came in two bursts ten seconds apart: 192 extra calls of 136.
#[derive(Debug, Clone)]
pub struct Budget {
    firsts: [u32; BUCKETS],
    extras: [u32; BUCKETS],
    bucket: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            firsts: [0; BUCKETS],
            extras: [0; BUCKETS],
            bucket: 0,
        }
    }
}

impl Budget {
    /// Counts a request.
    pub fn first(&mut self, policy: &forward::Policy, now: clock::Moment) {
        self.turn(policy.extra_window, now);
        self.firsts[self.place(0)] += 1;
    }

    /// Counts an extra call where `part` of the allowance has room.
    pub fn extra(
        &mut self,
        policy: &forward::Policy,
        part: forward::Part,
        now: clock::Moment,
    ) -> bool {
        if !self.room(policy, part, now) {
            return false;
        }
        self.extras[self.place(0)] += 1;
        true
    }

    /// Takes back an extra call that was counted at `paid` and wasn't made.
    pub fn refund(&mut self, policy: &forward::Policy, paid: clock::Moment, now: clock::Moment) {
        self.turn(policy.extra_window, now);
        let age = self
            .bucket
            .saturating_sub(Self::bucket_of(policy.extra_window, paid));
        if let Some(age) = usize::try_from(age).ok().filter(|age| *age < BUCKETS) {
            let place = self.place(age);
            self.extras[place] = self.extras[place].saturating_sub(1);
        }
    }

    /// Whether an extra call could be made now.
    fn room(&mut self, policy: &forward::Policy, part: forward::Part, now: clock::Moment) -> bool {
        self.turn(policy.extra_window, now);
        let fixed = policy.extra_calls * part.fixed;
        let share = policy.extra_share.get() * part.share;
        let mut extras = 1;
        let mut within = 0;
        let mut before: u32 = (1..WINDOW).map(|age| self.firsts[self.place(age)]).sum();
        // Windows by the bucket that they begin in, the newest first. A window
        // begins anywhere in its bucket: requests in that bucket, and in the one
        // where the window before begins, may lie in neither.
        for age in 0..=WINDOW {
            extras += self.extras[self.place(age)];
            let both = f64::from(within + before);
            let allowed = share * both / 2.0 + fixed;
            if f64::from(extras) > USED * allowed {
                return false;
            }
            within += self.firsts[self.place(age)];
            before += self.firsts[self.place(age + WINDOW)];
            before -= self.firsts[self.place(age + 1)];
        }
        true
    }

    /// The place of the bucket that is `age` buckets old.
    fn place(&self, age: usize) -> usize {
        let at = self.bucket + BUCKETS as u64 - age as u64;
        (at % BUCKETS as u64) as usize
    }

    /// The bucket that a point in time lies in.
    fn bucket_of(window: time::Duration, at: clock::Moment) -> u64 {
        let width = clock::micros(window) / WINDOW as u64;
        at.0 / width.max(1)
    }

    fn turn(&mut self, window: time::Duration, now: clock::Moment) {
        let bucket = Self::bucket_of(window, now);
        let passed = bucket.saturating_sub(self.bucket);
        if passed >= BUCKETS as u64 {
            *self = Self::default();
            self.bucket = bucket;
            return;
        }
        for _ in 0..passed {
            self.bucket += 1;
            let place = self.place(0);
            self.firsts[place] = 0;
            self.extras[place] = 0;
        }
    }
}
