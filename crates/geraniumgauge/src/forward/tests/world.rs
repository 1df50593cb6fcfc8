//! A fleet of upstreams without a network, for tests of single jobs.

use std::net;
use std::rc;
use std::time;

use crate::forward;
use crate::h1;
use crate::ids;
use crate::rate;
use crate::registry;
use crate::route;
use crate::time as clock;

/// Upstreams of services `s0`, `s1`, …, and the actions of a job.
pub(super) struct World {
    pub(super) fleet: forward::Fleet,
    pub(super) now: clock::Moment,
    pub(super) sends: Vec<forward::Send>,
    pub(super) abandoned: Vec<ids::Attempt>,
    pub(super) silent: Vec<ids::Attempt>,
    pub(super) outcome: Option<forward::Outcome>,
}

/// Latency target of the route in these tests.
pub(super) const LATENCY_TARGET: time::Duration = time::Duration::from_millis(100);

impl World {
    /// Creates `services` services with `replicas` upstreams each and an ample
    /// budget for extra calls.
    pub(super) fn new(services: usize, replicas: usize) -> Self {
        let own = forward::LocalVm {
            data_centre: "a".parse().expect("a name"),
        };
        let policy = forward::Policy {
            extra_calls: 1000.0,
            ..forward::Policy::default()
        };
        let mut fleet = forward::Fleet::new(own, policy);
        let now = clock::Moment::from_millis(10_000);
        for service in 0..services {
            for replica in 0..replicas {
                let port = u16::try_from(service * 10 + replica).expect("a small world");
                let entry = registry::Entry {
                    id: format!("u{service}-{replica}").parse().expect("an id"),
                    service: name(service),
                    address: net::SocketAddr::from(([127, 0, 0, 1], port)),
                    data_centre: if replica == 0 { "a" } else { "b" }
                        .parse()
                        .expect("a name"),
                    slots: 2,
                    state: registry::State::Ready,
                    warm_up: time::Duration::ZERO,
                    revision: ids::Revision(1),
                    heartbeats: 20,
                    started_at: clock::Wall(1),
                };
                fleet.registry.put(entry, now);
            }
        }
        Self {
            fleet,
            now,
            sends: Vec::new(),
            abandoned: Vec::new(),
            silent: Vec::new(),
            outcome: None,
        }
    }

    /// Returns the registration of the first upstream of a service.
    pub(super) fn entry(&self, service: usize) -> registry::Entry {
        let upstream = self.fleet.registry.of(&name(service))[0];
        self.fleet.registry.get(upstream).entry.clone()
    }

    /// Starts a job on `route`.
    pub(super) fn start(&mut self, route: route::Route) -> forward::Job {
        let split = std::cell::RefCell::new(route::Split::of(&route.target));
        let request = forward::Request {
            entry: rc::Rc::new(route::table::Entry { route, split }),
            began: self.now,
            time_left: None,
        };
        let mut job = forward::Job::new(request, &mut self.fleet);
        let mut actions = Vec::new();
        job.start(&mut self.fleet, self.now, &mut actions);
        self.take(actions);
        job
    }

    /// Advances the time to `millis` after the job's start.
    pub(super) fn advance_to(&mut self, job: &mut forward::Job, millis: u64) {
        let until = job.began() + time::Duration::from_millis(millis);
        while self.outcome.is_none() && job.wake_at() <= until && job.wake_at() > self.now {
            self.now = job.wake_at();
            let mut actions = Vec::new();
            job.tick(&mut self.fleet, self.now, &mut actions);
            self.take(actions);
        }
        self.now = self.now.max(until);
    }

    /// A relay reports that call number `send` has no reply.
    pub(super) fn report_unanswered(&mut self, job: &mut forward::Job, send: usize) {
        let calls = [self.sends[send].call];
        let mut actions = Vec::new();
        job.report_unanswered(&calls, &mut self.fleet, self.now, &mut actions);
        self.take(actions);
    }

    /// Ends call number `send`.
    pub(super) fn end(&mut self, job: &mut forward::Job, send: usize, verdict: forward::Verdict) {
        let forward::Send {
            call,
            part,
            upstream,
            ..
        } = self.sends[send];
        let end = forward::End {
            call,
            part,
            verdict,
            took: self.now.since(job.began()),
        };
        self.fleet
            .call_ended(call, upstream, job.began(), &end.verdict, self.now);
        let mut actions = Vec::new();
        job.ended(end, &mut self.fleet, self.now, &mut actions);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<forward::Action>) {
        for action in actions {
            match action {
                forward::Action::Send(send) => self.sends.push(send),
                forward::Action::Abandon(call) => self.abandoned.push(call),
                forward::Action::ReportSilentRelay(call) => self.silent.push(call),
                forward::Action::Finish(outcome) => {
                    assert!(self.outcome.is_none(), "a job ends once");
                    self.outcome = Some(outcome);
                }
            }
        }
    }
}

pub(super) fn name(service: usize) -> ids::Service {
    format!("s{service}").parse().expect("a name")
}

/// Returns a route to all of `services` services.
pub(super) fn shards(services: usize, min_coverage: u8) -> route::Route {
    route::Route {
        target: route::Target::Shards(route::Shards {
            services: (0..services).map(name).collect(),
            top_k: 3,
            min_coverage: rate::Share::percent(min_coverage),
        }),
        ..single(route::Repeat::Idempotent)
    }
}

/// Returns a route to service `s0`.
pub(super) fn single(repeat: route::Repeat) -> route::Route {
    route::Route {
        name: "r".to_owned(),
        host: "one.example".to_owned(),
        prefix: "/".to_owned(),
        repeat,
        attempts: 2,
        timeout: time::Duration::from_millis(600),
        latency_target: LATENCY_TARGET,
        priority: 0,
        target: route::Target::One(vec![route::Weighted {
            service: name(0),
            weight: 1.0,
        }]),
    }
}

/// Returns a successful reply with one record.
pub(super) fn good(letter: u8) -> forward::Verdict {
    let body = bytes::Bytes::from(vec![letter; forward::RECORD_BYTES]);
    let signature = char::from(letter).to_string();
    forward::Verdict::Good(h1::Reply::merged(signature, body))
}

/// Returns an upstream's own failure.
pub(super) fn failure() -> forward::Verdict {
    let mut reply = h1::Reply::merged("f".to_owned(), bytes::Bytes::new());
    reply.status = 500;
    forward::Verdict::Failure(reply)
}
