use super::*;
use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::query;

#[test]
fn the_report_shows_fast_burns_and_missing_shards_by_reason() {
    let now = time::Wall(400_000_000);
    let mut series = slo::Series::default();
    let counts = series.at(now);
    counts.requests = 100;
    counts.incomplete = 30;
    counts.missing.insert(query::Reason::Unreachable, 40);
    counts.missing.insert(query::Reason::Deadline, 10);
    let service = "desk".parse().unwrap();
    let objectives = document::Slo::default();
    let report = slo::Report::new(service, now, ids::Generation(1), &objectives, series);
    let text = text(&report);
    assert!(text.contains("30.00 (30/100)"), "{text}");
    assert!(
        text.contains("complete: burn rate of at least 14.4"),
        "{text}"
    );
    assert!(
        text.contains("by reason: unreachable 40 (80 %), deadline 10 (20 %)"),
        "{text}"
    );
}
