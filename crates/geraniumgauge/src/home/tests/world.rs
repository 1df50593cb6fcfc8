//! A simulated upstream and clock that drive [`State`] without I/O.

use std::collections;
use std::time;

use super::*;
use crate::ids;
use crate::layout;
use crate::mesh::message;
use crate::time::Moment;
use crate::upstream;

pub(super) const fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

pub(super) fn layout_entry(slots: u32, connections: u32) -> layout::Upstream {
    layout::Upstream {
        id: "up-1".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "dc-1".parse().unwrap(),
        slots,
        connections,
        connect_ms: 6,
    }
}

pub(super) fn reply(outcome: upstream::Outcome) -> upstream::Reply {
    use upstream::Outcome::{Crossed, Lost, Unsent};
    upstream::Reply {
        reusable: !matches!(outcome, Unsent | Lost | Crossed),
        ..upstream::Reply::bare(outcome)
    }
}

pub(super) fn health(status: upstream::Status, age_ms: u64) -> upstream::Health {
    upstream::Health {
        status,
        oldest: ids::IndexVersion(1),
        newest: ids::IndexVersion(3),
        layout: ids::LayoutVersion(1),
        age_ms,
    }
}

/// One home, its upstream, and the calls and requests between them.
pub(super) struct World {
    pub(super) state: State,
    pub(super) now: Moment,
    /// Calls that run at the upstream, by connection.
    pub(super) running: collections::BTreeMap<ConnectionId, Job>,
    pub(super) open: collections::BTreeSet<ConnectionId>,
    pub(super) answers: Vec<(Id, message::Outcome)>,
    pub(super) sent: Vec<(Id, ConnectionId, bool)>,
    /// When the calls at the upstream were sent.
    pub(super) sent_at: collections::BTreeMap<ConnectionId, Moment>,
    pub(super) closed: Vec<(ConnectionId, CloseReason)>,
    pub(super) cancels: Vec<ConnectionId>,
    pub(super) checking: Vec<ConnectionId>,
    pub(super) probes: Vec<Moment>,
    /// Calls whose connections were reported as lost.
    pub(super) lost: Vec<Id>,
    /// Status that the upstream reports.
    pub(super) status: upstream::Status,
    attempts: u64,
}

impl World {
    pub(super) fn new(slots: u32, connections: u32, role: placement::Role) -> Self {
        let now = Moment::from_millis(1000);
        Self {
            state: State::new(layout_entry(slots, connections), Some(role), now),
            now,
            running: collections::BTreeMap::new(),
            open: collections::BTreeSet::new(),
            answers: Vec::new(),
            sent: Vec::new(),
            sent_at: collections::BTreeMap::new(),
            closed: Vec::new(),
            cancels: Vec::new(),
            checking: Vec::new(),
            probes: Vec::new(),
            lost: Vec::new(),
            status: upstream::Status::Up,
            attempts: 0,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        for action in self.state.handle(event, self.now) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send {
                connection_id,
                must_connect,
                job,
                ..
            } => {
                assert_eq!(
                    must_connect,
                    self.open.insert(connection_id),
                    "{connection_id}"
                );
                self.sent
                    .push((job.id.clone(), connection_id, must_connect));
                self.sent_at.insert(connection_id, self.now);
                assert!(
                    self.running.insert(connection_id, job).is_none(),
                    "{connection_id} is in use"
                );
            }
            Action::Check {
                connection_id,
                must_connect,
            } => {
                assert_eq!(
                    must_connect,
                    self.open.insert(connection_id),
                    "{connection_id}"
                );
                self.checking.push(connection_id);
            }
            Action::Probe => self.probes.push(self.now),
            Action::Lost(job) => self.lost.push(job.id),
            Action::Cancel { connection_id, .. } => self.cancels.push(connection_id),
            Action::Close {
                connection_id,
                reason,
            } => {
                assert!(
                    self.open.remove(&connection_id),
                    "{connection_id} is not open"
                );
                self.running.remove(&connection_id);
                self.checking.retain(|checking| *checking != connection_id);
                self.closed.push((connection_id, reason));
            }
            Action::Answer(answer) => self.answers.push((answer.job.id, answer.outcome)),
        }
    }

