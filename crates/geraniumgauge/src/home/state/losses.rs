//! Connections lost during searches, as far as they may mean that a request has crashed
//! the upstream.

use super::Action;
use super::State;
use super::connections;
use super::job;
use crate::mesh::message;
use crate::time::Moment;

/// An abandoned call whose connection was lost. An upstream may also end a cancelled
/// call by closing its connection, so the next probe decides.
#[derive(Debug)]
pub(super) struct Uncertain {
    call: connections::Call,
    lost: Moment,
}

impl State {
    /// Returns whether the upstream may have closed the connection to end a cancelled call.
    pub(super) fn is_uncertain(&self, call: &connections::Call, now: Moment) -> bool {
        call.abandoned_until.is_some() && !call.job.is_record() && self.may_probe(now)
    }

    /// Lets the next probe decide whether the upstream was lost during an abandoned call.
    pub(super) fn await_probe(&mut self, call: &connections::Call, now: Moment) {
        let call = call.clone();
        self.uncertain_losses.push(Uncertain { call, lost: now });
        self.probe.make_due(now);
    }

    /// Reports the loss of a call's connection, if the call's coordinator isn't certain
    /// to do so: it may have the answer of an abandoned call already, and may have ended.
    /// Canaries and trials are always reported, since that saves the way to the
    /// coordinator while other VMs may send theirs.
    pub(super) fn call_lost(&mut self, call: &connections::Call) {
        let reported = call.abandoned_until.is_some() || call.job.is_single();
        if reported && !call.job.is_record() {
            self.actions.push(Action::Lost(call.job.clone()));
        }
    }

    /// Decides on abandoned calls whose connections were lost before a probe that began
    /// at `began`.
    pub(super) fn resolve_losses(&mut self, began: Moment, answered: bool, now: Moment) {
        let losses = std::mem::take(&mut self.uncertain_losses);
        let (resolved, open): (Vec<_>, Vec<_>) =
            losses.into_iter().partition(|loss| loss.lost <= began);
        self.uncertain_losses = open;
        for Uncertain { call, .. } in resolved {
            let outcome = if answered {
                message::Outcome::Cancelled
            } else {
                self.call_lost(&call);
                message::Outcome::Lost
            };
            if call.owes_answer {
                let answer = call.answer(outcome, None, now);
                self.actions.push(Action::Answer(answer));
            }
        }
        if !self.uncertain_losses.is_empty() {
            self.probe.make_due(now);
        }
    }
}

impl job::Job {
    /// Returns true if the call is the only one of its request: a canary or a trial.
    pub fn is_single(&self) -> bool {
        matches!(self.kind, message::Kind::Canary | message::Kind::Trial) && !self.is_record()
    }
}
