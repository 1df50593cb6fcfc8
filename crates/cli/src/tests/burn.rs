use super::*;
use geraniumgauge::document;
use geraniumgauge::ids;
use geraniumgauge::query;

/// 30 of 100 answers are incomplete, while the default objective allows 1 in 100, so the
/// burn rate is 30. A rate of at least 14.4 calls for action at once.
#[test]
fn the_report_shows_high_burn_rates_and_missing_shards_by_reason() {
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