    pub(super) fn job(&mut self, kind: message::Kind, deadline: time::Duration) -> Job {
        self.attempts += 1;
        Job {
            id: Id {
                coordinator: "vm-1".parse().unwrap(),
                attempt: self.attempts,
            },
            upstream: "up-1".parse().unwrap(),
            kind,
            deadline: self.now + deadline,
            arrived: self.now,
            work: Work::Search {
                batch: std::sync::Arc::default(),
                shard: "s-1".parse().unwrap(),
            },
        }
    }

    pub(super) fn record(&mut self, deadline: time::Duration) -> Job {
        Job {
            work: Work::Record {
                record: std::sync::Arc::default(),
                shard: "s-1".parse().unwrap(),
            },
            ..self.job(message::Kind::First, deadline)
        }
    }

    pub(super) fn call(&mut self, deadline: time::Duration) -> Id {
        let job = self.job(message::Kind::First, deadline);
        self.submit(job)
    }

    pub(super) fn submit(&mut self, job: Job) -> Id {
        let id = job.id.clone();
        self.handle(Event::Call(job));
        id
    }

    /// Ends the call on a connection.
    pub(super) fn finish(&mut self, connection_id: ConnectionId, outcome: upstream::Outcome) {
        self.running.remove(&connection_id);
        if matches!(outcome, upstream::Outcome::Done) {
            self.handle(Event::ReplyStarted(connection_id));
        }
        let reply = reply(outcome);
        self.handle(Event::Finished {
            connection_id,
            reply,
        });
    }

    pub(super) fn connection_of(&self, id: &Id) -> Option<ConnectionId> {
        let mut running = self.running.iter();
        running
            .find(|(_, job)| job.id == *id)
            .map(|(connection_id, _)| *connection_id)
    }

    pub(super) fn outcome(&self, id: &Id) -> Option<message::Outcome> {
        let mut answers = self.answers.iter();
        answers
            .find(|(answered, _)| answered == id)
            .map(|(_, outcome)| *outcome)
    }

    /// Answers open health requests with the current status, and cancellations.
    pub(super) fn answer_control(&mut self) {
        let report = Ok(Some(health(self.status, 100)));
        for connection_id in std::mem::take(&mut self.checking) {
            self.handle(Event::Checked {
                connection_id,
                report,
            });
        }
        for began in std::mem::take(&mut self.probes) {
            self.handle(Event::Probed { began, report });
        }
        for connection_id in std::mem::take(&mut self.cancels) {
            self.handle(Event::Cancelled {
                connection_id,
                stopped: true,
            });
        }
    }

    /// Lets time pass, with a tick at each moment that the state asks for.
    pub(super) fn pass(&mut self, span: time::Duration) {
        let end = self.now + span;
        loop {
            let wake = self.state.wake(self.now);
            assert!(wake > self.now);
            self.now = wake.min(end);
            self.handle(Event::Tick);
            if self.now == end {
                return;
            }
        }
    }

    /// Same as [`Self::pass`], and answers control requests every 10 ms.
    pub(super) fn pass_with_control(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.pass(millis(10).min(self.now.until(end)));
            self.answer_control();
        }
    }

    /// Runs `count` calls of latency `took` each, so that the state knows the latency.
    pub(super) fn run_calls(&mut self, count: u32, took: time::Duration) {
        self.answer_control();
        for _ in 0..count {
            let id = self.call(millis(10_000));
            let connection_id = self.connection_of(&id).unwrap();
            self.pass_with_control(took);
            self.finish(connection_id, upstream::Outcome::Done);
        }
        self.answers.clear();
        self.sent.clear();
        self.closed.clear();
    }
}

impl Job {
    /// Returns the same call for another request.
    pub(super) fn of_request(mut self, request: &str) -> Self {
        self.work = Work::Search {
            batch: std::sync::Arc::new(message::Batch {
                request: request.to_owned(),
                ..message::Batch::default()
            }),
            shard: "s-1".parse().unwrap(),
        };
        self
    }
}
