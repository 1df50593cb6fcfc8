//! Forwards requests to upstreams and decides what to answer their callers.
//!
//! A [`Job`] is the state machine of one request. It has a single part where
//! the route goes to one upstream, and one part per shard where the route is
//! sharded. It consumes events and emits [`Action`]s. [`Fleet`] holds the state
//! that all jobs of a VM share: the known upstreams, their recent health, and
//! the budgets for extra calls. This module performs no I/O.

mod allowance;
pub mod budget;
mod contact;
mod fleet;
mod health;
mod job;
mod lag;
mod latency;
mod merge;
mod part;
mod permit;
mod relay;
mod shares;
mod suspects;
mod transit;

pub use allowance::Allowance;
pub use allowance::Charge;
pub use allowance::Grant;
pub use allowance::ServiceSpending;
pub use allowance::Spending;
pub use allowance::Usage;
pub use budget::Budget;
pub use fleet::Fleet;
pub use fleet::LocalVm;
pub use fleet::StartedCall;
pub use health::Advice;
pub use health::Health;
pub use job::Job;
pub use job::Request;
pub use lag::Lag;
pub use latency::Latency;
pub use merge::RECORD_BYTES;
pub use merge::top_records;
pub use part::MissingReason;
pub use permit::Payment;
pub use permit::Permit;
pub use relay::Relay;
pub use relay::Relays;
pub use shares::Shares;
pub use shares::SizeClass;
pub use suspects::Suspects;
pub use transit::Settled;
pub use transit::Siblings;
pub use transit::Transit;

use std::time;

use crate::h1;
use crate::ids;
use crate::rate;
use crate::registry;

/// How long an upstream that reported no capacity is avoided, and the retry
/// delay that callers get in that case. Some queue has drained by then, and
/// callers that were refused together come back at different times.
pub(crate) const NO_CAPACITY_DELAY: time::Duration = time::Duration::from_millis(40);

/// Settings for running requests. Durations are measured on this VM's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Share of a route's latency target after which a call counts as late and
    /// its part is hedged. Must leave the second upstream enough time to answer
    /// within the target, as about a third does.
    pub hedge_share: rate::Share,
    /// Time before the latency target at which an answer must be sent, in
    /// addition to this process's own lag. Covers the network time to the
    /// caller: four one-way trips of up to 3 ms if the caller opens a connection
    /// first, as most do.
    pub answer_margin: time::Duration,
    /// Time before the deadline at which the final answer must be sent.
    pub deadline_margin: time::Duration,
    /// Time that a call to another data centre must save to be preferred over a
    /// call within this one. Covers the round trip and the price of the bytes
    /// sent.
    pub remote_penalty: time::Duration,
    /// Number of extra calls that all VMs together may make to a service's
    /// upstreams, as a share of its requests.
    pub extra_share: rate::Share,
    /// Number of extra calls to a service's upstreams that are allowed per
    /// window in addition to `extra_share`.
    pub extra_calls: f64,
    /// Length of the window in which extra calls are counted.
    pub extra_window: time::Duration,
    /// Time from an upstream's end for which no other one gets its address.
    pub address_reuse_delay: time::Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hedge_share: rate::Share::percent(30),
            answer_margin: time::Duration::from_millis(12),
            deadline_margin: time::Duration::from_millis(20),
            remote_penalty: time::Duration::from_millis(6),
            extra_share: rate::Share::percent(20),
            extra_calls: 10.0,
            extra_window: time::Duration::from_secs(10),
            address_reuse_delay: time::Duration::ZERO,
        }
    }
}

/// The reason for making a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("{}", self.name())]
pub enum CallReason {
    /// First call of its part.
    First,
    /// The upstream of the previous call is late.
    Hedge,
    /// The relay that was asked to make the previous call doesn't respond.
    Silent,
    /// The previous call wasn't run.
    NotRun,
    /// The previous call failed, and the request may run again.
    Failed,
}

