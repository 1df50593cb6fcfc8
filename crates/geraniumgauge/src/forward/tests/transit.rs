use super::world;
use crate::forward;
use crate::ids;
use crate::registry;
use crate::route;
use crate::time as clock;

/// Upstreams of one service, and the charges of one VM.
struct Calls {
    upstreams: Vec<registry::Handle>,
    allowance: forward::Allowance,
    transit: forward::Transit,
}

impl Calls {
    fn new() -> Self {
        let world = world::World::new(1, 3);
        Self {
            upstreams: world.fleet.registry.of(&world::name(0)).to_vec(),
            allowance: forward::Allowance::default(),
            transit: forward::Transit::default(),
        }
    }

    fn charge(&mut self) -> forward::Charge {
        let policy = forward::Policy::default();
        let grant = self
            .allowance
            .take_extra(&world::name(0), false, &policy, at(30_000));
        match grant {
            Some(forward::Grant::Charged(charge)) => charge,
            other => panic!("{other:?}"),
        }
    }
}

const FIRST: ids::Attempt = ids::Attempt(1);
const HEDGE: ids::Attempt = ids::Attempt(2);
const RETRY: ids::Attempt = ids::Attempt(3);

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

fn in_progress(call: ids::Attempt) -> forward::Siblings {
    forward::Siblings {
        in_progress: vec![call],
        lost: Vec::new(),
    }
}

/// Guards against a first call that waits at a silent upstream and arrives as the extra call
/// of its request, after the hedge was answered elsewhere.
#[test]
fn a_hedge_stays_charged_until_the_first_call_has_arrived() {
    let mut calls = Calls::new();
    let silent = calls.upstreams[0];
    let charge = calls.charge();
    calls
        .transit
        .add(HEDGE, charge.clone(), &in_progress(FIRST));
    assert_eq!(calls.transit.ended(HEDGE).arrived, []);
    assert!(calls.transit.give_up(FIRST, at(500)));
    assert_eq!(calls.transit.answered(silent, at(600)).arrived, []);
    assert_eq!(calls.transit.ended(FIRST).arrived, [charge]);
}

/// Guards against a call that a relay left in the sockets of a silent upstream when it died,
/// and that arrives as the extra call of its request after the retry was answered.
#[test]
fn a_retry_stays_charged_until_the_upstream_of_a_lost_call_answers() {
    let mut calls = Calls::new();
    let silent = calls.upstreams[0];
    calls.transit.hold(FIRST, silent, at(500));
    let charge = calls.charge();
    let earlier = forward::Siblings {
        in_progress: Vec::new(),
        lost: vec![FIRST],
    };
    calls.transit.add(RETRY, charge.clone(), &earlier);
    assert_eq!(calls.transit.ended(RETRY).arrived, []);
    let other = calls.upstreams[1];
    assert_eq!(calls.transit.answered(other, at(600)).arrived, []);
    assert_eq!(calls.transit.answered(silent, at(400)).arrived, []);
    assert_eq!(calls.transit.answered(silent, at(600)).arrived, [charge]);
}

/// Guards against charges that are never settled: a retry after a failure, whose first call
/// has arrived.
#[test]
fn a_retry_after_a_failure_is_charged_until_its_reply() {
    let mut calls = Calls::new();
    let charge = calls.charge();
    calls
        .transit
        .add(RETRY, charge.clone(), &forward::Siblings::default());
    assert_eq!(calls.transit.ended(RETRY).arrived, [charge]);
    assert!(!calls.transit.give_up(RETRY, at(0)));
}

/// Guards against a part that is charged for more calls than were made.
#[test]
fn a_call_that_isnt_made_frees_a_charge_of_its_part() {
    let mut calls = Calls::new();
    let charge = calls.charge();
    calls
        .transit
        .add(HEDGE, charge.clone(), &in_progress(FIRST));
    assert_eq!(calls.transit.not_made(FIRST).not_made, [charge]);
    assert_eq!(calls.transit.ended(HEDGE), forward::Settled::default());
}

