//! What a VM has spent of the allowance for extra calls, handed over to its successor.
//!
//! A VM that starts may not spend its fixed share for a window, since its predecessor may
//! have spent it. A VM that stops in an orderly way therefore tells one of its relays what
//! it has spent, and its successor asks all of them. The relay tells it once only: a second
//! successor within the window would otherwise not know what the first one has spent.

use std::collections;
use std::net;

use crate::edge::frame;
use crate::edge::state;
use crate::time as clock;

/// What stopped VMs have spent, by their addresses, and when they said so.
#[derive(Debug, Default)]
pub(super) struct Spendings(collections::HashMap<String, (clock::Moment, frame::Spending)>);

impl state::State {
    /// Tells a relay what this VM has spent, and spends nothing any more.
    pub(in crate::edge) fn hand_over(&mut self, now: clock::Moment) {
        let spent = self.fleet.hand_over(now);
        let Some(own) = self.own_address else {
            return;
        };
        let bytes = frame::Frame::bytes(frame::Kind::Spending(frame::Spending::new(own, &spent)));
        let relays = self.relays.connected();
        let told = relays.into_iter().find(|relay| {
            let sender = self.peers.outgoing.get(relay);
            sender.is_some_and(|sender| sender.send(&bytes).is_ok())
        });
        log::info!(
            services = spent.services.len(), relay:? = told;
            "extra calls spent, told to a relay"
        );
    }

    /// Keeps what a VM that stops has spent, for its successor.
    pub(in crate::edge) fn keep_spending(&mut self, spent: frame::Spending, now: clock::Moment) {
        let window = self.fleet.policy.extra_window;
        let kept = &mut self.peers.spendings.0;
        kept.retain(|_, (at, _)| now.since(*at) < window);
        kept.insert(spent.vm.clone(), (now, spent));
    }

    /// Tells a VM, over its connection `peer`, what its predecessor has spent, if this VM
    /// keeps that.
    pub(in crate::edge) fn tell_spending(
        &mut self,
        peer: u64,
        asked: &frame::TakeSpending,
        now: clock::Moment,
    ) {
        let window = self.fleet.policy.extra_window;
        let kept = self.peers.spendings.0.remove(&asked.vm);
        if let Some((at, spent)) = kept
            && now.since(at) < window
        {
            self.send_to(peer, frame::Kind::Spending(spent));
        }
    }

    /// Asks the relay at `relay` what this VM's predecessor has spent.
    pub(super) fn ask_for_spending(&self, relay: net::SocketAddr, now: clock::Moment) {
        let age = now.since(clock::Moment::default());
        if let Some(own) = self.own_address
            && age < self.fleet.policy.extra_window
            && let Some(sender) = self.peers.outgoing.get(&relay)
        {
            let vm = own.to_string();
            let asked = frame::Kind::TakeSpending(frame::TakeSpending { vm });
            // Without an answer, this VM waits for a window.
            let _ = sender.send(&frame::Frame::bytes(asked));
        }
    }

    /// Takes over what this VM's predecessor has spent.
    pub(in crate::edge) fn inherit(&mut self, spent: &frame::Spending, now: clock::Moment) {
        let Some(spent) = spent.read() else {
            log::warn!(vm = spent.vm.as_str(); "malformed message on what a VM has spent");
            return;
        };
        log::info!(
            services = spent.services.len(), shares:? = spent.shares;
            "extra calls of this VM's predecessor taken over"
        );
        self.fleet.inherit(spent, now);
    }
}
