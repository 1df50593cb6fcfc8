//! The extra calls that this VM makes or pays for.

use crate::forward;
use crate::forward::contact;
use crate::forward::fleet::account;
use crate::forward::transit;
use crate::ids;
use crate::registry;
use crate::time as clock;

impl forward::Fleet {
    /// Sets this VM's shares of the fleet's allowance for extra calls.
    pub fn set_shares(&mut self, shares: forward::Shares, now: clock::Moment) {
        self.allowance.set_shares(shares, now);
    }

    /// Returns what this VM has spent of its shares, and stops spending.
    pub fn hand_over(&mut self, now: clock::Moment) -> forward::Spending {
        self.allowance.hand_over(&self.policy, now)
    }

    /// Takes over what this VM's predecessor has spent of its shares.
    pub fn inherit(&mut self, spent: forward::Spending, now: clock::Moment) {
        self.allowance.inherit(spent, &self.policy, now);
    }

    /// Counts a request to `service`.
    pub fn count_request(&mut self, service: &ids::Service, now: clock::Moment) {
        self.allowance.count_request(service, &self.policy, now);
    }

    /// Charges the extra call `call` to `service`, or leaves that to a relay. Returns `None`
    /// if no budget allows the call.
    pub fn take_extra(
        &mut self,
        service: &ids::Service,
        call: ids::Attempt,
        siblings: &forward::Siblings,
        now: clock::Moment,
    ) -> Option<forward::Payment> {
        let expired = self.transit.expire(now);
        self.settle(expired, now);
        let limited = self.may_have_waiting_calls(service, now);
        let grant = self
            .allowance
            .take_extra(service, limited, &self.policy, now);
        match grant {
            Some(forward::Grant::Charged(charge)) => {
                self.count_extra(service, account::Event::Own, now);
                self.transit.add(call, charge, siblings);
                Some(forward::Payment::Permit(forward::Permit::charged()))
            }
            Some(forward::Grant::AskRelay) => {
                self.count_extra(service, account::Event::ByRelay, now);
                Some(forward::Payment::Relay)
            }
            None => {
                self.count_extra(service, account::Event::Refused, now);
                None
            }
        }
    }

    /// Returns how full the budget is that the extra call `call` was charged to; `None` if
    /// no budget of this VM is charged for it.
    pub fn extra_usage(
        &mut self,
        call: ids::Attempt,
        now: clock::Moment,
    ) -> Option<forward::Usage> {
        let charge = self.transit.charge(call)?.clone();
        Some(self.allowance.usage(&charge, &self.policy, now))
    }

    /// Handles the end of a call that began at `began`: settles its charge, and those
    /// of calls for which its reply shows that they have arrived. Returns whether a charge was
    /// given back.
    pub fn call_ended(
        &mut self,
        call: ids::Attempt,
        upstream: registry::Handle,
        began: clock::Moment,
        verdict: &forward::Verdict,
        now: clock::Moment,
    ) -> bool {
        let settled = if verdict.may_have_arrived() {
            self.transit.ended(call)
        } else {
            self.transit.not_made(call)
        };
        let given_back = !settled.not_made.is_empty();
        self.settle(settled, now);
        // An upstream that isn't meant may reject a call before it reads for whom it is.
        if matches!(
            verdict,
            forward::Verdict::Good(_) | forward::Verdict::Failure(_)
        ) {
            self.upstream_identified(upstream, began);
        }
        match verdict {
            forward::Verdict::Good(_) | forward::Verdict::Failure(_) | forward::Verdict::NotRun => {
                self.upstream_answered(upstream, began, now);
            }
            forward::Verdict::Misdirected | forward::Verdict::AddressLost => {
                self.upstream_gone(upstream, "misdirected", now);
            }
            _ => {}
        }
        given_back
    }

    /// Handles a call that was given up without a reply. Returns whether it keeps
    /// a budget charged, as it may still arrive. If so, [`Self::call_over`] or
    /// [`Self::call_unwatched`] must follow.
    pub fn call_given_up(
        &mut self,
        call: ids::Attempt,
        upstream: registry::Handle,
        now: clock::Moment,
    ) -> bool {
        self.contact(upstream).given_up();
        self.transit.give_up(call, now)
    }

    /// Handles the end of a given-up call's connection: the call has arrived, or it wasn't
    /// made.
    pub fn call_over(
        &mut self,
        call: ids::Attempt,
        upstream: registry::Handle,
        was_made: bool,
        now: clock::Moment,
    ) {
        let settled = if was_made {
            self.transit.ended(call)
        } else {
            self.transit.not_made(call)
        };
        self.log_settled(upstream, "end of its connection", &settled);
        self.settle(settled, now);
    }

