use std::time;

use crate::follow;
use crate::ids;
use crate::registry;
use crate::spread;
use crate::spread::wire;
use crate::time as clock;

fn entry(name: &str) -> registry::Entry {
    registry::Entry {
        id: name.parse().expect("a name"),
        service: "one".parse().expect("a name"),
        address: "10.0.0.9:80".parse().expect("an address"),
        data_centre: "dc-a".parse().expect("a name"),
        slots: 3,
        state: registry::State::Draining,
        warm_up: time::Duration::from_millis(250),
        revision: ids::Revision(12),
        heartbeats: 7,
        started_at: clock::Wall(1_700_000_000_000),
    }
}

fn item(name: &str, value: Option<registry::Entry>) -> follow::Item<registry::Entry> {
    follow::Item {
        name: name.to_owned(),
        revision: ids::Revision(12),
        value,
    }
}

fn member() -> spread::Member {
    spread::Member {
        vm: "vm-1".parse().expect("a name"),
        incarnation: ids::Incarnation(5),
        beat: 2,
        address: "10.0.0.1:7000".parse().expect("an address"),
        data_centre: "dc-b".parse().expect("a name"),
        cores: 0.125,
    }
}

fn record() -> spread::Record {
    (member(), time::Duration::from_millis(70))
}

fn position() -> spread::Position {
    spread::Position {
        revision: Some(ids::Revision(40)),
        digest: follow::Digest(u64::MAX - 3),
        config: None,
    }
}

fn poll() -> spread::Poll {
    spread::Poll {
        vm: "vm-2".parse().expect("a name"),
        number: 1_700_000_000_001,
        age: time::Duration::from_micros(1234),
    }
}

#[test]
fn datagrams_round_trip() {
    let changes = vec![
        follow::Change::Deleted("u7".to_owned()),
        follow::Change::Put(item("u8", Some(entry("u8")))),
        follow::Change::Put(item("no upstream", None)),
    ];
    let update = spread::Update {
        vm: "vm-1".parse().expect("a name"),
        summary: spread::Summary {
            position: position(),
            verified: true,
            poll: Some(poll()),
            vms: Some(295),
            members: 99,
        },
        unavailable: true,
        forwarding: spread::Forwarding::Backup,
        changes: Some(spread::Changes {
            before: follow::Digest(3),
            changes,
        }),
    };
    for datagram in [
        spread::Datagram::Update(update),
        spread::Datagram::Hello(vec![record(), record()]),
        spread::Datagram::CrashSuspect(ids::Fingerprint(8)),
    ] {
        let read = spread::Datagram::decode(&datagram.encode());
        assert_eq!(read.expect("a datagram"), datagram);
    }
}

#[test]
fn requests_and_answers_round_trip() {
    let fetch = spread::Fetch {
        member: member(),
        position: position(),
        members: 4,
        members_only: true,
        full: true,
        knows_no_other: true,
    };
    assert_eq!(wire::Fetch::from(&fetch).read(), Some(fetch));
    for registrations in [
        None,
        Some(follow::Delta::Changes(vec![follow::Change::Deleted(
            "u1".to_owned(),
        )])),
        Some(follow::Delta::All(vec![
            item("u8", Some(entry("u8"))),
            item("x", None),
        ])),
    ] {
        let answer = spread::Answer {
            summary: spread::Summary {
                position: position(),
                verified: false,
                poll: Some(poll()),
                vms: None,
                members: 4,
            },
            records: vec![record()],
            config: Some("{}".to_owned()),
            registrations,
            redirect: Some(spread::Redirect {
                vms: vec!["10.0.0.4:7000".parse().expect("an address")],
                retry_after: time::Duration::from_millis(300),
            }),
        };
        let read = spread::Answer::from(wire::Answer::from(answer.clone()));
        assert_eq!(read, answer);
    }
}

quickcheck::quickcheck! {
    /// Decoding any bytes returns without a panic.
    fn any_bytes_can_be_decoded(bytes: Vec<u8>) -> bool {
        spread::Datagram::decode(&bytes).is_ok() || !bytes.is_empty()
    }

    /// So does decoding a datagram that was corrupted.
    fn corrupted_datagrams_can_be_decoded(at: usize, byte: u8) -> bool {
        let mut bytes = spread::Datagram::Hello(vec![record()]).encode();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = spread::Datagram::decode(&bytes);
        true
    }
}
