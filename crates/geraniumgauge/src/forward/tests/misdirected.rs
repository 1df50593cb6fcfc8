//! Calls to the address of an upstream that has ended, which an upstream of another service
//! has now.

use super::world;
use crate::forward;
use crate::ids;
use crate::registry;

/// A search of services `s0` and `s1` whose first call to `s0` is on its way.
struct Search {
    world: world::World,
    job: forward::Job,
    meant: registry::Handle,
}

impl Search {
    /// Starts a search; `extra_calls` are allowed for each service.
    fn start(extra_calls: f64) -> Self {
        let mut world = world::World::new(2, 2);
        world.fleet.policy.extra_calls = extra_calls;
        let job = world.start(world::shards(2, 100));
        let meant = world.sends[0].upstream;
        Self { world, job, meant }
    }

    /// Registers an upstream of `s1` at the address that the call went to.
    fn register_other(&mut self) {
        let meant = &self.world.fleet.registry.get(self.meant).entry;
        let other = registry::Entry {
            id: "other".parse().expect("an id"),
            service: world::name(1),
            revision: ids::Revision(2),
            ..meant.clone()
        };
        let now = self.world.now;
        for change in self.world.fleet.registry.put(other, now) {
            if let registry::Change::Registered(upstream) = change {
                self.world.fleet.upstream_registered(upstream, now);
            }
        }
    }

    /// The other upstream refuses the call.
    fn refuse(&mut self) {
        let now = self.world.now;
        self.world.fleet.call_misdirected(self.meant, now);
        self.world
            .end(&mut self.job, 0, forward::Verdict::Misdirected);
    }

    /// Returns whether another extra call to `s1` is allowed.
    fn allows_extra(&mut self) -> bool {
        let (call, now) = (ids::Attempt(100), self.world.now);
        let earlier = forward::Siblings::default();
        let granted = self
            .world
            .fleet
            .take_extra(&world::name(1), call, &earlier, now);
        granted.is_some()
    }
}

/// Guards against extra arrivals that no budget is charged for: calls to an address that an
/// upstream of another service has now.
#[test]
fn a_misdirected_call_is_charged_to_the_service_that_got_it() {
    assert!(Search::start(1.5).allows_extra());
    for registered_first in [true, false] {
        let mut search = Search::start(1.5);
        if registered_first {
            search.register_other();
        }
        search.refuse();
        if !registered_first {
            search.register_other();
        }
        assert!(
            !search.allows_extra(),
            "registered first: {registered_first}"
        );
    }
}

/// Guards against searches that lose a shard, because the call that replaces a misdirected one
/// needs an extra call of a service that got no call at all.
#[test]
fn the_call_that_replaces_one_to_another_service_isnt_extra() {
    let mut search = Search::start(0.0);
    search
        .world
        .end(&mut search.job, 0, forward::Verdict::AddressLost);
    let replaced = search.world.sends.last().expect("another call");
    assert_eq!(search.world.sends.len(), 3);
    assert!(!replaced.payment.is_charged_here());
}

/// Guards against extra arrivals that no budget is charged for: an upstream that has started
/// again refuses the call for its predecessor, and the next one is the second at the service.
#[test]
fn the_call_that_replaces_one_to_an_earlier_start_is_extra() {
    let mut search = Search::start(0.0);
    search.refuse();
    assert_eq!(search.world.sends.len(), 2, "no budget allows another call");

    let mut search = Search::start(1.5);
    search.refuse();
    let replaced = search.world.sends.last().expect("another call");
    assert_eq!(search.world.sends.len(), 3);
    assert!(replaced.payment.is_charged_here());
}

/// Guards against a charge that is given back for an extra call that has arrived, but was
/// refused for another start of the upstream.
#[test]
fn an_extra_call_to_an_earlier_start_stays_charged() {
    let mut search = Search::start(1.5);
    search.world.advance_to(&mut search.job, 40);
    assert!(search.world.sends[2].payment.is_charged_here());
    let service = search
        .world
        .fleet
        .registry
        .get(search.world.sends[2].upstream);
    let service = service.entry.service.clone();
    let verdict = forward::Verdict::Misdirected;
    search.world.end(&mut search.job, 2, verdict);
    let (call, now) = (ids::Attempt(100), search.world.now);
    let earlier = forward::Siblings::default();
    let granted = search.world.fleet.take_extra(&service, call, &earlier, now);
    assert_eq!(granted, None, "the budget is used up");
}
