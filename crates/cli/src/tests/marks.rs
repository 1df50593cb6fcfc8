use super::*;

const MINUTE_MS: u64 = 60_000;

fn mark(state: quarantine::State, until: u64) -> quarantine::Mark {
    quarantine::Mark {
        service: "desk".parse().unwrap(),
        fingerprint: ids::Fingerprint(77),
        state,
        version: 1,
        crashed: vec!["desk-0-1".parse().unwrap()],
        lost: Vec::new(),
        since: time::Wall(MINUTE_MS),
        until: time::Wall(until),
    }
}

/// Answers report missing shards with the reason `quarantined`, and the team runs
/// `status` to find out why. It must see the request, the upstreams that crashed or were lost
/// and when the mark expires; cleared and expired marks would mislead.
#[test]
fn only_marks_in_effect_are_shown() {
    let marks = vec![
        mark(quarantine::State::Quarantined, 10 * MINUTE_MS),
        mark(quarantine::State::Suspect, 2 * MINUTE_MS),
        mark(quarantine::State::Clear, 10 * MINUTE_MS),
    ];
    let in_effect = in_effect(marks, time::Wall(4 * MINUTE_MS));
    assert_eq!(in_effect.len(), 1);
    let text = text(&in_effect, time::Wall(4 * MINUTE_MS)).join("\n");
    for part in ["77", "quarantined", "desk-0-1", "3 min ago", "6 min"] {
        assert!(text.contains(part), "{part} is missing in\n{text}");
    }
    assert!(super::text(&[], time::Wall(0)).is_empty());
}
