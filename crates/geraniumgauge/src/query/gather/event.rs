//! What a search is told and what it wants done.

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

/// What a search is.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The caller's request.
    pub request: ids::Request,
    /// [`ids::Fingerprint`] of the query.
    pub fingerprint: ids::Fingerprint,
    /// Most hits in the answer.
    pub limit: usize,
    /// When the answer is due.
    pub deadline: clock::Moment,
    /// When it may be given with less, under [`document::Objective::Latency`].
    pub soft: Option<Soft>,
    /// Whether the caller named the shards.
    pub subset: bool,
    /// Whether a canary runs ahead.
    pub canary: bool,
    /// When a call is hedged.
    pub hedge_after: time::Duration,
    /// Shards that are hedged as soon as no more than these are missing,
    /// whatever the time: of a wide search they are the stragglers.
    pub hedge_last: usize,
    /// How long a call usually takes.
    pub typical: time::Duration,
    /// How calls are placed and repeated.
    pub policy: query::Policy,
    /// Number of the first attempt; the next ones follow.
    pub base: u64,
    /// Seed of its choices.
    pub seed: u64,
}

/// The latency objective of one search.
#[derive(Debug, Clone, Copy)]
pub struct Soft {
    /// From when it may be answered with less.
    pub at: clock::Moment,
    /// Least shards covered.
    pub covered: usize,
}

impl Soft {
    /// The latency objective of `document` for a search of `asked` shards that
    /// starts now; `None` under the coverage objective.
    pub fn of(document: &document::Document, asked: usize, now: clock::Moment) -> Option<Self> {
        if document.objective != document::Objective::Latency {
            return None;
        }
        let covered = (document.min_coverage.get() * asked as f64).ceil() as usize;
        Some(Self {
            at: now + document.latency_target,
            covered: covered.clamp(1, asked.max(1)),
        })
    }
}

/// What a search is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// Begin; what holds for the request.
    Start(quarantine::Verdict),
    /// Replies of a home.
    Replies {
        /// The home.
        from: ids::Vm,
        /// What became of calls.
        replies: Vec<message::Reply>,
    },
    /// Calls that have not left this VM.
    Unsent(Vec<u64>),
    /// The link to a VM was lost.
    LinkLost(ids::Vm),
    /// What holds for the request now.
    Verdict(quarantine::Verdict),
    /// The answer to [`Action::Replan`]; `None` where the service has ended.
    Plan(Option<sync::Arc<plan::Plan>>),
    /// The lone trial may run; these upstreams were lost by what marks say.
    Granted(Vec<tracker::Down>),
    /// It may not; ask again after the time given, if one is given.
    Denied(Option<time::Duration>),
    /// Time has passed.
    Tick,
}

/// What a search wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send these calls to one home, in one frame. Where that isn't taken,
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
    /// These calls are no longer wanted.
    Cancel {
        /// The home.
        vm: ids::Vm,
        /// The calls.
        attempts: Vec<u64>,
    },
    /// A connection was lost under the request. [`Event::Verdict`] must follow.
    Lost {
        /// The upstream.
        upstream: ids::Upstream,
        /// How it ran.
        run: tracker::Run,
    },
    /// An upstream has answered the request; comes once.
    Completed,
    /// Ask for the lone trial. [`Event::Granted`] or [`Event::Denied`] follows.
    AskTrial(trial::Place),
    /// The lone trial's end.
    EndTrial {
        /// How it ended.
        end: trial::End,
        /// Where it ran.
        upstream: Option<ids::Upstream>,
    },
    /// Look at layout and view again. [`Event::Plan`] must follow.
    Replan,
    /// The final answer.
    Finish(Box<query::Answer>),
}

/// What a search has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// First calls of their shards.
    pub first: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries.
    pub retries: u64,
    /// Calls sent again to another home, with nothing run and nothing paid.
    pub moved: u64,
    /// Calls of shards that were called at an earlier pin.
    pub again: u64,
    /// Lone trials.
    pub trials: u64,
    /// Hedges that the budget refused.
    pub hedges_refused: u64,
    /// Retries that the budget refused.
    pub retries_refused: u64,
    /// Calls that an upstream shed or a home refused as late.
    pub overloads: u64,
    /// Calls cancelled.
    pub cancels: u64,
    /// Pins given up for a better one.
    pub restarts: u64,
}

impl Counts {
    /// Calls beyond the first of each shard.
    pub fn extra(&self) -> u64 {
        self.hedges + self.retries + self.moved + self.again + self.trials
    }
}
