//! Calls that this VM makes as a relay for other VMs, the requesters.

mod report;

use std::collections;
use std::rc;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::pool;
use crate::edge::sender;
use crate::edge::state;
use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// A requester's batch of calls in progress.
#[derive(Debug)]
pub(super) struct Batch {
    /// The connection over which it arrived.
    peer: u64,
    /// Maximum number of records in the merged replies.
    top_k: usize,
    /// Calls in progress, by the requester's ids.
    pending: collections::HashMap<u64, ids::Attempt>,
    /// Good replies that haven't been reported yet.
    replies: Vec<(frame::End, bytes::Bytes)>,
    /// When the batch was received.
    received_at: clock::Moment,
    /// How long after `received_at` the good replies are merged and reported.
    merge_after: time::Duration,
    /// Whether each reply is reported at once, as it is after the merge time.
    immediate: bool,
    /// Whether replies are reported whole, as those to a request to one upstream are.
    whole_replies: bool,
}

/// The requester's terms for the calls of a batch.
#[derive(Debug, Clone, Copy)]
struct Terms {
    /// Whether each call is the first one for its part.
    first: bool,
    /// Whether this VM pays for the calls from its own allowance.
    charge_relay: bool,
    /// Whether the calls are made even to upstreams this VM advises against.
    mandatory: bool,
    /// Typical duration of the calls.
    typical_call_time: time::Duration,
}

impl state::State {
    /// Adds a connection that another VM opened and returns its id.
    pub(in crate::edge) fn peer_accepted(&mut self, sender: sender::Sender) -> u64 {
        let peer = self.new_id();
        if self.peers.draining {
            Self::send_go_away(&sender);
        }
        self.peers.incoming.insert(peer, sender);
        peer
    }

    /// Announces to the connected VMs that this one is stopping and accepts no more
    /// batches.
    pub(in crate::edge) fn decline_calls(&mut self) {
        self.peers.draining = true;
        for sender in self.peers.incoming.values() {
            Self::send_go_away(sender);
        }
    }

    fn send_go_away(sender: &sender::Sender) {
        let bytes = frame::Frame::bytes(frame::Kind::GoAway(frame::GoAway {}));
        // If the connection has failed, the other VM notices by itself.
        let _ = sender.send(&bytes);
    }

    /// Removes a connection that has ended and abandons the calls of its batches.
    pub(in crate::edge) fn peer_disconnected(&mut self, peer: u64, now: clock::Moment) {
        self.peers.incoming.remove(&peer);
        self.peers.given_up.requester_gone(peer);
        let of_peer = self
            .peers
            .batches
            .iter()
            .filter(|(_, batch)| batch.peer == peer);
        let batches: Vec<u64> = of_peer.map(|(id, _)| *id).collect();
        for batch in batches {
            let Some(batch) = self.peers.batches.remove(&batch) else {
                continue;
            };
            for call in batch.pending.into_values() {
                self.abandon(call, now);
            }
        }
        self.deliver_ended(now);
    }

    /// Starts a requester's batch. Calls that can't be made are reported at once, in
    /// one frame, so that the requester can make them elsewhere.
    pub(in crate::edge) fn batch_received(
        &mut self,
        peer: u64,
        batch: frame::Batch,
        now: clock::Moment,
    ) {
        let message = rc::Rc::new(call::Message {
            id: batch.request_id,
            head_only: batch.whole_replies && batch.head.starts_with(b"HEAD "),
            head: batch.head,
            body: batch.body,
            has_body: batch.has_body,
            sharded: !batch.whole_replies,
            deadline: now + time::Duration::from_micros(batch.timeout_us),
        });
        let id = self.new_id();
        self.peers.batches.insert(
            id,
            Batch {
                peer,
                top_k: batch.top_k as usize,
                pending: collections::HashMap::with_capacity(batch.calls.len()),
                replies: Vec::with_capacity(batch.calls.len()),
                received_at: now,
                merge_after: time::Duration::from_micros(batch.merge_after_us),
                immediate: batch.merge_after_us == 0,
                whole_replies: batch.whole_replies,
            },
        );
        let terms = Terms {
            first: batch.first,
            charge_relay: batch.charge_relay,
            mandatory: batch.mandatory,
            typical_call_time: time::Duration::from_micros(batch.typical_us),
        };
        let requested = batch.calls.iter();
        let not_made: Vec<frame::End> = requested
            .filter_map(|requested| {
                self.call_for_peer(id, requested, terms, &message, now)
                    .err()
            })
            .collect();
        if !not_made.is_empty() {
            self.report_ends(id, not_made, now);
        }
        if batch.whole_replies {
            self.report_pending(id);
        }
        if batch.merge_after_us > 0 && self.peers.batches.contains_key(&id) {
            let at = now + time::Duration::from_micros(batch.merge_after_us);
            self.effects.push(state::Effect::Merge { batch: id, at });
        }
        self.deliver_ended(now);
    }

