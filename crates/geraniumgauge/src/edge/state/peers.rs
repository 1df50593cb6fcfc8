//! Connections between VMs.

use std::collections;
use std::net;

use crate::edge::sender;
use crate::edge::state;
use crate::edge::state::given_up;
use crate::edge::state::handover;
use crate::edge::state::serve;
use crate::forward;
use crate::ids;
use crate::time as clock;

/// Connections between VMs and the batches that this VM runs as a relay.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Connections that this VM opened to relays, by address.
    pub(super) outgoing: collections::HashMap<net::SocketAddr, sender::Sender>,
    /// Connections that other VMs opened to this one, by id.
    pub(super) incoming: collections::HashMap<u64, sender::Sender>,
    /// Batches of calls in progress for other VMs, by id.
    pub(super) batches: collections::HashMap<u64, serve::Batch>,
    /// Number of calls made for other VMs since this process started.
    pub(super) calls_made: u64,
    /// Set when this VM is stopping and accepts no more batches.
    pub(super) draining: bool,
    /// Given-up calls whose ends relays and requesters tell each other.
    pub(super) given_up: given_up::Calls,
    /// What stopped VMs have spent, for their successors.
    pub(super) spendings: handover::Spendings,
}

impl Peers {
    /// Returns the number of other VMs' batches in progress.
    pub(super) fn batch_count(&self) -> usize {
        self.batches.len()
    }

    /// Returns whether a requester waits for the end of a call that it has given up.
    pub(super) fn awaits(&self, call: ids::Attempt) -> bool {
        self.given_up.is_awaited(call)
    }
}

impl state::State {
    /// Returns the number of calls made for other VMs since this process started.
    pub(in crate::edge) fn calls_for_others(&self) -> u64 {
        self.peers.calls_made
    }

    /// Handles a new connection to a relay.
    pub(in crate::edge) fn peer_connected(
        &mut self,
        address: net::SocketAddr,
        sender: sender::Sender,
        now: clock::Moment,
    ) {
        self.peers.outgoing.insert(address, sender);
        self.relays.set_connected(address);
        log::info!(vm:% = address; "connected to VM");
        self.ask_for_spending(address, now);
    }

    /// Handles the loss of a connection to a relay: ends the calls sent to it as
    /// lost, since they may have run.
    pub(in crate::edge) fn peer_lost(
        &mut self,
        address: net::SocketAddr,
        error: &str,
        now: clock::Moment,
    ) {
        if self.peers.outgoing.remove(&address).is_some() {
            log::info!(vm:% = address, error = error; "connection to VM lost");
        }
        self.relays.link_lost(address);
        let via = self
            .calls
            .iter()
            .filter(|(_, call)| call.via.as_ref().is_some_and(|via| via.relay == address));
        let lost: Vec<ids::Attempt> = via.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(call) = self.calls.get_mut(&id) {
                call.unwatched = true;
            }
            self.end(id, forward::Verdict::Lost, now);
        }
        self.relay_unreachable(address, now);
        self.deliver_ended(now);
    }

    /// Handles the announcement of a relay that it is stopping: sends it no more
    /// calls, and lets it finish those it has.
    pub(in crate::edge) fn peer_going_away(&mut self, address: net::SocketAddr) {
        log::info!(vm:% = address; "VM takes no more calls");
        self.relays.link_lost(address);
    }
}
