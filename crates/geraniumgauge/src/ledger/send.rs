//! Delivers one claimed record: chooses the upstream and interprets the reply.
//!
//! A state machine without I/O. Under one claim the record is sent at most once
//! in a way that may run it: a further attempt is made only if the previous one
//! is known not to have run.

use std::collections;
use std::time;

use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::time as clock;

/// Delay suggested to the caller when overloaded upstreams did not accept the
/// record, or the deadline passed before it was sent.
const OVERLOADED_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Delay suggested to the caller when no upstream could be reached.
const UNREACHABLE_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// The home of the upstream that the record is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Home {
    Primary,
    Standby,
}

/// The result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Event {
    /// The home replied.
    Reply(message::Outcome, bytes::Bytes),
    /// Nothing was sent by this VM.
    Unsent,
    /// The link to the home was lost after the record was sent to it.
    Lost,
}

/// What the caller of the state machine has to do next.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Action {
    Send(ids::Upstream, Home),
    End(End),
}

/// How the delivery of a record ended.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum End {
    /// The record has run; contains the upstream's result.
    Done(bytes::Bytes),
    /// The record has not run, and will not be sent again under this claim.
    NotRun(query::Refusal),
    /// The record may have run.
    Unknown(query::Refusal),
}

/// The delivery of one claimed record.
#[derive(Debug)]
pub(super) struct Delivery {
    current: (ids::Upstream, Home),
    rest: collections::VecDeque<ids::Upstream>,
    deadline: clock::Moment,
    /// Set when the upstream's connection was lost while the record ran.
    crashed: bool,
}

impl Delivery {
    /// Creates the delivery of a record to upstream `first`; those in `rest` are
    /// tried in order if it did not run there.
    pub(super) fn new(
        first: ids::Upstream,
        rest: impl IntoIterator<Item = ids::Upstream>,
        deadline: clock::Moment,
    ) -> Self {
        Self {
            current: (first, Home::Primary),
            rest: rest.into_iter().collect(),
            deadline,
            crashed: false,
        }
    }

    /// Converts the end of the delivery to the end of its isolated trial.
    pub(super) fn trial_end(&self, end: &End) -> quarantine::trial::End {
        match end {
            End::Done(_) => quarantine::trial::End::Completed,
            End::NotRun(_) => quarantine::trial::End::NotRun,
            End::Unknown(_) if self.crashed => quarantine::trial::End::Lost,
            End::Unknown(_) => quarantine::trial::End::Unknown,
        }
    }

    /// Returns the upstream that the record was last sent to, or is about to be.
    pub(super) fn upstream(&self) -> &ids::Upstream {
        &self.current.0
    }

    /// Returns the first attempt, or the end if the deadline passed while the
    /// claim was made.
    pub(super) fn start(&self, now: clock::Moment) -> Action {
        if now >= self.deadline {
            return Action::End(End::NotRun(deadline_passed()));
        }
        Action::Send(self.current.0.clone(), self.current.1)
    }

    /// Handles the result of the attempt. `spend_retry` spends from the retry budget and
    /// returns whether the budget allowed it.
    pub(super) fn on(
        &mut self,
        event: Event,
        now: clock::Moment,
        spend_retry: impl FnOnce() -> bool,
    ) -> Action {
        use message::Outcome;
        match event {
            Event::Reply(Outcome::Hits, body) => Action::End(End::Done(body)),
            Event::Reply(Outcome::NotHome | Outcome::Stopping, _) | Event::Unsent => {
                self.other_home(now, spend_retry)
            }
            Event::Reply(outcome, _) if outcome.not_run() => {
                self.other_replica(now, spend_retry, refusal(outcome))
            }
            Event::Reply(outcome, _) => {
                self.crashed = outcome == Outcome::Lost;
                Action::End(End::Unknown(unknown(outcome)))
            }
            Event::Lost => {
                let text = "the link to the VM that sends the record to the upstream was lost";
                let refusal = query::Refusal::unknown(query::Code::Unavailable, text);
                Action::End(End::Unknown(refusal))
            }
        }
    }

    /// Tries the standby home without spending from the retry budget: the upstream
    /// has not seen the record, so this adds no load to it.
    fn other_home(&mut self, now: clock::Moment, spend_retry: impl FnOnce() -> bool) -> Action {
        if self.current.1 == Home::Standby {
            return self.other_replica(now, spend_retry, unreachable());
        }
        self.current.1 = Home::Standby;
        self.start(now)
    }

    fn other_replica(
        &mut self,
        now: clock::Moment,
        spend_retry: impl FnOnce() -> bool,
        why: query::Refusal,
    ) -> Action {
        if now >= self.deadline || self.rest.is_empty() || !spend_retry() {
            return Action::End(End::NotRun(why));
        }
        let Some(next) = self.rest.pop_front() else {
            return Action::End(End::NotRun(why));
        };
        self.current = (next, Home::Primary);
        Action::Send(self.current.0.clone(), self.current.1)
    }
}

fn deadline_passed() -> query::Refusal {
    let text = "the deadline passed before the record was sent";
    query::Refusal::not_run(query::Code::Deadline, text).retry_after(OVERLOADED_RETRY_DELAY)
}

fn unreachable() -> query::Refusal {
    let text = "no upstream of the shard can be reached";
    query::Refusal::not_run(query::Code::Unavailable, text).retry_after(UNREACHABLE_RETRY_DELAY)
}

fn refusal(outcome: message::Outcome) -> query::Refusal {
    match outcome {
        message::Outcome::Late | message::Outcome::Shed => {
            let text = "the upstreams of the shard are overloaded and did not accept the record";
            query::Refusal::not_run(query::Code::Overloaded, text)
                .retry_after(OVERLOADED_RETRY_DELAY)
        }
        _ => unreachable(),
    }
}

fn unknown(outcome: message::Outcome) -> query::Refusal {
    let (code, text) = match outcome {
        message::Outcome::Deadline => (
            query::Code::Deadline,
            "the deadline passed while the record ran",
        ),
        message::Outcome::Silent => (query::Code::Unavailable, "the upstream stopped responding"),
        message::Outcome::Failed => (query::Code::Unavailable, "the upstream reported an error"),
        _ => (
            query::Code::Unavailable,
            "the connection to the upstream was lost while the record ran",
        ),
    };
    let text = format!("{text}; read the key's state before sending the record again");
    query::Refusal::unknown(code, text)
}

#[cfg(test)]
#[path = "tests/send.rs"]
mod tests;
