//! Requests between VMs and their answers.

use std::time;

use crate::rate;
use crate::spread;
use crate::spread::tests::world;
use crate::spread::tests::world::links;
use crate::time as clock;

/// Longest time that a VM waits for an answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

impl world::World {
    /// Sends an answer. A large one uses the sender's link if that has capacity.
    pub(super) fn answer(
        &mut self,
        vm: usize,
        fetch: &spread::Fetch,
        request: u64,
        mut answer: spread::Answer,
    ) {
        let to = world::index(fetch.member.address);
        let size = match answer.config {
            Some(_) => rate::Bytes(self.size as u64),
            None => rate::Bytes(0),
        };
        let known = &mut self.vms[vm];
        match known.state.admit(fetch, size, self.now) {
            Ok(Some(reservation)) => {
                let transfer = links::Transfer {
                    to,
                    request,
                    answer,
                    reservation,
                    bytes_left: self.size,
                };
                known.link.begin(transfer, self.now);
                return self.send_next(vm);
            }
            Ok(None) => {}
            Err(redirect) => {
                answer.config = None;
                answer.registrations = None;
                answer.redirect = Some(redirect);
            }
        }
        self.deliver(vm, to, request, answer);
    }

    pub(super) fn send_next(&mut self, vm: usize) {
        if let Some((at, generation)) = self.vms[vm].link.next_completion() {
            self.push(
                vm,
                self.now.until(at),
                world::Event::Transferred(generation),
            );
        }
    }

    pub(super) fn deliver(&mut self, vm: usize, to: usize, request: u64, answer: spread::Answer) {
        let latency = self.latency(vm, to);
        if self.can_reach(vm, to) {
            self.push(to, latency, world::Event::Answered(request, answer));
        }
    }

    /// Closes the connection of a request on the requester's side.
    pub(super) fn close_request(&mut self, vm: usize, request: u64) {
        if let Some(transfer) = self.vms[vm].link.abort(request, self.now) {
            self.vms[vm].state.release(transfer.reservation, self.now);
            self.advance(vm);
            self.send_next(vm);
        }
    }

    pub(super) fn ask(&mut self, vm: usize, from: usize, fetch: spread::Fetch) {
        self.last_request += 1;
        let request = self.last_request;
        let asked = (from, self.now);
        self.vms[vm].requests.insert(request, asked);
        let wait = if self.can_reach(vm, from) {
            let latency = self.latency(vm, from) * 2;
            self.push(from, latency, world::Event::Asked(request, fetch));
            ANSWER_TIMEOUT
        } else {
            time::Duration::from_millis(100)
        };
        self.push(vm, wait, world::Event::TimedOut(request));
    }
}

/// Does what [`spread::Service`] does with an update before the state receives it.
pub(super) fn adopt(
    state: &mut spread::State,
    theirs: &spread::Position,
    verified: bool,
    now: clock::Moment,
) {
    let mut position = state.position();
    if position.revision.is_some() && position.digest == theirs.digest {
        position.revision = position.revision.max(theirs.revision);
        let verified = verified || state.is_verified();
        state.set_position(position, verified, now);
    }
}

/// Does what [`spread::Service`] does with an answer before the state receives it.
pub(super) fn apply(
    state: &mut spread::State,
    answer: &mut spread::Answer,
    took: time::Duration,
    now: clock::Moment,
) {
    if !state.accepts(answer, took, now) {
        answer.config = None;
        answer.registrations = None;
        return;
    }
    let (mut position, mut verified) = (state.position(), state.is_verified());
    let theirs = answer.summary.position;
    if answer.config.is_some() {
        position.config = position.config.max(theirs.config);
    }
    if answer.registrations.is_some() && theirs.revision >= position.revision {
        (position.revision, position.digest) = (theirs.revision, theirs.digest);
        verified = answer.summary.verified;
    }
    state.set_position(position, verified, now);
    adopt(state, &theirs, answer.summary.verified, now);
}
