//! Calls that relays make for this VM.

use std::collections;
use std::net;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::sender;
use crate::edge::state;
use crate::edge::state::given_up;
use crate::edge::state::handover;
use crate::edge::state::serve;
use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// A relay reports its merged replies this long before the requester would hedge,
/// so that the report arrives in time.
const REPORT_TRAVEL_TIME: time::Duration = time::Duration::from_millis(4);
/// Minimum delay before a relay merges replies, however early calls are hedged.
const MIN_MERGE_DELAY: time::Duration = time::Duration::from_millis(5);

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

/// Properties that calls must share to be sent in one batch.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Group {
    data_centre: ids::DataCentre,
    first: bool,
    charged_vm: forward::ChargedVm,
    mandatory: bool,
}

impl state::State {
    /// Sends calls of a search to relays where that is cheaper, and returns those
    /// that this VM makes itself.
    pub(super) fn relay_calls(
        &mut self,
        job: u64,
        sends: Vec<forward::Send>,
        now: clock::Moment,
    ) -> Vec<forward::Send> {
        let Some(running) = self
            .running
            .get(&job)
            .filter(|running| running.message.sharded)
        else {
            return sends;
        };
        let (_, part_count) = running.job.progress();
        // Set if this VM has too few cores to make all calls of the search in time.
        let exceeds_own_capacity = self.relays.exceeds_own_capacity(part_count);
        let mut own = Vec::new();
        let mut groups: Vec<(Group, Vec<forward::Send>)> = Vec::new();
        for send in sends {
            let upstream = &self.fleet.registry.get(send.upstream).entry;
            let group = Group {
                data_centre: upstream.data_centre.clone(),
                first: send.reason == forward::CallReason::First,
                charged_vm: send.charged_vm,
                mandatory: send.mandatory,
            };
            // An extra call that is charged to this VM's budget is made directly if
            // this VM can make the search's calls itself or has an idle connection to
            // the upstream.
            let charged_here = send.charged_vm == forward::ChargedVm::Own;
            if !group.first
                && charged_here
                && (!exceeds_own_capacity || self.has_idle_connection(send.upstream))
            {
                own.push(send);
                continue;
            }
            match groups.iter_mut().find(|(known, _)| *known == group) {
                Some((_, sends)) => sends.push(send),
                None => groups.push((group, vec![send])),
            }
        }
        for (group, sends) in groups {
            // A single first call is made directly, unless this VM has too few cores
            // for the search: then the relay, which already has a connection open,
            // saves it from opening one.
            let single = group.first && sends.len() == 1 && !exceeds_own_capacity;
            let relay = if single {
                None
            } else {
                self.relays.choose(&group.data_centre, part_count, now)
            };
            let remaining = match relay {
                Some(address) => self.send_batch(job, address, sends, &group, now),
                None => sends,
            };
            match group.charged_vm {
                forward::ChargedVm::Own => own.extend(remaining),
                forward::ChargedVm::Relay => self.end_without_budget(job, remaining, now),
            }
        }
        own
    }

    /// Ends calls that no budget allows: they were to be charged to a relay, and none is
    /// available.
    fn end_without_budget(&mut self, job: u64, sends: Vec<forward::Send>, now: clock::Moment) {
        let Some(running) = self.running.get(&job) else {
            return;
        };
        let message = running.message.clone();
        let call_time = running.job.latency().median();
        for send in sends {
            let owner = call::Owner::of(job, &send);
            let call = call::Call::new(owner, send.upstream, message.clone(), call_time, now);
            self.calls.insert(send.call, call);
            self.end(send.call, forward::Verdict::NoBudget, now);
        }
    }

