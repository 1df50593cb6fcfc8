use super::*;

fn key(text: &str) -> ids::Key {
    text.parse().unwrap()
}

#[test]
fn both_timed_forms_are_recognized() {
    let uuid = key("0193871e-5b7a-7abc-8def-0123456789ab");
    assert_eq!(time(&uuid), Some(time::Wall(0x0193_871e_5b7a)));
    let prefixed = key("t1764719093000-lot-7");
    assert_eq!(time(&prefixed), Some(time::Wall(1_764_719_093_000)));
}

/// A key that merely resembles a timed one must not be read as timed, or it would
/// be refused as too old.
#[test]
fn other_keys_have_no_time() {
    let random = "0193871e-5b7a-4abc-8def-0123456789ab";
    for text in [
        random,
        "lot-7",
        "t1764719093000",
        "t17647190930001-x",
        "t1764",
    ] {
        assert_eq!(time(&key(text)), None, "{text}");
    }
}
