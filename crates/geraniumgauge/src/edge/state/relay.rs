//! Calls that other VMs make for this one.

use std::collections;
use std::net;
use std::time;

use crate::edge::call;
use crate::edge::frame;
use crate::edge::sender;
use crate::edge::state;
use crate::edge::state::serve;
use crate::forward;
use crate::ids;
use crate::time as clock;

/// Time that a frame of merged replies has to arrive before the calls that it
/// tells of would be hedged.
const ON_TIME: time::Duration = time::Duration::from_millis(4);
/// Least time after which replies are merged, however early calls are hedged.
const LEAST_MERGE: time::Duration = time::Duration::from_millis(5);

/// The connections to other VMs, and the calls made for them.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Connections that this VM opened, by address.
    pub(super) outgoing: collections::HashMap<net::SocketAddr, sender::Sender>,
    /// Connections that others opened.
    pub(super) incoming: collections::HashMap<u64, sender::Sender>,
    pub(super) asks: collections::HashMap<u64, serve::Ask>,
    /// Calls made for others since the start.
    pub(super) made: u64,
    /// Whether this VM takes no more calls of others.
    pub(super) leaving: bool,
}

impl Peers {
    /// Requests of other VMs under way.
    pub(super) fn asks(&self) -> usize {
        self.asks.len()
    }
}

/// Where calls of a search go, and whether they are its first ones.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Place {
    data_centre: ids::DataCentre,
    first: bool,
    payer: forward::Payer,
    insist: bool,
}

impl state::State {
    /// Hands calls of a search to other VMs where that pays; returns those that
    /// this VM makes itself.
    pub(super) fn relay(
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
        let (_, all) = running.job.progress();
        let crowded = self.relays.exceeds_own_capacity(all);
        let mut own = Vec::new();
        let mut places: Vec<(Place, Vec<forward::Send>)> = Vec::new();
        for send in sends {
            let upstream = &self.fleet.registry.get(send.upstream).entry;
            let place = Place {
                data_centre: upstream.data_centre.clone(),
                first: send.why == forward::Why::First,
                payer: send.payer,
                insist: send.mandatory,
            };
            let paid = send.payer == forward::Payer::Own;
            if !place.first && paid && (!crowded || self.has_idle(send.upstream)) {
                own.push(send);
                continue;
            }
            match places.iter_mut().find(|(known, _)| *known == place) {
                Some((_, sends)) => sends.push(send),
                None => places.push((place, vec![send])),
            }
        }
        for (place, sends) in places {
            // A first call alone is as cheap by itself, but that of a small VM
            // would wait for a connection, which the other VM has.
            let alone = place.first && sends.len() == 1 && !crowded;
            let helper = if alone {
                None
            } else {
                self.relays.choose(&place.data_centre, all, now)
            };
            let left = match helper {
                Some(address) => self.ask(job, address, sends, &place, now),
                None => sends,
            };
            match place.payer {
                forward::Payer::Own => own.extend(left),
                forward::Payer::Relay => self.unpaid(job, left, now),
            }
        }
        own
    }

    /// Ends calls that no other VM can be asked to pay for.
    fn unpaid(&mut self, job: u64, sends: Vec<forward::Send>, now: clock::Moment) {
        let Some(running) = self.running.get(&job) else {
            return;
        };
        let message = running.message.clone();
        let usual = running.job.latency().median();
        for send in sends {
            let owner = call::Owner::of(job, &send);
            let call = call::Call::new(owner, send.upstream, message.clone(), usual, now);
            self.calls.insert(send.call, call);
            self.end(send.call, forward::Verdict::Unpaid, now);
        }
    }

