//! Abandoned calls: calls whose result is no longer wanted.

use std::time;

use crate::edge::call;
use crate::edge::pool;
use crate::edge::state;
use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

/// How long an abandoned call may continue before it is stopped by closing its
/// connection. Most calls end within this time and their connection is reused; a
/// new connection costs the upstream a slot for some milliseconds. Upstreams must
/// be free of a request half a second after its caller disconnected.
pub(in crate::edge) const ABANDONED_CALL_GRACE: time::Duration = time::Duration::from_millis(200);

/// Maximum number of connections that are kept for given-up calls. Each takes a file
/// descriptor while its upstream is silent.
const MAX_LINGERING: usize = 1000;

impl state::State {
    /// Records the end of an abandoned call for its upstream's health.
    pub(super) fn abandoned_call_ended(
        &mut self,
        call: &call::Call,
        verdict: &forward::Verdict,
        now: clock::Moment,
    ) {
        let replied = matches!(
            verdict,
            forward::Verdict::Good(_) | forward::Verdict::Failure(_)
        );
        self.fleet.record_abandoned(&call.made(), replied, now);
    }

    /// Marks a call as abandoned; ends it at once if it wasn't sent yet.
    pub(super) fn abandon(&mut self, id: ids::Attempt, now: clock::Moment) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.abandoned = true;
        if call.via.is_some() {
            // The relay may merge its reply with others that are still wanted, so
            // the call continues until the request ends.
            return;
        }
        if call.link.is_none() {
            let upstream = call.upstream;
            self.pool(upstream)
                .waiting
                .retain(|waiting| waiting.call != id);
            self.end(id, forward::Verdict::NotSent, now);
            return;
        }
        if self.abandoned.is_empty() {
            self.effects.push(state::Effect::Sweep);
        }
        self.abandoned.push_back((now + ABANDONED_CALL_GRACE, id));
    }

    /// Handles a call whose reply isn't awaited any more. Returns whether a budget stays
    /// charged until it is known to have arrived.
    pub(super) fn give_up(
        &mut self,
        id: ids::Attempt,
        upstream: registry::Handle,
        message: &call::Message,
        now: clock::Moment,
    ) -> bool {
        let is_charged = self.fleet.call_given_up(id, upstream, now);
        if is_charged {
            let entry = &self.fleet.registry.get(upstream).entry;
            log::info!(
                request = message.id.as_str(), service = entry.service.as_str(),
                upstream = entry.id.as_str();
                "call given up; it may still arrive"
            );
        }
        is_charged
    }

    /// Stops a call whose grace period has passed. If a budget is charged for it, here or at
    /// its requester, its connection is kept until the upstream closes it.
    fn stop(&mut self, id: ids::Attempt, link: pool::Link, now: clock::Moment) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let is_charged = self.give_up(id, call.upstream, &call.message, now);
        let is_watched = is_charged || self.peers.awaits(id);
        self.instruments.ended("lost", now.since(call.began));
        self.abandoned_call_ended(&call, &forward::Verdict::Lost, now);
        if is_watched && self.lingering < MAX_LINGERING {
            self.linger(link, id, now);
        } else {
            self.close(link);
            if is_charged {
                self.fleet.call_unwatched(id, call.upstream, now);
            }
        }
        self.dispatch(call.upstream, now);
    }

    /// Handles the end of what is known of a given-up call: settles its charge, here or at
    /// its requester.
    pub(super) fn call_over(
        &mut self,
        id: ids::Attempt,
        upstream: registry::Handle,
        was_made: bool,
        now: clock::Moment,
    ) {
        self.fleet.call_over(id, upstream, was_made, now);
        self.report_over(id, was_made);
        self.count_settled();
    }

    /// Stops abandoned calls whose grace period has passed. Returns when the next
    /// one is due; `None` if there are no more.
    pub(in crate::edge) fn sweep(&mut self, now: clock::Moment) -> Option<clock::Moment> {
        while let Some((due, id)) = self.abandoned.front().copied() {
            let known = self.calls.get(&id);
            let Some(link) = known.and_then(|call| call.link) else {
                self.abandoned.pop_front();
                continue;
            };
            if due > now {
                return Some(due);
            }
            self.abandoned.pop_front();
            self.stop(id, link, now);
        }
        None
    }
}