impl CallReason {
    /// Returns the name used in logs and metrics.
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

/// An action that a job requests.
#[derive(Debug)]
pub enum Action {
    /// Call an upstream.
    Send(Send),
    /// Stop waiting for a call whose result is no longer wanted.
    Abandon(ids::Attempt),
    /// Report that the relay that was asked to make this call doesn't respond.
    ReportSilentRelay(ids::Attempt),
    /// End the job with this outcome.
    Finish(Outcome),
}

/// A call to make.
#[derive(Debug, PartialEq, Eq)]
pub struct Send {
    /// Identifies the call.
    pub call: ids::Attempt,
    /// Index of the part that the call is made for.
    pub part: usize,
    /// The upstream to call.
    pub upstream: registry::Handle,
    /// The reason for making the call.
    pub reason: CallReason,
    /// Who allows the call.
    pub payment: Payment,
    /// Set when a relay must make the call even if it would advise against it.
    pub mandatory: bool,
}

/// The end of a call.
#[derive(Debug)]
pub struct End {
    /// Identifies the call.
    pub call: ids::Attempt,
    /// Index of the part that the call was made for.
    pub part: usize,
    /// How it ended.
    pub verdict: Verdict,
    /// Time from the start of the call to its end.
    pub took: time::Duration,
}

/// How a call ended.
#[derive(Debug)]
pub enum Verdict {
    /// The upstream ran it and replied with success.
    Good(h1::Reply),
    /// The upstream replied with a failure of its own, so the request may have
    /// run.
    Failure(h1::Reply),
    /// The upstream replied that it didn't run the request.
    NotRun,
    /// Not run: another upstream answers at the address. It may be one of the same service,
    /// as where the upstream has started again.
    Misdirected,
    /// Not run: an upstream of another service answers at the address, or another one did
    /// before the call was sent.
    AddressLost,
    /// Not run: no byte of the request was sent.
    NotSent,
    /// Not made: the relay observed that the upstream is slow or declines
    /// calls.
    Advised(Advice),
    /// Not made: no budget allows the extra call.
    NoBudget,
    /// The connection ended or the reply can't be used, so the request may have
    /// run.
    Lost,
}

impl Verdict {
    /// Returns whether the call has arrived at its service or may still do so. An upstream
    /// that says that it didn't run a call has got it.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(
            self,
            Self::AddressLost | Self::NotSent | Self::Advised(_) | Self::NoBudget
        )
    }
}

/// The reason why no upstream answered a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum Reason {
    /// No upstream that could run the request is known to be alive.
    #[display("no_upstream")]
    NoUpstream,
    /// The upstreams have no capacity left.
    #[display("no_room")]
    NoCapacity,
    /// Too few shards can still answer.
    #[display("too_few_shards")]
    TooFewShards,
    /// Calls failed.
    #[display("upstreams_failed")]
    UpstreamsFailed,
    /// The deadline passed.
    #[display("timeout")]
    Timeout,
    /// The request crashes upstreams.
    #[display("quarantined")]
    Quarantined,
}

/// The answer to the caller.
#[derive(Debug)]
pub enum Outcome {
    /// The reply of a single upstream.
    Reply(h1::Reply),
    /// An answer merged from the replies of shards.
    Merged(Merged),
    /// The request didn't run and won't run later.
    NotRun {
        /// The reason for the refusal.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after: time::Duration,
    },
    /// The request may have run.
    Unknown {
        /// The reason for the missing answer.
        reason: Reason,
    },
}

/// An answer that was merged from the replies of shards.
#[derive(Debug)]
pub struct Merged {
    /// Signatures of the replies that were merged.
    pub signatures: Vec<String>,
    /// Number of shards without a reply.
    pub missing: usize,
    /// The greatest records in descending order.
    pub records: Vec<u8>,
}

/// Returns the time that a call took relative to the typical time.
fn ratio(took: time::Duration, typical_call_time: time::Duration) -> f64 {
    took.as_secs_f64() / typical_call_time.as_secs_f64().max(1e-6)
}

#[cfg(test)]
mod tests;
