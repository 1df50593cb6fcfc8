use std::collections;

use rand::Rng as _;
use rand::SeedableRng as _;

use super::*;
use crate::ids;
use crate::mesh::message::Kind;
use crate::mesh::message::Outcome;
use crate::upstream::Outcome as UpstreamOutcome;

#[path = "scenarios.rs"]
mod scenarios;
#[path = "world.rs"]
mod world;

use world::World;
use world::millis;

const PRIMARY: placement::Role = placement::Role::Primary;

/// State of a random run, in addition to what [`World`] keeps.
struct Run {
    world: World,
    random: rand::rngs::StdRng,
    submitted: Vec<Id>,
    dropped: collections::HashSet<Id>,
    /// Whether calls may stay unanswered until they are suspect.
    silence: bool,
}

impl Run {
    fn new(seed: u64, silence: bool) -> Self {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let slots = random.random_range(1..5);
        let connections = random.random_range(1..60);
        Self {
            world: World::new(slots, connections, PRIMARY),
            random,
            submitted: Vec::new(),
            dropped: collections::HashSet::new(),
            silence,
        }
    }

    fn random_kind(&mut self) -> Kind {
        let kinds = [
            Kind::First,
            Kind::First,
            Kind::Hedge,
            Kind::Retry,
            Kind::Trial,
        ];
        kinds[self.random.random_range(0..kinds.len())]
    }

    fn random_outcome(&mut self) -> UpstreamOutcome {
        let ends = [
            UpstreamOutcome::Shed,
            UpstreamOutcome::Draining,
            UpstreamOutcome::Version,
            UpstreamOutcome::Unsent,
            UpstreamOutcome::Lost,
            UpstreamOutcome::Crossed,
            UpstreamOutcome::Failed,
        ];
        let rare = self.random.random_range(0..ends.len() * 8);
        ends.get(rare).copied().unwrap_or(UpstreamOutcome::Done)
    }

    fn random_connection(&mut self) -> Option<ConnectionId> {
        let connection_ids: Vec<_> = self.world.running.keys().copied().collect();
        let at = self.random.random_range(0..connection_ids.len().max(1));
        connection_ids.get(at).copied()
    }

    fn step(&mut self) {
        let before = self.world.sent.len();
        match self.random.random_range(0..100) {
            0..45 => self.submit_call(),
            45..80 => {
                if let Some(connection_id) = self.random_connection() {
                    let outcome = self.random_outcome();
                    self.world.finish(connection_id, outcome);
                }
            }
            80..85 => {
                let at = self.random.random_range(0..self.submitted.len().max(1));
                if let Some(id) = self.submitted.get(at).cloned() {
                    self.world.handle(Event::Cancel(id));
                }
            }
            85..95 => self.world.answer_control(),
            _ => {
                let span = millis(
                    self.random
                        .random_range(1..if self.silence { 400 } else { 4 }),
                );
                self.finish_old(span);
                self.world.pass(span);
            }
        }
        self.check(before);
    }

    /// Unless silence is allowed, finishes calls before they become suspect.
    fn finish_old(&mut self, span: time::Duration) {
        let now = self.world.now;
        let is_old = |connection_id: &ConnectionId| {
            now.since(self.world.sent_at[connection_id]) + span >= millis(10)
        };
        let running = self.world.running.keys().copied();
        let mut old: Vec<_> = running.filter(is_old).collect();
        while let Some(connection_id) = old.pop().filter(|_| !self.silence) {
            if self.world.running.contains_key(&connection_id) {
                self.world.finish(connection_id, UpstreamOutcome::Done);
            }
        }
    }

    fn submit_call(&mut self) {
        let deadline = millis(self.random.random_range(1..2000));
        let job = if self.random.random_bool(0.1) {
            self.world.record(deadline)
        } else {
            let kind = self.random_kind();
            self.world.job(kind, deadline)
        };
        self.submitted.push(self.world.submit(job));
    }

    fn check(&self, before: usize) {
        let world = &self.world;
        let limits = world.state.limits(world.now);
        assert!(world.open.len() <= limits.call_connections() as usize);
        let upstream = world.state.upstream();
        let calls = upstream.slots as usize;
        assert!(world.running.len() <= if self.silence { 2 * calls } else { calls });
        let trial = world.running.values().any(Job::is_trial);
        assert!(
            !trial || world.running.len() == 1,
            "a trial doesn't run alone"
        );
        for (id, ..) in &world.sent[before..] {
            let earlier = world.sent[..before].iter().filter(|(sent, ..)| sent == id);
            let sends_before = earlier.count();
            let record = world
                .running
                .values()
                .any(|job| job.id == *id && job.is_record());
            assert!(!record || sends_before == 0, "a record is sent twice");
        }
    }

    fn finish(mut self) {
        for _ in 0..400 {
            self.world.answer_control();
            if let Some(connection_id) = self.random_connection() {
                self.world.finish(connection_id, UpstreamOutcome::Done);
            }
            self.world.pass(millis(20));
        }
        assert!(self.world.state.is_idle());
        let mut answered = collections::HashMap::new();
        for (id, _) in &self.world.answers {
            *answered.entry(id.clone()).or_insert(0) += 1;
        }
        for id in self
            .submitted
            .iter()
            .filter(|id| !self.dropped.contains(*id))
        {
            assert_eq!(answered.get(id), Some(&1), "{id:?}");
        }
    }
}

