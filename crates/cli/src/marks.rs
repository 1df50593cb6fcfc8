//! Marks of a service's requests that are suspected of crashing upstreams.

use geraniumgauge::ids;
use geraniumgauge::quarantine;
use geraniumgauge::quarantine::trial;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time;

use crate::failure;
use crate::table;

/// Reads the marks of `service` that are in effect at `now`. VMs write marks to
/// the store with a delay, so a mark made within the last second may be missing.
pub(crate) async fn read(
    store: &store::Client,
    service: &ids::Service,
    now: time::Wall,
) -> Result<Vec<quarantine::Mark>, failure::Failure> {
    let key = trial::key(service);
    let object = match store.get(&key).await {
        Ok(object) => object,
        Err(store::Error::Missing { .. }) => return Ok(Vec::new()),
        Err(error) => return Err(error.into()),
    };
    let ledger: trial::Ledger = serde_json::from_slice(&object.body).map_err(|error| {
        failure::Failure::Other(format!(
            "failed to parse {key}: {error}; try again later: VMs rewrite it"
        ))
    })?;
    Ok(in_effect(ledger.marks, now))
}

fn in_effect(marks: Vec<quarantine::Mark>, now: time::Wall) -> Vec<quarantine::Mark> {
    let is_in_effect = |mark: &quarantine::Mark| mark.verdict(now) != quarantine::Verdict::Clear;
    marks.into_iter().filter(is_in_effect).collect()
}

/// Formats the marks as a titled table; returns no lines if there are none.
pub(crate) fn text(marks: &[quarantine::Mark], now: time::Wall) -> Vec<String> {
    if marks.is_empty() {
        return Vec::new();
    }
    let headers = [
        "request",
        "state",
        "upstreams crashed or lost",
        "since",
        "expires in",
    ];
    let row = |mark: &quarantine::Mark| {
        let lost = mark.crashed.iter().chain(&mark.lost);
        vec![
            mark.fingerprint.to_string(),
            mark.state.to_string(),
            lost.map(ToString::to_string).collect::<Vec<_>>().join(", "),
            format!("{} ago", table::duration(now.since(mark.since))),
            table::duration(mark.until.since(now)),
        ]
    };
    let rows = marks.iter().map(row).collect();
    vec![
        "requests suspected of crashing upstreams:".to_owned(),
        table::table(&headers, rows),
    ]
}

#[cfg(test)]
#[path = "tests/marks.rs"]
mod tests;
