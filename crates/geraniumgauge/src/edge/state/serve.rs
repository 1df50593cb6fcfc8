//! Calls that this VM makes for others.

use std::collections;
use std::rc;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::sender;
use crate::edge::state;
use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// What another VM asked for.
#[derive(Debug)]
pub(super) struct Ask {
    /// The connection that it came over.
    peer: u64,
    /// Records wanted of the merged replies.
    top: usize,
    /// Its calls under way, by the id they have at the other VM.
    pending: collections::HashMap<u64, ids::Attempt>,
    /// Good replies that wait to be merged.
    good: Vec<(frame::End, bytes::Bytes)>,
    /// When it was read.
    read_at: clock::Moment,
    /// How long after that the good replies are merged and told.
    merge_after: time::Duration,
    /// Whether replies are told at once.
    merged: bool,
}

/// On which terms another VM wants calls to be made.
#[derive(Debug, Clone, Copy)]
struct Terms {
    /// They are the first ones of their parts.
    first: bool,
    /// This VM is to pay for them.
    unpaid: bool,
    /// They are made also where this VM advises against their upstreams.
    insist: bool,
    /// How long they usually take.
    usual: time::Duration,
}

impl state::State {
    /// Another VM has connected; the connection's number.
    pub(in crate::edge) fn peer_came(&mut self, sender: sender::Sender) -> u64 {
        let peer = self.next();
        if self.peers.leaving {
            Self::say_bye(&sender);
        }
        self.peers.incoming.insert(peer, sender);
        peer
    }

    /// Tells the other VMs to ask this one for no more calls: it is stopping.
    pub(in crate::edge) fn decline(&mut self) {
        self.peers.leaving = true;
        for sender in self.peers.incoming.values() {
            Self::say_bye(sender);
        }
    }

    fn say_bye(sender: &sender::Sender) {
        let bytes = frame::Frame::bytes(frame::Kind::Bye(frame::Bye {}));
        // Where the connection has failed, the other VM has noticed as well.
        let _ = sender.send(&bytes);
    }

    /// A connection from another VM has ended: nobody waits for its calls.
    pub(in crate::edge) fn peer_left(&mut self, peer: u64, now: clock::Moment) {
        self.peers.incoming.remove(&peer);
        let of_peer = self.peers.asks.iter().filter(|(_, ask)| ask.peer == peer);
        let asks: Vec<u64> = of_peer.map(|(id, _)| *id).collect();
        for ask in asks {
            let Some(ask) = self.peers.asks.remove(&ask) else {
                continue;
            };
            for call in ask.pending.into_values() {
                self.orphan(call, now);
            }
        }
        self.settle(now);
    }

    /// Another VM asks for calls. Those that aren't made are told at once, in one
    /// frame, so that they are made elsewhere.
    pub(in crate::edge) fn asked(&mut self, peer: u64, ask: frame::Ask, now: clock::Moment) {
        let message = rc::Rc::new(call::Message {
            id: ask.request,
            head: ask.head,
            body: ask.body,
            has_body: ask.has_body,
            head_only: false,
            sharded: true,
            deadline: now + time::Duration::from_micros(ask.wait_us),
        });
        let id = self.next();
        self.peers.asks.insert(
            id,
            Ask {
                peer,
                top: ask.top as usize,
                pending: collections::HashMap::with_capacity(ask.calls.len()),
                good: Vec::with_capacity(ask.calls.len()),
                read_at: now,
                merge_after: time::Duration::from_micros(ask.merge_us),
                merged: ask.merge_us == 0,
            },
        );
        let terms = Terms {
            first: ask.first,
            unpaid: ask.unpaid,
            insist: ask.insist,
            usual: time::Duration::from_micros(ask.usual_us),
        };
        let wanted = ask.calls.iter();
        let left: Vec<frame::End> = wanted
            .filter_map(|wanted| self.call_for(id, wanted, terms, &message, now).err())
            .collect();
        if !left.is_empty() {
            self.tell_ends(id, left, now);
        }
        if ask.merge_us > 0 && self.peers.asks.contains_key(&id) {
            let at = now + time::Duration::from_micros(ask.merge_us);
            self.orders.push(state::Order::Merge { ask: id, at });
        }
        self.settle(now);
    }

    /// Makes a call for another VM; what that VM is told where it isn't made.
    fn call_for(
        &mut self,
        ask: u64,
        wanted: &frame::Call,
        terms: Terms,
        message: &rc::Rc<call::Message>,
        now: clock::Moment,
    ) -> Result<(), frame::End> {
        let own = self.fleet.own().data_centre.clone();
        let registry = &mut self.fleet.registry;
        let named = match wanted.upstream.parse() {
            Ok(id) => registry.named(&id, wanted.address(), &own, now),
            Err(_) => Err(registry::Unnamed::Unknown),
        };
        let upstream = named.map_err(|why| {
            log::info!(request = message.id.as_str(), upstream = wanted.upstream.as_str(), why:% = why; "call for another VM not made");
            let how = match why {
                registry::Unnamed::Unknown => frame::How::Unknown,
                registry::Unnamed::Leaving => frame::How::NotSent,
            };
            frame::End::new(wanted.id, how)
        })?;
        if !terms.insist
            && let Some(advice) = self.fleet.advice(upstream, now)
        {
            return Err(frame::End::advised(wanted.id, advice));
        }
        if !self.is_paid(upstream, terms, now) {
            return Err(frame::End::new(wanted.id, frame::How::Unpaid));
        }
        let id = self.fleet.next_call();
        if let Some(asked) = self.peers.asks.get_mut(&ask) {
            asked.pending.insert(wanted.id, id);
        }
        self.peers.made += 1;
        self.fleet.health(upstream).start();
        let owner = call::Owner::Ask {
            ask,
            remote: wanted.id,
        };
        let call = call::Call::new(owner, upstream, message.clone(), terms.usual, now);
        self.calls.insert(id, call);
        self.pool(upstream).waiting.push_back(id);
        self.dispatch(upstream, now);
        Ok(())
    }

