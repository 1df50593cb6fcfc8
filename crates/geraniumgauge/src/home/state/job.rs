//! Calls as their home holds them.

use std::sync;
use std::time;

use crate::ids;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

/// Identifies a call: each coordinator numbers its own attempts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The VM that made the call.
    pub coordinator: ids::Vm,
    /// The coordinator's number of the attempt.
    pub attempt: u64,
}

/// The operation that a call requests from the upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A search of one shard, part of a query over several shards.
    Search {
        /// The data that all calls of the query share.
        batch: sync::Arc<message::Batch>,
        /// The shard to search.
        shard: ids::Shard,
    },
    /// A record, which is sent at most once.
    Record {
        /// The record to send.
        record: sync::Arc<message::Record>,
        /// The shard that takes the record.
        shard: ids::Shard,
    },
}

/// A call that waits or runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Identifies the call.
    pub id: Id,
    /// The upstream to call.
    pub upstream: ids::Upstream,
    /// Whether it is a first attempt, a hedge, a retry or an isolated trial.
    pub kind: message::Kind,
    /// When the answer becomes useless.
    pub deadline: Moment,
    /// When the call reached this home.
    pub arrived: Moment,
    /// The operation to run.
    pub work: Work,
}

impl Job {
    /// Returns true if the call is a record, which may be sent only once.
    pub fn is_record(&self) -> bool {
        matches!(self.work, Work::Record { .. })
    }

    /// Returns true if the call is an isolated trial, alone on its upstream.
    pub fn is_trial(&self) -> bool {
        self.kind == message::Kind::Trial
    }

    /// Returns the call's identifier at the upstream.
    pub fn upstream_id(&self) -> String {
        upstream::call_id(self.request(), &self.id.coordinator, self.id.attempt)
    }

    fn request(&self) -> &str {
        match &self.work {
            Work::Search { batch, .. } => &batch.request,
            Work::Record { record, .. } => &record.request,
        }
    }

    /// Returns the call's rank under overload: calls of lower rank are refused first.
    /// All calls of a request rank the same at every home, except hedges: these are
    /// refused first, because another call for their shard is under way.
    pub fn rank(&self) -> Rank {
        Rank {
            needed: self.kind != message::Kind::Hedge,
            hash: xxhash_rust::xxh3::xxh3_64(self.request().as_bytes()),
        }
    }
}

/// Rank of a call among those that compete for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Set unless the call is a hedge.
    needed: bool,
    /// Hash of the request's identifier: a random order that all homes agree on.
    hash: u64,
}

/// The result of a call, for its coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The call that ended.
    pub job: Job,
    /// How the call ended.
    pub outcome: message::Outcome,
    /// The upstream's reply, if there is one.
    pub reply: Option<upstream::Reply>,
    /// Time the call waited at this home.
    pub queued: time::Duration,
    /// Time since the call was sent; zero if it was not sent.
    pub ran: time::Duration,
    /// Delay after which a retry may succeed; zero if not known.
    pub retry_after: time::Duration,
}