    /// Sends calls to the relay at `address` as one batch. Returns them if the relay
    /// can't be reached, and nothing otherwise.
    fn send_batch(
        &mut self,
        job: u64,
        address: net::SocketAddr,
        sends: Vec<forward::Send>,
        group: &Group,
        now: clock::Moment,
    ) -> Vec<forward::Send> {
        let Some(running) = self.running.get_mut(&job) else {
            return Vec::new();
        };
        let message = running.message.clone();
        let call_time = running.job.latency().median();
        let merge_after = running
            .job
            .hedge_after()
            .saturating_sub(REPORT_TRAVEL_TIME)
            .max(MIN_MERGE_DELAY);
        // Extra calls are late already, so their replies are reported at once.
        let merge_after = if group.first {
            merge_after
        } else {
            time::Duration::ZERO
        };
        let charge_relay = group.charged_vm == forward::ChargedVm::Relay;
        let with_address = self.relays.needs_addresses(address, now);
        let calls = Self::batch_calls(
            &self.fleet,
            &running.job,
            &sends,
            with_address,
            charge_relay,
        );
        let batch = frame::Batch {
            request_id: message.id.clone(),
            head: message.head.clone(),
            body: message.body.clone(),
            has_body: message.has_body,
            timeout_us: clock::micros(now.until(message.deadline)),
            merge_after_us: clock::micros(merge_after),
            top_k: u32::try_from(running.job.top_k()).unwrap_or(u32::MAX),
            calls,
            first: group.first,
            charge_relay,
            typical_us: clock::micros(call_time),
            mandatory: group.mandatory,
        };
        let bytes = frame::Frame::bytes(frame::Kind::Batch(batch));
        let sender = self.peers.outgoing.get(&address);
        if sender.is_none_or(|sender| sender.send(&bytes).is_err()) {
            return sends;
        }
        self.relays.asked(address, now);
        running.relayed.extend(sends.iter().map(|send| send.call));
        running
            .job
            .delegated(&sends, merge_after + self.relays.lateness());
        for send in sends {
            self.instruments.call(send.reason);
            self.log_extra_call(&message, &send, now);
            let owner = call::Owner::of(job, &send);
            let mut call = call::Call::new(owner, send.upstream, message.clone(), call_time, now);
            call.via = Some(address);
            call.charged_vm = group.charged_vm;
            self.calls.insert(send.call, call);
        }
        Vec::new()
    }

    /// Returns the calls of a batch.
    fn batch_calls(
        fleet: &forward::Fleet,
        job: &forward::Job,
        sends: &[forward::Send],
        with_address: bool,
        charge_relay: bool,
    ) -> Vec<frame::Call> {
        let entry = |upstream: registry::Handle| &fleet.registry.get(upstream).entry;
        let call = |send: &forward::Send| {
            let mut call = frame::Call::new(send.call, entry(send.upstream), with_address);
            if charge_relay {
                let unanswered = job.unanswered(send.part, send.call);
                call.earlier = unanswered
                    .map(|upstream| entry(upstream).id.to_string())
                    .collect();
            }
            call
        };
        sends.iter().map(call).collect()
    }

    /// Removes calls and notifies their relays that they are abandoned.
    pub(super) fn abandon_relayed(&mut self, calls: &[ids::Attempt], now: clock::Moment) {
        let mut by_relay: collections::BTreeMap<net::SocketAddr, frame::Abandon> =
            Default::default();
        for id in calls {
            let relay = self.calls.get(id).and_then(|call| call.via);
            let (Some(address), Some(call)) = (relay, self.calls.remove(id)) else {
                // The relay has reported its end, or this VM has made it itself.
                continue;
            };
            let abandon = by_relay.entry(address).or_default();
            abandon.calls.push(id.0);
            if self.give_up(*id, call.upstream, &call.message, now) {
                abandon.charged.push(id.0);
                self.peers.given_up.relayed(*id, address, call.upstream);
            }
            self.abandoned_call_ended(&call, &forward::Verdict::Lost, now);
        }
        for (address, abandon) in by_relay {
            let bytes = frame::Frame::bytes(frame::Kind::Abandon(abandon));
            let sender = self.peers.outgoing.get(&address);
            if sender.is_none_or(|sender| sender.send(&bytes).is_err()) {
                // The relay abandons the calls when it sees that the connection has failed.
                self.relay_unreachable(address, now);
            }
        }
    }

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
            .filter(|(_, call)| call.via == Some(address));
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
