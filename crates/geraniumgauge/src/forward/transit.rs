//! Tracks the extra calls that may not have arrived at their upstream yet.
//!
//! The allowance limits the extra calls that arrive at a service in a window,
//! whenever they were sent. An upstream that stops reading gets everything that
//! was written to its sockets meanwhile when it goes on, even calls that were
//! given up long before. Therefore a budget is charged for an extra call until
//! the call is known to have arrived: by a reply to it, or by the end of its
//! connection, which an upstream closes once it has read what the connection
//! brought. Where the connection was that of a relay which can't be asked any more,
//! a reply of the upstream to a later call shows that it reads.
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

/// A call that may wait at a silent upstream, and whose connection isn't watched.
#[derive(Debug)]
struct Held {
    call: HeldCall,
    since: clock::Moment,
}

#[derive(Debug, Clone, Copy)]
enum HeldCall {
    /// A call of this VM, or one that a relay made for it.
    Own(ids::Attempt),
    /// A call that another VM made for the part with this group.
    Other(u64),
}

/// The other calls of an extra call's part.
#[derive(Debug, Clone, Default)]
pub struct Siblings {
    /// Calls that have no reply yet.
    pub in_progress: Vec<ids::Attempt>,
    /// Calls whose connection was lost.
    pub lost: Vec<ids::Attempt>,
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
    /// Calls that were given up without a reply, and when.
    given_up: collections::HashMap<ids::Attempt, clock::Moment>,
    /// Calls whose connection isn't watched, by upstream.
    held: collections::HashMap<registry::Handle, Vec<Held>>,
    last_group: u64,
}

impl Transit {
    /// Adds an extra call.
    pub fn add(&mut self, call: ids::Attempt, charge: forward::Charge, siblings: &Siblings) {
        let unknown = siblings
            .lost
            .iter()
            .filter(|lost| self.by_call.contains_key(lost));
        let unknown: Vec<ids::Attempt> = unknown.chain(&siblings.in_progress).copied().collect();
        let known = unknown.iter().find_map(|call| self.by_call.get(call));
        let id = known.copied().unwrap_or_else(|| self.new_group());
        for call in unknown.into_iter().chain([call]) {
            match self.by_call.insert(call, id) {
                Some(before) if before == id => continue,
                // A lost call that had no charge.
                Some(before) => drop(self.groups.remove(&before)),
                None => {}
            }
            self.group(id).open += 1;
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
        self.add(call, charge, &Siblings::default());
        let id = self.last_group;
        self.group(id).open += earlier.len();
        for upstream in earlier {
            let held = Held {
                call: HeldCall::Other(id),
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
        self.given_up.remove(&call);
        if let Some(id) = self.by_call.remove(&call) {
            self.settle_one(id, &mut settled.arrived);
        }
        settled
    }

    /// Handles a call that wasn't made: one call less of its part is extra.
    pub fn not_made(&mut self, call: ids::Attempt) -> Settled {
        let mut settled = Settled::default();
        self.given_up.remove(&call);
        if let Some(id) = self.by_call.remove(&call) {
            settled.not_made.extend(self.group(id).charges.pop());
            self.settle_one(id, &mut settled.arrived);
        }
        settled
    }

    /// Handles a call that was given up without a reply. Returns whether it stays charged
    /// until [`Self::ended`], [`Self::not_made`] or [`Self::hold`].
    pub fn give_up(&mut self, call: ids::Attempt, now: clock::Moment) -> bool {
        let Some(id) = self.by_call.get(&call).copied() else {
            return false;
        };
        let is_charged = !self.group(id).charges.is_empty();
        if is_charged {
            self.given_up.insert(call, now);
        } else {
            self.by_call.remove(&call);
            self.settle_one(id, &mut Vec::new());
        }
        is_charged
    }

    /// Handles a call whose connection isn't watched any more: it counts as on its way until
    /// its upstream answers a later call.
    pub fn hold(&mut self, call: ids::Attempt, upstream: registry::Handle, now: clock::Moment) {
        if !self.by_call.contains_key(&call) {
            let id = self.new_group();
            self.by_call.insert(call, id);
            self.group(id).open += 1;
        }
        let held = Held {
            call: HeldCall::Own(call),
            since: now,
        };
        self.held.entry(upstream).or_default().push(held);
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
        let is_old = |(_, at): &(ids::Attempt, clock::Moment)| now.since(*at) >= MAX_SILENCE;
        let given_up = self.given_up.iter().map(|(call, at)| (*call, *at));
        let expired: Vec<_> = given_up.filter(is_old).collect();
        for (call, _) in expired {
            settled.arrived.extend(self.ended(call).arrived);
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
            let group = match held.call {
                HeldCall::Own(call) => self.by_call.remove(&call),
                HeldCall::Other(group) => Some(group),
            };
            if let Some(group) = group {
                self.settle_one(group, &mut settled.arrived);
            }
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
