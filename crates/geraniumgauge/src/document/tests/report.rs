use prost::Message as _;

use super::*;

/// Services at the design size: 10,000 replicas, 240 for each service.
const SERVICES: u64 = 42;

fn versions(changed: Option<u64>) -> Vec<message::AppliedVersions> {
    let version = |n| message::AppliedVersions {
        service: format!("port-inspection-{n}"),
        generation: if changed == Some(n) { 300 } else { 299 },
        layout: 12,
    };
    (0..SERVICES).map(version).collect()
}

/// Returns the bytes of a report as a frame, including its length prefix.
fn size(have: Vec<message::AppliedVersions>) -> usize {
    const LENGTH_PREFIX: usize = 4;
    let pull = message::Pull {
        digest: u64::MAX,
        have,
        ..message::Pull::default()
    };
    let body = Some(message::Body::Pull(pull));
    LENGTH_PREFIX + message::Frame { body }.encoded_len()
}

/// After an edit, 2,200 VMs report to the keeper that they apply it. If each
/// report listed all services, the keeper would receive megabytes for each of
/// 4,700 edits a day. Only a new keeper needs a full report.
#[test]
fn only_what_changed_is_reported() {
    let (keeper, next_keeper) = ("vm-1".parse().unwrap(), "vm-2".parse().unwrap());
    let mut report = Report::new(clock::Moment(0));
    let first = report
        .next(&keeper, || versions(None), clock::Moment(0))
        .unwrap();
    assert_eq!(first.len(), SERVICES as usize);
    report.confirmed(clock::Moment(0));
    let later = clock::Moment::from_millis(2000);
    report.schedule(later);
    let changed = report.next(&keeper, || versions(Some(7)), later).unwrap();
    assert_eq!(changed, [versions(Some(7))[7].clone()]);
    assert!(
        size(changed) < 64,
        "a changed service makes a frame of 48 bytes or so"
    );
    let quiet = later + 2 * REFRESH_INTERVAL;
    let digest = report.next(&keeper, || versions(Some(7)), quiet).unwrap();
    assert!(digest.is_empty());
    assert!(size(digest) < 24, "a digest is 8 bytes and its framing");
    report.schedule(quiet);
    let all = report
        .next(&next_keeper, || versions(Some(7)), quiet)
        .unwrap();
    assert_eq!(all.len(), SERVICES as usize);
}
