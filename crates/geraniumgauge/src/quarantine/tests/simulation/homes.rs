//! Homes of the upstreams, one for each.

use super::*;

/// A home: the VM's number and the upstream.
pub(super) type Key = (usize, ids::Upstream);

pub(super) struct Home {
    pub(super) state: home::State,
    /// Number and time of its timer.
    timer: (u64, clock::Moment),
}

/// Returns whether the event is only the result of a health check.
pub(super) fn is_upkeep(event: &home::Event) -> bool {
    use home::Event::{Checked, Probed};
    matches!(event, Checked { .. } | Probed { .. })
}

/// Returns the number of the VM that is home to `upstream`.
pub(super) fn home_of(upstream: &ids::Upstream, vms: usize) -> usize {
    xxhash_rust::xxh3::xxh3_64(upstream.as_str().as_bytes()) as usize % vms
}

fn fingerprint_of(job: &home::Job) -> ids::Fingerprint {
    match &job.work {
        home::Work::Search { batch, .. } => ids::Fingerprint(batch.fingerprint),
        home::Work::Record { .. } => ids::Fingerprint(0),
    }
}

impl World {
    pub(super) fn send_batch(
        &mut self,
        search: usize,
        vm: &ids::Vm,
        version: Option<ids::IndexVersion>,
        calls: Vec<message::Call>,
    ) {
        let (coordinator, fingerprint) = {
            let state = &self.searches[search];
            (state.coordinator, state.fingerprint)
        };
        for call in &calls {
            self.log(fingerprint, &|| {
                let (kind, upstream) = (call.kind(), &call.upstream);
                format!("vm-{coordinator} search {search} sends {kind:?} to {upstream} via {vm}")
            });
        }
        let frame = frames::Frame::Batch {
            search,
            version,
            calls,
        };
        self.send(coordinator, vm_number(vm), frame);
    }

    /// Takes the calls of a search at a home.
    pub(super) fn batch(
        &mut self,
        from: usize,
        to: usize,
        search: usize,
        version: Option<ids::IndexVersion>,
        calls: Vec<message::Call>,
    ) {
        let batch = sync::Arc::new(message::Batch {
            request: format!("r{search}"),
            service: service().to_string(),
            fingerprint: self.searches[search].fingerprint.0,
            index_version: version.map(|version| version.0),
            layout: 1,
            ..message::Batch::default()
        });
        for call in calls {
            let upstream: ids::Upstream = call.upstream.parse().unwrap();
            let job = home::Job {
                id: home::Id {
                    coordinator: vm_name(from),
                    attempt: call.attempt,
                },
                upstream: upstream.clone(),
                kind: call.kind(),
                deadline: self.now + time::Duration::from_millis(1000),
                arrived: self.now,
                work: home::Work::Search {
                    batch: batch.clone(),
                    shard: call.shard.parse().unwrap(),
                },
            };
            let home = (to, upstream);
            self.home_of_call.insert(call.attempt, home.clone());
            self.handle_home(&home, home::Event::Call(job));
        }
    }

    pub(super) fn cancel(&mut self, from: usize, attempts: &[u64]) {
        for attempt in attempts {
            let id = home::Id {
                coordinator: vm_name(from),
                attempt: *attempt,
            };
            // A cancel goes before a call that is sent in the same step.
            if let Some(home) = self.home_of_call.get(attempt).cloned() {
                self.handle_home(&home, home::Event::Cancel(id));
            }
        }
    }

    pub(super) fn inquiry(
        &mut self,
        from: usize,
        to: usize,
        upstreams: Vec<ids::Upstream>,
        asked: clock::Moment,
    ) {
        for upstream in upstreams {
            let home = (to, upstream.clone());
            let answered = self.homes.get(&home);
            let answered = answered.and_then(|home| home.state.latest_answered_send());
            self.handle_home(&home, home::Event::Inquiry);
            if let Some(sent) = answered {
                let answered = asked.before(self.now.since(sent));
                self.send(to, from, frames::Frame::Report { upstream, answered });
            }
        }
    }

