//! Upstreams that run calls, go down and come back.

use super::*;
use crate::upstream;

/// Delay between a home and its upstream, in microseconds.
pub(super) const DELAY_MICROS: std::ops::Range<u64> = 100..600;
/// Time that a call runs, in microseconds.
const RUN_MICROS: std::ops::Range<u64> = 1_000..9_000;
/// Time that a straggler runs, in microseconds.
const STRAGGLER_MICROS: u64 = 100_000;

/// What reaches an upstream from a home, and what it does by itself.
pub(super) enum Event {
    Call {
        home: homes::Key,
        connection_id: home::ConnectionId,
        job: home::Job,
    },
    Done {
        home: homes::Key,
        connection_id: home::ConnectionId,
    },
    Cancel {
        home: homes::Key,
        connection_id: home::ConnectionId,
        call_id: String,
    },
    Check {
        home: homes::Key,
        connection_id: home::ConnectionId,
    },
    Probe {
        home: homes::Key,
        began: clock::Moment,
    },
}

impl Event {
    /// Returns whether the event is only a check of the upstream's health.
    pub(super) fn is_upkeep(&self) -> bool {
        matches!(self, Self::Check { .. } | Self::Probe { .. })
    }
}

/// An upstream and the calls that it runs.
pub(super) struct Upstream {
    pub(super) entry: layout::Upstream,
    /// When it is up again, if it went down.
    down_until: Option<clock::Moment>,
    running: collections::BTreeMap<home::ConnectionId, String>,
}

impl Upstream {
    pub(super) fn new(entry: &layout::Upstream) -> Self {
        Self {
            entry: entry.clone(),
            down_until: None,
            running: collections::BTreeMap::new(),
        }
    }
}

impl World {
    fn is_down(&self, upstream: &ids::Upstream) -> bool {
        let until = self.upstreams[upstream].down_until;
        until.is_some_and(|until| self.now < until)
    }

    pub(super) fn upstream(&mut self, event: Event) {
        match event {
            Event::Call {
                home,
                connection_id,
                job,
            } => self.call(home, connection_id, &job),
            Event::Done {
                home,
                connection_id,
            } => self.call_done(home, connection_id),
            Event::Cancel {
                home,
                connection_id,
                call_id,
            } => self.call_cancelled(home, connection_id, &call_id),
            Event::Check {
                home,
                connection_id,
            } => {
                let report = self.report(&home.1);
                let checked = home::Event::Checked {
                    connection_id,
                    report,
                };
                self.tell_home(home, checked);
            }
            Event::Probe { home, began } => {
                let report = self.report(&home.1);
                self.tell_home(home, home::Event::Probed { began, report });
            }
        }
    }

    fn tell_home(&mut self, home: homes::Key, event: home::Event) {
        let delay = self.rng.random_range(DELAY_MICROS);
        self.after(delay, super::Event::Home { home, event });
    }

    fn finish_call(
        &mut self,
        home: homes::Key,
        connection_id: home::ConnectionId,
        outcome: upstream::Outcome,
    ) {
        use upstream::Outcome::{Lost, Unsent};
        let reply = upstream::Reply {
            reusable: !matches!(outcome, Lost | Unsent),
            ..upstream::Reply::bare(outcome)
        };
        let finished = home::Event::Finished {
            connection_id,
            reply,
        };
        self.tell_home(home, finished);
    }

    fn report(&self, upstream: &ids::Upstream) -> home::Report {
        if self.is_down(upstream) {
            return Err(upstream::Unanswered {
                connect_failed: true,
            });
        }
        Ok(Some(upstream::Health {
            status: upstream::Status::Up,
            oldest: ids::IndexVersion(1),
            newest: ids::IndexVersion(5),
            layout: ids::LayoutVersion(1),
            age_ms: 0,
        }))
    }

    fn call(&mut self, home: homes::Key, connection_id: home::ConnectionId, job: &home::Job) {
        let home::Work::Search { batch, .. } = &job.work else {
            return;
        };
        if self.is_down(&home.1) {
            return self.finish_call(home, connection_id, upstream::Outcome::Unsent);
        }
        let state = self.upstreams.get_mut(&home.1).unwrap();
        state.running.insert(connection_id, job.upstream_id());
        if ids::Fingerprint(batch.fingerprint) == CRASHING_QUERY {
            let upstream = home.1.clone();
            self.crashed.push(upstream.to_string());
            self.log(CRASHING_QUERY, &|| {
                format!("{:?} of {} crashes {upstream}", job.kind, batch.request)
            });
            return self.go_down(&upstream);
        }
        let straggler = self.rng.random_range(0..100) < self.stragglers_percent;
        let run = self.rng.random_range(RUN_MICROS);
        let run = if straggler { STRAGGLER_MICROS } else { run };
        let done = Event::Done {
            home,
            connection_id,
        };
        self.after(run, super::Event::Upstream(done));
    }

    fn call_done(&mut self, home: homes::Key, connection_id: home::ConnectionId) {
        let state = self.upstreams.get_mut(&home.1).unwrap();
        if state.running.remove(&connection_id).is_some() {
            self.finish_call(home, connection_id, upstream::Outcome::Done);
        }
    }

    fn call_cancelled(
        &mut self,
        home: homes::Key,
        connection_id: home::ConnectionId,
        call_id: &str,
    ) {
        let up = !self.is_down(&home.1);
        let state = self.upstreams.get_mut(&home.1).unwrap();
        let running = state.running.get(&connection_id);
        let stopped = up && running.is_some_and(|id| id == call_id);
        if stopped {
            state.running.remove(&connection_id);
            self.finish_call(home.clone(), connection_id, upstream::Outcome::Failed);
        }
        let cancelled = home::Event::Cancelled {
            connection_id,
            stopped,
        };
        self.tell_home(home, cancelled);
    }

    /// Takes `upstream` down. Every call that it is running loses its connection.
    fn go_down(&mut self, upstream: &ids::Upstream) {
        let until = self.now + self.outage;
        let home = homes::home_of(upstream, self.coordinators.len());
        let state = self.upstreams.get_mut(upstream).unwrap();
        state.down_until = Some(until);
        for connection_id in std::mem::take(&mut state.running).into_keys() {
            let home = (home, upstream.clone());
            self.finish_call(home, connection_id, upstream::Outcome::Lost);
        }
    }

    pub(super) fn rack_fails(&mut self) {
        for upstream in self.rack.clone() {
            self.go_down(&upstream.parse().unwrap());
        }
    }
}
