//! Collects the shard replies of one search into its answer. A state machine
//! without I/O.
//!
//! Each shard has a `slot::Slot` and each call an `attempt::Attempt`. Both are
//! identified by their index, so the call that a reply belongs to is found in
//! constant time. Attempt numbers are never reused, also after a restart: a
//! late reply matches an ended attempt or none, and is dropped.

mod attempt;
mod calls;
mod end;
mod event;
mod fail;
mod homes;
mod lead;
mod place;
mod reply;
mod restart;
mod retry;
mod slot;
mod suspect;
mod trace;

#[cfg(test)]
mod tests;

pub use event::Action;
pub use event::Counts;
pub use event::Event;
pub use event::Setup;
pub use event::SoftDeadline;
pub use trace::Trace;

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use rand::SeedableRng as _;

use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::query::plan;
use crate::query::upstreams;
use crate::time as clock;

/// The state of one search.
pub struct Gather {
    setup: Setup,
    upstreams: sync::Arc<upstreams::Upstreams>,
    plan: sync::Arc<plan::Plan>,
    /// The requested shards, as indexes into the plan; parallel to `slots`.
    requested: Vec<u32>,
    slots: Vec<slot::Slot>,
    /// The slot of each shard of the plan; `NO_SLOT` for shards not requested.
    slot_of: Vec<u32>,
    /// All calls sent at the present pin.
    attempts: Vec<attempt::Attempt>,
    timers: collections::BinaryHeap<cmp::Reverse<(clock::Moment, Timer)>>,
    /// The index version of all calls; `None` until it is known.
    pin: Option<ids::IndexVersion>,
    phase: Phase,
    verdict: quarantine::Verdict,
    trial: suspect::Trial,
    /// The canary that was cancelled because it was slow, until its end is known.
    cancelled_canary: Option<lead::Cancelled>,
    /// Set while the next canary waits because too many cancelled ones may still run.
    lead_blocked: bool,
    /// Set while the verdict on a connection that this search lost is pending.
    verdict_pending: bool,
    restart: restart::Restart,
    homes: homes::Homes,
    /// Set once the soft deadline of the latency objective has passed.
    soft_deadline_passed: bool,
    /// Number of shards with a usable reply.
    covered: usize,
    /// Number of running calls.
    open_calls: usize,
    /// Number of slots in [`slot::State::Scheduled`].
    scheduled: usize,
    /// Set once [`Action::Completed`] was emitted.
    completed: bool,
    /// Durations of shard calls, for the latency quantiles.
    call_times: Vec<time::Duration>,
    counts: Counts,
    rng: rand::rngs::SmallRng,
    outbox: calls::Outbox,
}

/// The phase of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// One lead call, or a few in sequence, runs before the fan-out: to learn
    /// the index version, or as the canary. `leads` counts those sent.
    Lead { leads: u32 },
    /// Every shard is called.
    FanOut,
    /// The answer was given or the search abandoned.
    Done,
}

/// What to do when a timer expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Hedge(u32),
    Retry { slot: u32, restarts: u32 },
    Trial,
    Lead,
}

/// Marks a shard of the plan that has no slot.
const NO_SLOT: u32 = u32::MAX;

impl Gather {
    /// Creates a search over the `requested` shards of `plan`. Nothing is sent
    /// before [`Event::Start`].
    pub fn new(
        setup: Setup,
        plan: sync::Arc<plan::Plan>,
        requested: Vec<u32>,
        upstreams: sync::Arc<upstreams::Upstreams>,
    ) -> Self {
        let rng = rand::rngs::SmallRng::seed_from_u64(setup.seed);
        let mut gather = Self {
            slots: Vec::new(),
            slot_of: Vec::new(),
            attempts: Vec::with_capacity(requested.len() + requested.len() / 8),
            timers: collections::BinaryHeap::with_capacity(requested.len()),
            call_times: Vec::with_capacity(requested.len()),
            pin: None,
            phase: Phase::Lead { leads: 0 },
            verdict: quarantine::Verdict::Clear,
            trial: suspect::Trial::default(),
            cancelled_canary: None,
            lead_blocked: false,
            verdict_pending: false,
            restart: restart::Restart::default(),
            homes: homes::Homes::new(&plan),
            soft_deadline_passed: false,
            covered: 0,
            open_calls: 0,
            scheduled: 0,
            completed: false,
            counts: Counts::default(),
            outbox: calls::Outbox::default(),
            rng,
            setup,
            upstreams,
            plan,
            requested,
        };
        gather.assign_slots();
        gather
    }

