use crate::forward;
use crate::ids;
use crate::registry;
use crate::time as clock;

const BAD: ids::Fingerprint = ids::Fingerprint(7);

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// A request crashes each upstream that runs it, and its caller keeps sending
/// it. It is refused everywhere after the second crash.
#[test]
fn a_request_that_crashed_upstreams_twice_is_refused() {
    let mut suspects = forward::Suspects::default();
    for (round, upstream) in [(1, 1), (2, 2)] {
        assert!(!suspects.is_quarantined(BAD, at(round * 2000)));
        suspects.connection_lost(registry::Handle(upstream), BAD, at(round * 2000));
        let reported = suspects.unreachable(registry::Handle(upstream), at(round * 2000 + 300));
        assert_eq!(reported, vec![BAD]);
    }
    assert!(suspects.is_quarantined(BAD, at(4400)));
    assert!(!suspects.is_quarantined(BAD, at(70_000)), "not forever");
}

/// A rack loses power while a search runs on five upstreams there. Neither the
/// search nor a request that only lost its connections becomes a suspect.
#[test]
fn failed_racks_and_lost_replies_make_no_suspects() {
    let mut suspects = forward::Suspects::default();
    for upstream in 0..5 {
        suspects.connection_lost(registry::Handle(upstream), BAD, at(1000));
    }
    for upstream in 0..5 {
        suspects.unreachable(registry::Handle(upstream), at(1200));
    }
    assert!(!suspects.is_quarantined(BAD, at(1300)));
    for round in 10..20 {
        suspects.connection_lost(registry::Handle(9), BAD, at(round * 1000));
    }
    assert!(!suspects.is_quarantined(BAD, at(20_000)));
    assert!(
        suspects
            .unreachable(registry::Handle(9), at(30_000))
            .is_empty()
    );
}

#[test]
fn a_run_that_completes_clears_a_request() {
    let mut suspects = forward::Suspects::default();
    assert!(suspects.report_crash(BAD, at(1000)));
    suspects.clear(BAD);
    assert!(suspects.report_crash(BAD, at(5000)));
    assert!(!suspects.is_quarantined(BAD, at(5001)));
    assert!(suspects.report_crash(BAD, at(9000)));
    assert!(suspects.is_quarantined(BAD, at(9001)));
}
