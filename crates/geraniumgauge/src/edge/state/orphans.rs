//! Calls that nobody waits for any more.

use std::time;

use crate::edge::call;
use crate::edge::state;
use crate::forward;
use crate::ids;
use crate::time as clock;

/// How long a call that nobody waits for may go on before its connection is
/// closed, which is the only way to stop it. Most end by themselves in this
/// time and leave the connection to the next call; a new one costs the upstream
/// a slot for some milliseconds. Upstreams must be free of a caller's request
/// half a second after it left.
pub(in crate::edge) const ORPHAN_GRACE: time::Duration = time::Duration::from_millis(200);

impl state::State {
    pub(super) fn orphan_ended(
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

    /// Nobody waits for a call any more.
    pub(super) fn orphan(&mut self, id: ids::Attempt, now: clock::Moment) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.orphaned = true;
        if call.via.is_some() {
            // Its reply may be merged with others, which are of use: it goes on
            // until the request is over.
            return;
        }
        if call.link.is_none() {
            let upstream = call.upstream;
            self.pool(upstream).waiting.retain(|waiting| *waiting != id);
            self.end(id, forward::Verdict::NotSent, now);
            return;
        }
        if self.orphans.is_empty() {
            self.orders.push(state::Order::Sweep);
        }
        self.orphans.push_back((now + ORPHAN_GRACE, id));
    }

    /// Stops calls that nobody has waited for in a while; when to sweep again.
    pub(in crate::edge) fn sweep(&mut self, now: clock::Moment) -> Option<clock::Moment> {
        while let Some((due, id)) = self.orphans.front().copied() {
            let known = self.calls.get(&id);
            let Some((link, upstream)) = known.and_then(|call| Some((call.link?, call.upstream)))
            else {
                self.orphans.pop_front();
                continue;
            };
            if due > now {
                return Some(due);
            }
            self.orphans.pop_front();
            self.end(id, forward::Verdict::Lost, now);
            self.close(link);
            self.settle(now);
            self.dispatch(upstream, now);
        }
        None
    }
}
