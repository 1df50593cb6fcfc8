//! Calls that relays make for this VM.

use std::collections;
use std::net;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::state;
use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// A relay reports its merged replies this long before the requester would hedge,
/// so that the report arrives in time.
const REPORT_TRAVEL_TIME: time::Duration = time::Duration::from_millis(4);
/// Minimum delay before a relay merges replies, however early calls are hedged.
const MIN_MERGE_DELAY: time::Duration = time::Duration::from_millis(5);

/// Largest body, in bytes, that is sent to a relay. A larger one takes up memory here, at the relay
/// and in between, and this VM can send it itself.
const MAX_RELAYED_BODY: usize = 64 << 10;

/// Properties that calls must share to be sent in one batch.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Group {
    data_centre: ids::DataCentre,
    first: bool,
    /// Whether the relay is to charge a budget of its own.
    relay_pays: bool,
    mandatory: bool,
}

impl Group {
    /// Returns how long the relay collects replies before it merges them.
    fn merge_after(&self, job: &forward::Job) -> time::Duration {
        if !self.first {
            // Extra calls are late already, so their replies are reported at once.
            return time::Duration::ZERO;
        }
        let travel = job.hedge_after().saturating_sub(REPORT_TRAVEL_TIME);
        travel.max(MIN_MERGE_DELAY)
    }
}

impl state::State {
    /// Sends calls to relays where a relay is to pay, or where that is cheaper for a search.
    /// Returns those that this VM makes itself, and those that it can't make, as no relay is
    /// there to pay.
    pub(super) fn relay_calls(
        &mut self,
        job: u64,
        sends: Vec<forward::Send>,
        now: clock::Moment,
    ) -> Vec<forward::Send> {
        let Some(running) = self.running.get(&job) else {
            return sends;
        };
        let sharded = running.message.sharded;
        let (_, part_count) = running.job.progress();
        // Set if this VM has too few cores to make all calls of the search in time.
        let exceeds_own_capacity = sharded && self.relays.exceeds_own_capacity(part_count);
        let mut own = Vec::new();
        let mut groups: Vec<(Group, Vec<forward::Send>)> = Vec::new();
        for send in sends {
            let group = self.group(&send);
            // An extra call that is charged to this VM's budget is made directly if
            // this VM can make the search's calls itself or has an idle connection to
            // the upstream.
            let makes_extra =
                !group.first && (!exceeds_own_capacity || self.has_idle_connection(send.upstream));
            if !group.relay_pays && (!sharded || makes_extra) {
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
            let relay = if group.relay_pays {
                self.relays.choose_payer(&group.data_centre, now)
            } else if single {
                None
            } else {
                self.relays.choose(&group.data_centre, part_count, now)
            };
            let remaining = match relay {
                Some(address) => self.send_batch(job, address, sends, &group, now),
                None => sends,
            };
            own.extend(remaining);
        }
        own
    }

    fn group(&self, send: &forward::Send) -> Group {
        let upstream = &self.fleet.registry.get(send.upstream).entry;
        Group {
            data_centre: upstream.data_centre.clone(),
            first: send.reason == forward::CallReason::First,
            relay_pays: send.payment == forward::Payment::Relay,
            mandatory: send.mandatory,
        }
    }

    /// Sends calls to the relay at `address` as one batch. Returns them if the relay
    /// can't be reached or the request is too large, and nothing otherwise.
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
        if message.body.len() > MAX_RELAYED_BODY {
            return sends;
        }
        let call_time = running.job.latency().median();
        let merge_after = group.merge_after(&running.job);
        let with_address = self.relays.needs_addresses(address, now);
        let calls = Self::batch_calls(
            &self.fleet,
            &running.job,
            &sends,
            with_address,
            group.relay_pays,
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
            charge_relay: group.relay_pays,
            typical_us: clock::micros(call_time),
            mandatory: group.mandatory,
            whole_replies: !message.sharded,
        };
        let bytes = frame::Frame::bytes(frame::Kind::Batch(batch));
        if frame::Frame::is_too_large(&bytes) {
            return sends;
        }
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
            call.via = Some(call::Via {
                relay: address,
                permit: send.payment.into_permit(),
            });
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
            let via = self.calls.get(id).and_then(|call| call.via.as_ref());
            let relay = via.map(|via| via.relay);
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
            if sender.is_some_and(|sender| sender.send(&bytes).is_ok()) {
                continue;
            }
            // The relay abandons the calls when it sees that the connection has ended.
            if let Some(sender) = sender {
                log::info!(vm:% = address; "calls not abandoned; connection to VM ended");
                sender.abort();
            }
            self.relay_unreachable(address, now);
        }
    }
}
