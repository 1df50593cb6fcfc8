//! What becomes of given-up calls that relays made: the relay reports to the requester, whose
//! budget is charged meanwhile, that a call has arrived or wasn't made.

use std::collections;
use std::net;

use crate::edge::frame;
use crate::edge::state;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// A given-up call that a relay made for this VM.
#[derive(Debug, Clone, Copy)]
struct Relayed {
    relay: net::SocketAddr,
    upstream: registry::Handle,
}

/// A call of a requester.
#[derive(Debug, Clone, Copy)]
struct Requested {
    /// The requester's connection.
    peer: u64,
    /// The requester's id of the call.
    remote: u64,
}

/// Given-up calls whose ends relays and requesters tell each other.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// Calls of this VM whose relay will report their end.
    relayed: collections::HashMap<ids::Attempt, Relayed>,
    /// Calls that this VM made as a relay, and whose end their requester awaits.
    requested: collections::HashMap<ids::Attempt, Requested>,
}

impl Calls {
    /// Adds a call of this VM whose relay is asked to report its end.
    pub(super) fn relayed(
        &mut self,
        call: ids::Attempt,
        relay: net::SocketAddr,
        upstream: registry::Handle,
    ) {
        self.relayed.insert(call, Relayed { relay, upstream });
    }

    /// Adds a call that this VM makes for the requester at `peer`, which calls it `remote`.
    pub(super) fn requested(&mut self, call: ids::Attempt, peer: u64, remote: u64) {
        self.requested.insert(call, Requested { peer, remote });
    }

    /// Removes the calls of a requester whose connection has ended.
    pub(super) fn requester_gone(&mut self, peer: u64) {
        self.requested.retain(|_, call| call.peer != peer);
    }

    /// Returns whether a requester awaits the end of a call that this VM makes for it.
    pub(super) fn is_awaited(&self, call: ids::Attempt) -> bool {
        self.requested.contains_key(&call)
    }
}

impl state::State {
    /// Reports the end of a call to its requester, if that awaits it.
    pub(super) fn report_over(&mut self, call: ids::Attempt, was_made: bool) {
        if let Some(requested) = self.peers.given_up.requested.remove(&call) {
            let how = if was_made {
                frame::How::Lost
            } else {
                frame::How::NotSent
            };
            self.report_given_up(requested.peer, requested.remote, how);
        }
    }

    /// Reports what became of a call that the requester at `peer` has given up.
    pub(super) fn report_given_up(&mut self, peer: u64, remote: u64, how: frame::How) {
        let report = frame::Report {
            ends: vec![frame::End::new(remote, how)],
            ..frame::Report::default()
        };
        self.send_to(peer, frame::Kind::Report(report));
    }

    /// Handles a relay's report of the end of a given-up call.
    pub(super) fn relayed_call_over(
        &mut self,
        call: ids::Attempt,
        how: frame::How,
        now: clock::Moment,
    ) {
        let Some(relayed) = self.peers.given_up.relayed.remove(&call) else {
            return;
        };
        self.call_over(call, relayed.upstream, how.may_have_arrived(), now);
    }

    /// Handles a relay that can't report any more what became of given-up calls.
    pub(super) fn relay_unreachable(&mut self, relay: net::SocketAddr, now: clock::Moment) {
        let calls = &mut self.peers.given_up.relayed;
        let lost = calls.extract_if(|_, call| call.relay == relay);
        for (call, relayed) in lost {
            self.fleet.call_unwatched(call, relayed.upstream, now);
        }
    }
}