    /// Handles one event and returns the resulting actions. Over the life of a
    /// search [`Action::Finish`] is returned exactly once, as the last action.
    pub fn handle(&mut self, event: Event, now: clock::Moment) -> Vec<Action> {
        if self.phase == Phase::Done {
            return Vec::new();
        }
        match event {
            Event::Start(verdict) => self.start(verdict, now),
            Event::Replies { from, replies } => {
                for reply in replies {
                    self.reply(&from, reply, now);
                }
            }
            Event::Unsent(attempts) => self.unsent(&attempts, now),
            Event::LinkLost(vm) => self.link_lost(&vm, now),
            Event::LinkNotOpened(vm) => self.link_not_opened(&vm, now),
            Event::Verdict(verdict) => self.verdict_changed(verdict, now),
            Event::Plan(plan) => self.plan_received(plan, now),
            Event::Granted(down) => self.trial_granted(down, now),
            Event::Denied(after) => self.trial_denied(after, now),
            Event::Tick => {}
        }
        self.tick(now);
        self.finish_if_ready(now);
        self.outbox.take(self.pin, &self.plan, &self.homes)
    }

    /// Returns the latest time to call [`Self::handle`] with [`Event::Tick`].
    pub fn wake(&self) -> clock::Moment {
        let due = self.timers.peek().map(|cmp::Reverse((at, _))| *at);
        let soft = self.setup.soft_deadline.map(|soft| soft.at);
        let soft = soft.filter(|_| !self.soft_deadline_passed);
        let due = due.into_iter().chain(soft).min();
        due.map_or(self.setup.deadline, |due| due.min(self.setup.deadline))
    }

    /// Ends a search whose caller has disconnected and cancels its calls.
    pub fn abandon(&mut self) -> Vec<Action> {
        if self.phase == Phase::Done {
            return Vec::new();
        }
        self.cancel_all();
        self.phase = Phase::Done;
        self.outbox.take(self.pin, &self.plan, &self.homes)
    }

    /// Returns whether the outcome of any cancelled call is still unknown. Such
    /// a call may yet turn out to have crashed its upstream.
    pub fn leaves_calls(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.cancel_unconfirmed)
    }

    /// Returns the numbers of calls, cancels and restarts so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns the measured durations of shard calls.
    pub fn call_times(&self) -> &[time::Duration] {
        &self.call_times
    }

    fn assign_slots(&mut self) {
        self.slot_of = vec![NO_SLOT; self.plan.shards.len()];
        for (slot, shard) in self.requested.iter().enumerate() {
            self.slot_of[*shard as usize] = slot as u32;
        }
        let slot = |shard: &u32| slot::Slot::new(*shard);
        self.slots = self.requested.iter().map(slot).collect();
    }

    fn start(&mut self, verdict: quarantine::Verdict, now: clock::Moment) {
        self.pin = query::version::pick(&self.plan, &self.requested, now).map(|pick| pick.version);
        match verdict {
            quarantine::Verdict::Quarantined => self.verdict_changed(verdict, now),
            quarantine::Verdict::Suspect => self.verdict = verdict,
            quarantine::Verdict::Clear => self.begin(now),
        }
    }

    /// Sends the first lead call, or starts the fan-out if none is needed.
    fn begin(&mut self, now: clock::Moment) {
        let lead = self.pin.is_none() || self.setup.canary;
        if lead && self.covered == 0 && self.requested.len() > 1 {
            self.send_lead(now);
        } else {
            self.start_fan_out(now);
        }
    }

    fn start_fan_out(&mut self, now: clock::Moment) {
        self.phase = Phase::FanOut;
        for slot in 0..self.slots.len() as u32 {
            match self.slots[slot as usize].state {
                slot::State::Unsent => self.send_first(slot, now),
                slot::State::Deferred => self.retry(slot, None, time::Duration::ZERO, now),
                _ => {}
            }
        }
    }

    fn tick(&mut self, now: clock::Moment) {
        while let Some(cmp::Reverse((at, due))) = self.timers.peek().copied() {
            if at > now || self.phase == Phase::Done {
                return;
            }
            self.timers.pop();
            match due {
                Timer::Hedge(attempt) => self.on_hedge_timer(attempt, now),
                Timer::Retry { slot, restarts } => self.retry_due(slot, restarts, now),
                Timer::Trial => self.trial_due(now),
                Timer::Lead => self.lead_due(now),
            }
        }
    }

    /// Returns whether a typical call would still end before the deadline.
    fn has_time_for_call(&self, now: clock::Moment) -> bool {
        now + self.setup.typical_call_time < self.setup.deadline
    }
}

impl Drop for Gather {
    /// Ends the remaining calls: left open, they would count as load on their
    /// replicas forever.
    fn drop(&mut self) {
        for attempt in &self.attempts {
            if attempt.running() {
                self.plan.replica(attempt.replica).stats.ended();
            }
        }
    }
}

/// Builds the message for one call.
fn call(
    id: u64,
    upstream: &ids::Upstream,
    shard: &ids::Shard,
    kind: message::Kind,
) -> message::Call {
    message::Call {
        attempt: id,
        upstream: upstream.as_str().to_owned(),
        shard: shard.as_str().to_owned(),
        kind: kind.into(),
    }
}
