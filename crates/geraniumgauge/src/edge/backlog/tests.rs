use crate::edge::backlog;
use crate::edge::frame;

fn batch(calls: &[u64]) -> frame::Kind {
    let calls = calls.iter().map(|id| frame::Call {
        id: *id,
        ..frame::Call::default()
    });
    frame::Kind::Batch(frame::Batch {
        calls: calls.collect(),
        ..frame::Batch::default()
    })
}

fn abandon(calls: &[u64]) -> frame::Kind {
    frame::Kind::Abandon(frame::Abandon {
        calls: calls.to_vec(),
        charged: Vec::new(),
    })
}

/// Guards against calls for searches that were answered long ago: while a VM is
/// paused for two seconds, a requester sends it calls, gets no report, calls elsewhere
/// and abandons them. On resuming, the VM must not make those calls.
#[test]
fn calls_abandoned_meanwhile_are_not_made() {
    let mut messages = vec![
        batch(&[1, 2]),
        batch(&[3, 4]),
        abandon(&[1, 2, 4]),
        batch(&[5]),
    ];
    backlog::prune(&mut messages);
    assert!(messages == [batch(&[3]), abandon(&[1, 2, 4]), batch(&[5])]);
}

/// Guards against calls for a requester that died while this VM was paused.
#[test]
fn calls_of_a_requester_that_is_gone_are_not_made() {
    let mut messages = vec![batch(&[1]), abandon(&[2]), batch(&[3])];
    backlog::remove_calls(&mut messages);
    assert!(messages == [abandon(&[2])]);
}

#[test]
fn messages_that_abandon_nothing_stay() {
    let mut messages = vec![batch(&[1]), frame::Kind::GoAway(frame::GoAway {})];
    backlog::prune(&mut messages);
    assert!(messages == [batch(&[1]), frame::Kind::GoAway(frame::GoAway {})]);
}
