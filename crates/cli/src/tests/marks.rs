use super::*;

const MINUTE: u64 = 60_000;

fn mark(state: quarantine::State, until: u64) -> quarantine::Mark {
    quarantine::Mark {
        service: "desk".parse().unwrap(),
        fingerprint: ids::Fingerprint(77),
        state,
        version: 1,
        crashed: vec!["desk-0-1".parse().unwrap()],
        lost: Vec::new(),
        since: time::Wall(MINUTE),
        until: time::Wall(until),
    }
}

/// Story: a team finds its shards missing as `quarantined` and asks `status`
/// why. It must read which request it is, what it took down and until when;
/// marks that were cleared or have expired would only mislead.
#[test]
fn only_marks_that_hold_are_shown() {
    let marks = vec![
        mark(quarantine::State::Quarantined, 10 * MINUTE),
        mark(quarantine::State::Suspect, 2 * MINUTE),
        mark(quarantine::State::Clear, 10 * MINUTE),
    ];
    let held = holding(marks, time::Wall(4 * MINUTE));
    assert_eq!(held.len(), 1);
    let text = text(&held, time::Wall(4 * MINUTE)).join("\n");
    for part in ["77", "quarantined", "desk-0-1", "3 min ago", "6 min"] {
        assert!(text.contains(part), "{part} is missing in\n{text}");
    }
    assert!(super::text(&[], time::Wall(0)).is_empty());
}
