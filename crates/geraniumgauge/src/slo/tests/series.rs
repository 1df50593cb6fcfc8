use super::*;

const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

/// Compaction at any time loses no counts that a window still needs, and keeps the
/// series small.
#[test]
fn windows_include_all_counts_within_them() {
    fn property(gaps: Vec<u16>) -> bool {
        let mut series = Series::default();
        let mut now = clock::Wall(20 * DAY_MS);
        let mut events = Vec::new();
        for gap in gaps {
            now = now + time::Duration::from_secs(u64::from(gap) / 4);
            series.at(now).requests += 1;
            events.push(now);
            series.compact(now);
        }
        slo::WINDOWS.iter().all(|(_, window)| {
            let counted = series.window(now, *window).requests as usize;
            let within = events.iter().filter(|at| now.since(**at) < *window).count();
            let widest = *window + time::Duration::from_secs(2 * 3600);
            let nearby = events.iter().filter(|at| now.since(**at) < widest).count();
            within <= counted && counted <= nearby
        }) && series.slices.len() < 200
    }
    crate::seeds::checker().quickcheck(property as fn(Vec<u16>) -> bool);
}

#[test]
fn a_full_series_of_a_busy_service_is_small() {
    let mut series = Series::default();
    for minute in 0..74 * 60 {
        let now = clock::Wall(20 * DAY_MS + minute * MINUTE_MS);
        let counts = series.at(now);
        counts.requests += 100_000;
        counts.incomplete += 1000;
        counts.first_attempts += 2_000_000;
        counts
            .missing
            .insert(crate::query::Reason::VersionUnavailable, 1000);
        series.compact(now);
    }
    let size = serde_json::to_vec(&series).unwrap().len();
    assert!(size < 40_000, "{size} bytes");
}
