//! An upstream and its clock, for driving [`State`] without I/O.

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

pub(super) fn server(slots: u32, connections: u32) -> layout::Upstream {
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

/// A home of one upstream and what is under way between them.
pub(super) struct Bench {
    pub(super) state: State,
    pub(super) now: Moment,
    /// Calls at the upstream, by connection.
    pub(super) flying: collections::BTreeMap<Link, Job>,
    pub(super) links: collections::BTreeSet<Link>,
    pub(super) answers: Vec<(Id, message::Outcome)>,
    pub(super) sent: Vec<(Id, Link, bool)>,
    /// When the calls at the upstream were sent.
    pub(super) since: collections::BTreeMap<Link, Moment>,
    pub(super) closed: Vec<(Link, Why)>,
    pub(super) cancels: Vec<Link>,
    pub(super) proving: Vec<Link>,
    pub(super) probes: Vec<Moment>,
    /// What it says of itself.
    pub(super) status: upstream::Status,
    attempts: u64,
}

impl Bench {
    pub(super) fn new(slots: u32, connections: u32, role: placement::Role) -> Self {
        let now = Moment::from_millis(1000);
        Self {
            state: State::new(server(slots, connections), Some(role), now),
            now,
            flying: collections::BTreeMap::new(),
            links: collections::BTreeSet::new(),
            answers: Vec::new(),
            sent: Vec::new(),
            since: collections::BTreeMap::new(),
            closed: Vec::new(),
            cancels: Vec::new(),
            proving: Vec::new(),
            probes: Vec::new(),
            status: upstream::Status::Up,
            attempts: 0,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        for action in self.state.handle(event, self.now) {
            self.take(action);
        }
    }

    fn take(&mut self, action: Action) {
        match action {
            Action::Send {
                link, fresh, job, ..
            } => {
                assert_eq!(fresh, self.links.insert(link), "{link}");
                self.sent.push((job.id.clone(), link, fresh));
                self.since.insert(link, self.now);
                assert!(self.flying.insert(link, job).is_none(), "{link} is in use");
            }
            Action::Prove { link, fresh } => {
                assert_eq!(fresh, self.links.insert(link), "{link}");
                self.proving.push(link);
            }
            Action::Probe => self.probes.push(self.now),
            Action::CancelAt { link, .. } => self.cancels.push(link),
            Action::Close { link, why } => {
                assert!(self.links.remove(&link), "{link} is not open");
                self.flying.remove(&link);
                self.proving.retain(|proving| *proving != link);
                self.closed.push((link, why));
            }
            Action::Answer(answer) => self.answers.push((answer.job.id, answer.outcome)),
        }
    }

    pub(super) fn job(&mut self, kind: message::Kind, deadline: time::Duration) -> Job {
        self.attempts += 1;
        Job {
            id: Id {
                entry: "vm-1".parse().unwrap(),
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
        self.put(job)
    }

    pub(super) fn put(&mut self, job: Job) -> Id {
        let id = job.id.clone();
        self.handle(Event::Call(job));
        id
    }

    /// Ends the call on `link`.
    pub(super) fn finish(&mut self, link: Link, outcome: upstream::Outcome) {
        self.flying.remove(&link);
        if matches!(outcome, upstream::Outcome::Done) {
            self.handle(Event::Heard(link));
        }
        let reply = reply(outcome);
        self.handle(Event::Finished { link, reply });
    }

    pub(super) fn link_of(&self, id: &Id) -> Option<Link> {
        let mut flying = self.flying.iter();
        flying.find(|(_, job)| job.id == *id).map(|(link, _)| *link)
    }

    pub(super) fn outcome(&self, id: &Id) -> Option<message::Outcome> {
        let mut answers = self.answers.iter();
        answers
            .find(|(answered, _)| answered == id)
            .map(|(_, outcome)| *outcome)
    }

    /// Answers requests for reports, and cancellations as done.
    pub(super) fn answer_control(&mut self) {
        let report = Ok(Some(health(self.status, 100)));
        for link in std::mem::take(&mut self.proving) {
            self.handle(Event::Proved { link, report });
        }
        for began in std::mem::take(&mut self.probes) {
            self.handle(Event::Probed { began, report });
        }
        for link in std::mem::take(&mut self.cancels) {
            self.handle(Event::Cancelled { link, asked: true });
        }
    }

    /// Lets time pass, with the ticks that the state asks for.
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

    /// As [`Self::pass`], with control answered each 10 ms.
    pub(super) fn live(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.pass(millis(10).min(self.now.until(end)));
            self.answer_control();
        }
    }

    /// Runs `count` calls that take `took` each, so that healthy times are known.
    pub(super) fn learn(&mut self, count: u32, took: time::Duration) {
        self.answer_control();
        for _ in 0..count {
            let id = self.call(millis(10_000));
            let link = self.link_of(&id).unwrap();
            self.live(took);
            self.finish(link, upstream::Outcome::Done);
        }
        self.answers.clear();
        self.sent.clear();
        self.closed.clear();
    }
}

impl Job {
    /// The same call for another request.
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
