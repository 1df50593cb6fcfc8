//! Upstreams that run calls, go down and come back.

use super::*;

impl World {
    pub(super) fn is_down(&self, upstream: &str) -> bool {
        self.down_until
            .get(upstream)
            .is_some_and(|until| self.now < *until)
    }

    pub(super) fn arrive(&mut self, search: usize, attempt: u64) {
        let Some(running) = self.calls.get_mut(&attempt) else {
            return;
        };
        running.started = true;
        let kind = running.call.kind();
        let upstream = running.call.upstream.clone();
        if self.is_down(&upstream) {
            self.reply(search, attempt, Outcome::Unreachable);
        } else if self.searches[search].fingerprint == CRASHING_QUERY {
            self.crashed.push(upstream.clone());
            let coordinator = self.searches[search].coordinator;
            let line = format!(
                "{} vm-{coordinator} search {search}: {kind:?} crashes {upstream}",
                self.now
            );
            self.log.push(line);
            self.go_down(&upstream);
        } else {
            let delay = self.rng.random_range(1_000..9_000);
            self.after(delay, Event::Done { search, attempt });
        }
    }

    /// Takes `upstream` down. Every call that it is running loses its connection.
    pub(super) fn go_down(&mut self, upstream: &str) {
        self.down_until
            .insert(upstream.to_owned(), self.now + self.outage);
        let here = |running: &&Running| running.started && running.call.upstream == upstream;
        let lost: Vec<_> = self
            .calls
            .values()
            .filter(here)
            .map(|r| (r.search, r.call.attempt))
            .collect();
        for (search, attempt) in lost {
            let delay = self.rng.random_range(500..2_000);
            let outcome = Outcome::Lost.into();
            self.after(
                delay,
                Event::Answered {
                    search,
                    attempt,
                    outcome,
                },
            );
        }
    }

    /// Asks about upstreams for a search.
    pub(super) fn inquire(&mut self, search: usize, upstreams: Vec<ids::Upstream>) {
        for upstream in upstreams {
            let inquiry = Event::Inquiry {
                coordinator: self.searches[search].coordinator,
                upstream,
                asked: self.now,
            };
            let delay = self.rng.random_range(500..3_000);
            self.after(delay, inquiry);
        }
    }

    /// Reports whether an upstream answers its home.
    pub(super) fn inquiry(
        &mut self,
        coordinator: usize,
        upstream: &ids::Upstream,
        asked: clock::Moment,
    ) {
        if !self.is_down(upstream.as_str()) {
            let stats = self.coordinators[coordinator].upstreams.stats(upstream);
            stats.record_contact(asked);
        }
    }

    /// Handles a reply to a search that has ended.
    pub(super) fn late_reply(&mut self, search: usize, reply: &message::Reply) {
        if reply.outcome() == Outcome::Lost {
            let state = &self.searches[search];
            let lost = tracker::Event::Lost {
                service: service(),
                fingerprint: state.fingerprint,
                upstream: reply.upstream.parse().unwrap(),
                run: tracker::Run::Concurrent,
            };
            self.handle_mark_event(state.coordinator, lost);
        }
    }

    /// Stops the call unless its connection is already lost.
    pub(super) fn cancel(&mut self, attempt: u64) {
        let running = self.calls.get(&attempt);
        let stopped = running.is_some_and(|running| !self.is_down(&running.call.upstream));
        if stopped {
            self.calls.remove(&attempt);
        }
    }

    pub(super) fn rack_fails(&mut self) {
        for upstream in self.rack.clone() {
            self.go_down(&upstream);
        }
    }

    pub(super) fn reply(&mut self, search: usize, attempt: u64, outcome: Outcome) {
        let Some(running) = self.calls.get(&attempt) else {
            return;
        };
        if outcome == Outcome::Hits && self.is_down(&running.call.upstream) {
            return;
        }
        let Some(running) = self.calls.remove(&attempt) else {
            return;
        };
        let reply = message::Reply {
            attempt,
            upstream: running.call.upstream,
            shard: running.call.shard,
            outcome: outcome.into(),
            index_version: running.version,
            layout: 1,
            oldest: 1,
            newest: 5,
            body: bytes::Bytes::from_static(b"{\"hits\":[]}"),
            ..message::Reply::default()
        };
        if self.searches[search].answer.is_some() {
            self.late_reply(search, &reply);
            return;
        }
        let replies = vec![reply];
        self.handle(
            search,
            gather::Event::Replies {
                from: running.vm,
                replies,
            },
        );
    }
}
