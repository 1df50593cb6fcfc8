//! Calls as a home holds them.

use std::sync;
use std::time;

use crate::ids;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

/// Names a call: each VM numbers its own attempts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The VM that asks.
    pub entry: ids::Vm,
    /// Its number for the call.
    pub attempt: u64,
}

/// What a call asks of the upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A search of one shard, for a query that asks others as well.
    Search {
        /// What all calls of the query share.
        batch: sync::Arc<message::Batch>,
        /// The shard.
        shard: ids::Shard,
    },
    /// A record, to be sent once.
    Record {
        /// The record.
        record: sync::Arc<message::Record>,
        /// The shard.
        shard: ids::Shard,
    },
}

/// A call that waits or runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its name.
    pub id: Id,
    /// The upstream to call.
    pub upstream: ids::Upstream,
    /// Why it is made.
    pub kind: message::Kind,
    /// When its answer is of no more use.
    pub deadline: Moment,
    /// When it reached this home.
    pub arrived: Moment,
    /// What it asks.
    pub work: Work,
}

impl Job {
    /// Whether it may run once only.
    pub fn is_record(&self) -> bool {
        matches!(self.work, Work::Record { .. })
    }

    /// Whether it must run alone.
    pub fn is_trial(&self) -> bool {
        self.kind == message::Kind::Trial
    }

    /// Its name at the upstream.
    pub fn upstream_id(&self) -> String {
        upstream::call_id(self.request(), &self.id.entry, self.id.attempt)
    }

    fn request(&self) -> &str {
        match &self.work {
            Work::Search { batch, .. } => &batch.request,
            Work::Record { record, .. } => &record.request,
        }
    }

    /// Which calls stay where not all can be served: the higher. The same for
    /// all calls of a request, wherever they wait. A hedge goes first: another
    /// call of its shard is under way.
    pub fn rank(&self) -> Rank {
        Rank {
            needed: self.kind != message::Kind::Hedge,
            draw: xxhash_rust::xxh3::xxh3_64(self.request().as_bytes()),
        }
    }
}

/// Rank of a request among those that compete for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// No other call does the same.
    needed: bool,
    /// As good as random, but equal wherever it is drawn.
    draw: u64,
}

/// What became of a call, for the VM that asked.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The call.
    pub job: Job,
    /// What happened.
    pub outcome: message::Outcome,
    /// The upstream's reply, where there is one.
    pub reply: Option<upstream::Reply>,
    /// Time it waited here.
    pub queued: time::Duration,
    /// Time the upstream took; zero where it was not sent.
    pub ran: time::Duration,
    /// How long until another try may fit; zero where not known.
    pub retry_after: time::Duration,
}