    /// Counts another VM's call to an upstream, and pays for it where this VM is
    /// to; whether it may be made.
    fn is_paid(&mut self, upstream: registry::Handle, terms: Terms, now: clock::Moment) -> bool {
        if terms.first {
            self.fleet.count_relayed_request(upstream, now);
        }
        !terms.unpaid || self.fleet.take_extra_for_other(upstream, now)
    }

    /// Another VM doesn't wait for these calls any more.
    pub(in crate::edge) fn left(&mut self, peer: u64, calls: &[u64], now: clock::Moment) {
        let mut left = Vec::new();
        for ask in self.peers.asks.values_mut().filter(|ask| ask.peer == peer) {
            left.extend(calls.iter().filter_map(|remote| ask.pending.remove(remote)));
        }
        self.peers
            .asks
            .retain(|_, ask| !ask.pending.is_empty() || !ask.good.is_empty());
        for call in left {
            self.orphan(call, now);
        }
        self.settle(now);
    }

    /// A call made for another VM has ended.
    pub(super) fn ask_ended(
        &mut self,
        id: u64,
        remote: u64,
        verdict: forward::Verdict,
        took: time::Duration,
        now: clock::Moment,
    ) {
        let Some(ask) = self.peers.asks.get_mut(&id) else {
            return;
        };
        ask.pending.remove(&remote);
        let (how, reply) = match verdict {
            forward::Verdict::Good(reply) => (frame::How::Good, Some(reply)),
            forward::Verdict::Failure(_) => (frame::How::Failure, None),
            forward::Verdict::NotRun => (frame::How::NotRun, None),
            forward::Verdict::Misdirected => (frame::How::Misdirected, None),
            forward::Verdict::NotSent => (frame::How::NotSent, None),
            forward::Verdict::Unpaid => (frame::How::Unpaid, None),
            forward::Verdict::Advised(_) => (frame::How::Advised, None),
            forward::Verdict::Lost => (frame::How::Lost, None),
        };
        let mut end = frame::End::new(remote, how);
        end.took_us = clock::micros(took);
        match reply {
            Some(reply) => {
                end.signature = reply.signature.unwrap_or_default();
                ask.good.push((end, reply.body));
                if ask.merged || ask.pending.is_empty() {
                    self.tell_good(id, now);
                }
            }
            None => self.tell_ends(id, vec![end], now),
        }
    }

    /// Tells the ends of calls without a good reply at once: whoever asked may
    /// call other upstreams.
    fn tell_ends(&mut self, id: u64, ends: Vec<frame::End>, now: clock::Moment) {
        let Some(ask) = self.peers.asks.get(&id) else {
            return;
        };
        let (peer, last) = (ask.peer, ask.pending.is_empty());
        let told = frame::Told {
            ends,
            ..frame::Told::default()
        };
        self.tell(peer, told);
        if last {
            self.tell_good(id, now);
        }
    }

    /// The time to merge what came has come: tells it, and which calls are out.
    pub(in crate::edge) fn merge(&mut self, id: u64) {
        let Some(ask) = self.peers.asks.get_mut(&id) else {
            return;
        };
        ask.merged = true;
        let out = ask.pending.keys().copied().collect();
        let due = ask.merge_after;
        for call in ask.pending.values() {
            if let Some(call) = self.calls.get(call) {
                self.fleet.health(call.upstream).mark_late();
            }
        }
        self.tell_merged(id, out, due);
    }

    /// Tells the good replies that came, as one.
    fn tell_good(&mut self, id: u64, now: clock::Moment) {
        let Some(ask) = self.peers.asks.get(&id) else {
            return;
        };
        let due = if ask.merged {
            time::Duration::ZERO
        } else {
            now.since(ask.read_at)
        };
        self.tell_merged(id, Vec::new(), due);
    }

    fn tell_merged(&mut self, id: u64, out: Vec<u64>, due: time::Duration) {
        let Some(ask) = self.peers.asks.get_mut(&id) else {
            return;
        };
        let good = std::mem::take(&mut ask.good);
        let (peer, top) = (ask.peer, ask.top);
        if ask.pending.is_empty() {
            self.peers.asks.remove(&id);
        }
        if good.is_empty() && out.is_empty() {
            return;
        }
        let records = forward::top_records(good.iter().map(|(_, body)| body.as_ref()), top);
        let told = frame::Told {
            ends: good.into_iter().map(|(end, _)| end).collect(),
            records: records.into(),
            out,
            due_us: clock::micros(due),
        };
        self.tell(peer, told);
    }

    fn tell(&mut self, peer: u64, told: frame::Told) {
        self.send_to(peer, frame::Kind::Told(told));
    }

    /// Connections of other VMs on which bytes wait to be sent.
    pub(in crate::edge) fn sending(&self) -> usize {
        let senders = self.peers.incoming.values();
        senders.filter(|sender| sender.is_writing()).count()
    }

    /// Sends a message to a VM that has connected.
    pub(in crate::edge) fn send_to(&mut self, peer: u64, kind: frame::Kind) {
        let bytes = frame::Frame::bytes(kind);
        let sender = self.peers.incoming.get(&peer);
        if sender.is_some_and(|sender| sender.send(&bytes).is_err()) {
            // The connection's reader finds its end and lets go of its calls.
            log::info!(peer = peer; "message not sent to a VM");
        }
    }
}