/// Guards against a relay that pays for a hedge and counts it as arrived while the first
/// call, which another VM made, still waits.
#[test]
fn a_relay_stays_charged_until_the_upstream_of_the_first_call_answers() {
    let mut calls = Calls::new();
    let silent = calls.upstreams[0];
    let charge = calls.charge();
    calls
        .transit
        .add_for_other(HEDGE, charge.clone(), &[silent], at(100));
    assert_eq!(calls.transit.ended(HEDGE).arrived, []);
    assert_eq!(calls.transit.answered(silent, at(200)).arrived, [charge]);
}

/// Guards against charges that are kept forever for upstreams that don't come back.
#[test]
fn charges_end_with_the_upstream_or_after_a_long_silence() {
    for ends in ["process", "silence", "long wait"] {
        let mut calls = Calls::new();
        let dead = calls.upstreams[0];
        let charge = calls.charge();
        calls
            .transit
            .add(HEDGE, charge.clone(), &forward::Siblings::default());
        assert!(calls.transit.give_up(HEDGE, at(1000)));
        if ends != "long wait" {
            calls.transit.hold(HEDGE, dead, at(1000));
        }
        assert_eq!(calls.transit.expire(at(20_000)).arrived, []);
        let settled = match ends {
            "process" => calls.transit.gone(dead),
            _ => calls.transit.expire(at(40_000)),
        };
        assert_eq!(settled.arrived, [charge], "{ends}");
    }
}

/// Guards against calls of a VM's predecessor that wait at an upstream which this VM has never
/// called, as the upstream was silent and had lost its registration: they arrive when it goes
/// on, together with what this VM's fixed share allows.
#[test]
fn a_vm_waits_for_a_window_after_a_silent_upstream_registers_again() {
    let mut world = world::World::new(1, 3);
    world.fleet.policy.extra_calls = 10.0;
    let mut entry = world.entry(0);
    let window = world.fleet.policy.extra_window;
    let mut attempt = 100;
    let mut allows = |world: &mut world::World, now| {
        attempt += 1;
        let (service, earlier) = (world::name(0), forward::Siblings::default());
        let call = ids::Attempt(attempt);
        let granted = world.fleet.take_extra(&service, call, &earlier, now);
        granted.is_some()
    };
    let now = at(15_000);
    let mut registered = |world: &mut world::World, heartbeats| {
        entry.started_at.0 += 1;
        entry.heartbeats = heartbeats;
        for change in world.fleet.registry.put(entry.clone(), now) {
            if let registry::Change::Registered(upstream) = change {
                world.fleet.upstream_returned(upstream, now);
            }
        }
    };
    registered(&mut world, 1);
    assert!(allows(&mut world, now), "a new process");
    registered(&mut world, 20);
    assert!(!allows(&mut world, now));
    assert!(!allows(&mut world, at(24_900)));
    assert!(allows(&mut world, now + window));
}

/// Guards against a charge that is given back although its call was made: a relay refuses
/// another call of the same part, which it was to pay for.
#[test]
fn a_call_that_its_relay_refuses_leaves_its_siblings_charge() {
    let mut world = world::World::new(1, 3);
    let shares = forward::Shares::new(forward::SizeClass::Small, 1, 1);
    world.fleet.set_shares(shares, clock::Moment::default());
    world.fleet.policy.extra_calls = 0.0;
    let mut job = world.start(route::Route {
        attempts: 3,
        ..world::shards(1, 100)
    });
    world.advance_to(&mut job, 40);
    assert_eq!(world.sends[1].payment, forward::Payment::Relay);
    world.fleet.policy.extra_calls = 4.0;
    world.advance_to(&mut job, 80);
    assert!(world.sends[2].payment.is_charged_here());
    world.end(&mut job, 1, forward::Verdict::NoBudget);
    let (charged, now) = (world.sends[2].call, world.now);
    let usage = world.fleet.extra_usage(charged, now);
    assert_eq!(usage.map(|usage| usage.window.in_transit), Some(1));
}
