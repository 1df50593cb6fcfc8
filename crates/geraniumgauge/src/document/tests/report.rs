use prost::Message as _;

use super::*;

/// Services of the size to design for: 10,000 replicas, 240 of each.
const SERVICES: u64 = 42;

fn applied(changed: Option<u64>) -> Vec<message::Have> {
    let one = |n| message::Have {
        service: format!("port-inspection-{n}"),
        generation: if changed == Some(n) { 300 } else { 299 },
        layout: 12,
    };
    (0..SERVICES).map(one).collect()
}

/// Bytes of a report as a frame, its length in front.
fn size(have: Vec<message::Have>) -> usize {
    const LENGTH: usize = 4;
    let pull = message::Pull {
        digest: u64::MAX,
        have,
        ..message::Pull::default()
    };
    let body = Some(message::Body::Pull(pull));
    LENGTH + message::Frame { body }.encoded_len()
}

/// Story: one team edits its document, and 2,200 VMs tell the keeper that they
/// apply it. Were each to tell of all its services, the keeper's VM would get
/// megabytes for each of 4,700 edits a day. Only a new keeper needs it all.
#[test]
fn only_what_changed_is_reported() {
    let (keeper, next) = ("vm-1".parse().unwrap(), "vm-2".parse().unwrap());
    let mut report = Report::new(clock::Moment(0));
    let first = report
        .next(&keeper, || applied(None), clock::Moment(0))
        .unwrap();
    assert_eq!(first.len(), SERVICES as usize);
    report.fits(clock::Moment(0));
    let later = clock::Moment::from_millis(2000);
    report.soon(later);
    let changed = report.next(&keeper, || applied(Some(7)), later).unwrap();
    assert_eq!(changed, [applied(Some(7))[7].clone()]);
    assert!(
        size(changed) < 64,
        "a changed service makes a frame of 48 bytes or so"
    );
    let quiet = later + 2 * REFRESH;
    let digest = report.next(&keeper, || applied(Some(7)), quiet).unwrap();
    assert!(digest.is_empty());
    assert!(size(digest) < 24, "a digest is 8 bytes and what frames it");
    report.soon(quiet);
    let all = report.next(&next, || applied(Some(7)), quiet).unwrap();
    assert_eq!(all.len(), SERVICES as usize);
}
