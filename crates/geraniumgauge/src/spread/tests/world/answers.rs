//! Requests between VMs and their answers.

use std::time;

use crate::rate;
use crate::spread;
use crate::spread::tests::world;
use crate::spread::tests::world::links;
use crate::time as clock;

/// Longest time that a VM waits for an answer.
const ANSWER: time::Duration = time::Duration::from_secs(1);

impl world::World {
    /// Sends an answer. A large one uses the sender's link if that has capacity.
    pub(super) fn answer(
        &mut self,
        vm: usize,
        fetch: &spread::Fetch,
        question: u64,
        mut answer: spread::Answer,
    ) {
        let to = world::index(fetch.member.address);
        let size = match answer.config {
            Some(_) => rate::Bytes(self.size as u64),
            None => rate::Bytes(0),
        };
        let known = &mut self.vms[vm];
        match known.state.admit(fetch, size, self.now) {
            Ok(Some(ticket)) => {
                let transfer = links::Transfer {
                    to,
                    question,
                    answer,
                    ticket,
                    left: self.size,
                };
                known.link.begin(transfer, self.now);
                return self.send_next(vm);
            }
            Ok(None) => {}
            Err(elsewhere) => {
                answer.config = None;
                answer.registrations = None;
                answer.elsewhere = Some(elsewhere);
            }
        }
        self.deliver(vm, to, question, answer);
    }

    pub(super) fn send_next(&mut self, vm: usize) {
        if let Some((at, turn)) = self.vms[vm].link.next() {
            self.push(vm, self.now.until(at), world::Event::Sent(turn));
        }
    }

    pub(super) fn deliver(&mut self, vm: usize, to: usize, question: u64, answer: spread::Answer) {
        let way = self.way(vm, to);
        if self.reach(vm, to) {
            self.push(to, way, world::Event::Answered(question, answer));
        }
    }

    /// Closes the connection of a request on the requester's side.
    pub(super) fn hang_up(&mut self, vm: usize, question: u64) {
        if let Some(transfer) = self.vms[vm].link.abort(question, self.now) {
            self.vms[vm].state.told(transfer.ticket, self.now);
            self.act(vm);
            self.send_next(vm);
        }
    }

    pub(super) fn ask(&mut self, vm: usize, from: usize, fetch: spread::Fetch) {
        self.asked += 1;
        let question = self.asked;
        let asked = (from, self.now);
        self.vms[vm].questions.insert(question, asked);
        let wait = if self.reach(vm, from) {
            let way = self.way(vm, from) * 2;
            self.push(from, way, world::Event::Asked(question, fetch));
            ANSWER
        } else {
            time::Duration::from_millis(100)
        };
        self.push(vm, wait, world::Event::Overdue(question));
    }
}

/// Does what [`spread::Service`] does with an update before the state receives it.
pub(super) fn agree(
    state: &mut spread::State,
    theirs: &spread::Holds,
    sure: bool,
    now: clock::Moment,
) {
    let mut holds = state.holds();
    if holds.revision.is_some() && holds.digest == theirs.digest {
        holds.revision = holds.revision.max(theirs.revision);
        let sure = sure || state.is_sure();
        state.hold(holds, sure, now);
    }
}

/// Does what [`spread::Service`] does with an answer before the state receives it.
pub(super) fn take(
    state: &mut spread::State,
    answer: &mut spread::Answer,
    took: time::Duration,
    now: clock::Moment,
) {
    if !state.trusts(answer, took, now) {
        answer.config = None;
        answer.registrations = None;
        return;
    }
    let (mut holds, mut sure) = (state.holds(), state.is_sure());
    let theirs = answer.summary.holds;
    if answer.config.is_some() {
        holds.config = holds.config.max(theirs.config);
    }
    if answer.registrations.is_some() && theirs.revision >= holds.revision {
        (holds.revision, holds.digest) = (theirs.revision, theirs.digest);
        sure = answer.summary.sure;
    }
    state.hold(holds, sure, now);
    agree(state, &theirs, answer.summary.sure, now);
}
