//! Admission of answers that share a VM's bandwidth.

use std::net;
use std::time;

use crate::rate;
use crate::spread;
use crate::spread::admission;
use crate::time as clock;

const LINK: rate::BytesPerSecond = rate::BytesPerSecond(1e6);
const LARGE: rate::Bytes = rate::Bytes(300_000);

fn vm(number: u8) -> net::SocketAddr {
    (net::Ipv4Addr::new(10, 0, 0, number), 7000).into()
}

fn at(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

/// Starts an answer for which there is bandwidth, and returns its reservation.
fn begin(
    admission: &mut admission::Admission,
    to: u8,
    now: clock::Moment,
) -> spread::ReservationId {
    let started = admission.begin(vm(to), LARGE, false, now);
    let reservation = started.expect("bandwidth for an answer");
    reservation.expect("a large answer needs a reservation")
}

#[test]
fn answers_beyond_the_link_capacity_are_redirected() {
    let mut admission = admission::Admission::new(LINK, at(0));
    let now = at(1000);
    let first = begin(&mut admission, 1, now);
    let full = admission.begin(vm(2), LARGE, false, now);
    let retry_after = time::Duration::from_millis(300);
    let vms = Vec::new();
    assert_eq!(full, Err(spread::Redirect { vms, retry_after }));
    // Small changes are sent nevertheless.
    let small = admission.begin(vm(3), rate::Bytes(900), false, now);
    assert_eq!(small, Ok(None));
    // Waiting VMs are notified of the free capacity, and later requesters are
    // redirected to the VM that was served.
    assert_eq!(admission.end(first), Some(vec![vm(2)]));
    begin(&mut admission, 2, now);
    let full = admission.begin(vm(4), LARGE, false, now);
    assert_eq!(full.map_err(|redirect| redirect.vms), Err(vec![vm(1)]));
}

#[test]
fn an_answer_larger_than_the_link_capacity_is_sent_alone() {
    let mut admission = admission::Admission::new(LINK, at(0));
    let huge = rate::Bytes(4 << 20);
    let sent = admission.begin(vm(1), huge, false, at(1000));
    assert!(matches!(sent, Ok(Some(_))));
    assert!(admission.begin(vm(2), LARGE, false, at(1000)).is_err());
}

/// Guards against a VM that lost power after its request and blocks the bandwidth
/// forever.
#[test]
fn an_abandoned_answer_releases_its_part_of_the_link() {
    let mut admission = admission::Admission::new(LINK, at(0));
    begin(&mut admission, 1, at(1000));
    begin(&mut admission, 2, at(7000));
}

/// Guards against a VM that asks twice, where the end of the first answer also
/// releases the reservation of the second one.
#[test]
fn an_answer_releases_only_its_own_part_of_the_link() {
    let mut admission = admission::Admission::new(LINK, at(0));
    let half = rate::Bytes(LARGE.0 / 2);
    let first = admission.begin(vm(1), half, false, at(1000));
    let first = first
        .expect("bandwidth for an answer")
        .expect("a reservation");
    assert!(admission.begin(vm(1), half, false, at(1000)).is_ok());
    assert!(admission.end(first).is_some());
    assert_eq!(admission.end(first), None);
    assert!(admission.begin(vm(2), LARGE, false, at(1000)).is_err());
}

/// Guards against VMs with few cores that use up the bandwidth before VMs that serve many
/// others are admitted.
#[test]
fn vms_that_serve_more_vms_are_admitted_first() {
    let mut admission = admission::Admission::new(LINK, at(0));
    admission.content_changed(at(1000));
    assert!(admission.is_content_new(at(1001)));
    assert!(admission.begin(vm(1), LARGE, true, at(1001)).is_err());
    let first = begin(&mut admission, 2, at(1001));
    admission.end(first);
    assert!(!admission.is_content_new(at(1100)));
    begin(&mut admission, 1, at(1100));
}
