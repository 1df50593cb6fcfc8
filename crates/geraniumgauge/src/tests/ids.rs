use super::*;

#[test]
fn a_bad_character_is_reported_with_its_offset() {
    let found = "label printing".parse::<Service>();
    assert_eq!(
        found,
        Err(Error::Character {
            kind: "service",
            found: ' ',
            at: 5
        })
    );
}

#[test]
fn a_displayed_id_can_be_parsed() {
    fn property(number: u64) -> bool {
        Generation(number).to_string().parse() == Ok(Generation(number))
    }
    crate::seeds::checker().quickcheck(property as fn(u64) -> bool);
}

#[test]
fn fingerprints_differ_between_services_and_bodies() {
    let port = "port-inspection".parse().unwrap();
    let desk = "assessor-desk".parse().unwrap();
    assert_eq!(
        Fingerprint::of(&port, b"cod"),
        Fingerprint::of(&port, b"cod")
    );
    assert_ne!(
        Fingerprint::of(&port, b"cod"),
        Fingerprint::of(&desk, b"cod")
    );
    assert_ne!(
        Fingerprint::of(&port, b"cod"),
        Fingerprint::of(&port, b"hake")
    );
}
