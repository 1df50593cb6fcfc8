use std::time;

use crate::query::admission;
use crate::query::admission::Load;
use crate::time as clock;

/// When upstreams refuse calls because of overload, admitting as many searches as
/// before would give only partial answers. Fewer must be admitted, and more once the
/// congestion ends.
#[test]
fn congestion_lowers_the_limit_and_its_end_restores_it() {
    let mut limit = admission::Limit::default();
    let mut now = clock::Moment::from_millis(1);
    let fill = |limit: &mut admission::Limit| (0..100).filter(|_| limit.admit(40)).count();
    assert_eq!(fill(&mut limit), 40);
    for _ in 0..40 {
        limit.finish(Load::Congested, now);
    }
    let cut = fill(&mut limit);
    assert!(
        cut < 40 && cut > 30,
        "expected one reduction, got a limit of {cut}"
    );
    for _ in 0..cut {
        now = now + time::Duration::from_millis(150);
        limit.finish(Load::Congested, now);
    }
    let low = fill(&mut limit);
    assert!((1..=3).contains(&low), "{low}");
    for _ in 0..2000 {
        limit.finish(Load::Free, now);
        fill(&mut limit);
    }
    assert!(limit.running() + fill(&mut limit) as u32 >= 35);
}