/// Replies, cancellations, broken connections and reports come in random order. Each
/// call must get exactly one answer, no record may be sent twice, neither slots nor
/// connections may be exceeded, and a trial must run alone.
#[test]
fn whatever_the_order_of_events_each_call_gets_one_answer() {
    fn property(seed: u64, silence: bool) -> bool {
        let mut run = Run::new(seed, silence);
        for _ in 0..300 {
            run.step();
        }
        run.finish();
        true
    }
    crate::seeds::checker()
        .tests(300)
        .quickcheck(property as fn(u64, bool) -> bool);
}

/// Two groups of VMs have different membership views for a while, and their homes open
/// the connections that each view allows. Beyond its limit, the upstream would close
/// connections that carry calls.
#[test]
fn homes_of_two_views_stay_within_the_connection_limit() {
    fn property(seed: u64, count: u8, differ: u8, connections: u16) -> bool {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let count = usize::from(count % 40) + 1;
        let upstream = world::layout_entry(2, u32::from(connections % 200) + 10);
        let service = "desk".parse().unwrap();
        let all: Vec<_> = (0..count).map(member).collect();
        let views: Vec<_> = (0..2)
            .map(|_| {
                let mut members = all.clone();
                for _ in 0..differ % 8 {
                    members.remove(random.random_range(0..members.len()));
                    if members.is_empty() {
                        members.push(all[0].clone());
                    }
                }
                crate::member::View::new("vm-0".parse().unwrap(), members)
            })
            .collect();
        let all_limits = all.iter().map(|member| {
            let view = &views[random.random_range(0..2)];
            let role = placement::role(view, &upstream, &service, &member.vm);
            Limits::of(&upstream, role)
        });
        let (mut sum, mut calls) = (0, 0);
        for limits in all_limits {
            sum += limits.connections;
            calls += limits.calls;
        }
        sum <= upstream.connections && calls <= 2 * (upstream.slots + 2)
    }
    crate::seeds::checker()
        .tests(2000)
        .quickcheck(property as fn(u64, u8, u8, u16) -> bool);
}

fn member(number: usize) -> crate::member::Member {
    crate::member::Member {
        vm: format!("vm-{number}").parse().unwrap(),
        incarnation: ids::Incarnation(1),
        data_centre: format!("dc-{}", number % 2).parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        state: crate::member::State::Alive,
    }
}

#[test]
fn the_most_urgent_call_is_sent_first() {
    fn property(deadlines: Vec<u16>) -> bool {
        let mut world = World::new(1, 25, PRIMARY);
        world.answer_control();
        let first = world.call(millis(10));
        let mut ids: Vec<_> = deadlines
            .iter()
            .map(|deadline| (*deadline, world.call(millis(u64::from(*deadline) + 20))))
            .collect();
        ids.sort_by_key(|(deadline, _)| *deadline);
        let mut order = vec![first];
        order.extend(ids.into_iter().map(|(_, id)| id));
        while let Some((connection_id, _)) = world.running.first_key_value() {
            let connection_id = *connection_id;
            world.finish(connection_id, UpstreamOutcome::Done);
        }
        let sent: Vec<_> = world.sent.iter().map(|(id, ..)| id.clone()).collect();
        sent == order
    }
    crate::seeds::checker().quickcheck(property as fn(Vec<u16>) -> bool);
}

/// Twice as many searches over 8 shards arrive as 8 upstreams can serve. If each home
/// refused searches of its own choice, hardly any would be served by all homes, and
/// nearly all work would be wasted.
#[test]
fn homes_refuse_the_same_searches() {
    fn property(seed: u64) -> bool {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let mut homes: Vec<_> = (0..8).map(|_| World::new(2, 25, PRIMARY)).collect();
        homes
            .iter_mut()
            .for_each(|home| home.run_calls(20, millis(20)));
        let mut ends = vec![collections::BTreeMap::new(); homes.len()];
        let queries = 800_u64;
        for step in 0..queries * 5 {
            for (home, ends) in homes.iter_mut().zip(&mut ends) {
                if step % 5 == 0 {
                    let job = home.job(Kind::First, millis(300));
                    home.submit(job.of_request(&format!("q-{step}")));
                }
                let running: Vec<_> = home.running.keys().copied().collect();
                for connection_id in running {
                    let end = home.now + millis(random.random_range(10..30));
                    if *ends.entry(connection_id).or_insert(end) <= home.now {
                        ends.remove(&connection_id);
                        home.finish(connection_id, UpstreamOutcome::Done);
                    }
                }
                home.pass_with_control(millis(1));
            }
        }
        let complete = (21..=20 + queries).filter(|attempt| {
            let hits = |home: &World| {
                home.answers
                    .iter()
                    .any(|(id, outcome)| id.attempt == *attempt && *outcome == Outcome::Hits)
            };
            homes.iter().all(hits)
        });
        // 2 slots of 20 ms serve 100 of the 200 searches a second.
        let complete = complete.count();
        assert!(complete >= 320, "{complete} of 400 that could be served");
        true
    }
    crate::seeds::checker()
        .tests(5)
        .quickcheck(property as fn(u64) -> bool);
}
