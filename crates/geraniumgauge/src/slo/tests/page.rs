use super::*;
use crate::document;
use crate::ids;
use crate::time;

fn report() -> slo::Report {
    let now = time::Wall(400_000_000);
    let mut series = slo::Series::default();
    for minute in 0..60 {
        let counts = series.at(time::Wall(now.0 - minute * 60_000));
        counts.requests += 100;
        counts.incomplete += minute;
        counts.missing.insert(crate::query::Reason::Deadline, 3);
    }
    let service = "desk".parse().unwrap();
    let objectives = document::Slo::default();
    slo::Report::new(service, now, ids::Generation(3), &objectives, series)
}

#[test]
fn the_page_contains_the_table_the_plot_and_the_reasons() {
    let page = page(&report()).unwrap();
    for part in [
        "<svg",
        "first_attempts",
        "deadline: 180 (100.0 %)",
        "class=\"over\"",
    ] {
        assert!(page.contains(part), "{part} is not in the page");
    }
}

#[test]
fn an_empty_report_is_drawn() {
    let service = "desk".parse().unwrap();
    let objectives = document::Slo::default();
    let empty = slo::Series::default();
    let report = slo::Report::new(
        service,
        time::Wall(0),
        ids::Generation(0),
        &objectives,
        empty,
    );
    assert!(page(&report).unwrap().contains("none"));
}
