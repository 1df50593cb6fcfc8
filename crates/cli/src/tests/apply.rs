use super::*;

fn edit(deadline: u64, base: Option<u64>) -> Edit {
    let text = format!("{{\"team\": \"a\", \"deadline_ms\": {deadline}}}");
    Edit {
        service: "desk".parse().unwrap(),
        document: document::parse("f", &text).unwrap(),
        text,
        base: base.map(ids::ObjectVersion),
    }
}

/// Story: two operators edit the same service at once. The second one's write
/// would silently undo the first one's; it must be refused, and say what the
/// present document holds and how to go on.
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
        text.contains("deadline_ms: 600 there, 700 in yours"),
        "{text}"
    );
    assert!(text.contains(&format!("--if-version {second}")), "{text}");
}

/// Story: the store's reply is lost. The operator must learn whether the edit
/// took effect, and must not be told of a conflict with their own write.
#[tokio::test]
async fn a_lost_reply_is_settled_by_reading_back() {
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
fn an_older_verdict_is_waited_out_and_a_later_one_ends_the_wait() {
    let version = ids::ObjectVersion(5);
    let accepted = |version| {
        status(document::Verdict::Accepted {
            version: ids::ObjectVersion(version),
        })
    };
    assert!(matches!(judge(accepted(4), version), Ok(Progress::Waiting)));
    assert!(matches!(
        judge(accepted(5), version),
        Ok(Progress::InForce(_))
    ));
    assert!(judge(accepted(6), version).is_err());
}
