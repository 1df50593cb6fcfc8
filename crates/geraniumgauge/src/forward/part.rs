//! One part of a job: the calls to the upstreams of one service.

use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// A part is given up once more than this many of its calls are known not to
/// have run. Each call adds load to its service, so further attempts don't help
/// a service that has no capacity.
pub(super) const MAX_NOT_RUN_CALLS: u32 = 3;

/// A call that has no result yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub(super) id: ids::Attempt,
    pub(super) upstream: registry::Handle,
    pub(super) began: clock::Moment,
    pub(super) progress: Progress,
    pub(super) reason: forward::CallReason,
    /// Whether a relay charges and watches it.
    pub(super) relay_pays: bool,
}

/// How much is known about a call that has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// The upstream hasn't replied.
    Pending,
    /// A relay makes the call and may already have the reply.
    Delegated,
}

/// State of a part.
#[derive(Debug)]
pub(super) enum State {
    /// Calls are in progress.
    Open,
    /// A reply was received.
    Done(h1::Reply),
    /// No reply can be received any more.
    Failed(forward::Reason),
}

/// The reason why a part has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(derive_more::Display)]
pub enum MissingReason {
    /// An extra call was needed, but the service's allowance was used up.
    #[display("unpaid")]
    NoBudget,
    /// No upstream could be tried.
    #[display("no_upstream")]
    NoUpstream,
    /// All calls failed or were declined.
    #[display("failed")]
    Failed,
    /// The upstream is late, and no other one was called.
    #[display("late")]
    Late,
    /// Several upstreams were called, and all of them are late.
    #[display("all_late")]
    AllLate,
}

/// The calls to one service's upstreams.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) service: ids::Service,
    pub(super) state: State,
    pub(super) calls: Vec<Call>,
    /// Calls whose connection was lost, so that they may still arrive.
    pub(super) lost: Vec<ids::Attempt>,
    pub(super) tried: Vec<registry::Handle>,
    /// Upstreams in `tried` that declined a call.
    pub(super) declined: Vec<registry::Handle>,
    /// Number of calls that may have run, including those in progress.
    pub(super) may_have_run: u32,
    /// Number of calls that were proven not run.
    pub(super) not_run: u32,
    /// Number of calls that reached an upstream of the service or may have. All but
    /// the first are extra calls.
    pub(super) arrivals: u32,
    /// Set when a relay advised against a call. The next call is mandatory.
    pub(super) advised: bool,
    /// Set when an extra call was needed that no budget allowed.
    pub(super) refused_by_budget: bool,
    /// When the part is hedged. `None` if it was hedged already or can't be.
    pub(super) hedge_at: Option<clock::Moment>,
    /// An upstream's failure reply, returned to the caller if no better reply
    /// comes.
    pub(super) failure: Option<h1::Reply>,
}

impl Part {
    pub(super) fn new(service: ids::Service) -> Self {
        Self {
            service,
            state: State::Open,
            calls: Vec::with_capacity(2),
            lost: Vec::new(),
            tried: Vec::with_capacity(2),
            declined: Vec::new(),
            may_have_run: 0,
            not_run: 0,
            arrivals: 0,
            advised: false,
            refused_by_budget: false,
            hedge_at: None,
            failure: None,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.state, State::Done(_))
    }

    /// Returns the calls that may arrive as extra ones if another one is made. Those that
    /// relays pay for aren't among them: if one isn't made, its own charge ends, at the relay.
    pub(super) fn siblings(&self) -> forward::Siblings {
        let watched = self.calls.iter().filter(|call| !call.relay_pays);
        forward::Siblings {
            in_progress: watched.map(|call| call.id).collect(),
            lost: self.lost.clone(),
        }
    }

    /// Returns who allows the next call, which has the id `call`; `None` if no budget does.
    pub(super) fn payment(
        &self,
        call: ids::Attempt,
        fleet: &mut forward::Fleet,
        now: clock::Moment,
    ) -> Option<forward::Payment> {
        if self.arrivals == 0 {
            return Some(forward::Payment::Permit(forward::Permit::first()));
        }
        fleet.take_extra(&self.service, call, &self.siblings(), now)
    }

    /// Returns the reason why the part has no reply, or `None` if it has one.
    pub(super) fn missing_reason(&self) -> Option<MissingReason> {
        match self.state {
            State::Done(_) => None,
            _ if self.refused_by_budget => Some(MissingReason::NoBudget),
            State::Failed(forward::Reason::NoUpstream) => Some(MissingReason::NoUpstream),
            State::Failed(_) => Some(MissingReason::Failed),
            State::Open if self.tried.len() > 1 => Some(MissingReason::AllLate),
            State::Open => Some(MissingReason::Late),
        }
    }

    /// Allows upstreams that declined a call to be tried again. An upstream
    /// that declines some calls although it has capacity may accept the next
    /// one. Otherwise a shard would be given up once each of its upstreams had
    /// declined one call.
    pub(super) fn retry_declined(&mut self) {
        let declined = std::mem::take(&mut self.declined);
        self.tried.retain(|tried| !declined.contains(tried));
    }

    /// Removes a call from those in progress.
    pub(super) fn remove_call(&mut self, id: ids::Attempt) -> Option<Call> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.swap_remove(index))
    }
}
