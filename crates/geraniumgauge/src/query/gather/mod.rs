//! Gathers the answer to one search. A state machine without I/O.
//!
//! One shard is one `slot::Slot`, one call is one `attempt::Attempt`; both
//! are numbered, so a reply finds its call without a search. Attempts are never
//! numbered anew: a reply to a call that ended, of an abandoned pin or not,
//! finds its attempt ended and is dropped.

mod attempt;
mod calls;
mod end;
mod event;
mod fail;
mod homes;
mod lead;
mod restart;
mod slot;
mod suspect;

#[cfg(test)]
mod tests;

pub use event::Action;
pub use event::Counts;
pub use event::Event;
pub use event::Setup;
pub use event::Soft;

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use rand::SeedableRng as _;

use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::query::fleet;
use crate::query::plan;
use crate::time as clock;

/// What one search has gathered so far.
pub struct Gather {
    setup: Setup,
    fleet: sync::Arc<fleet::Fleet>,
    plan: sync::Arc<plan::Plan>,
    /// Asked shards by their number in the plan, in step with `slots`.
    asked: Vec<u32>,
    slots: Vec<slot::Slot>,
    /// Which slot a shard of the plan has; `NONE` for shards not asked.
    slot_of: Vec<u32>,
    attempts: Vec<attempt::Attempt>,
    due: collections::BinaryHeap<cmp::Reverse<(clock::Moment, Due)>>,
    pin: Option<ids::IndexVersion>,
    phase: Phase,
    verdict: quarantine::Verdict,
    trial: suspect::Trial,
    /// Whether the verdict on an own loss is still to come.
    judging: bool,
    restart: restart::Restart,
    homes: homes::Homes,
    /// Whether the latency objective's time has come.
    late: bool,
    covered: usize,
    open: usize,
    scheduled: usize,
    first_hits: bool,
    spans: Vec<time::Duration>,
    counts: Counts,
    rng: rand::rngs::SmallRng,
    out: calls::Out,
}

/// How far the search is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// One call, or a few one after another, run ahead of the rest: to learn
    /// the version, or as the canary.
    Lead { leads: u32 },
    /// Every shard is called.
    Wide,
    /// The answer is given.
    Done,
}

/// What falls due at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Hedge(u32),
    Retry { slot: u32, round: u32 },
    Trial,
    Lead,
}

const NONE: u32 = u32::MAX;

impl Gather {
    /// A search over `asked` shards of `plan`; nothing is sent yet.
    pub fn new(
        setup: Setup,
        plan: sync::Arc<plan::Plan>,
        asked: Vec<u32>,
        fleet: sync::Arc<fleet::Fleet>,
    ) -> Self {
        let rng = rand::rngs::SmallRng::seed_from_u64(setup.seed);
        let mut gather = Self {
            slots: Vec::new(),
            slot_of: Vec::new(),
            attempts: Vec::with_capacity(asked.len() + asked.len() / 8),
            due: collections::BinaryHeap::with_capacity(asked.len()),
            spans: Vec::with_capacity(asked.len()),
            pin: None,
            phase: Phase::Lead { leads: 0 },
            verdict: quarantine::Verdict::Clear,
            trial: suspect::Trial::default(),
            judging: false,
            restart: restart::Restart::default(),
            homes: homes::Homes::new(&plan),
            late: false,
            covered: 0,
            open: 0,
            scheduled: 0,
            first_hits: false,
            counts: Counts::default(),
            out: calls::Out::default(),
            rng,
            setup,
            fleet,
            plan,
            asked,
        };
        gather.number();
        gather
    }

    /// Takes one event. [`Action::Finish`] comes exactly once, as the last.
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
            Event::Verdict(verdict) => self.judged(verdict, now),
            Event::Plan(plan) => self.replanned(plan, now),
            Event::Granted(down) => self.granted(&down, now),
            Event::Denied(after) => self.denied(after, now),
            Event::Tick => {}
        }
        self.tick(now);
        self.settle(now);
        self.out.take(self.pin, &self.plan, &self.homes)
    }

    /// When to call [`Self::handle`] with [`Event::Tick`] at the latest.
    pub fn wake(&self) -> clock::Moment {
        let due = self.due.peek().map(|cmp::Reverse((at, _))| *at);
        let soft = self.setup.soft.map(|soft| soft.at);
        let soft = soft.filter(|_| !self.late);
        let due = due.into_iter().chain(soft).min();
        due.map_or(self.setup.deadline, |due| due.min(self.setup.deadline))
    }

    /// Ends a search whose caller is gone: cancels what runs.
    pub fn abandon(&mut self) -> Vec<Action> {
        if self.phase == Phase::Done {
            return Vec::new();
        }
        self.cancel_all();
        self.phase = Phase::Done;
        self.out.take(self.pin, &self.plan, &self.homes)
    }

    /// Whether calls were cancelled of which no end is known yet: one of them
    /// may still be found to have crashed its upstream.
    pub fn leaves_calls(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.recalled)
    }

    /// What was sent.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Measured times of the shard calls.
    pub fn spans(&self) -> &[time::Duration] {
        &self.spans
    }

    fn number(&mut self) {
        self.slot_of = vec![NONE; self.plan.shards.len()];
        for (slot, shard) in self.asked.iter().enumerate() {
            self.slot_of[*shard as usize] = slot as u32;
        }
        let fresh = |shard: &u32| slot::Slot::new(*shard);
        self.slots = self.asked.iter().map(fresh).collect();
    }

    fn start(&mut self, verdict: quarantine::Verdict, now: clock::Moment) {
        self.pin = query::version::pick(&self.plan, &self.asked, now).map(|pick| pick.version);
        match verdict {
            quarantine::Verdict::Quarantined => self.judged(verdict, now),
            quarantine::Verdict::Suspect => self.verdict = verdict,
            quarantine::Verdict::Clear => self.begin(now),
        }
    }

    /// Sends the lead, or all where none is needed.
    fn begin(&mut self, now: clock::Moment) {
        let lead = self.pin.is_none() || self.setup.canary;
        if lead && self.covered == 0 && self.asked.len() > 1 {
            self.send_lead(now);
        } else {
            self.go_wide(now);
        }
    }

    fn go_wide(&mut self, now: clock::Moment) {
        self.phase = Phase::Wide;
        for slot in 0..self.slots.len() as u32 {
            match self.slots[slot as usize].state {
                slot::State::Unsent => self.send_first(slot, now),
                slot::State::Deferred => self.retry(slot, None, time::Duration::ZERO, now),
                _ => {}
            }
        }
    }

    fn tick(&mut self, now: clock::Moment) {
        while let Some(cmp::Reverse((at, due))) = self.due.peek().copied() {
            if at > now || self.phase == Phase::Done {
                return;
            }
            self.due.pop();
            match due {
                Due::Hedge(attempt) => self.hedge_due(attempt, now),
                Due::Retry { slot, round } => self.retry_due(slot, round, now),
                Due::Trial => self.trial_due(now),
                Due::Lead => self.lead_due(now),
            }
        }
    }

    /// Time for another call before the answer is due.
    fn fits(&self, now: clock::Moment) -> bool {
        now + self.setup.typical < self.setup.deadline
    }
}

impl Drop for Gather {
    /// Calls left open would count as load on their replicas for ever.
    fn drop(&mut self) {
        for attempt in &self.attempts {
            if attempt.running() {
                self.plan.replica(attempt.replica).stats.ended();
            }
        }
    }
}

/// The text form of an attempt's number and upstream, as a call says it.
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