    /// Asks another VM to make calls; returns them where it can't be asked.
    fn ask(
        &mut self,
        job: u64,
        address: net::SocketAddr,
        sends: Vec<forward::Send>,
        place: &Place,
        now: clock::Moment,
    ) -> Vec<forward::Send> {
        let Some(running) = self.running.get_mut(&job) else {
            return Vec::new();
        };
        let message = running.message.clone();
        let usual = running.job.latency().median();
        let merge = running
            .job
            .hedge_after()
            .saturating_sub(ON_TIME)
            .max(LEAST_MERGE);
        // Later calls are late already: each reply is told at once.
        let merge = if place.first {
            merge
        } else {
            time::Duration::ZERO
        };
        let with_address = self.relays.needs_addresses(address, now);
        let registry = &self.fleet.registry;
        let ask = frame::Ask {
            request: message.id.clone(),
            head: message.head.clone(),
            body: message.body.clone(),
            has_body: message.has_body,
            wait_us: clock::micros(now.until(message.deadline)),
            merge_us: clock::micros(merge),
            top: u32::try_from(running.job.top_k()).unwrap_or(u32::MAX),
            calls: sends
                .iter()
                .map(|send| {
                    let entry = &registry.get(send.upstream).entry;
                    frame::Call::new(send.call, entry, with_address)
                })
                .collect(),
            first: place.first,
            unpaid: place.payer == forward::Payer::Relay,
            usual_us: clock::micros(usual),
            insist: place.insist,
        };
        let bytes = frame::Frame::bytes(frame::Kind::Ask(ask));
        let sender = self.peers.outgoing.get(&address);
        if sender.is_none_or(|sender| sender.send(&bytes).is_err()) {
            return sends;
        }
        self.relays.asked(address, now);
        running.relayed.extend(sends.iter().map(|send| send.call));
        running
            .job
            .delegated(&sends, merge + self.relays.lateness());
        for send in sends {
            self.count.call(send.why);
            self.tell_extra(&message, &send, now);
            let owner = call::Owner::of(job, &send);
            let mut call = call::Call::new(owner, send.upstream, message.clone(), usual, now);
            call.via = Some(address);
            self.calls.insert(send.call, call);
        }
        Vec::new()
    }

    /// Tells other VMs that nobody waits for these calls any more.
    pub(super) fn leave_relayed(&mut self, calls: &[ids::Attempt], now: clock::Moment) {
        let mut left: collections::BTreeMap<net::SocketAddr, Vec<u64>> = Default::default();
        for id in calls {
            let Some(call) = self.calls.remove(id) else {
                continue;
            };
            if let Some(address) = call.via {
                left.entry(address).or_default().push(id.0);
            }
            self.orphan_ended(&call, &forward::Verdict::Lost, now);
        }
        for (address, calls) in left {
            let bytes = frame::Frame::bytes(frame::Kind::Leave(frame::Leave { calls }));
            if let Some(sender) = self.peers.outgoing.get(&address) {
                // A connection that fails ends the calls as well.
                let _ = sender.send(&bytes);
            }
        }
    }

    /// Calls that this VM made for others.
    pub(in crate::edge) fn calls_for_others(&self) -> u64 {
        self.peers.made
    }

    /// A connection to another VM is open.
    pub(in crate::edge) fn peer_up(&mut self, address: net::SocketAddr, sender: sender::Sender) {
        self.peers.outgoing.insert(address, sender);
        self.relays.connected(address);
        log::info!(vm:% = address; "connected to VM");
    }

    /// A connection to another VM has ended: the calls it was asked to make may
    /// have run.
    pub(in crate::edge) fn peer_lost(
        &mut self,
        address: net::SocketAddr,
        error: &str,
        now: clock::Moment,
    ) {
        if self.peers.outgoing.remove(&address).is_some() {
            log::info!(vm:% = address, error = error; "connection to VM lost");
        }
        self.relays.lost(address);
        let via = self
            .calls
            .iter()
            .filter(|(_, call)| call.via == Some(address));
        let lost: Vec<ids::Attempt> = via.map(|(id, _)| *id).collect();
        for id in lost {
            self.end(id, forward::Verdict::Lost, now);
        }
        self.settle(now);
    }

    /// Another VM takes no more calls: it is stopping. Those that it has, it
    /// finishes.
    pub(in crate::edge) fn declined(&mut self, address: net::SocketAddr) {
        log::info!(vm:% = address; "VM takes no more calls");
        self.relays.lost(address);
    }
}
