use std::time;

use crate::query::admission;
use crate::query::admission::Sign;
use crate::time as clock;

/// Upstreams refuse for load. Letting as many searches in as before would
/// answer all of them in part; fewer must be let in, and more again later.
#[test]
fn congestion_cuts_and_quiet_restores() {
    let mut limit = admission::Limit::default();
    let mut now = clock::Moment::from_millis(1);
    let fill = |limit: &mut admission::Limit| (0..100).filter(|_| limit.admit(40)).count();
    assert_eq!(fill(&mut limit), 40);
    for _ in 0..40 {
        limit.done(Sign::Congested, now);
    }
    let cut = fill(&mut limit);
    assert!(cut < 40 && cut > 30, "one cut in one moment, to {cut}");
    for _ in 0..cut {
        now = now + time::Duration::from_millis(150);
        limit.done(Sign::Congested, now);
    }
    let low = fill(&mut limit);
    assert!((1..=3).contains(&low), "{low}");
    for _ in 0..2000 {
        limit.done(Sign::Free, now);
        fill(&mut limit);
    }
    assert!(limit.running() + fill(&mut limit) as u32 >= 35);
}