    /// Starts a call for a requester.
    ///
    /// # Errors
    /// If the call isn't made; the error is the end to report.
    fn call_for_peer(
        &mut self,
        batch: u64,
        requested: &frame::Call,
        terms: Terms,
        message: &rc::Rc<call::Message>,
        now: clock::Moment,
    ) -> Result<(), frame::End> {
        let own = self.fleet.own().data_centre.clone();
        let registry = &mut self.fleet.registry;
        let named = match requested.upstream.parse() {
            Ok(id) => registry.resolve(&id, requested.described(), &own, now),
            Err(_) => Err(registry::Error::Unknown),
        };
        let upstream = named.map_err(|why| {
            log::info!(
                request = message.id.as_str(), upstream = requested.upstream.as_str(), why:% = why;
                "call for another VM not made"
            );
            let how = match why {
                registry::Error::Unknown => frame::How::Unknown,
                registry::Error::Leaving => frame::How::NotSent,
            };
            frame::End::new(requested.id, how)
        })?;
        if !terms.mandatory
            && let Some(advice) = self.fleet.advice(upstream, now)
        {
            return Err(frame::End::advised(requested.id, advice));
        }
        let id = self.fleet.next_call();
        if terms.first {
            self.fleet.count_first_call(upstream, now);
        }
        let permit = if terms.charge_relay {
            let earlier = self.handles(&requested.earlier);
            let charged = self.fleet.take_extra_for_other(upstream, id, &earlier, now);
            self.log_charge(message, upstream, id, now);
            charged.ok_or_else(|| frame::End::new(requested.id, frame::How::NoBudget))?
        } else {
            forward::Permit::of_requester()
        };
        if let Some(batch) = self.peers.batches.get_mut(&batch) {
            batch.pending.insert(requested.id, id);
        }
        self.peers.calls_made += 1;
        self.fleet.health(upstream).start();
        let owner = call::Owner::Batch {
            batch,
            remote: requested.id,
        };
        let call = call::Call::new(
            owner,
            upstream,
            message.clone(),
            terms.typical_call_time,
            now,
        );
        self.calls.insert(id, call);
        self.wait_for_link(upstream, pool::Waiting::new(id, permit), now);
        Ok(())
    }

    /// Logs and counts an extra call of a requester, if it is charged to this VM.
    fn log_charge(
        &mut self,
        message: &call::Message,
        upstream: registry::Handle,
        call: ids::Attempt,
        now: clock::Moment,
    ) {
        let Some(usage) = self.fleet.extra_usage(call, now) else {
            return;
        };
        let entry = &self.fleet.registry.get(upstream).entry;
        log::info!(
            budget:% = usage,
            request = message.id.as_str(), service = entry.service.as_str(),
            upstream = entry.id.as_str(),
            vm_age_ms = now.since(clock::Moment::default()).as_millis() as u64,
            vms = self.fleet.vms(), vms_known = self.relays.known_vms();
            "extra call charged for another VM"
        );
        self.instruments
            .extra_call_sent(&entry.service, Some(usage));
    }

    /// Returns the upstreams with these ids that this VM knows.
    fn handles(&self, ids: &[String]) -> Vec<registry::Handle> {
        let registry = &self.fleet.registry;
        let ids = ids.iter().filter_map(|id| id.parse().ok());
        ids.filter_map(|id| registry.handle(&id)).collect()
    }

    /// Abandons calls whose results a requester no longer wants.
    pub(in crate::edge) fn calls_abandoned(
        &mut self,
        peer: u64,
        abandon: &frame::Abandon,
        now: clock::Moment,
    ) {
        for remote in &abandon.calls {
            let is_charged = abandon.charged.contains(remote);
            let mut batches = self.peers.batches.values_mut();
            let pending = batches
                .by_ref()
                .filter(|batch| batch.peer == peer)
                .find_map(|batch| batch.pending.remove(remote));
            match pending {
                Some(call) => {
                    if is_charged {
                        self.peers.given_up.requested(call, peer, *remote);
                    }
                    self.abandon(call, now);
                }
                None if is_charged && !self.has_reply(peer, *remote) => {
                    // It was never made, or its end is reported already.
                    self.report_given_up(peer, *remote, frame::How::NotSent);
                }
                None => {}
            }
        }
        self.peers
            .batches
            .retain(|_, batch| !batch.pending.is_empty() || !batch.replies.is_empty());
        self.deliver_ended(now);
    }

    /// Returns whether the reply to a requester's call is still to be reported.
    fn has_reply(&self, peer: u64, remote: u64) -> bool {
        let batches = self.peers.batches.values();
        let mut replies = batches
            .filter(|batch| batch.peer == peer)
            .flat_map(|batch| &batch.replies);
        replies.any(|(end, _)| end.id == remote)
    }
}
