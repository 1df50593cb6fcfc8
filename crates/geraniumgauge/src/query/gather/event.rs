//! The events that drive a search and the actions that it returns.

use std::sync;
use std::time;

use crate::document;
use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::quarantine::tracker;
use crate::quarantine::trial;
use crate::query;
use crate::query::plan;
use crate::time as clock;

/// The parameters of a search.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The id of the caller's request.
    pub request: ids::Request,
    /// [`ids::Fingerprint`] of the query.
    pub fingerprint: ids::Fingerprint,
    /// Maximum number of hits in the answer.
    pub limit: usize,
    /// When the answer is due.
    pub deadline: clock::Moment,
    /// When a partial answer may be given, under
    /// [`document::Objective::Latency`].
    pub soft_deadline: Option<SoftDeadline>,
    /// Set when the caller listed the shards to search.
    pub subset: bool,
    /// Set when a canary must succeed before the fan-out.
    pub canary: bool,
    /// Time after which an unanswered call is hedged.
    pub hedge_after: time::Duration,
    /// When this many shards are outstanding, all of them are hedged without waiting
    /// for `hedge_after`, since they are the stragglers of a wide search.
    pub early_hedge_shards: usize,
    /// Typical (median) duration of a call.
    pub typical_call_time: time::Duration,
    /// How replicas are chosen and calls retried or hedged.
    pub policy: query::Policy,
    /// Number of the first attempt; later ones count up from it.
    pub first_attempt: u64,
    /// Seed of the search's random choices.
    pub seed: u64,
}

/// The latency objective of one search.
#[derive(Debug, Clone, Copy)]
pub struct SoftDeadline {
    /// Time from which a partial answer may be given.
    pub at: clock::Moment,
    /// Minimum number of covered shards in a partial answer.
    pub min_covered: usize,
}

impl SoftDeadline {
    /// Returns the latency objective of `document` for a search of `requested`
    /// shards that starts at `now`; `None` under the coverage objective.
    pub fn of(document: &document::Document, requested: usize, now: clock::Moment) -> Option<Self> {
        if document.objective != document::Objective::Latency {
            return None;
        }
        let min_covered = (document.min_coverage.get() * requested as f64).ceil() as usize;
        Some(Self {
            at: now + document.latency_target,
            min_covered: min_covered.clamp(1, requested.max(1)),
        })
    }
}

/// An input of the search.
#[derive(Debug, Clone)]
pub enum Event {
    /// Starts the search, with the present verdict on its request.
    Start(quarantine::Verdict),
    /// Replies that a home sent.
    Replies {
        /// The home that sent them.
        from: ids::Vm,
        /// The replies, one per call.
        replies: Vec<message::Reply>,
    },
    /// Calls that couldn't be sent from this VM.
    Unsent(Vec<u64>),
    /// The link to a VM was lost.
    LinkLost(ids::Vm),
    /// The link to a VM couldn't be opened: no call to it has left this VM.
    LinkNotOpened(ids::Vm),
    /// The present verdict on the request.
    Verdict(quarantine::Verdict),
    /// The answer to [`Action::Replan`]; `None` where the service has ended.
    Plan(Option<sync::Arc<plan::Plan>>),
    /// The isolated trial may run. The marks list these upstreams as lost.
    Granted(Vec<tracker::Down>),
    /// The trial may not run. May be requested again after the given delay, if
    /// there is one.
    Denied(Option<time::Duration>),
    /// Lets expired timers run.
    Tick,
}

/// An output of the search, to be carried out by its driver.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send these calls to one home, in one frame. If that fails,
    /// [`Event::Unsent`] must follow.
    Send {
        /// The home.
        vm: ids::Vm,
        /// The pinned version.
        version: Option<ids::IndexVersion>,
        /// The pinned layout.
        layout: ids::LayoutVersion,
        /// The calls.
        calls: Vec<message::Call>,
    },
    /// Cancel these calls at one home.
    Cancel {
        /// The home.
        vm: ids::Vm,
        /// The calls.
        attempts: Vec<u64>,
    },
    /// The connection to an upstream was lost while it ran the request.
    /// [`Event::Verdict`] must follow.
    Lost {
        /// The upstream.
        upstream: ids::Upstream,
        /// How the call ran.
        run: tracker::Run,
    },
    /// An upstream has answered the request. Emitted at most once.
    Completed,
    /// Ask a home when these upstreams, which this VM takes as down, last answered it.
    /// The report goes to their statistics.
    Inquire {
        /// The home.
        vm: ids::Vm,
        /// The upstreams.
        upstreams: Vec<ids::Upstream>,
    },
    /// Request the isolated trial. [`Event::Granted`] or [`Event::Denied`] must
    /// follow.
    RequestTrial(trial::Place),
    /// The isolated trial has ended.
    EndTrial {
        /// The outcome.
        end: trial::End,
        /// The upstream that it ran on, if it was sent.
        upstream: Option<ids::Upstream>,
    },
    /// Rebuild the plan from the present layout and membership view.
    /// [`Event::Plan`] must follow.
    Replan,
    /// The final answer.
    Finish(Box<query::Answer>),
}

/// Numbers of the calls that a search sent and cancelled, of those that were refused,
/// and of its restarts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// First calls of their shards.
    pub first: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Calls sent again to another home because the first one didn't run them;
    /// they need no budget.
    pub moved: u64,
    /// First calls of their shards after a restart at another pin.
    pub repeated: u64,
    /// Isolated trials.
    pub trials: u64,
    /// Hedges that the budget refused.
    pub hedges_refused: u64,
    /// Retries that the budget refused.
    pub retries_refused: u64,
    /// Calls that an upstream shed or a home refused as late.
    pub overloads: u64,
    /// Calls cancelled.
    pub cancels: u64,
    /// Restarts at a better pin.
    pub restarts: u64,
}

impl Counts {
    /// Returns the number of calls beyond the first of each shard.
    pub fn extra(&self) -> u64 {
        self.hedges + self.retries + self.moved + self.repeated + self.trials
    }
}
