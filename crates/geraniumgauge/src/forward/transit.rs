//! Tracks the extra calls that may not have arrived at their upstream yet.
//!
//! The allowance limits the extra calls that arrive at a service in a window,
//! whenever they were sent. An upstream that stops reading gets everything that
//! was written to its sockets meanwhile when it goes on, even calls that were
//! given up long before. Therefore a budget is charged for an extra call until
//! the call is known to have arrived: by a reply to it, or by a reply of its
//! upstream to a call that was sent after it was given up.
//!
//! Of a part's calls, the first one to *arrive* isn't extra. If a first call
//! waits at a silent upstream and its hedge is answered, the first call is the
//! one that arrives as an extra call. Therefore a charge lasts until all calls
//! of the part but one are known to have arrived.

use std::collections;
use std::time;

use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// Time after which an upstream that hasn't answered counts as dead, so that
/// calls to it don't arrive any more. Upstreams that are paused for longer than
/// this are replaced by their operators.
pub(super) const MAX_SILENCE: time::Duration = time::Duration::from_secs(30);

/// The charges of a part's extra calls.
#[derive(Debug, Default)]
struct Group {
    /// Charges for calls that may not have arrived.
    charges: Vec<forward::Charge>,
    /// Number of the part's calls that may not have arrived.
    open: usize,
}

/// A call that was given up without a reply.
#[derive(Debug)]
struct Held {
    group: u64,
    since: clock::Moment,
}

/// Charges that this VM is relieved of.
#[derive(Debug, Default, PartialEq)]
pub struct Settled {
    /// Charges for extra calls that have arrived, as far as is known.
    pub arrived: Vec<forward::Charge>,
    /// Charges for calls that weren't made.
    pub not_made: Vec<forward::Charge>,
}

/// The extra calls charged to this VM that may not have arrived.
#[derive(Debug, Default)]
pub struct Transit {
    groups: collections::HashMap<u64, Group>,
    by_call: collections::HashMap<ids::Attempt, u64>,
    /// Calls that were given up without a reply, by upstream.
    held: collections::HashMap<registry::Handle, Vec<Held>>,
    last_group: u64,
}

impl Transit {
    /// Adds an extra call. `earlier` are the part's other calls that have no
    /// reply yet.
    pub fn add(
        &mut self,
        call: ids::Attempt,
        charge: forward::Charge,
        earlier: impl IntoIterator<Item = ids::Attempt>,
    ) {
        let earlier: Vec<ids::Attempt> = earlier.into_iter().collect();
        let known = earlier.iter().find_map(|call| self.by_call.get(call));
        let id = known.copied().unwrap_or_else(|| self.new_group());
        for call in earlier.into_iter().chain([call]) {
            if self.by_call.insert(call, id).is_none() {
                self.group(id).open += 1;
            }
        }
        self.group(id).charges.push(charge);
    }

    /// Adds an extra call that this VM makes for another one. `earlier` are the
    /// upstreams at which the part's other calls may still be waiting.
    pub fn add_for_other(
        &mut self,
        call: ids::Attempt,
        charge: forward::Charge,
        earlier: &[registry::Handle],
        now: clock::Moment,
    ) {
        self.add(call, charge, []);
        let id = self.last_group;
        self.group(id).open += earlier.len();
        for upstream in earlier {
            let held = Held {
                group: id,
                since: now,
            };
            self.held.entry(*upstream).or_default().push(held);
        }
    }

    /// Returns the last charge for the extra calls of a call's part.
    pub fn charge(&self, call: ids::Attempt) -> Option<&forward::Charge> {
        let group = self.groups.get(self.by_call.get(&call)?)?;
        group.charges.last()
    }

    /// Handles a call that has arrived or never will.
    pub fn ended(&mut self, call: ids::Attempt) -> Settled {
        let mut settled = Settled::default();
        if let Some(id) = self.by_call.remove(&call) {
            self.settle_one(id, &mut settled.arrived);
        }
        settled
    }

    /// Handles a call that wasn't made: one call less of its part is extra.
    pub fn not_made(&mut self, call: ids::Attempt) -> Settled {
        let mut settled = Settled::default();
        if let Some(id) = self.by_call.remove(&call) {
            settled.not_made.extend(self.group(id).charges.pop());
            self.settle_one(id, &mut settled.arrived);
        }
        settled
    }

    /// Handles a call that was given up without a reply: it stays charged until
    /// its upstream answers a later call. Returns whether the call is charged.
    pub fn hold(
        &mut self,
        call: ids::Attempt,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> bool {
        let Some(group) = self.by_call.remove(&call) else {
            return false;
        };
        if self.group(group).charges.is_empty() {
            self.settle_one(group, &mut Vec::new());
            return false;
        }
        let held = Held { group, since: now };
        self.held.entry(upstream).or_default().push(held);
        true
    }

    /// Handles a reply of an upstream to a call that began at `began`: it has
    /// read what was sent to it before.
    pub fn answered(&mut self, upstream: registry::Handle, began: clock::Moment) -> Settled {
        self.release(upstream, |held| held.since <= began)
    }

    /// Handles the end of an upstream's process, whose sockets are closed.
    pub fn gone(&mut self, upstream: registry::Handle) -> Settled {
        self.release(upstream, |_| true)
    }

    /// Releases calls to upstreams that have been silent for too long.
    pub fn expire(&mut self, now: clock::Moment) -> Settled {
        let mut settled = Settled::default();
        let upstreams: Vec<registry::Handle> = self.held.keys().copied().collect();
        for upstream in upstreams {
            let expired = self.release(upstream, |held| now.since(held.since) >= MAX_SILENCE);
            settled.arrived.extend(expired.arrived);
        }
        settled
    }

    fn release(
        &mut self,
        upstream: registry::Handle,
        is_released: impl Fn(&Held) -> bool,
    ) -> Settled {
        let mut settled = Settled::default();
        let Some(held) = self.held.get_mut(&upstream) else {
            return settled;
        };
        let released: Vec<Held> = held.extract_if(.., |held| is_released(held)).collect();
        if held.is_empty() {
            self.held.remove(&upstream);
        }
        for held in released {
            self.settle_one(held.group, &mut settled.arrived);
        }
        settled
    }

    /// Notes that one more call of a group has arrived, and moves the charges
    /// that can't arrive any more to `arrived`.
    fn settle_one(&mut self, id: u64, arrived: &mut Vec<forward::Charge>) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.open = group.open.saturating_sub(1);
        let pending = group.charges.len().min(group.open);
        arrived.extend(group.charges.drain(pending..));
        if group.charges.is_empty() && group.open == 0 {
            self.groups.remove(&id);
        }
    }

    fn new_group(&mut self) -> u64 {
        self.last_group += 1;
        self.last_group
    }

    fn group(&mut self, id: u64) -> &mut Group {
        self.groups.entry(id).or_default()
    }
}
