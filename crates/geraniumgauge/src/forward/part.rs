//! One part of a job: what one service's upstreams are asked for.

use crate::forward;
use crate::h1;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// Calls of one part that were proven not run, beyond which it is given up.
/// Each costs its service an arrival, so trying on doesn't help a full one.
pub(super) const MAX_NOT_RUN: u32 = 3;

/// A call under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub(super) id: ids::Attempt,
    pub(super) upstream: registry::Handle,
    pub(super) began: clock::Moment,
    pub(super) known: Known,
    pub(super) why: forward::Why,
    pub(super) payer: forward::Payer,
}

/// What is known of a call while it has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Known {
    /// That its upstream hasn't replied.
    Out,
    /// Nothing yet: another VM makes it, and may have its reply already.
    Handed,
}

/// How a part stands.
#[derive(Debug)]
pub(super) enum State {
    /// Calls are under way.
    Open,
    /// It has its reply.
    Done(h1::Reply),
    /// It won't have one.
    Failed(forward::Reason),
}

/// Why a part has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(derive_more::Display)]
pub enum Lack {
    /// An extra call was wanted, and the service's allowance was spent.
    #[display("unpaid")]
    Unpaid,
    /// No upstream could be tried.
    #[display("no_upstream")]
    NoUpstream,
    /// Its calls failed or were declined.
    #[display("failed")]
    Failed,
    /// Its upstream is late, and no other was called.
    #[display("late")]
    Late,
    /// Several upstreams were called, and all are late.
    #[display("all_late")]
    AllLate,
}

/// One part.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) service: ids::Service,
    pub(super) state: State,
    pub(super) calls: Vec<Call>,
    pub(super) tried: Vec<registry::Handle>,
    /// Those among them that declined a call.
    pub(super) declined: Vec<registry::Handle>,
    /// Calls that may have run, those under way included.
    pub(super) may_have_run: u32,
    /// Calls that were proven not run.
    pub(super) not_run: u32,
    /// Calls that reached an upstream or may have: the first isn't extra.
    pub(super) arrivals: u32,
    /// Whether a VM advised against a call, so that the next one is made in any
    /// case.
    pub(super) advised: bool,
    /// Whether an extra call was wanted that nobody could pay for.
    pub(super) unpaid: bool,
    /// When it is hedged; `None` where it was, or can't be.
    pub(super) hedge_at: Option<clock::Moment>,
    /// An upstream's own failure, told to the caller where nothing better comes.
    pub(super) failure: Option<h1::Reply>,
}

impl Part {
    pub(super) fn new(service: ids::Service) -> Self {
        Self {
            service,
            state: State::Open,
            calls: Vec::with_capacity(2),
            tried: Vec::with_capacity(2),
            declined: Vec::new(),
            may_have_run: 0,
            not_run: 0,
            arrivals: 0,
            advised: false,
            unpaid: false,
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

    /// Why it has no reply; `None` where it has one.
    pub(super) fn lack(&self) -> Option<Lack> {
        match self.state {
            State::Done(_) => None,
            _ if self.unpaid => Some(Lack::Unpaid),
            State::Failed(forward::Reason::NoUpstream) => Some(Lack::NoUpstream),
            State::Failed(_) => Some(Lack::Failed),
            State::Open if self.tried.len() > 1 => Some(Lack::AllLate),
            State::Open => Some(Lack::Late),
        }
    }

    /// Lets upstreams that declined be tried again. One that declines a part of
    /// its calls though it has room may take the next one; a shard all of whose
    /// upstreams do so was given up after one call to each.
    pub(super) fn forgive(&mut self) {
        let declined = std::mem::take(&mut self.declined);
        self.tried.retain(|tried| !declined.contains(tried));
    }

    /// Takes the call off those under way.
    pub(super) fn take(&mut self, id: ids::Attempt) -> Option<Call> {
        let place = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.swap_remove(place))
    }
}
