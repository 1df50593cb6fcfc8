//! The check which upstream a new connection leads to, before the first call is sent on it.
//!
//! A connection leads to the process that accepted it for as long as it lasts, so one check is
//! enough for all of its calls. It is a health check, whose answer names the upstream and which
//! counts as no call.

use std::time;

use crate::edge::pool;
use crate::edge::state;
use crate::forward;
use crate::h1;
use crate::registry;
use crate::time as clock;

/// Time after which a check is overdue: other upstreams are preferred, and get the calls that
/// wait for the connection. An upstream that is paused answers once it goes on.
const CHECK_OVERDUE_AFTER: time::Duration = time::Duration::from_millis(500);

/// What an upstream's answer to the check says.
enum Identity {
    /// It is the upstream that was meant.
    Same,
    /// Another upstream has the address.
    Other,
    /// It has no capacity for the check.
    Full,
    /// The answer names no upstream, as where another service has other health checks.
    Unnamed,
}

impl state::State {
    /// Sends the check over a connection that was just opened.
    pub(super) fn check_identity(&mut self, link: pool::Link, now: clock::Moment) {
        let Some(connection) = self.links.get_mut(&link) else {
            return;
        };
        connection.check = Some(now);
        let upstream = &self.fleet.registry.get(connection.upstream).entry;
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service(&upstream.service));
        let Some(path) = service.map(|service| service.health_path.as_str()) else {
            return self.check_failed(link, "the service's health path isn't known", now);
        };
        let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", upstream.address);
        let sent = connection
            .sender
            .as_ref()
            .is_some_and(|sender| sender.send(request.as_bytes()).is_ok());
        if !sent {
            return self.check_failed(link, "the connection failed", now);
        }
        let at = now + CHECK_OVERDUE_AFTER;
        self.effects.push(state::Effect::CheckOverdue { link, at });
    }

    /// Handles the answer to the check of a connection, which was sent at `asked_at`. Returns
    /// whether the connection stays open.
    pub(super) fn check_answered(
        &mut self,
        link: pool::Link,
        asked_at: clock::Moment,
        reply: &h1::Reply,
        now: clock::Moment,
    ) -> bool {
        let Some(connection) = self.links.get_mut(&link) else {
            return false;
        };
        let upstream = connection.upstream;
        match identity(reply, &self.fleet.registry.get(upstream).entry) {
            Identity::Same => {
                connection.check = None;
                connection.keep_alive = reply.keep_alive;
                self.pool(upstream).opening -= 1;
                self.instruments.identity_check("same");
                self.fleet.health(upstream).set_check_late(false);
                self.fleet.upstream_identified(upstream, asked_at);
                if reply.close {
                    self.close(link);
                    self.dispatch(upstream, now);
                } else {
                    self.release(link, now);
                }
                self.deliver_ended(now);
                !reply.close
            }
            Identity::Other => {
                self.other_upstream_found(link, upstream, reply, now);
                false
            }
            Identity::Unnamed => {
                self.check_failed(link, "the answer names no upstream", now);
                false
            }
            Identity::Full => {
                self.instruments.identity_check("rejected");
                let health = self.fleet.health(upstream);
                health.set_check_late(false);
                health.mark_full(forward::NO_CAPACITY_DELAY, now);
                self.close(link);
                self.end_waiting(upstream, now);
                self.deliver_ended(now);
                false
            }
        }
    }

    /// Handles an answer of another upstream: this one has ended.
    fn other_upstream_found(
        &mut self,
        link: pool::Link,
        upstream: registry::Handle,
        reply: &h1::Reply,
        now: clock::Moment,
    ) {
        self.instruments.identity_check("other");
        let unheard_for = self.fleet.unheard_for(upstream, now);
        let meant = &self.fleet.registry.get(upstream).entry;
        log::info!(
            upstream = meant.id.as_str(), service = meant.service.as_str(),
            address:% = meant.address, found = reply.upstream_id.as_deref(),
            unheard_ms = unheard_for.map(clock::millis);
            "another upstream has the address; no call was sent to it"
        );
        self.fleet.address_lost(upstream, now);
        self.report_crash_suspects(upstream, now);
        self.close(link);
        let waiting = std::mem::take(&mut self.pool(upstream).waiting);
        for waiting in waiting {
            self.end(waiting.call, forward::Verdict::AddressLost, now);
        }
        self.deliver_ended(now);
    }

    /// Handles the time at which a check is overdue, if it has no answer yet.
    pub(in crate::edge) fn check_overdue(&mut self, link: pool::Link, now: clock::Moment) {
        let unanswered = self.links.get(&link);
        let Some(connection) = unanswered.filter(|connection| connection.check.is_some()) else {
            return;
        };
        let upstream = connection.upstream;
        self.instruments.identity_check("overdue");
        self.fleet.health(upstream).set_check_late(true);
        let has_alternative = self.fleet.advice(upstream, now).is_some();
        if has_alternative {
            self.end_waiting(upstream, now);
            self.deliver_ended(now);
        }
    }

    /// Handles a check that can't be answered any more: no call may be sent on the connection.
    pub(super) fn check_failed(&mut self, link: pool::Link, why: &str, now: clock::Moment) {
        let Some(upstream) = self.upstream_of(link) else {
            return;
        };
        self.instruments.identity_check("failed");
        let entry = &self.fleet.registry.get(upstream).entry;
        log::info!(
            upstream = entry.id.as_str(), service = entry.service.as_str(), why = why;
            "can't check which upstream answers"
        );
        let health = self.fleet.health(upstream);
        health.set_check_late(false);
        health.unreachable(now);
        self.close(link);
        self.end_waiting(upstream, now);
        self.deliver_ended(now);
    }
}

/// Returns what an answer to the check says of the upstream that was meant.
fn identity(reply: &h1::Reply, meant: &registry::Entry) -> Identity {
    match reply.upstream_id.as_deref() {
        Some(id) if id == meant.id.as_str() => Identity::Same,
        Some(_) => Identity::Other,
        None if reply.not_run && matches!(reply.status, 429 | 503) => Identity::Full,
        None => Identity::Unnamed,
    }
}