    pub(super) fn handle_home(&mut self, home: &Key, event: home::Event) {
        let now = self.now;
        if !self.homes.contains_key(home) {
            let entry = self.upstreams[&home.1].entry.clone();
            let role = Some(crate::home::placement::Role::Primary);
            let state = home::State::new(entry, role, now);
            let timer = (0, now);
            self.homes.insert(home.clone(), Home { state, timer });
        }
        let Some(known) = self.homes.get_mut(home) else {
            return;
        };
        let actions = known.state.handle(event, now);
        let wake = known.state.wake(now);
        let (number, at) = known.timer;
        let reset = at <= now || wake < at;
        if reset {
            known.timer = (number + 1, wake);
        }
        for action in actions {
            self.perform(home, action);
        }
        if reset {
            let (home, timer) = (home.clone(), number + 1);
            self.at(wake, Event::HomeTick { home, timer });
        }
    }

    pub(super) fn home_tick(&mut self, home: &Key, timer: u64) {
        if self.homes[home].timer.0 == timer {
            self.handle_home(home, home::Event::Tick);
        }
    }

    fn perform(&mut self, home: &Key, action: home::Action) {
        let event = match action {
            home::Action::Send {
                connection_id, job, ..
            } if self.withholds(home, &job) => {
                let reply = crate::upstream::Reply::withheld();
                let event = home::Event::Finished {
                    connection_id,
                    reply,
                };
                let home = home.clone();
                return self.after(1, Event::Home { home, event });
            }
            home::Action::Send {
                connection_id, job, ..
            } => upstreams::Event::Call {
                home: home.clone(),
                connection_id,
                job,
            },
            home::Action::Check { connection_id, .. } => upstreams::Event::Check {
                home: home.clone(),
                connection_id,
            },
            home::Action::Probe => upstreams::Event::Probe {
                home: home.clone(),
                began: self.now,
            },
            home::Action::Cancel {
                connection_id,
                call_id,
            } => upstreams::Event::Cancel {
                home: home.clone(),
                connection_id,
                call_id,
            },
            home::Action::Close { .. } => return,
            home::Action::Lost(job) => return self.home_lost(home, &job),
            home::Action::Answer(answer) => return self.answer(home, answer),
        };
        let delay = self.rng.random_range(upstreams::DELAY_MICROS);
        self.after(delay, Event::Upstream(event));
    }

    /// Returns whether the home doesn't send this canary. Its coordinator is sent the mark.
    fn withholds(&mut self, home: &Key, job: &home::Job) -> bool {
        let fingerprint = fingerprint_of(job);
        let tracker = &self.coordinators[home.0].tracker;
        let Some(mark) = tracker.mark(&service(), fingerprint) else {
            return false;
        };
        let clear = mark.verdict(self.both_clocks().wall) == Verdict::Clear;
        if clear || job.kind != message::Kind::Canary {
            return false;
        }
        let mark = serde_json::to_string(mark).unwrap();
        let coordinator = vm_number(&job.id.coordinator);
        self.send(home.0, coordinator, frames::Frame::Mark(mark));
        true
    }

    fn home_lost(&mut self, home: &Key, job: &home::Job) {
        let run = match job.kind {
            message::Kind::Canary => tracker::Run::Canary,
            message::Kind::Trial => tracker::Run::Trial,
            _ => tracker::Run::Concurrent,
        };
        self.record_loss(home.0, fingerprint_of(job), home.1.clone(), run);
    }

    fn answer(&mut self, home: &Key, answer: home::Answer) {
        let home::Work::Search { batch, shard } = &answer.job.work else {
            return;
        };
        let reply = message::Reply {
            attempt: answer.job.id.attempt,
            upstream: answer.job.upstream.to_string(),
            shard: shard.to_string(),
            outcome: answer.outcome.into(),
            index_version: batch.index_version.unwrap_or(5),
            layout: 1,
            oldest: 1,
            newest: 5,
            body: bytes::Bytes::from_static(b"{\"hits\":[]}"),
            ..message::Reply::default()
        };
        let fingerprint = ids::Fingerprint(batch.fingerprint);
        self.log(fingerprint, &|| {
            format!("vm-{} answers {:?} of {}", home.0, answer.outcome, home.1)
        });
        let to = vm_number(&answer.job.id.coordinator);
        self.send(home.0, to, frames::Frame::Replies(vec![reply]));
    }
}