    /// Handles a call of which this VM won't learn whether it arrives: its relay can't be
    /// asked any more, or its connection wasn't kept.
    pub fn call_unwatched(
        &mut self,
        call: ids::Attempt,
        upstream: registry::Handle,
        now: clock::Moment,
    ) {
        self.transit.hold(call, upstream, now);
    }

    /// Handles a reply of an upstream to a call that began at `began`, which shows
    /// that it has read what was sent to it before.
    pub fn upstream_answered(
        &mut self,
        upstream: registry::Handle,
        began: clock::Moment,
        now: clock::Moment,
    ) {
        self.contact(upstream).answered(now);
        let settled = self.transit.answered(upstream, began);
        self.log_settled(upstream, "reply", &settled);
        self.settle(settled, now);
    }

    /// Handles the end of an upstream's process: what was sent to it doesn't arrive
    /// any more.
    /// `why` is for the log.
    pub fn upstream_gone(
        &mut self,
        upstream: registry::Handle,
        why: &'static str,
        now: clock::Moment,
    ) {
        *self.contact(upstream) = contact::Contact::Answered;
        let settled = self.transit.gone(upstream);
        self.log_settled(upstream, why, &settled);
        self.settle(settled, now);
    }

    /// Handles the registration of an upstream that wasn't registered for a time. Unless its
    /// process is new, it may have been silent since before this VM's start.
    pub fn upstream_returned(&mut self, upstream: registry::Handle, now: clock::Moment) {
        if !self.registry.get(upstream).entry.is_new() {
            self.contact(upstream).returned(now);
        }
    }

    fn contact(&mut self, upstream: registry::Handle) -> &mut contact::Contact {
        if self.contacts.len() <= upstream.index() {
            let handles = self.registry.handles();
            self.contacts.resize_with(handles, Default::default);
        }
        &mut self.contacts[upstream.index()]
    }

    /// Returns whether extra calls that this VM made before a restart may wait at an
    /// upstream of `service`, or have arrived within the last window.
    fn may_have_waiting_calls(&self, service: &ids::Service, now: clock::Moment) -> bool {
        let window = self.policy.extra_window;
        let age = now.since(clock::Moment::default());
        if age >= transit::MAX_SILENCE + window {
            return false;
        }
        self.registry.of(service).iter().any(|upstream| {
            let contact = self.contacts.get(upstream.index());
            contact.is_some_and(|contact| contact.may_have_waiting(window, now))
        })
    }

    /// Logs that charges were settled by an event at an upstream.
    fn log_settled(
        &self,
        upstream: registry::Handle,
        because: &'static str,
        settled: &forward::Settled,
    ) {
        if !settled.arrived.is_empty() {
            let entry = &self.registry.get(upstream).entry;
            log::info!(
                because = because, upstream = entry.id.as_str(), service = entry.service.as_str(),
                calls = settled.arrived.len();
                "extra calls that had been given up are taken as arrived"
            );
        }
    }

    fn settle(&mut self, settled: forward::Settled, now: clock::Moment) {
        for charge in &settled.not_made {
            self.allowance.refund(charge);
            self.count_extra(&charge.service, account::Event::GivenBack, now);
        }
        for charge in &settled.arrived {
            self.allowance.arrived(charge, &self.policy, now);
        }
        self.settled.not_made.extend(settled.not_made);
        self.settled.arrived.extend(settled.arrived);
    }

    /// Returns the charges settled since the last call of this function.
    pub fn take_settled(&mut self) -> forward::Settled {
        std::mem::take(&mut self.settled)
    }

    /// Counts a request whose first call this VM makes, for itself or for another VM.
    pub fn count_first_call(&mut self, upstream: registry::Handle, now: clock::Moment) {
        let service = &self.registry.get(upstream).entry.service;
        self.allowance.count_first_call(service, &self.policy, now);
    }

    /// Charges the extra call `call`, which this VM makes for another one, to its
    /// shared budget. Returns `None` if the budget doesn't allow the call. `earlier` are the
    /// upstreams at which the part's other calls may still be waiting.
    pub fn take_extra_for_other(
        &mut self,
        upstream: registry::Handle,
        call: ids::Attempt,
        earlier: &[registry::Handle],
        now: clock::Moment,
    ) -> Option<forward::Permit> {
        let expired = self.transit.expire(now);
        self.settle(expired, now);
        let service = &self.registry.get(upstream).entry.service;
        let service = service.clone();
        let limited = self.may_have_waiting_calls(&service, now);
        let charge = self
            .allowance
            .take_extra_for_other(&service, limited, &self.policy, now);
        let Some(charge) = charge else {
            self.count_extra(&service, account::Event::Refused, now);
            return None;
        };
        self.count_extra(&service, account::Event::ForOther, now);
        self.transit.add_for_other(call, charge, earlier, now);
        Some(forward::Permit::charged())
    }
}
