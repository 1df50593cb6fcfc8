//! Which upstreams are known to have their addresses.

use std::time;

use super::world;
use crate::forward;
use crate::h1;
use crate::time as clock;

const REUSE_DELAY: time::Duration = time::Duration::from_secs(2);

/// Ends a call to an upstream with this verdict, and returns whether the upstream has its
/// address at `after` from the call's start.
fn has_address(verdict: forward::Verdict, after: time::Duration) -> bool {
    let mut world = world::World::new(1, 1);
    world.fleet.policy.address_reuse_delay = REUSE_DELAY;
    let mut job = world.start(world::shards(1, 100));
    let upstream = world.sends[0].upstream;
    let began: clock::Moment = world.now;
    world.end(&mut job, 0, verdict);
    world.fleet.has_address(upstream, began + after)
}

fn reply() -> h1::Reply {
    h1::Reply::merged("s".to_owned(), bytes::Bytes::new())
}

#[test]
fn an_upstream_that_answered_has_its_address_until_others_may_get_it() {
    let just_before = REUSE_DELAY - time::Duration::from_micros(1);
    assert!(has_address(forward::Verdict::Good(reply()), just_before));
    assert!(has_address(forward::Verdict::Failure(reply()), just_before));
    assert!(!has_address(forward::Verdict::Good(reply()), REUSE_DELAY));
}

/// Guards against trust in an address because of an answer that any upstream may give.
#[test]
fn answers_that_name_nobody_dont_show_who_has_the_address() {
    let verdicts = [
        forward::Verdict::NotRun,
        forward::Verdict::Misdirected,
        forward::Verdict::NotSent,
        forward::Verdict::Lost,
    ];
    for verdict in verdicts {
        assert!(!has_address(verdict, time::Duration::ZERO));
    }
}
