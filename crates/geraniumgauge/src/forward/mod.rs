//! Decides to which upstreams a request goes, and what its caller is told.
//!
//! A [`Job`] is one request: one part for a route to a single upstream, one
//! part a shard otherwise. It takes events and answers with [`Action`]s;
//! [`Fleet`] holds what all jobs of a VM share: which upstreams there are, how
//! they did lately, and what may be spent on extra calls. No I/O.

mod allowance;
mod blame;
mod budget;
mod fleet;
mod job;
mod lag;
mod merge;
mod part;
mod relay;
mod standing;
mod times;

pub use allowance::Allowance;
pub use allowance::Parts;
pub use allowance::Payer;
pub use allowance::Rank;
pub use blame::Blame;
pub use budget::Budget;
pub use budget::Part;
pub use fleet::Fleet;
pub use fleet::Made;
pub use fleet::Own;
pub use job::Job;
pub use job::Request;
pub use lag::Lag;
pub use merge::RECORD;
pub use merge::top;
pub use part::Lack;
pub use relay::Helper;
pub use relay::Relays;
pub use standing::Advice;
pub use standing::Standing;
pub use times::Times;

use std::time;

use crate::h1;
use crate::ids;
use crate::rate;
use crate::registry;

/// How long an upstream that has no room is left alone, and the pause told to
/// callers then: some queue has drained by then, and callers that were refused
/// together return apart.
const NO_ROOM_PAUSE: time::Duration = time::Duration::from_millis(40);

/// How requests are run. Times are of this VM's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Part of a route's aim after which a call counts as late and its part is
    /// hedged. A third leaves the other upstream time to answer within the aim.
    pub hedge_at: rate::Share,
    /// Left of the aim when an answer must be on its way, beside this process's
    /// own lag. Callers are up to 3 ms away one way and mostly open a connection
    /// first: four ways.
    pub answer_margin: time::Duration,
    /// Left of the deadline when the final answer must be on its way.
    pub deadline_margin: time::Duration,
    /// What a call to another data centre must save to be preferred over one
    /// to the same: the way there and back, and the price of its bytes.
    pub far_penalty: time::Duration,
    /// Extra calls to a service's upstreams that all VMs together may make, as
    /// a share of its requests.
    pub extra_share: rate::Share,
    /// Extra calls to a service's upstreams in a window, beside that share.
    pub extra_calls: f64,
    /// The window in which they are counted.
    pub extra_window: time::Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hedge_at: rate::Share::percent(30),
            answer_margin: time::Duration::from_millis(12),
            deadline_margin: time::Duration::from_millis(20),
            far_penalty: time::Duration::from_millis(6),
            extra_share: rate::Share::percent(20),
            extra_calls: 10.0,
            extra_window: time::Duration::from_secs(10),
        }
    }
}

/// Why a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("{}", self.name())]
pub enum Why {
    /// It is the part's first.
    First,
    /// The upstream of the one before is late.
    Hedge,
    /// The VM that was asked to make the one before tells nothing of it.
    Silent,
    /// The one before wasn't run.
    NotRun,
    /// The one before failed, and the request may run again.
    Failed,
}

impl Why {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Silent => "silent",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
        }
    }
}

/// What is to be done for a job.
#[derive(Debug)]
pub enum Action {
    /// Call an upstream.
    Send(Send),
    /// Nobody waits for this call any more.
    Abandon(ids::Attempt),
    /// The VM that was asked to make this call is silent.
    Silent(ids::Attempt),
    /// The job is over.
    Finish(Outcome),
}

/// A call to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Send {
    /// The call's id.
    pub call: ids::Attempt,
    /// The part it is for.
    pub part: usize,
    /// The upstream.
    pub upstream: registry::Handle,
    /// Why.
    pub why: Why,
    /// Who pays for it, where it is an extra one.
    pub payer: Payer,
    /// Whether a VM that is asked to make it does so in any case.
    pub insist: bool,
}

/// The end of a call.
#[derive(Debug)]
pub struct End {
    /// The call's id.
    pub call: ids::Attempt,
    /// The part it was for.
    pub part: usize,
    /// How it ended.
    pub verdict: Verdict,
    /// How long it took.
    pub took: time::Duration,
}

/// How a call ended.
#[derive(Debug)]
pub enum Verdict {
    /// The upstream ran it and replied with success.
    Good(h1::Reply),
    /// The upstream replied with a failure of its own: it may have run.
    Failure(h1::Reply),
    /// It wasn't run: the upstream said so.
    NotRun,
    /// It wasn't run: another upstream has the address.
    Misdirected,
    /// It wasn't run: no byte of it was sent.
    NotSent,
    /// It wasn't made: the VM that was asked knows the upstream to do badly.
    Advised(Advice),
    /// It wasn't made: nobody could pay for it.
    Unpaid,
    /// Its connection ended, or its reply can't be used: it may have run.
    Lost,
}

/// Why a request got no answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum Reason {
    /// No upstream that could run it is known to live.
    #[display("no_upstream")]
    NoUpstream,
    /// The upstreams have no room.
    #[display("no_room")]
    NoRoom,
    /// Too few shards can still answer.
    #[display("too_few_shards")]
    TooFewShards,
    /// Calls failed.
    #[display("upstreams_failed")]
    UpstreamsFailed,
    /// The time is over.
    #[display("timeout")]
    Timeout,
    /// The request crashes upstreams.
    #[display("quarantined")]
    Quarantined,
}

/// What the caller is told.
#[derive(Debug)]
pub enum Outcome {
    /// An upstream's own reply.
    Reply(h1::Reply),
    /// Merged from the replies of shards.
    Merged(Merged),
    /// Not run, and never will be.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: time::Duration,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: Reason,
    },
}

/// An answer that was merged from the replies of shards.
#[derive(Debug)]
pub struct Merged {
    /// The signatures of the parts that are in.
    pub signatures: Vec<String>,
    /// How many shards are left out.
    pub missing: usize,
    /// The greatest records, falling.
    pub records: Vec<u8>,
}

/// A call's time by the usual one.
fn ratio(took: time::Duration, usual: time::Duration) -> f64 {
    took.as_secs_f64() / usual.as_secs_f64().max(1e-6)
}

#[cfg(test)]
mod tests;
