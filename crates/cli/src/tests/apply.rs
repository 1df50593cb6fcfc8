use super::*;

fn edit(deadline_ms: u64, base: Option<u64>) -> Edit {
    let text = format!("{{\"team\": \"a\", \"deadline_ms\": {deadline_ms}}}");
    Edit {
        service: "desk".parse().unwrap(),
        document: document::parse("f", &text).unwrap(),
        text,
        base: base.map(ids::ObjectVersion),
    }
}

/// Two operators edit the same service at the same time: the second write would
/// silently undo the first. It must be refused with a message that shows the
/// stored values and how to continue.
#[tokio::test]
async fn the_second_of_two_racing_operators_gets_a_conflict() {
    let store = store::Fake::new();
    let first = write(&store, &edit(500, Some(0))).await.unwrap();
    let base = Some(first.0);
    let second = write(&store, &edit(600, base)).await.unwrap();
    let failure = write(&store, &edit(700, base)).await.unwrap_err();
    assert_eq!(failure.code(), 1);
    let text = failure.to_string();
    assert!(
        text.contains("deadline_ms: 600 in the store, 700 in yours"),
        "{text}"
    );
    assert!(text.contains(&format!("--if-version {second}")), "{text}");
}

/// The store's reply to a write is lost: the operator must learn whether the edit
/// took effect, and must not get a conflict with their own write.
#[tokio::test]
async fn a_lost_reply_is_resolved_by_reading_back() {
    let store = store::Fake::new();
    store.fault(|faults| faults.lose_replies = 1);
    assert!(write(&store, &edit(500, None)).await.is_ok());
    store.fault(|faults| faults.lose_writes = 1);
    let failure = write(&store, &edit(600, None)).await.unwrap_err();
    assert!(failure.to_string().contains("apply it again"));
}

fn status(verdict: document::Verdict) -> document::Status {
    document::Status {
        service: "desk".parse().unwrap(),
        generation: ids::Generation(4),
        layout: ids::LayoutVersion(1),
        document: verdict,
        layout_findings: Vec::new(),
        in_force: 8,
        vms: 8,
        behind: Vec::new(),
        unconfirmed: Vec::new(),
        retired: false,
        keeper: "vm-1".parse().unwrap(),
        written: geraniumgauge::time::Wall(0),
    }
}

#[test]
fn progress_waits_for_the_written_version_and_fails_if_a_later_one_is_stored() {
    let version = ids::ObjectVersion(5);
    let accepted = |version| {
        status(document::Verdict::Accepted {
            version: ids::ObjectVersion(version),
        })
    };
    assert!(matches!(
        progress(accepted(4), version),
        Ok(Progress::Waiting)
    ));
    assert!(matches!(
        progress(accepted(5), version),
        Ok(Progress::InForce(_))
    ));
    assert!(progress(accepted(6), version).is_err());
}
