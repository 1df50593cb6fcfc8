//! Sends one claimed record: where to, and what each end means.
//!
//! A state machine without I/O. After the claim is granted, the record is sent
//! at most once in a way that may start the work. Only an attempt that is known
//! not to have run is followed by another one, under the same claim.

use std::collections;
use std::time;

use crate::ids;
use crate::mesh::message;
use crate::quarantine;
use crate::query;
use crate::time as clock;

/// When to come back after a record that loaded upstreams did not take.
const AGAIN_LOADED: time::Duration = time::Duration::from_millis(500);
/// When to come back after a record that no upstream could be reached for.
const AGAIN_AWAY: time::Duration = time::Duration::from_secs(1);

/// Which home of the upstream takes the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Home {
    Primary,
    Standby,
}

/// What came of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Event {
    /// The home has answered.
    Reply(message::Outcome, bytes::Bytes),
    /// Nothing has left this VM.
    Unsent,
    /// The link to the home was lost after the record was handed to it.
    Lost,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Action {
    Send(ids::Upstream, Home),
    End(End),
}

/// How it ended.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum End {
    /// It has run; the upstream's result.
    Done(bytes::Bytes),
    /// It has not run, and nobody may send under this claim any more.
    NotRun(query::Refusal),
    /// It may have run.
    Unknown(query::Refusal),
}

/// One claimed record on its way.
#[derive(Debug)]
pub(super) struct Sending {
    current: (ids::Upstream, Home),
    rest: collections::VecDeque<ids::Upstream>,
    deadline: clock::Moment,
    /// The upstream's connection was lost while it ran.
    crashed: bool,
}

impl Sending {
    /// A record for the first of `replicas`, or any of the others.
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

    /// What its end says of a lone trial.
    pub(super) fn trial_end(&self, end: &End) -> quarantine::trial::End {
        match end {
            End::Done(_) => quarantine::trial::End::Completed,
            End::NotRun(_) => quarantine::trial::End::NotRun,
            End::Unknown(_) if self.crashed => quarantine::trial::End::Lost,
            End::Unknown(_) => quarantine::trial::End::Unknown,
        }
    }

    /// The upstream that it was last sent to, or is about to be.
    pub(super) fn upstream(&self) -> &ids::Upstream {
        &self.current.0
    }

    /// The first attempt. The claim may have taken long: a record past its
    /// deadline is not sent.
    pub(super) fn start(&self, now: clock::Moment) -> Action {
        if now >= self.deadline {
            return Action::End(End::NotRun(late()));
        }
        Action::Send(self.current.0.clone(), self.current.1)
    }

    /// Follows what came of the attempt. `pay` takes from the retry budget.
    pub(super) fn on(
        &mut self,
        event: Event,
        now: clock::Moment,
        pay: impl FnOnce() -> bool,
    ) -> Action {
        use message::Outcome;
        match event {
            Event::Reply(Outcome::Hits, body) => Action::End(End::Done(body)),
            Event::Reply(Outcome::NotHome | Outcome::Stopping, _) | Event::Unsent => {
                self.other_home(now, pay)
            }
            Event::Reply(outcome, _) if outcome.not_run() => {
                self.other_replica(now, pay, refusal(outcome))
            }
            Event::Reply(outcome, _) => {
                self.crashed = outcome == Outcome::Lost;
                Action::End(End::Unknown(unknown(outcome)))
            }
            Event::Lost => {
                let text = "the link to the VM that sends the record was lost";
                let refusal = query::Refusal::unknown(query::Code::Unavailable, text);
                Action::End(End::Unknown(refusal))
            }
        }
    }

    /// No upstream has seen the record, so another home costs them nothing.
    fn other_home(&mut self, now: clock::Moment, pay: impl FnOnce() -> bool) -> Action {
        if self.current.1 == Home::Standby {
            return self.other_replica(now, pay, away());
        }
        self.current.1 = Home::Standby;
        self.start(now)
    }

    fn other_replica(
        &mut self,
        now: clock::Moment,
        pay: impl FnOnce() -> bool,
        why: query::Refusal,
    ) -> Action {
        if now >= self.deadline || self.rest.is_empty() || !pay() {
            return Action::End(End::NotRun(why));
        }
        let Some(next) = self.rest.pop_front() else {
            return Action::End(End::NotRun(why));
        };
        self.current = (next, Home::Primary);
        Action::Send(self.current.0.clone(), self.current.1)
    }
}

fn late() -> query::Refusal {
    let text = "the deadline passed before the record was sent";
    query::Refusal::not_run(query::Code::Deadline, text).retry_after(AGAIN_LOADED)
}

fn away() -> query::Refusal {
    let text = "no upstream of the shard can be reached";
    query::Refusal::not_run(query::Code::Unavailable, text).retry_after(AGAIN_AWAY)
}

fn refusal(outcome: message::Outcome) -> query::Refusal {
    match outcome {
        message::Outcome::Late | message::Outcome::Shed => {
            let text = "the upstreams of the shard are too loaded to take the record";
            query::Refusal::not_run(query::Code::Overloaded, text).retry_after(AGAIN_LOADED)
        }
        _ => away(),
    }
}

fn unknown(outcome: message::Outcome) -> query::Refusal {
    let (code, text) = match outcome {
        message::Outcome::Deadline => (query::Code::Deadline, "the deadline passed while it ran"),
        message::Outcome::Silent => (query::Code::Unavailable, "the upstream has gone silent"),
        message::Outcome::Failed => (query::Code::Unavailable, "the upstream reported an error"),
        _ => (
            query::Code::Unavailable,
            "the connection was lost while it ran",
        ),
    };
    let text = format!("{text}; read the key back before sending it again");
    query::Refusal::unknown(code, text)
}

#[cfg(test)]
#[path = "tests/send.rs"]
mod tests;
