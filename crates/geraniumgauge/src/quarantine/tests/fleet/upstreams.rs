//! Upstreams that run calls, crash and come back.

use super::*;

impl World {
    pub(super) fn is_away(&self, upstream: &str) -> bool {
        self.away
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
        if self.is_away(&upstream) {
            self.reply(search, attempt, Outcome::Unreachable);
        } else if self.searches[search].fingerprint == GUILTY {
            self.crashed.push(upstream.clone());
            let entry = self.searches[search].entry;
            let line = format!(
                "{} vm-{entry} search {search}: {kind:?} crashes {upstream}",
                self.now
            );
            self.story.push(line);
            self.go_down(&upstream);
        } else {
            let delay = self.rng.random_range(1_000..9_000);
            self.after(delay, Ev::Done { search, attempt });
        }
    }

    /// Every call that runs there loses its connection.
    pub(super) fn go_down(&mut self, upstream: &str) {
        self.away
            .insert(upstream.to_owned(), self.now + self.away_for);
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
                Ev::Answered {
                    search,
                    attempt,
                    outcome,
                },
            );
        }
    }

    /// A reply to a search that has ended.
    pub(super) fn late(&mut self, search: usize, reply: &message::Reply) {
        if reply.outcome() == Outcome::Lost {
            let held = &self.searches[search];
            let lost = book::Event::Lost {
                service: service(),
                fingerprint: held.fingerprint,
                upstream: reply.upstream.parse().unwrap(),
                run: book::Run::Plain,
            };
            self.tell(held.entry, lost);
        }
    }

    /// The home stops the call, unless its connection is lost already.
    pub(super) fn cancelled(&mut self, attempt: u64) {
        let running = self.calls.get(&attempt);
        let stopped = running.is_some_and(|running| !self.is_away(&running.call.upstream));
        if stopped {
            self.calls.remove(&attempt);
        }
    }

    pub(super) fn rack(&mut self) {
        for upstream in self.racked.clone() {
            self.go_down(&upstream);
        }
    }

    pub(super) fn reply(&mut self, search: usize, attempt: u64, outcome: Outcome) {
        let Some(running) = self.calls.get(&attempt) else {
            return;
        };
        if outcome == Outcome::Hits && self.is_away(&running.call.upstream) {
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
            self.late(search, &reply);
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
