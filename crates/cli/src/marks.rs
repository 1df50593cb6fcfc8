//! Requests of a service that are held to crash upstreams.

use geraniumgauge::ids;
use geraniumgauge::quarantine;
use geraniumgauge::quarantine::trial;
use geraniumgauge::store;
use geraniumgauge::store::Api as _;
use geraniumgauge::time;

use crate::failure;
use crate::table;

/// The marks that hold at `now`. VMs keep them in the store; one that was set
/// in the last second may be missing.
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
    let held: trial::Ledger = serde_json::from_slice(&object.body).map_err(|error| {
        failure::Failure::Refused(format!("{key} can't be read: {error}; VMs write it again"))
    })?;
    Ok(holding(held.marks, now))
}

fn holding(marks: Vec<quarantine::Mark>, now: time::Wall) -> Vec<quarantine::Mark> {
    let holds = |mark: &quarantine::Mark| mark.verdict(now) != quarantine::Verdict::Clear;
    marks.into_iter().filter(holds).collect()
}

/// The marks as a person reads them; nothing where there are none.
pub(crate) fn text(marks: &[quarantine::Mark], now: time::Wall) -> Vec<String> {
    if marks.is_empty() {
        return Vec::new();
    }
    let heads = ["request", "state", "upstreams lost", "since", "for another"];
    let row = |mark: &quarantine::Mark| {
        let lost = mark.crashed.iter().chain(&mark.lost);
        vec![
            mark.fingerprint.to_string(),
            mark.state.to_string(),
            lost.map(ToString::to_string).collect::<Vec<_>>().join(", "),
            format!("{} ago", table::age(now.since(mark.since))),
            table::age(mark.until.since(now)),
        ]
    };
    let rows = marks.iter().map(row).collect();
    vec![
        "requests held to crash upstreams:".to_owned(),
        table::table(&heads, rows),
    ]
}

#[cfg(test)]
#[path = "tests/marks.rs"]
mod tests;
